//! Records whether other nodes are reachable: from this node's calls to them, from their calls, and from the
//! suspicions that they report.

use {
    super::{Members, PeerState},
    crate::limits::{
        MAX_PEER_SILENCE, MIN_OWNER_CUT_OFF, RECENT_CONTACT_WINDOW, SMALL_SYSTEM_NODES,
    },
    dragonflystep_dispatch::{MonotonicTime, NodeName},
    dragonflystep_peer::PeerError,
};

impl Members {
    /// Records that a node answered. Returns whether the answer shows that this node was cut off from a first
    /// owner.
    pub(crate) fn record_answer(&self, now: MonotonicTime, node: &str, is_leaving: bool) -> bool {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(node) else {
            return false;
        };
        let failed_since = peer.failed_since.take();
        peer.is_tried = true;
        peer.is_refusing = false;
        peer.is_leaving = is_leaving;
        drop(peers);
        self.suspicions.borrow_mut().record_contact(now, node);
        let Some(since) = failed_since else {
            return false;
        };
        log::info!(peer = node; "node is reachable again");
        let failed_for = now.saturating_sub(since);
        let was_cut_off = failed_for >= MIN_OWNER_CUT_OFF
            && self.preferred_owners().iter().any(|owner| **owner == *node);
        if was_cut_off {
            log::info!(peer = node, failed_for_ms = failed_for.as_millis() as u64; "this node was cut off from a first owner");
            self.forget_failures(now);
        }
        was_cut_off
    }

