//! Names and numbers that identify things, and the clock of the decisions.

use std::{sync::Arc, time::Duration};

/// Time since the process started, by a monotonic clock.
pub type MonotonicTime = Duration;

/// Name of a service: a set of upstreams that serve the same requests.
pub type ServiceName = Arc<str>;

/// Name of a client account.
pub type AccountName = Arc<str>;

/// Name of a route.
pub type RouteName = Arc<str>;

/// Identifies one start of an upstream.
pub type UpstreamId = Arc<str>;

/// Version of the software that an upstream runs; empty if it does not say.
pub type UpstreamVersion = Arc<str>;

/// Name of a node of the system.
pub type NodeName = Arc<str>;

/// Name of a data centre.
pub type DataCentreName = Arc<str>;

/// Rank of a request among all; 0 goes first. Made of the account's rank, then the route's.
pub type Tier = u16;

/// Identifies one dispatch of a request; unique among the nodes that run.
pub type RunId = u64;

/// Identifies a part of a prompt that several requests may share.
pub type PromptSegmentId = u64;

/// Digest of a request's account, path and content.
pub type RequestFingerprint = u64;

/// A start of a node, which each of its runs names.
pub type NodeIncarnation = u32;

/// The start of the node that began a run.
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

/// The id of a run by its number at a start of a node.
pub fn run_id(start: NodeIncarnation, number: u32) -> RunId {
    (RunId::from(start) << 32) | RunId::from(number)
}
