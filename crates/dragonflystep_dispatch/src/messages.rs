//! The messages between an entry node and the owner of a service: slot requests, decisions, and reports of runs.

use {
    crate::{
        ids::{
            AccountName, ContentKey, DataCentreName, MonotonicTime, PromptSegmentId,
            RequestFingerprint, RouteName, RunId, ServiceName, StreamId, Tier, UpstreamId,
            UpstreamVersion,
        },
        upstream::Upstream,
    },
    std::time::Duration,
};

/// A segment of a prompt. A prompt's segments are listed in their order in the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the segment's content.
    pub id: PromptSegmentId,
    /// Size of the segment, in tokens.
    pub tokens: u32,
}

/// The amount of work that a request causes at an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkSize {
    /// Size of the prompt, in tokens; 0 for a plain call.
    pub prompt_tokens: u32,
    /// Expected output, in tokens.
    pub output_tokens: u32,
    /// Segments of the prompt that other requests may share.
    pub segments: Vec<PromptSegment>,
}

/// A stream that a request begins or resumes and that may be resumed if it breaks off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamTry {
    /// The stream.
    pub id: StreamId,
    /// Time until the caller of the stream gives up, over all of its tries.
    pub caller_time_left: Duration,
    /// Whether the stream has begun already.
    pub progress: StreamProgress,
}

/// Whether the caller of a stream has received events of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamProgress {
    /// It has none, so that any upstream may run the request.
    New,
    /// It has some. Only upstreams of the software version that began the stream may run the request.
    Resumed(StartVersion),
}

/// What is known of the software version at which a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartVersion {
    /// The entry node has relayed events of this version to the caller.
    Relayed(UpstreamVersion),
    /// The entry node was granted a slot for the stream at this version. A later try may have begun at another one.
    Remembered(UpstreamVersion),
    /// The owner has bound the request to this version.
    Bound(UpstreamVersion),
    /// Within the time in which callers may come back, the entry node has seen this version and no other.
    Only(UpstreamVersion),
    /// The entry node can't tell.
    Unknown {
        /// Whether it saw several versions within that time.
        saw_several: bool,
    },
}

/// An entry node's request for a slot at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// The run that the slot is for.
    pub run: RunId,
    /// The service whose upstreams may run the request.
    pub service: ServiceName,
    /// The route of the request; durations of earlier runs on it predict those of this one.
    pub route: RouteName,
    /// The account whose quota the request uses; absent if requests need no key.
    pub account: Option<AccountName>,
    /// Number of quota units that the request uses.
    pub quota_units: u32,
    /// Priority of the request; 0 goes first.
    pub tier: Tier,
    /// Time until the answer or its first event is late, as far as the entry node knows; zero if it is late already.
    pub objective_left: Duration,
    /// Time until the caller gives up if no answer has begun.
    pub time_left: Duration,
    /// Longest permitted pause between two events of the stream; absent for a plain call.
    pub longest_pause: Option<Duration>,
    /// The amount of work that the request causes.
    pub size: WorkSize,
    /// Number of upstreams to which this request was sent before.
    pub previous_attempts: u32,
    /// Upstreams that must not be chosen for this request.
    pub excluded_upstreams: Vec<UpstreamId>,
    /// Recognizes the request if it comes again under another id.
    pub fingerprint: RequestFingerprint,
    /// The prompt segments that other requests may share, as keys that reveal nothing of them.
    pub shared_content: Vec<ContentKey>,
    /// Data centre of the entry node.
    pub data_centre: DataCentreName,
    /// Data centres whose upstreams may run the request; absent if all may.
    pub allowed_data_centres: Option<Vec<DataCentreName>>,
    /// The stream that the request begins or resumes; absent if the answer can't be resumed.
    pub stream: Option<StreamTry>,
    /// The copy of the run's KV cache; absent if there is none.
    pub copy: Option<RunCopy>,
}

/// A copy of a run's KV cache at another upstream than the one that runs the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunCopy {
    /// The upstream that runs the request sends its cache to this one as it grows.
    Kept(UpstreamId),
    /// The upstream that ran the request broke off. The run goes on at this one, which holds the copy.
    Continued(UpstreamId),
}

