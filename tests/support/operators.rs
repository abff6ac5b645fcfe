//! Client for the administration API of a node.

use {
    super::{CONDITION_TIMEOUT, EDIT_KEY, READ_KEY, wait_for},
    dragonflystep::{config::CatalogueDocument, core::catalogue::Catalogue},
    reqwest::{Client, StatusCode},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Client for the administration API of one node, with the read key and the edit key.
#[derive(Debug, Clone)]
pub struct AdminClient {
    address: SocketAddr,
    client: Client,
}

impl AdminClient {
    /// Creates a client for the administration API at `address`.
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

    /// Fetches a JSON document. Returns `None` on a connection error, an error status or a body that is not JSON.
    pub async fn get(&self, path: &str) -> Option<Value> {
        let url = format!("http://{}{path}", self.address);
        let call = self.client.get(url).bearer_auth(READ_KEY);
        let answer = call.timeout(Duration::from_secs(2)).send().await.ok()?;
        answer.error_for_status().ok()?.json().await.ok()
    }

    /// Returns the catalogue in force on this node, or `None` if the node does not answer.
    pub async fn catalogue(&self) -> Option<Catalogue> {
        serde_json::from_value(self.get("/admin/catalogue").await?).ok()
    }

    /// Returns the catalogue version in force on this node, or `None` if the node does not answer.
    pub async fn version(&self) -> Option<u64> {
        self.get("/admin/catalogue").await?["version"].as_u64()
    }

    /// Returns each group with its holder and epoch, as known to this node. Empty if the node does not answer.
    pub async fn holders(&self) -> Vec<(String, Option<String>, u64)> {
        let status = self.get("/admin/status").await.unwrap_or_default();
        let groups = status["groups"].as_array().cloned().unwrap_or_default();
        let holder = |group: &Value| {
            let name = group["group"].as_str().unwrap_or_default().to_owned();
            let holder = group["holder"].as_str().map(str::to_owned);
            (name, holder, group["epoch"].as_u64().unwrap_or_default())
        };
        groups.iter().map(holder).collect()
    }

    /// Sends one catalogue change without retrying. Returns the status and the answer, or `None` on a connection error.
    pub async fn change(
        &self,
        based_on: u64,
        reason: &str,
        edits: &Value,
    ) -> Option<(StatusCode, Value)> {
        let change = json!({"based_on": based_on, "author": "proofs", "reason": reason, "token": token(), "edits": edits});
        self.post(&change).await
    }

    async fn post(&self, change: &Value) -> Option<(StatusCode, Value)> {
        let url = format!("http://{}/admin/catalogue", self.address);
        let call = self.client.post(url).bearer_auth(EDIT_KEY).json(change);
        let answer = call.send().await.ok()?;
        let status = answer.status();
        Some((status, answer.json().await.ok()?))
    }

    /// Changes the catalogue to match `document`, retrying until the node accepts it, and returns the resulting
    /// version.
    pub async fn apply(&self, document: &Value) -> u64 {
        let document = CatalogueDocument::parse(&document.to_string());
        let document = document.expect("the tests write valid documents");
        let token = token();
        wait_for("the node accepts the catalogue change", CONDITION_TIMEOUT, || async {
            let current = self.catalogue().await?;
            let edits = document.edits_against(&current).expect("the document has no faults");
            if edits.is_empty() {
                return Some(current.version);
            }
            let change = json!({"based_on": current.version, "author": "proofs", "reason": "apply",
                "token": token, "edits": edits});
            let (status, answer) = self.post(&change).await?;
            status.is_success().then_some(())?;
            answer["version"].as_u64()
        })
        .await
        .0
    }
}

/// Returns a token that no other change uses. A retried change keeps its token.
fn token() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("proof-{}-{number}", std::process::id())
}
