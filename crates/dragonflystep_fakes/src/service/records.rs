//! What a plain-service stand-in saw and did, for an independent check.

use {
    crate::engine::content_hash,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// One call, whether it took effect or not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Method.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Value of `X-Request-Id`.
    pub request_id: Option<String>,
    /// Value of `X-Fencing-Number`.
    pub fencing_number: Option<u64>,
    /// Value of `Idempotency-Key`, if it was passed on.
    pub idempotency_key: Option<String>,
    /// Value of `X-Idempotent`, if it was passed on.
    pub idempotent: Option<String>,
    /// Hash of the body's bytes.
    pub body_hash: String,
    /// Arrival, since the stand-in began.
    pub arrived_ms: u64,
    /// Arrival by the machine's clock.
    pub arrived_unix_ms: u64,
    /// Whether it took effect.
    pub ran: bool,
    /// Status that was given; none while it runs or when the connection was broken or silenced.
    pub status: Option<u16>,
}

/// All that a plain-service stand-in recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecords {
    /// Calls in the order of their arrival.
    pub calls: Vec<CallRecord>,
    /// How often each order ran, by the hash of its body.
    pub order_runs: BTreeMap<String, u32>,
    /// How often an order ran under each request id.
    pub request_id_runs: BTreeMap<String, u32>,
    /// Most calls at one time.
    pub most_running: u32,
    /// Crashes.
    pub crashes: u64,
    /// Highest fencing number seen.
    pub highest_fencing_number: u64,
}

impl ServiceRecords {
    /// How often the order with this body ran.
    pub fn runs_of(&self, body: &[u8]) -> u32 {
        let runs = self.order_runs.get(&content_hash(body));
        runs.copied().unwrap_or_default()
    }

    /// How often the order ran that ran most often.
    pub fn most_runs(&self) -> u32 {
        self.order_runs.values().copied().max().unwrap_or_default()
    }
}