/// The upstream to which another one copies the KV cache of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyTarget {
    /// The upstream that gets the copy.
    pub upstream: UpstreamId,
    /// Address of the upstream, as IP:PORT.
    pub address: String,
}

impl SlotRequest {
    /// Removes what describes the content of the request, if it may not be processed in the data centre of its receiver;
    /// `None` means that the data centre is not known.
    ///
    /// The owner then places the request without knowing which of its segments an upstream has cached. The fingerprint
    /// stays: a hash of 64 bits reveals nothing, and it keeps a request that crashes upstreams from being sent on.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::{PromptSegment, SlotRequest, WorkSize};
    /// use std::time::Duration;
    ///
    /// let mut request = SlotRequest {
    ///     run: 1, service: "s".into(), route: "r".into(), account: None, quota_units: 0, tier: 0,
    ///     objective_left: Duration::from_secs(1), time_left: Duration::from_secs(5), longest_pause: None,
    ///     size: WorkSize { segments: vec![PromptSegment { id: 7, tokens: 60 }], ..WorkSize::default() },
    ///     previous_attempts: 0, excluded_upstreams: Vec::new(), fingerprint: 9, shared_content: Vec::new(),
    ///     data_centre: "a".into(),
    ///     allowed_data_centres: Some(vec!["a".into()]), stream: None, copy: None,
    /// };
    /// request.redact_for(Some(&"a".into()));
    /// assert_eq!(request.size.segments.len(), 1);
    /// request.redact_for(Some(&"b".into()));
    /// assert!(request.size.segments.is_empty());
    /// ```
    pub fn redact_for(&mut self, receiver: Option<&DataCentreName>) {
        let is_permitted = match (&self.allowed_data_centres, receiver) {
            (None, _) => true,
            (Some(allowed), Some(receiver)) => allowed.contains(receiver),
            (Some(_), None) => false,
        };
        if !is_permitted {
            self.size.segments.clear();
        }
    }

