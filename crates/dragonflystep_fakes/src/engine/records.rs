//! What an engine stand-in saw and did, for an independent check.

use serde::{Deserialize, Serialize};

/// What became of a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DispatchOutcome {
    /// It runs or waits.
    Open,
    /// The whole answer was computed.
    Finished,
    /// It was cancelled by an order.
    Cancelled,
    /// It was lost in a crash.
    Lost,
    /// Nobody took it up in time.
    Expired,
    /// It was refused for its fencing number and did not run.
    Fenced,
    /// The engine already had a stream of this name; it did not run again.
    Duplicate,
    /// It was refused for another reason and did not run.
    Refused,
}

/// One dispatch, whether it ran or not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRecord {
    /// Name of the stream.
    pub stream: String,
    /// Value of `X-Fencing-Number`.
    pub fencing_number: Option<u64>,
    /// Hash of the body's bytes.
    pub body_hash: String,
    /// Hash of the prompt alone, which stays when the body is written anew.
    pub prompt_hash: String,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Length of the answer.
    pub output_tokens: u32,
    /// Prompt tokens that came from the cache.
    pub cached_tokens: u32,
    /// Value of `Idempotency-Key`, if it was passed on.
    pub idempotency_key: Option<String>,
    /// Value of `X-Idempotent`, if it was passed on.
    pub idempotent: Option<String>,
    /// Arrival, since the stand-in began.
    pub arrived_ms: u64,
    /// Arrival by the machine's clock.
    pub arrived_unix_ms: u64,
    /// First token, since the stand-in began.
    pub first_token_ms: Option<u64>,
    /// End, since the stand-in began.
    pub ended_ms: Option<u64>,
    /// What became of it.
    pub outcome: DispatchOutcome,
}

/// All that an engine stand-in recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Dispatches in the order of their arrival.
    pub dispatches: Vec<DispatchRecord>,
    /// Most streams in the batch at one time.
    pub most_running: u32,
    /// Most streams that the engine had at one time, the waiting ones included.
    pub most_streams: u32,
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens that came from the cache.
    pub cached_tokens: u64,
    /// Streams that were taken up again.
    pub resumed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Highest fencing number seen.
    pub highest_fencing_number: u64,
}

impl EngineRecords {
    /// Number of dispatches with this outcome.
    pub fn count(&self, outcome: DispatchOutcome) -> usize {
        self.dispatches
            .iter()
            .filter(|dispatch| dispatch.outcome == outcome)
            .count()
    }
}
