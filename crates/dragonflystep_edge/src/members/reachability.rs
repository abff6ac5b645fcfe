//! What this node learns of whether others are there: by its own calls, by theirs, and by what they say.

use {
    super::{Members, Other},
    crate::limits::{CUT_OFF_FROM_OWNER, HEARD_RECENTLY, SMALL_SYSTEM_NODES},
    dragonflystep_dispatch::{MonotonicTime, NodeName},
    dragonflystep_peer::PeerError,
};

impl Members {
    /// Notes that a node answered; says whether it shows that this node was cut off from a first owner.
    pub(crate) fn answered(&self, now: MonotonicTime, node: &str, is_leaving: bool) -> bool {
        let mut others = self.others.borrow_mut();
        let Some(other) = others.get_mut(node) else {
            return false;
        };
        let failed_since = other.failed_since.take();
        other.is_tried = true;
        other.is_down = false;
        other.is_leaving = is_leaving;
        drop(others);
        self.suspicions.borrow_mut().heard(now, node);
        let Some(since) = failed_since else {
            return false;
        };
        log::info!(peer = node; "node is reachable again");
        let failed_for = now.saturating_sub(since);
        let was_cut_off = failed_for >= CUT_OFF_FROM_OWNER
            && self.first_owners().iter().any(|owner| **owner == *node);
        if was_cut_off {
            log::info!(peer = node, failed_for_ms = failed_for.as_millis() as u64; "this node was cut off from a first owner");
            self.forget_failures(now);
        }
        was_cut_off
    }

    /// Notes that a node did not answer.
    pub(crate) fn failed(&self, now: MonotonicTime, node: &str, error: &PeerError) {
        if let Some(other) = self.others.borrow_mut().get_mut(node) {
            if other.failed_since.is_none() {
                log::warn!(peer = node, reason:% = error; "node does not answer");
                other.failed_since = Some(now);
            }
            other.is_tried = true;
            other.is_down = error.is_refused();
            other.link.reset();
        }
    }

    /// Notes that this node did not run for a while.
    pub(crate) fn resumed(&self, now: MonotonicTime) {
        self.suspicions.borrow_mut().reset(now);
    }

    /// Takes all nodes for reachable until they are tried again: those that failed while this node was cut off may be
    /// well, and trying them one after the other may take longer than the cut.
    pub(crate) fn forget_failures(&self, now: MonotonicTime) {
        for other in self.others.borrow_mut().values_mut() {
            other.failed_since = None;
        }
        self.suspicions.borrow_mut().reset(now);
    }

    /// Notes whether a node said that it is stopping.
    pub(crate) fn set_leaving(&self, node: &str, is_leaving: bool) {
        if let Some(other) = self.others.borrow_mut().get_mut(node) {
            other.is_leaving = is_leaving;
        }
    }

    /// Notes whether a node counts this one as unavailable.
    pub(crate) fn set_misses_us(&self, node: &str, unavailable: &[NodeName]) {
        if let Some(other) = self.others.borrow_mut().get_mut(node) {
            other.misses_us = unavailable.contains(&self.own.node);
        }
    }

    /// Whether a node did not answer this one when it was called last.
    pub(crate) fn has_failed(&self, node: &str) -> bool {
        let others = self.others.borrow();
        others.get(node).is_some_and(Other::has_failed)
    }

    /// Nodes that do not answer this one.
    pub(crate) fn failed_nodes(&self) -> Vec<NodeName> {
        self.nodes_where(Other::has_failed)
    }

    /// Nodes that do not answer this one, or told it that they are stopping.
    pub(crate) fn own_unavailable(&self) -> Vec<NodeName> {
        self.nodes_where(|other| other.has_failed() || other.is_leaving)
    }

    fn nodes_where(&self, is_meant: impl Fn(&Other) -> bool) -> Vec<NodeName> {
        let others = self.others.borrow();
        let meant = others.iter().filter(|(_, other)| is_meant(other));
        meant.map(|(node, _)| node.clone()).collect()
    }

    /// Notes that a node called.
    pub(crate) fn heard(&self, now: MonotonicTime, node: &str) {
        self.suspicions.borrow_mut().heard(now, node);
    }

    /// Nodes that called this one lately, or answered it, itself included.
    pub(crate) fn recently_heard_count(&self, now: MonotonicTime) -> usize {
        let suspicions = self.suspicions.borrow();
        suspicions.heard_within(now, HEARD_RECENTLY) + 1
    }

    /// Records which nodes do not answer a calling node; counts where all nodes call this one.
    pub(crate) fn accused(&self, now: MonotonicTime, nodes: &[NodeName], is_called_by_all: bool) {
        let mut suspicions = self.suspicions.borrow_mut();
        suspicions.set_called_by_all(now, is_called_by_all);
        if is_called_by_all {
            suspicions.accused(now, &self.unconfirmed(nodes));
        }
    }

    /// Applies an owner's suspicions; not passed on, so that it does not go on circulating.
    pub(crate) fn suspected_by_owner(
        &self,
        now: MonotonicTime,
        owner: &NodeName,
        nodes: &[NodeName],
    ) {
        let mut suspicions = self.suspicions.borrow_mut();
        suspicions.suspected_by_owner(now, owner, &self.unconfirmed(nodes));
    }

    /// Those of some nodes of which this one accepts others' suspicions.
    ///
    /// What this node sees itself goes before what others say: after a start of all nodes some have called the owner
    /// too early, and their word would split the services between two owners.
    fn unconfirmed(&self, nodes: &[NodeName]) -> Vec<NodeName> {
        // With few nodes each one tries all others itself.
        if nodes.is_empty() || self.listed_count() <= SMALL_SYSTEM_NODES {
            return Vec::new();
        }
        let seen_directly = self.direct_partners();
        let unconfirmed = nodes.iter().filter(|node| !seen_directly.contains(node));
        unconfirmed.cloned().collect()
    }

    /// Nodes that do not answer this one, or are suspected by its callers.
    pub(crate) fn all_unavailable(&self, now: MonotonicTime) -> Vec<NodeName> {
        let mut nodes = self.own_unavailable();
        nodes.extend(self.suspicions.borrow_mut().suspects(now));
        nodes.sort();
        nodes.dedup();
        nodes
    }
}
