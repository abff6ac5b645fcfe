//! What the reducer knows of a request, and what a caller is told about its outcome.

use {
    crate::ids::{AccountId, BlockHash, Fingerprint, ServiceId, Tier},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Idempotency key that a caller gave to a request, so that a repeated request is recognized.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// The client account that sent the request.
    pub account: AccountId,
    /// Text chosen by the caller, from the `Idempotency-Key` header.
    pub text: Arc<str>,
}

/// All facts about a request that scheduling decisions depend on. The body stays with the driver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestFacts {
    /// Service that should answer the request.
    pub service: ServiceId,
    /// Client account that sent the request.
    pub account: AccountId,
    /// Tier of the request.
    pub tier: Tier,
    /// Idempotency key from the caller; without one, every call is a separate request.
    pub key: Option<RequestKey>,
    /// Time left until the deadline, after which the answer is of no use.
    pub deadline: Duration,
    /// Whether the caller can safely send the request again after it was cancelled.
    pub idempotent: bool,
    /// Hashes of the prompt's prefix at each block end, shortest prefix first; empty for a plain service.
    pub prefix_blocks: Arc<[BlockHash]>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens, as requested.
    pub output_tokens: u32,
    /// Hash of account and content, by which a request that crashes upstreams is recognized.
    pub fingerprint: Fingerprint,
}

/// Whether a request ran, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request certainly did not run and will not run.
    No,
    /// The request ran, or is running.
    Yes,
    /// The request may have run; this can't be determined.
    Unknown,
}

/// Why a request did not get a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The service has no capacity for this tier.
    Overloaded,
    /// The answer can't be complete before the deadline.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// The catalogue names no such service, tier or client account.
    NotInCatalogue,
    /// No upstream or no broker of the service can be reached.
    NoUpstream,
    /// The node is stopping; another entry serves the request.
    Stopping,
    /// The durable claim that a non-idempotent request needs can't be written at present.
    StoreUnavailable,
    /// A request with the same key is running.
    InProgress,
    /// A request with the same key has been dispatched before and ended.
    AlreadyRan,
    /// The request was cancelled to make room for a higher tier.
    Preempted,
    /// The upstream's answer broke off.
    UpstreamFailed,
    /// The upstream answered with an error.
    UpstreamRefused,
    /// The upstream made no progress for too long.
    UpstreamStalled,
    /// The request is suspected to have crashed upstreams and is not run again.
    Quarantined,
    /// The caller disconnected.
    CallerLeft,
    /// This node has lost contact with the rest of the system.
    Isolated,
}

/// Final result of a request that did not get a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub ran: Ran,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::request::{Ran, Refusal, RefusalCode};
    /// assert_eq!(Refusal::not_run(RefusalCode::Overloaded).ran, Ran::No);
    /// ```
    pub fn not_run(code: RefusalCode) -> Self {
        Self {
            code,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request, with `ran` telling whether it ran.
    pub fn with_ran(code: RefusalCode, ran: Ran) -> Self {
        Self {
            code,
            ran,
            retry_after: None,
        }
    }

    /// Returns the refusal with the time after which a retry may succeed.
    pub fn come_back_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer reached the entry.
    Completed,
    /// The upstream answered with an error, and its answer is complete.
    Rejected,
    /// The answer broke off and could not be resumed.
    Failed,
    /// The system or the caller cancelled the request.
    Cancelled,
}