    /// The content because of which the request may crash an upstream: its shared segments and the request itself.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::{SlotRequest, WorkSize};
    /// use std::time::Duration;
    ///
    /// let request = SlotRequest {
    ///     run: 1, service: "s".into(), route: "r".into(), account: None, quota_units: 0, tier: 0,
    ///     objective_left: Duration::from_secs(1), time_left: Duration::from_secs(4), longest_pause: None,
    ///     size: WorkSize::default(), previous_attempts: 0, excluded_upstreams: Vec::new(), fingerprint: 9,
    ///     shared_content: vec![4, 5], data_centre: "a".into(), allowed_data_centres: None, stream: None, copy: None,
    /// };
    /// assert_eq!(request.content().collect::<Vec<_>>(), [4, 5, 9]);
    /// ```
    pub fn content(&self) -> impl Iterator<Item = ContentKey> + '_ {
        let shared = self.shared_content.iter().copied();
        shared.chain([self.fingerprint])
    }

    /// The ids under which the stream of the request is known: its own, and the fingerprint, by which a caller resumes it that
    /// does not name the request that began it. None if it can't be resumed.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::{SlotRequest, StreamProgress, StreamTry, WorkSize};
    /// use std::time::Duration;
    ///
    /// let stream = StreamTry {
    ///     id: 3, caller_time_left: Duration::from_secs(4), progress: StreamProgress::New,
    /// };
    /// let request = SlotRequest {
    ///     run: 1, service: "s".into(), route: "r".into(), account: None, quota_units: 0, tier: 0,
    ///     objective_left: Duration::from_secs(1), time_left: Duration::from_secs(4), longest_pause: None,
    ///     size: WorkSize::default(), previous_attempts: 0, excluded_upstreams: Vec::new(), fingerprint: 9, shared_content: Vec::new(),
    ///     data_centre: "a".into(), allowed_data_centres: None, stream: Some(stream), copy: None,
    /// };
    /// assert_eq!(request.stream_ids().collect::<Vec<_>>(), [3, 9]);
    /// ```
    pub fn stream_ids(&self) -> impl Iterator<Item = StreamId> + use<> {
        let stream = self.stream.as_ref();
        let ids = stream.map(|stream| [stream.id, self.fingerprint]);
        ids.into_iter().flatten()
    }

    /// The stream that the request resumes; absent if it resumes none.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::{SlotRequest, StartVersion, StreamProgress, StreamTry, WorkSize};
    /// use std::time::Duration;
    ///
    /// let mut request = SlotRequest {
    ///     run: 1, service: "s".into(), route: "r".into(), account: None, quota_units: 0, tier: 0,
    ///     objective_left: Duration::from_secs(1), time_left: Duration::from_secs(4), longest_pause: None,
    ///     size: WorkSize::default(), previous_attempts: 0, excluded_upstreams: Vec::new(), fingerprint: 9, shared_content: Vec::new(),
    ///     data_centre: "a".into(), allowed_data_centres: None, stream: None, copy: None,
    /// };
    /// assert_eq!(request.resumed_stream(), None);
    /// request.stream = Some(StreamTry {
    ///     id: 3, caller_time_left: Duration::from_secs(4),
    ///     progress: StreamProgress::Resumed(StartVersion::Unknown { saw_several: false }),
    /// });
    /// assert_eq!(request.resumed_stream(), Some(3));
    /// ```
    pub fn resumed_stream(&self) -> Option<StreamId> {
        let stream = self.stream.as_ref()?;
        matches!(stream.progress, StreamProgress::Resumed(_)).then_some(stream.id)
    }

    /// The software version that an upstream must have to run the request; absent if all may run it, or if that is not certain
    /// yet.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::{SlotRequest, StartVersion, StreamProgress, StreamTry, WorkSize};
    /// use std::time::Duration;
    ///
    /// let stream = StreamTry {
    ///     id: 3, caller_time_left: Duration::from_secs(4),
    ///     progress: StreamProgress::Resumed(StartVersion::Bound("v2".into())),
    /// };
    /// let request = SlotRequest {
    ///     run: 1, service: "s".into(), route: "r".into(), account: None, quota_units: 0, tier: 0,
    ///     objective_left: Duration::from_secs(1), time_left: Duration::from_secs(4), longest_pause: None,
    ///     size: WorkSize::default(), previous_attempts: 0, excluded_upstreams: Vec::new(), fingerprint: 9, shared_content: Vec::new(),
    ///     data_centre: "a".into(), allowed_data_centres: None, stream: Some(stream), copy: None,
    /// };
    /// assert_eq!(request.required_version().map(|version| &**version), Some("v2"));
    /// ```
    pub fn required_version(&self) -> Option<&UpstreamVersion> {
        match &self.stream.as_ref()?.progress {
            StreamProgress::Resumed(
                StartVersion::Relayed(version) | StartVersion::Bound(version),
            ) => Some(version),
            StreamProgress::New | StreamProgress::Resumed(_) => None,
        }
    }

    /// Whether an upstream may run the request, by its data centre and its version.
    pub(crate) fn permits(&self, upstream: &Upstream) -> bool {
        let version = self.required_version();
        self.permits_data_centre(&upstream.data_centre)
            && version.is_none_or(|version| *version == upstream.version)
    }

    /// The upstream at which the run goes on from a copy of its KV cache; absent if it does not.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::{RunCopy, SlotRequest, WorkSize};
    /// use std::time::Duration;
    ///
    /// let request = SlotRequest {
    ///     run: 1, service: "s".into(), route: "r".into(), account: None, quota_units: 0, tier: 0,
    ///     objective_left: Duration::ZERO, time_left: Duration::from_secs(4), longest_pause: None,
    ///     size: WorkSize::default(), previous_attempts: 1, excluded_upstreams: Vec::new(), fingerprint: 9, shared_content: Vec::new(),
    ///     data_centre: "a".into(), allowed_data_centres: None, stream: None,
    ///     copy: Some(RunCopy::Continued("engine-2".into())),
    /// };
    /// assert_eq!(request.continues_at().map(|upstream| &**upstream), Some("engine-2"));
    /// ```
    pub fn continues_at(&self) -> Option<&UpstreamId> {
        match &self.copy {
            Some(RunCopy::Continued(upstream)) => Some(upstream),
            _ => None,
        }
    }

    /// Whether callers have received events of the run already, so that its next slot goes before those of new requests.
    pub(crate) fn has_begun(&self) -> bool {
        let stream = self.stream.as_ref();
        let is_resumed =
            stream.is_some_and(|stream| matches!(stream.progress, StreamProgress::Resumed(_)));
        is_resumed || self.continues_at().is_some()
    }

    /// Whether the upstreams of a data centre may run the request.
    pub(crate) fn permits_data_centre(&self, data_centre: &DataCentreName) -> bool {
        let allowed = self.allowed_data_centres.as_ref();
        allowed.is_none_or(|allowed| allowed.contains(data_centre))
    }
}

