//! What an entry node asks the owner of a service, what the owner answers, and what is told at the end.

use {
    crate::ids::{
        AccountName, DataCentreName, MonotonicTime, PromptSegmentId, RequestFingerprint, RouteName,
        RunId, ServiceName, Tier, UpstreamId,
    },
    std::time::Duration,
};

/// A part of a prompt, in the order of the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the part.
    pub id: PromptSegmentId,
    /// Its size.
    pub tokens: u32,
}

/// How much work a request brings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkSize {
    /// Tokens of the prompt; 0 for a plain call.
    pub prompt_tokens: u32,
    /// Output tokens that are expected.
    pub output_tokens: u32,
    /// Parts of the prompt that other requests may share.
    pub segments: Vec<PromptSegment>,
}

/// A request for a place at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// The dispatch that the place is for.
    pub run: RunId,
    /// The service.
    pub service: ServiceName,
    /// The route, whose measured durations predict this one's.
    pub route: RouteName,
    /// The account that pays, if requests need a key.
    pub account: Option<AccountName>,
    /// Units of the account's quota that the request uses.
    pub quota_units: u32,
    /// Rank; 0 goes first.
    pub tier: Tier,
    /// Time until the answer or first event is late, by what the asking node knows; zero when it is late already.
    pub objective_left: Duration,
    /// Time until the caller gives up, if no answer has begun by then.
    pub time_left: Duration,
    /// Longest pause between events; none for a plain call.
    pub longest_pause: Option<Duration>,
    /// How much work it brings.
    pub size: WorkSize,
    /// Upstreams that got this request before.
    pub attempt: u32,
    /// Upstreams that are not to be chosen.
    pub avoid: Vec<UpstreamId>,
    /// Recognizes the request when it comes again under another id.
    pub fingerprint: RequestFingerprint,
    /// Where the asking node is.
    pub data_centre: DataCentreName,
}

/// A place at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address, as IP:PORT.
    pub address: String,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The queue is too long for the request's time.
    Overloaded,
    /// The account used up its quota.
    QuotaExceeded,
    /// Retries of the service are used up.
    RetryBudgetSpent,
    /// No upstream is known that may take it.
    NoUpstream,
    /// The request broke several upstreams.
    CrashSuspect,
}

/// An answer that no place is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// A place is given.
    Granted(Grant),
    /// None is given.
    Refused(Refusal),
}

/// What an upstream says of its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Its service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests that run there, from all callers.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// How a run ended, as the entry saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The whole answer arrived.
    Completed,
    /// The upstream answered with a failure.
    Failed,
    /// The upstream said that it is full and did not run the request.
    Rejected,
    /// Another upstream has the address now.
    Misdirected,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The entry knew that the upstream wants no request; nothing was sent.
    Withheld,
    /// The connection broke after the request was sent.
    Broken,
    /// The caller left or the time ran out; says nothing about the upstream.
    Cancelled,
}

impl RunOutcome {
    /// Whether the request may have run, and so counts against quotas.
    pub fn has_run(self) -> bool {
        !matches!(
            self,
            Self::Rejected | Self::Unreachable | Self::Misdirected | Self::Withheld
        )
    }

    /// Its name in logs and metrics.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::RunOutcome;
    ///
    /// assert_eq!(RunOutcome::Broken.name(), "broken");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Rejected => "rejected",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Withheld => "withheld",
            Self::Broken => "broken",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The end of a run, with what it tells of the upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The dispatch.
    pub run: RunId,
    /// Its service.
    pub service: ServiceName,
    /// How it ended.
    pub outcome: RunOutcome,
    /// From the dispatch to the first event, if one came.
    pub to_first_event: Option<Duration>,
    /// From the dispatch to the end.
    pub to_end: Duration,
    /// Events that came.
    pub events: u32,
}

/// A run that an entry tells a new owner of.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// The ask that it came from.
    pub request: SlotRequest,
    /// Where it runs.
    pub upstream: UpstreamId,
    /// How long it has been running.
    pub running_for: Duration,
}

impl ActiveRun {
    pub(crate) fn started_at(&self, now: MonotonicTime) -> MonotonicTime {
        now.saturating_sub(self.running_for)
    }
}
