//! Takeover of a group: bounds the streams that earlier holders may have left running on its upstreams.
//!
//! A new broker grants nothing until the grants of older epochs have expired, and then only capacity that is
//! certainly free. Streams that no node reports are bounded by a load report that the upstream sampled after that
//! time, since the number of streams of older epochs can only fall from then on. Such a report is needed even when
//! every node has listed its grants: a node does not list a stream that it gave up, but the upstream may still run it.
//!
//! A service may publish no load at all. Then only time gives certainty: a stream that was left behind counts as over
//! once its caller's longest deadline has passed, since its answer is useless after that. An upstream that
//! never reported counts as free of such streams after [`LONGEST_LEFT_BEHIND`], and a slot on it that no node
//! reports is removed after the same time; otherwise one lost node would block its capacity forever. An
//! upstream that has ever reported is bounded by its reports alone.

use {
    crate::ids::{Epoch, NodeId},
    std::{collections::BTreeSet, time::Duration},
};

/// How much later than a stream's last change of state a load report must be sampled to count for that stream.
/// Allows for requests that were in transit.
pub const REPORT_MARGIN: Duration = Duration::from_millis(250);

/// How long a stream that no node reports may run on an upstream that never reported its load.
pub const LONGEST_LEFT_BEHIND: Duration = Duration::from_secs(60);

/// How long a takeover may last, after the old grants have expired, before a warning is logged.
const WARN_AFTER: Duration = Duration::from_secs(10);

/// Progress of a group's takeover.
#[derive(Debug)]
pub struct Takeover {
    expires_at: Duration,
    waiting_on: BTreeSet<NodeId>,
    needed: bool,
    done: bool,
    warned: bool,
}

impl Takeover {
    /// A takeover that is already done, for a group that had no holder before.
    pub fn not_needed() -> Self {
        Self {
            expires_at: Duration::ZERO,
            waiting_on: BTreeSet::new(),
            needed: false,
            done: true,
            warned: false,
        }
    }

    /// Starts the takeover for an epoch. Grants of older epochs expire at `expires_at`, and `nodes` have to list their
    /// grants. The first epoch needs no takeover.
    pub fn for_epoch(epoch: Epoch, expires_at: Duration, nodes: BTreeSet<NodeId>) -> Self {
        if epoch <= 1 {
            return Self::not_needed();
        }
        Self {
            expires_at,
            waiting_on: nodes,
            needed: true,
            done: false,
            warned: false,
        }
    }

    /// Whether entry nodes may still start requests under grants of older epochs.
    pub fn old_grants_live(&self, now: Duration) -> bool {
        now < self.expires_at
    }

    /// Earliest sample time of a load report that bounds the streams of older epochs.
    pub fn reports_bound_from(&self) -> Duration {
        self.expires_at + REPORT_MARGIN
    }

    /// When the grants of older epochs expire.
    pub fn expires_at(&self) -> Duration {
        self.expires_at
    }

    /// Records that a node has listed its grants. Returns whether the takeover was waiting for it.
    pub fn node_reported(&mut self, node: &NodeId) -> bool {
        self.waiting_on.remove(node)
    }

    /// Stops waiting for a node that is gone.
    pub fn node_gone(&mut self, node: &NodeId) {
        self.waiting_on.remove(node);
    }

    /// Waits for a node that joined, since it may hold grants.
    pub fn node_joined(&mut self, node: &NodeId) {
        if !self.done {
            self.waiting_on.insert(node.clone());
        }
    }

    /// Nodes that have not listed their grants yet.
    pub fn waiting_on(&self) -> impl Iterator<Item = &NodeId> {
        self.waiting_on.iter()
    }

    /// Ends the takeover; every stream that may run has a slot.
    pub fn finish(&mut self) {
        self.done = true;
        self.waiting_on.clear();
    }

    /// Maximum number of streams without a slot on an upstream that is added now; `None` if unknown.
    pub fn untracked_on_new_upstream(&self) -> Option<u32> {
        (!self.needed).then_some(0)
    }

    /// Whether the takeover has lasted so long that a warning is due; true at most once.
    pub fn warning_due(&mut self, now: Duration) -> bool {
        if self.warned || now < self.expires_at + WARN_AFTER {
            return false;
        }
        self.warned = true;
        true
    }

    /// Whether the takeover has ended or was not needed.
    pub fn is_done(&self) -> bool {
        self.done
    }
}