/// A slot at an upstream that an owner granted to a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The upstream to which the entry node sends the request.
    pub upstream: UpstreamId,
    /// Address of the upstream, as IP:PORT.
    pub address: String,
    /// Version of the upstream's software; empty if it states none, or if the owner does not say.
    pub version: UpstreamVersion,
    /// Whether the owner waits to hear that the upstream has begun to answer, because the request holds suspected content.
    pub reports_begin: bool,
    /// Where the upstream copies the KV cache of the run; absent if it is not copied.
    pub copy: Option<CopyTarget>,
}

/// Why an owner refuses a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The request would wait longer than it may.
    Overloaded,
    /// The account has used up its quota.
    QuotaExceeded,
    /// The retry budget of the service is used up.
    RetryBudgetSpent,
    /// No upstream is known that may run the request.
    NoUpstream,
    /// The request, or a segment of its prompt, crashed several upstreams.
    CrashSuspect,
    /// The request resumes a stream, and nobody knows at which software version that began.
    StreamVersionUnknown,
}

/// An owner's answer that a run gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which the caller should try again.
    pub retry_after: Duration,
}

/// An owner's answer to a slot request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The run gets a slot.
    Granted(Grant),
    /// The run gets no slot.
    Refused(Refusal),
}

/// The load that an upstream reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream that reports its load.
    pub upstream: UpstreamId,
    /// Number of requests that run there, from all callers.
    pub running: u32,
    /// Number of requests that wait there for one of the upstream's own slots.
    pub waiting: u32,
}

/// How a run ended, as the entry node observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The whole answer arrived.
    Completed,
    /// The upstream answered with an error.
    Failed,
    /// The upstream answered that it is full and did not run the request.
    Rejected,
    /// The address now belongs to another upstream.
    Misdirected,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The entry node knew that the upstream takes no requests for now; nothing was sent.
    Withheld,
    /// The connection broke after the request was sent.
    Broken,
    /// The caller left, the request timed out or the path to the upstream broke; says nothing about the upstream.
    Cancelled,
}

impl RunOutcome {
    /// Whether the request may have run and therefore counts against quotas.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::Rejected | Self::Unreachable | Self::Misdirected | Self::Withheld
        )
    }

    /// Whether the outcome counts as a failure of the upstream.
    pub(crate) fn has_failed(self) -> bool {
        matches!(self, Self::Failed | Self::Broken | Self::Unreachable)
    }

    /// Returns the name of the outcome in logs and metrics.
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

/// A back-off from an upstream that an owner began because of a failed run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackOff {
    /// The upstream that gets no requests meanwhile.
    pub upstream: UpstreamId,
    /// The run that failed, by which the node that reported it is known.
    pub run: RunId,
    /// How that run ended.
    pub outcome: RunOutcome,
    /// Length of the back-off.
    pub duration: Duration,
}

/// An entry node's report of the end of a run, with the durations from which the owner learns.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The run that ended.
    pub run: RunId,
    /// Service that the run belonged to.
    pub service: ServiceName,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Time from the dispatch to the first event; absent if no event arrived.
    pub to_first_event: Option<Duration>,
    /// Time from the dispatch to the end of the run.
    pub to_end: Duration,
    /// Number of events that arrived.
    pub events: u32,
}

/// An active run that an entry node reports to a new owner.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// The slot request that led to the run.
    pub request: SlotRequest,
    /// The upstream that runs it.
    pub upstream: UpstreamId,
    /// How long it has been running.
    pub running_for: Duration,
}

impl ActiveRun {
    pub(crate) fn started_at(&self, now: MonotonicTime) -> MonotonicTime {
        now.saturating_sub(self.running_for)
    }
}
