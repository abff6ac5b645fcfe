//! A small client for the administration API of a node.

use {
    super::Failure,
    eyre::{WrapErr, eyre},
    reqwest::{Client, Method, StatusCode},
    serde_json::Value,
    std::time::Duration,
};

/// Environment variable with the administration key. As a command-line argument, the key would show in process lists.
pub const KEY_VARIABLE: &str = "DRAGONFLYSTEP_ADMIN_KEY";
/// Time limit for a call, a little longer than a node takes to determine whether a change was made.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls the administration API of one node.
#[derive(Debug)]
pub struct AdminClient {
    address: String,
    key: String,
    client: Client,
}

impl AdminClient {
    /// Creates a client for the node at `address`, with the key from [`KEY_VARIABLE`].
    pub fn from_environment(address: &str) -> Result<Self, Failure> {
        let key = std::env::var(KEY_VARIABLE)
            .map_err(|_| Failure::BadInput(format!("set {KEY_VARIABLE} to a read or edit key")))?;
        Self::new(address, &key)
    }

    /// Creates a client for the node at `address`, as IP:PORT, with an administration key.
    pub fn new(address: &str, key: &str) -> Result<Self, Failure> {
        let client = Client::builder().no_proxy().timeout(CALL_TIMEOUT).build()?;
        Ok(Self {
            address: address.to_owned(),
            key: key.to_owned(),
            client,
        })
    }

    /// Fetches the JSON document at `path`; any status other than success is an error.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        let (status, body) = self.call(Method::GET, path, None).await?;
        if !status.is_success() {
            return Err(eyre!("{} answered {status}: {body}", self.address).into());
        }
        Ok(body)
    }

    /// Posts a JSON document, and returns the status and the answer without checking the status.
    pub async fn post(&self, path: &str, body: &Value) -> Result<(StatusCode, Value), Failure> {
        self.call(Method::POST, path, Some(body)).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(StatusCode, Value), Failure> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.client.request(method, url).bearer_auth(&self.key);
        if let Some(body) = body {
            request = request.json(body);
        }
        let answer = request
            .send()
            .await
            .wrap_err_with(|| format!("no answer from the node at {}", self.address))?;
        let status = answer.status();
        let text = answer.text().await?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok((status, body))
    }
}
