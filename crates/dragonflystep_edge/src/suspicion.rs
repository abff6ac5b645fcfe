//! Decides which suspicions of unreachable nodes are accepted, as in gossip protocols with suspicion and
//! refutation.
//!
//! It is designed for the end of a network partition between hundreds of nodes. The nodes of each side suspect
//! those of the other and report it. If every node accepted all reports, the suspicions of both sides together
//! would leave no node visible. An owner therefore accepts a suspicion only if the suspect has not contacted it
//! either: all nodes call the preferred owners several times a second, and such a call refutes a suspicion of the
//! caller. The other nodes accept a suspicion if all the owners that they reach report it.

use {
    crate::limits::{
        MIN_SUSPECT_SILENCE, OWNER_FAILOVER_TIME, REFUTATIONS_AFTER_PARTITION, SUSPICION_DURATION,
    },
    dragonflystep_dispatch::{MonotonicTime, NodeName},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// The last report of an owner about nodes that take no requests.
#[derive(Debug)]
struct OwnerSuspicions {
    at: MonotonicTime,
    unavailable: HashSet<NodeName>,
}

/// The suspicions of other nodes that this node has accepted.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    /// Whether all nodes call this one.
    is_called_by_all: bool,
    /// Start of the period in which this node has been hearing from all running nodes: when they began to call it,
    /// or the end of a pause.
    observing_since: MonotonicTime,
    contacted_at: HashMap<NodeName, MonotonicTime>,
    /// Suspicions that callers reported and this node's own contacts did not refute, with the time at which they
    /// expire.
    suspected_until: HashMap<NodeName, MonotonicTime>,
    owner_suspicions: HashMap<NodeName, OwnerSuspicions>,
    /// Nodes that all owners report as unavailable.
    owner_suspects: HashSet<NodeName>,
    owner_suspects_until: MonotonicTime,
    /// Number of recently refuted suspicions, and the time from which they are counted.
    refutations: usize,
    refutations_since: MonotonicTime,
}

impl Suspicions {
    /// Records a contact with a node, which refutes the suspicions of it.
    pub(crate) fn record_contact(&mut self, now: MonotonicTime, node: &str) {
        if self.suspected_until.remove(node).is_some() {
            self.record_refutation(now);
        }
        match self.contacted_at.get_mut(node) {
            Some(at) => *at = now,
            None => {
                self.contacted_at.insert(node.into(), now);
            }
        }
    }

    /// Counts a refutation. Several within a short time mean that a network partition has healed, so the remaining
    /// suspicions, which date from before, are dropped.
    fn record_refutation(&mut self, now: MonotonicTime) {
        if now.saturating_sub(self.refutations_since) > SUSPICION_DURATION {
            self.refutations = 0;
            self.refutations_since = now;
        }
        self.refutations += 1;
        if self.refutations == REFUTATIONS_AFTER_PARTITION {
            self.reset(now + OWNER_FAILOVER_TIME);
        }
    }

    /// Drops all suspicions. Silence before `now`, which may lie in the future, no longer supports new ones.
    pub(crate) fn reset(&mut self, now: MonotonicTime) {
        self.observing_since = now;
        self.suspected_until.clear();
        self.owner_suspicions.clear();
        self.owner_suspects.clear();
    }

    /// Records whether all nodes call this one. When they begin to, silence counts only from
    /// [`OWNER_FAILOVER_TIME`] later, because running nodes that did not call this one before were silent as well.
    pub(crate) fn set_called_by_all(&mut self, now: MonotonicTime, is_called_by_all: bool) {
        if is_called_by_all && !self.is_called_by_all {
            self.reset(now + OWNER_FAILOVER_TIME);
        }
        self.is_called_by_all = is_called_by_all;
    }

    /// Applies a caller's suspicions. A suspicion is accepted only if this node has not heard from the suspect
    /// either.
    pub(crate) fn apply_caller_suspicions(&mut self, now: MonotonicTime, nodes: &[NodeName]) {
        for node in nodes {
            let contacted_at = self.contacted_at.get(node).copied().unwrap_or_default();
            let silent_for = now.saturating_sub(contacted_at.max(self.observing_since));
            if silent_for >= MIN_SUSPECT_SILENCE {
                let until = now + SUSPICION_DURATION;
                self.suspected_until.insert(node.clone(), until);
            }
        }
    }

    /// Applies the suspicions that an owner reports. A suspicion is accepted if all owners that contacted this
    /// node recently report it.
    ///
    /// After a network partition, the owners of both sides contact this node for a moment, and each is wrong about the
    /// other side.
    pub(crate) fn apply_owner_suspicions(
        &mut self,
        now: MonotonicTime,
        owner: &NodeName,
        nodes: &[NodeName],
    ) {
        let report = OwnerSuspicions {
            at: now,
            unavailable: nodes.iter().cloned().collect(),
        };
        self.owner_suspicions.insert(owner.clone(), report);
        self.owner_suspicions
            .retain(|_, report| now.saturating_sub(report.at) < SUSPICION_DURATION);
        let reports = || self.owner_suspicions.values();
        let is_reported_by_all =
            |node: &&NodeName| reports().all(|report| report.unavailable.contains(*node));
        self.owner_suspects = nodes.iter().filter(is_reported_by_all).cloned().collect();
        self.owner_suspects_until = now + SUSPICION_DURATION;
    }

    /// Whether an accepted suspicion of a node is in force.
    pub(crate) fn is_suspected(&self, now: MonotonicTime, node: &str) -> bool {
        let until = self.suspected_until.get(node);
        until.is_some_and(|until| now < *until)
            || now < self.owner_suspects_until && self.owner_suspects.contains(node)
    }

    /// Whether a node called this one or answered it within the last `window`.
    pub(crate) fn has_contact_within(
        &self,
        now: MonotonicTime,
        node: &str,
        window: Duration,
    ) -> bool {
        let contacted_at = self.contacted_at.get(node);
        contacted_at.is_some_and(|at| now.saturating_sub(*at) <= window)
    }

    /// Number of nodes that called this one or answered it within the last `window`.
    pub(crate) fn contacts_within(&self, now: MonotonicTime, window: Duration) -> usize {
        let contacted_at = self.contacted_at.values();
        contacted_at
            .filter(|at| now.saturating_sub(**at) <= window)
            .count()
    }

    /// Nodes that callers suspect, to be reported to the nodes that call this one.
    pub(crate) fn suspects(&mut self, now: MonotonicTime) -> Vec<NodeName> {
        self.suspected_until.retain(|_, until| now < *until);
        self.suspected_until.keys().cloned().collect()
    }

    /// Drops the contacts and suspicions of nodes that are no longer listed. The owners' reports expire by
    /// themselves.
    pub(crate) fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.contacted_at.retain(|node, _| is_listed(node));
        self.suspected_until.retain(|node, _| is_listed(node));
    }
}
