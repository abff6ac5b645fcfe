//! Identifiers of services, accounts, nodes, upstreams and runs, and the clock that all decisions use.

use std::{sync::Arc, time::Duration};

/// Time since the start of the process, by a monotonic clock.
pub type MonotonicTime = Duration;

/// Name of a service: a set of upstreams that serve the same requests.
pub type ServiceName = Arc<str>;

/// Name of a client account, as it appears in the catalogue.
pub type AccountName = Arc<str>;

/// Name of a route, as it appears in the catalogue.
pub type RouteName = Arc<str>;

/// Identifies one start of an upstream; an upstream that restarts gets another id.
pub type UpstreamId = Arc<str>;

/// Version of the software that an upstream runs; empty if the upstream does not state one.
pub type UpstreamVersion = Arc<str>;

/// Name of a dragonflystep node.
pub type NodeName = Arc<str>;

/// Name of the data centre in which a node or an upstream runs.
pub type DataCentreName = Arc<str>;

/// Name of a region, a group of data centres that lie close together.
pub type RegionName = Arc<str>;

/// Priority of a request; 0 goes first. Combines the account's tier (high byte) with the route's tier (low byte).
pub type Tier = u16;

/// Identifies one dispatch of a request; unique among all nodes, since it contains the [`NodeIncarnation`].
pub type RunId = u64;

/// Identifies a segment of a prompt that several requests may share.
pub type PromptSegmentId = u64;

/// Hash of a request's account, path and content; recognizes a request that comes again under another id.
pub type RequestFingerprint = u64;

/// Identifies content that may crash upstreams: a hash of a prompt segment's id, or the fingerprint of a whole request.
pub type ContentKey = u64;

/// Identifies a stream over all tries of its caller: a hash of its account and of the request that began it.
pub type StreamId = u64;

/// Identifies one start of a node; part of the id of each run that the node begins.
pub type NodeIncarnation = u32;

/// Returns the incarnation of the node that began a run.
///
/// # Examples
/// ```
/// use dragonflystep_dispatch::{node_incarnation_of, run_id};
///
/// assert_eq!(node_incarnation_of(run_id(7, 12)), 7);
/// ```
pub fn node_incarnation_of(run: RunId) -> NodeIncarnation {
    (run >> 32) as NodeIncarnation
}

/// Builds the id of the run with the given number at one incarnation of a node.
pub fn run_id(incarnation: NodeIncarnation, number: u32) -> RunId {
    (RunId::from(incarnation) << 32) | RunId::from(number)
}
