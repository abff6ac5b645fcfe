//! Decisions on requests, apart from all I/O: which route and account a request belongs to, which node
//! owns a service, and how work waits, is refused and is placed.
//!
//! The owner of a service drives one [`Dispatcher`]: it takes [`Event`]s with the time at which they
//! happened and returns [`Effect`]s. The same code runs in a node, in the tests and in replays of a load.

mod ask;
mod cached_parts;
mod catalogue;
mod crash_suspects;
mod dispatcher;
mod ids;
mod limits;
mod notices;
mod ownership;
mod pacer;
mod placement;
mod pool;
mod queue;
mod quota;
mod refusal;
mod refused_requests;
mod retry_budget;
mod rollout;
mod routing;
mod speed;
mod spending;
mod upstream;
mod wanted_rest;

pub use self::{
    ask::{
        Ask, Ended, Grant, PromptPart, Refusal, RefusalReason, RunOutcome, RunningRun,
        UpstreamLoad, Verdict, WorkSize,
    },
    catalogue::{
        Account, AccountQuota, Catalogue, ClientLimits, Engine, QuotaUnit, Route, RouteKind,
        Service, Target,
    },
    dispatcher::{Dispatcher, Effect, Event, SharedLimits},
    ids::{
        AccountName, DataCentreName, MonotonicTime, NodeName, NodeStart, PartId,
        RequestFingerprint, RouteName, RunId, ServiceName, Tier, UpstreamId, UpstreamVersion,
        node_start_of, run_id,
    },
    notices::{NoticeKind, UpstreamNotice},
    ownership::{Member, Reach, member_share, rank_owners},
    pool::{PoolSummary, UpstreamSummary},
    quota::QuotaRules,
    rollout::{RolloutOrder, RolloutPhase, RolloutRules, RolloutStep},
    routing::{RouteMatch, RoutingError, RoutingTable},
    spending::{AccountSpending, SpendingLedger, SpendingReport, SpentSlice},
    upstream::{Upstream, UpstreamPhase},
};
