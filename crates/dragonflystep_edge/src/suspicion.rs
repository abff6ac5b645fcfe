//! Which suspicions of nodes that do not answer are accepted, as in gossip membership with suspicion and refutation.
//!
//! The load it answers: a cut between hundreds of nodes ends. Each side suspects the other and says so; believed as
//! it comes, the suspicions of both sides together leave nobody. So a suspicion counts only where the suspect itself is silent:
//! all nodes call the first owners several times a second, and such a call refutes whatever others say of the caller. All
//! others believe what the owners that they reach say alike.

use {
    crate::limits::{NEW_OWNER_CALLED, REFUTED_BY_A_HEAL, SUSPECT_SILENCE, SUSPICION_HOLDS},
    dragonflystep_dispatch::{MonotonicTime, NodeName},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// What an owner of services said last of nodes that take no requests.
#[derive(Debug)]
struct OwnerSuspicions {
    at: MonotonicTime,
    unavailable: HashSet<NodeName>,
}

/// Nodes that others suspect, as far as this one accepts it.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    /// Whether all nodes call this one.
    is_called_by_all: bool,
    /// Since when it hears all that run: since they call it, or the end of a pause.
    listens_since: MonotonicTime,
    heard_at: HashMap<NodeName, MonotonicTime>,
    /// By what callers say, weighed against what this node heard itself.
    suspected_until: HashMap<NodeName, MonotonicTime>,
    owner_suspicions: HashMap<NodeName, OwnerSuspicions>,
    /// Nodes of which all owners say the same.
    agreed: HashSet<NodeName>,
    agreed_until: MonotonicTime,
    /// Suspicions that were refuted lately, and since when they are counted.
    refuted: usize,
    refuted_since: MonotonicTime,
}

impl Suspicions {
    /// Notes that a node called this one, which refutes what others say of it.
    pub(crate) fn heard(&mut self, now: MonotonicTime, node: &str) {
        if self.suspected_until.remove(node).is_some() {
            self.refuted(now);
        }
        match self.heard_at.get_mut(node) {
            Some(at) => *at = now,
            None => {
                self.heard_at.insert(node.into(), now);
            }
        }
    }

    /// Where several suspects are heard again, a cut has ended, and what is still believed of others is of its time.
    fn refuted(&mut self, now: MonotonicTime) {
        if now.saturating_sub(self.refuted_since) > SUSPICION_HOLDS {
            self.refuted = 0;
            self.refuted_since = now;
        }
        self.refuted += 1;
        if self.refuted == REFUTED_BY_A_HEAL {
            self.reset(now + NEW_OWNER_CALLED);
        }
    }

    /// Forgets what was believed of others: this node did not run for a while, or was cut off.
    pub(crate) fn reset(&mut self, now: MonotonicTime) {
        self.listens_since = now;
        self.suspected_until.clear();
        self.owner_suspicions.clear();
        self.agreed.clear();
    }

    /// Notes whether all nodes call this one; who was not called before knows nothing of those that are silent.
    pub(crate) fn set_called_by_all(&mut self, now: MonotonicTime, is_called_by_all: bool) {
        if is_called_by_all && !self.is_called_by_all {
            self.reset(now + NEW_OWNER_CALLED);
        }
        self.is_called_by_all = is_called_by_all;
    }

    /// Records which nodes do not answer a caller; counts where this node hears nothing of them either.
    pub(crate) fn accused(&mut self, now: MonotonicTime, nodes: &[NodeName]) {
        for node in nodes {
            let heard_at = self.heard_at.get(node).copied().unwrap_or_default();
            let silent_for = now.saturating_sub(heard_at.max(self.listens_since));
            if silent_for >= SUSPECT_SILENCE {
                let until = now + SUSPICION_HOLDS;
                self.suspected_until.insert(node.clone(), until);
            }
        }
    }

    /// Applies an owner's suspicions; counts where all owners that were heard lately say so.
    ///
    /// After a cut the owners of both sides are heard for a moment, and each is wrong of the other side.
    pub(crate) fn suspected_by_owner(
        &mut self,
        now: MonotonicTime,
        owner: &NodeName,
        nodes: &[NodeName],
    ) {
        let word = OwnerSuspicions {
            at: now,
            unavailable: nodes.iter().cloned().collect(),
        };
        self.owner_suspicions.insert(owner.clone(), word);
        self.owner_suspicions
            .retain(|_, word| now.saturating_sub(word.at) < SUSPICION_HOLDS);
        let words = || self.owner_suspicions.values();
        let all_say = |node: &&NodeName| words().all(|word| word.unavailable.contains(*node));
        self.agreed = nodes.iter().filter(all_say).cloned().collect();
        self.agreed_until = now + SUSPICION_HOLDS;
    }

    /// Whether a node is suspected.
    pub(crate) fn is_suspected(&self, now: MonotonicTime, node: &str) -> bool {
        let until = self.suspected_until.get(node);
        until.is_some_and(|until| now < *until)
            || now < self.agreed_until && self.agreed.contains(node)
    }

    /// Nodes that called this one, or answered it, within a time.
    pub(crate) fn heard_within(&self, now: MonotonicTime, time: Duration) -> usize {
        let heard_at = self.heard_at.values();
        heard_at
            .filter(|at| now.saturating_sub(**at) <= time)
            .count()
    }

    /// Suspects by what callers say, for those who ask.
    pub(crate) fn suspects(&mut self, now: MonotonicTime) -> Vec<NodeName> {
        self.suspected_until.retain(|_, until| now < *until);
        self.suspected_until.keys().cloned().collect()
    }

    /// Forgets nodes that are no longer listed.
    pub(crate) fn keep_only(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.heard_at.retain(|node, _| is_listed(node));
        self.suspected_until.retain(|node, _| is_listed(node));
    }
}