    /// Records that a call to a node failed.
    pub(crate) fn record_failure(&self, now: MonotonicTime, node: &str, error: &PeerError) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(node) {
            if peer.failed_since.is_none() {
                log::warn!(peer = node, reason:% = error; "node does not answer");
                peer.failed_since = Some(now);
            }
            peer.is_tried = true;
            peer.is_refusing = error.is_refused();
            peer.link.reset();
        }
    }

    /// Records that this node was paused, so that its suspicions are out of date.
    pub(crate) fn record_pause(&self, now: MonotonicTime) {
        self.suspicions.borrow_mut().reset(now);
    }

    /// Counts all nodes as reachable until they are tried again. Nodes that failed while this one was cut off may
    /// be well, and trying them one after the other may take longer than the cut.
    pub(crate) fn forget_failures(&self, now: MonotonicTime) {
        for peer in self.peers.borrow_mut().values_mut() {
            peer.failed_since = None;
        }
        self.suspicions.borrow_mut().reset(now);
    }

    /// Records whether a node reports that it is stopping.
    pub(crate) fn set_leaving(&self, node: &str, is_leaving: bool) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(node) {
            peer.is_leaving = is_leaving;
        }
    }

    /// Records whether a node that answered a call listed this one as unavailable.
    pub(crate) fn record_answered_list(&self, node: &str, unavailable: &[NodeName]) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(node) {
            peer.answers_unavailable = unavailable.contains(&self.own_record.node);
            if !peer.answers_unavailable {
                peer.calls_failing_since = None;
            }
        }
    }

    /// Records whether a node that called this one listed it as unavailable: its last call was not answered.
    pub(crate) fn record_called_list(
        &self,
        now: MonotonicTime,
        node: &str,
        unavailable: &[NodeName],
    ) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(node) {
            if unavailable.contains(&self.own_record.node) {
                peer.calls_failing_since.get_or_insert(now);
            } else {
                peer.answers_unavailable = false;
                peer.calls_failing_since = None;
            }
        }
    }

    /// Whether the last call to a node failed.
    pub(crate) fn has_failed(&self, node: &str) -> bool {
        let peers = self.peers.borrow();
        peers.get(node).is_some_and(PeerState::has_failed)
    }

    /// Nodes to which the last call failed.
    pub(crate) fn failed_nodes(&self) -> Vec<NodeName> {
        self.nodes_where(PeerState::has_failed)
    }

    /// Nodes to which the last call failed or that report that they are stopping.
    pub(crate) fn own_unavailable(&self) -> Vec<NodeName> {
        self.nodes_where(|peer| peer.has_failed() || peer.is_leaving)
    }

    /// The same for a call to a node. That node is listed only if the last call to it failed: it may receive calls whose
    /// answers do not arrive, and the others then use another owner.
    pub(crate) fn unavailable_for_call(&self, called: &NodeName) -> Vec<NodeName> {
        let mut nodes = self.own_unavailable();
        if !self.has_failed(called) {
            nodes.retain(|node| node != called);
        }
        nodes
    }

    fn nodes_where(&self, matches: impl Fn(&PeerState) -> bool) -> Vec<NodeName> {
        let peers = self.peers.borrow();
        let matching = peers.iter().filter(|(_, peer)| matches(peer));
        matching.map(|(node, _)| node.clone()).collect()
    }

    /// Records that a node called this one.
    pub(crate) fn record_contact(&self, now: MonotonicTime, node: &str) {
        self.suspicions.borrow_mut().record_contact(now, node);
    }

    /// Number of nodes that called this one or answered it within [`RECENT_CONTACT_WINDOW`], itself included.
    pub(crate) fn recent_contact_count(&self, now: MonotonicTime) -> usize {
        let suspicions = self.suspicions.borrow();
        suspicions.contacts_within(now, RECENT_CONTACT_WINDOW) + 1
    }

    /// Whether a preferred owner or half of the direct partners called this node or answered it lately.
    pub(crate) fn is_in_touch_with_partners(&self, now: MonotonicTime) -> bool {
        let suspicions = self.suspicions.borrow();
        let is_in_touch =
            |node: &&NodeName| suspicions.has_contact_within(now, node, MAX_PEER_SILENCE);
        let partners = self.direct_partners();
        let in_touch = partners.iter().filter(is_in_touch).count();
        let preferred_owners = self.preferred_owners();
        let reaches_owner = preferred_owners.iter().any(|owner| is_in_touch(&owner));
        reaches_owner || in_touch * 2 >= partners.len()
    }

    /// Records the suspicions of a calling node. They are accepted only while all nodes call this one.
    pub(crate) fn apply_caller_suspicions(
        &self,
        now: MonotonicTime,
        nodes: &[NodeName],
        is_called_by_all: bool,
    ) {
        let mut suspicions = self.suspicions.borrow_mut();
        suspicions.set_called_by_all(now, is_called_by_all);
        if is_called_by_all {
            suspicions.apply_caller_suspicions(now, &self.without_direct_partners(nodes));
        }
    }

    /// Applies the suspicions that an owner reports. They are not passed on, because they would then circulate
    /// without end.
    pub(crate) fn apply_owner_suspicions(
        &self,
        now: MonotonicTime,
        owner: &NodeName,
        nodes: &[NodeName],
    ) {
        let mut suspicions = self.suspicions.borrow_mut();
        suspicions.apply_owner_suspicions(now, owner, &self.without_direct_partners(nodes));
    }

    /// Removes this node and those that it checks itself, because others' suspicions of them are not accepted.
    ///
    /// This node's own observations take precedence. After a start of all nodes, some have called the owner before
    /// it was ready, and their suspicions would split the services between two owners.
    fn without_direct_partners(&self, nodes: &[NodeName]) -> Vec<NodeName> {
        // In a small system every node checks all others itself.
        if nodes.is_empty() || self.listed_count() <= SMALL_SYSTEM_NODES {
            return Vec::new();
        }
        let checked_directly = self.direct_partners();
        let is_checked =
            |node: &NodeName| *node == self.own_record.node || checked_directly.contains(node);
        let remaining = nodes.iter().filter(|node| !is_checked(node));
        remaining.cloned().collect()
    }

    /// Nodes to which the last call failed, that are stopping, or that callers suspect.
    pub(crate) fn all_unavailable(&self, now: MonotonicTime) -> Vec<NodeName> {
        let mut nodes = self.own_unavailable();
        nodes.extend(self.suspicions.borrow_mut().suspects(now));
        nodes.sort();
        nodes.dedup();
        nodes
    }
}
