//! Client for the control endpoint of a stand-in: injects faults and reads records.

use {
    super::{CONDITION_TIMEOUT, wait_for},
    reqwest::Client,
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a command that silences its own connection: long enough for the command to arrive.
const SILENCED_TIMEOUT: Duration = Duration::from_millis(500);

/// Controls one stand-in. Each call opens its own connection, because faults can silence open connections.
#[derive(Debug, Clone)]
pub struct Control {
    address: SocketAddr,
    client: Client,
}

impl Control {
    /// Creates a client for the control endpoint at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .timeout(CALL_TIMEOUT)
            .build();
        Self {
            address,
            client: client.expect("a client without TLS can always be made"),
        }
    }

    /// Sends a command, such as a fault, and retries until the stand-in answers.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in rejects the command or does not answer within `CONDITION_TIMEOUT`.
    pub async fn command(&self, path: &str, command: &Value) {
        let url = format!("http://{}{path}", self.address);
        if command["fault"] == "silence_existing" {
            // The command silences its own connection too, so no answer ever arrives.
            let call = self.client.post(&url).json(command);
            let _ = call.timeout(SILENCED_TIMEOUT).send().await;
            return;
        }
        wait_for(
            "a stand-in accepts a command",
            CONDITION_TIMEOUT,
            || async {
                let answer = self.client.post(&url).json(command).send().await.ok()?;
                assert!(
                    answer.status().is_success(),
                    "the stand-in rejects the command {command}"
                );
                Some(())
            },
        )
        .await;
    }

    /// Fetches the records of the stand-in.
    pub async fn records<T: DeserializeOwned>(&self) -> T {
        let url = format!("http://{}/records", self.address);
        wait_for(
            "a stand-in returns its records",
            CONDITION_TIMEOUT,
            || async {
                let answer = self.client.get(&url).send().await.ok()?;
                answer.json().await.ok()
            },
        )
        .await
        .0
    }
}
