//! Scheduling decisions, without any I/O: which route and account a request belongs to, which node owns a service,
//! and which requests are queued, refused or placed at an upstream.
//!
//! The node that receives a request from a caller is the request's entry node. It requests a slot from the owner of
//! the service. A slot is the capacity of an upstream for one run. A run is one dispatch of a request to an upstream.
//!
//! Each node drives one [`Dispatcher`] for the services that it owns. The dispatcher is a state machine: it takes
//! [`Event`]s together with the time at which they happened and returns [`Effect`]s. The same code runs in a node, in
//! tests and in replays of recorded load.

mod account_shares;
mod break_rate;
mod catalogue;
mod copy_rules;
mod crash_log;
mod dispatcher;
mod event;
mod held_copies;
mod ids;
mod limits;
mod messages;
mod notices;
mod ownership;
mod pacer;
mod placement;
mod pool;
mod prefix_cache;
mod queue;
mod quota;
mod refusal;
mod refused_requests;
mod rejection_guard;
mod requested_back_off;
mod retry_budget;
mod rollout;
mod routing;
mod share_rules;
mod speed;
mod stream_versions;
mod upstream;
mod usage;
mod warm_up;

pub use self::{
    account_shares::{ShareChange, ShareClass},
    catalogue::{
        Account, AccountQuota, CacheTransfer, Catalogue, ClientLimits, Engine, QuotaUnit, Route,
        RouteKind, Service, Target, WarmUp,
    },
    copy_rules::CopyRules,
    crash_log::{CrashEvidence, SoundContent, UpstreamCrash},
    dispatcher::{ContentChange, Dispatcher, VersionEvidence},
    event::{Effect, Event, SharedLimits},
    ids::{
        AccountName, ContentKey, DataCentreName, MonotonicTime, NodeIncarnation, NodeName,
        PromptSegmentId, RegionName, RequestFingerprint, RouteName, RunId, ServiceName, StreamId,
        Tier, UpstreamId, UpstreamVersion, node_incarnation_of, run_id,
    },
    limits::SOUND_EVENTS,
    messages::{
        ActiveRun, BackOff, CopyTarget, Grant, PromptSegment, Refusal, RefusalReason, RunCopy,
        RunOutcome, RunReport, SlotDecision, SlotRequest, StartVersion, StreamProgress, StreamTry,
        UpstreamLoad, WorkSize,
    },
    notices::{NoticeKind, UpstreamNotice},
    ownership::{Member, Visibility, partition_limit_share, rank_owners},
    pool::{PoolSummary, UpstreamSummary},
    quota::QuotaRules,
    rollout::{RolloutOrder, RolloutPhase, RolloutRules, RolloutStep},
    routing::{RouteMatch, RoutingError, RoutingTable},
    share_rules::ShareRules,
    stream_versions::{RecentVersion, StreamVersion, VersionHistory},
    upstream::{Upstream, UpstreamPhase},
    usage::{AccountUsage, UsageLedger, UsageReport, UsageSlice},
    warm_up::WarmUpRules,
};
