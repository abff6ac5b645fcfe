//! Of whom a node hears: the platform, other nodes, nobody; what it reports of that to its owner's side; and whether it
//! follows the platform itself.
//!
//! The loads it answers: hundreds of nodes of which each would ask the platform for each change; a platform that refuses
//! most nodes and serves the others; nodes that are cut off from all others.

use {
    super::Node,
    crate::limits::{
        FOLLOWERS_KEY, HEARD_RECENTLY, OWNERS_KEY, PEERS_SILENT, PLATFORM_FOLLOWERS,
        PLATFORM_UNHEARD, PLATFORM_UP, PREFERRED_OWNERS, SHORTEST_HEARING, SMALL_SYSTEM_NODES,
        UNHEARD_FOLLOWERS_FACTOR,
    },
    dragonflystep_dispatch::{MonotonicTime, NodeName, Visibility},
    std::time::Duration,
};

impl Node {
    /// Whether this node follows the platform's documents itself.
    ///
    /// In a large system a few nodes and the owners of services do; the others hear what is new when
    /// they exchange views with the owners, which saves a call a node for each change. Who has not heard
    /// another node for a while follows the documents too.
    pub fn follows_platform(&self) -> bool {
        let is_small = self.members.listed_count() <= SMALL_SYSTEM_NODES;
        if is_small || !self.is_ready() || self.is_cut_off() {
            return true;
        }
        // Followers are ranked by name and size, and the platform may refuse all of them while it serves others; then
        // nobody would hear which upstreams leave.
        let followers = if self.platform_silence() > PLATFORM_UNHEARD {
            PLATFORM_FOLLOWERS * UNHEARD_FOLLOWERS_FACTOR
        } else {
            PLATFORM_FOLLOWERS
        };
        self.is_among_first(FOLLOWERS_KEY, followers) || self.is_preferred_owner()
    }

    /// Whether other nodes hear from this one whether the platform answers: in a large system, where few follow it,
    /// the preferred owners, with which all exchange views.
    pub fn tells_platform_heard(&self) -> bool {
        self.members.listed_count() > SMALL_SYSTEM_NODES && self.is_preferred_owner()
    }

    /// Nodes that own the services if all are there, with which each node of a large system exchanges views.
    pub fn first_owners(&self) -> Vec<NodeName> {
        self.members.first_owners()
    }

    fn is_preferred_owner(&self) -> bool {
        self.is_among_first(OWNERS_KEY, PREFERRED_OWNERS)
    }

    fn is_among_first(&self, key: &'static str, count: usize) -> bool {
        let first = self.ranked(key, count);
        first.contains(&self.settings.node)
    }

    /// Whether all nodes call this one, as far as it sees: the first owners, and who owns the services now.
    pub(crate) fn is_called_by_all(&self) -> bool {
        self.is_owner_for_all(&self.settings.node)
    }

    /// Whether all nodes call another one, as far as this one sees.
    pub(crate) fn is_owner_for_all(&self, node: &NodeName) -> bool {
        self.members.first_owners().contains(node) || self.ranked_owners(1).contains(node)
    }

    /// Time since the platform answered this node, or one that reported it.
    pub(crate) fn platform_silence(&self) -> Duration {
        self.owner
            .now()
            .saturating_sub(self.platform_heard_at.get())
    }

    /// Notes that the platform answered somebody at a time.
    pub(crate) fn note_platform_heard(&self, at: MonotonicTime) {
        let before = self.platform_heard_at.get();
        if at.saturating_sub(before) > PLATFORM_UNHEARD {
            self.platform_up_since.set(at);
        }
        self.platform_heard_at.set(before.max(at));
    }

    /// Notes that another node, which hears the platform now, has heard it without a longer gap since a time.
    pub(crate) fn note_platform_up(&self, since: MonotonicTime) {
        let known = self.platform_up_since.get();
        self.platform_up_since.set(known.min(since));
    }

    /// Time for which the platform has been answering somebody without a longer gap, as far as this node heard.
    pub(crate) fn platform_up_for(&self) -> Duration {
        self.owner
            .now()
            .saturating_sub(self.platform_up_since.get())
    }

    /// Whether the platform was there for others all the while, though it may not have answered this node.
    ///
    /// What is missing there then was removed; it did not lapse because nobody could write it.
    pub fn was_platform_up(&self) -> bool {
        self.platform_silence() <= PLATFORM_UNHEARD && self.platform_up_for() >= PLATFORM_UP
    }

    /// Counts a call to the platform by its outcome; `has_answered` says whether the platform did what was asked.
    pub fn note_platform_call(&self, outcome: &'static str, has_answered: bool) {
        self.metrics.count("platform_calls_total", outcome);
        if has_answered {
            self.platform_answered_at.set(self.owner.now());
            self.note_platform_heard(self.owner.now());
        }
    }

    /// Whether no other node has answered this one for a while.
    pub fn is_cut_off(&self) -> bool {
        let silent_for = self.owner.now().saturating_sub(self.exchanged_at.get());
        self.members.listed_count() > 1 && silent_for > PEERS_SILENT
    }

    /// Whether neither another node nor the platform has answered for a while, so that nobody can tell this node which
    /// upstreams leave.
    pub(crate) fn is_isolated(&self) -> bool {
        let silent_for = self
            .owner
            .now()
            .saturating_sub(self.platform_answered_at.get());
        silent_for > PEERS_SILENT && self.is_cut_off()
    }

    /// Tells the owner's side how many of the nodes are seen.
    pub(crate) fn update_reach(&self) {
        self.update_heard();
        let known = self.members.known_count();
        // Nodes that were not tried count as seen. Where none of those that were tried answers, the others are no
        // more to be seen: nodes that are each cut off by themselves would count themselves to the majority, and each
        // give out whole quotas.
        let sees_others = self.members.has_discovered_peers() && !self.is_cut_off();
        let visible = if sees_others {
            self.members.mutual_count(self.owner.now())
        } else {
            1
        };
        if let Some(before) = self.owner.set_visibility(Visibility { visible, known }) {
            let change = if visible < before.visible {
                "fewer"
            } else {
                "more"
            };
            self.metrics.count("reach_changes_total", change);
        }
    }

    /// Tells the owner's side how many of the nodes were heard lately. What this node sees may be of the time before a cut;
    /// what it hears is of now.
    pub(crate) fn update_heard(&self) {
        let now = self.owner.now();
        let known = self.members.known_count();
        let heard = self.members.recently_heard_count(now);
        // A node that has just started has heard a part of those that would call it within that time.
        let share_of_time = now.as_secs_f64() / HEARD_RECENTLY.as_secs_f64();
        let expected = heard as f64 / share_of_time.clamp(SHORTEST_HEARING, 1.0);
        let visible = (expected as usize).min(known);
        self.owner.set_heard(Visibility { visible, known });
    }
}
