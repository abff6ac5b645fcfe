//! What goes into the dispatcher, and what comes out of it.

use {
    crate::{
        catalogue::Catalogue,
        copy_rules::CopyRules,
        crash_log::CrashEvidence,
        ids::{DataCentreName, RunId, ServiceName},
        messages::{ActiveRun, RunReport, SlotDecision, SlotRequest, UpstreamLoad},
        notices::UpstreamNotice,
        ownership::Visibility,
        quota::QuotaRules,
        retry_budget::RetryLimits,
        rollout::{RolloutOrder, RolloutPhase, RolloutRules},
        share_rules::ShareRules,
        stream_versions::{StreamVersion, VersionHistory},
        upstream::Upstream,
        usage::UsageReport,
        warm_up::WarmUpRules,
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Limits that operators set for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLimits {
    /// Permitted retries of a service, as a share of its requests.
    pub retry_ratio: f64,
    /// Permitted retries of a service in each window, in addition to [`retry_ratio`](Self::retry_ratio).
    pub retry_slack: f64,
    /// Length of the window in which retries are counted, in seconds.
    pub retry_window_s: u64,
    /// Window and tolerance by which the accounts' quotas are enforced.
    pub quota: QuotaRules,
    /// How many requests an unproven new version may get.
    pub rollout: RolloutRules,
    /// How many requests a cold upstream may get.
    pub warm_up: WarmUpRules,
    /// Which runs are copied to a second upstream.
    pub copies: CopyRules,
    /// How the accounts of a tier share a service that is full.
    pub shares: ShareRules,
}

impl SharedLimits {
    pub(crate) fn retries(&self) -> RetryLimits {
        RetryLimits {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window_s: self.retry_window_s.max(1),
        }
    }
}

/// Something that happened and that the dispatcher reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry node requests a slot.
    SlotRequested(SlotRequest),
    /// An entry node no longer waits for a slot, for example because the caller left.
    RequestWithdrawn(ServiceName, RunId),
    /// An entry node reported the end of a run.
    RunEnded(RunReport),
    /// An entry node reported an active run that another owner granted.
    ActiveRunReported(ActiveRun),
    /// An entry node reported what accounts recently used through it, which it does before it sends slot requests to a
    /// new owner.
    UsageReported(UsageReport),
    /// The list of nodes changed and now has this length.
    NodeCountChanged(usize),
    /// The limits that operators set for all nodes together changed.
    LimitsChanged(SharedLimits),
    /// A new version of the catalogue came into force.
    CatalogueChanged(Arc<Catalogue>),
    /// The registry of upstreams changed; contains all of its entries.
    UpstreamsChanged(Vec<Upstream>),
    /// The operator's evacuations changed; contains all data centres whose upstreams get no requests.
    EvacuationsChanged(BTreeSet<DataCentreName>),
    /// The number of nodes that this node sees changed.
    VisibilityChanged(Visibility),
    /// The number of nodes that recently called this one, or answered its calls, changed.
    RecentContactsChanged(Visibility),
    /// Whether this node learns of changes of the registry changed: it sees most of the nodes, or the platform has answered
    /// lately.
    RegistryFreshnessChanged(bool),
    /// Another node reported at which software versions streams began.
    StreamsReported(Vec<StreamVersion>),
    /// The platform kept at which software versions streams began, in the order in which that was written.
    StreamsRestored(Vec<StreamVersion>),
    /// The platform kept which software versions the upstreams of the services had lately.
    VersionHistoryRestored(VersionHistory),
    /// This node, as the entry node, was granted a slot for a stream at this software version.
    StreamBegan(StreamVersion),
    /// This node or another one observed crashes of upstreams, or content that is sound.
    CrashesObserved(CrashEvidence),
    /// An upstream reported its load.
    LoadObserved(UpstreamLoad),
    /// An upstream stated something about itself in an answer.
    NoticeReceived(UpstreamNotice),
    /// An operator ordered a roll-out, or the details of a known order changed.
    RolloutOrdered(RolloutOrder),
    /// The order with this number was decided by another node, or by an earlier owner.
    RolloutSettled(ServiceName, u64, RolloutPhase),
    /// An operator withdrew the roll-out order of a service.
    RolloutWithdrawn(ServiceName),
    /// Time passed; expires waiting requests and advances roll-outs.
    Ticked,
}

/// A decision that has to be sent to an entry node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The run for which a slot was requested.
    pub run: RunId,
    /// Whether the run gets a slot.
    pub decision: SlotDecision,
}
