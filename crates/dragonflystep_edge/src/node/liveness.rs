//! Tracks whether the platform and other nodes answer, reports the visible nodes to the dispatcher, and decides
//! whether this node follows the platform's documents itself.
//!
//! It is designed for three situations: hundreds of nodes, each of which would otherwise ask the platform for every
//! change; a platform that refuses most nodes but serves the others; and nodes that are cut off from all others.

use {
    super::Node,
    crate::limits::{
        EXTRA_FOLLOWERS_FACTOR, FOLLOWERS_KEY, MAX_PEER_SILENCE, MAX_PLATFORM_SILENCE,
        MIN_CONTACT_WINDOW_SHARE, MIN_PLATFORM_UPTIME, OWNERS_KEY, PLATFORM_FOLLOWERS,
        PREFERRED_OWNERS, RECENT_CONTACT_WINDOW, SMALL_SYSTEM_NODES,
    },
    dragonflystep_dispatch::{MonotonicTime, NodeName, Visibility},
    std::time::Duration,
};

impl Node {
    /// Whether this node follows the platform's documents itself.
    ///
    /// In a large system only a few nodes and the preferred owners do so. The others learn of changes in their
    /// gossip exchanges with the owners, which saves one platform call per node and change. A node that has not
    /// heard from another node for a while follows the documents too.
    pub fn follows_platform(&self) -> bool {
        self.is_cut_off_from_peers() || !self.leaves_platform_to_others()
    }

    /// Whether this node leaves following the platform's documents to other nodes, as far as the list of nodes decides:
    /// the system is large, and this node is neither one of the followers nor a preferred owner.
    pub fn leaves_platform_to_others(&self) -> bool {
        if self.members.listed_count() <= SMALL_SYSTEM_NODES {
            return false;
        }
        // The followers are the same nodes for as long as they are visible, because names and CPU shares decide the
        // ranking. The platform may refuse all of them while it serves other nodes. Without more followers, no node
        // would then learn which upstreams leave.
        let followers = if self.platform_silence() > MAX_PLATFORM_SILENCE {
            PLATFORM_FOLLOWERS * EXTRA_FOLLOWERS_FACTOR
        } else {
            PLATFORM_FOLLOWERS
        };
        !self.is_among_first(FOLLOWERS_KEY, followers) && !self.is_preferred_owner()
    }

    /// Whether other nodes learn from this one whether the platform answers. In a large system, where few nodes
    /// follow the platform, the preferred owners report it, because all nodes exchange digests with them.
    pub fn reports_platform_silence(&self) -> bool {
        self.members.listed_count() > SMALL_SYSTEM_NODES && self.is_preferred_owner()
    }

    /// The owners when no node has failed. Each node of a large system exchanges digests with them.
    pub fn preferred_owners(&self) -> Vec<NodeName> {
        self.members.preferred_owners()
    }

    fn is_preferred_owner(&self) -> bool {
        self.is_among_first(OWNERS_KEY, PREFERRED_OWNERS)
    }

    fn is_among_first(&self, key: &'static str, count: usize) -> bool {
        let first = self.ranked(key, count);
        first.contains(&self.settings.node)
    }

    /// Whether all nodes call this one, as far as it knows: it is a preferred owner or the current owner.
    pub(crate) fn is_called_by_all(&self) -> bool {
        self.is_preferred_or_current_owner(&self.settings.node)
    }

    /// Whether all nodes call the given one, as far as this node knows: it is a preferred owner or the current owner.
    pub(crate) fn is_preferred_or_current_owner(&self, node: &NodeName) -> bool {
        self.members.preferred_owners().contains(node) || self.ranked_owners(1).contains(node)
    }

    /// Whether this node owns all services, as far as it knows.
    pub(crate) fn is_current_owner(&self) -> bool {
        self.ranked_owners(1).contains(&self.settings.node)
    }

    /// Whether this node learns of changes of the registry: the platform has answered it or a node that it hears from lately, or
    /// no node is out of its sight that the platform may have answered.
    fn is_registry_fresh(&self) -> bool {
        let visibility = self.owner.visibility();
        visibility.visible >= visibility.known || self.platform_silence() <= MAX_PLATFORM_SILENCE
    }

    /// Time since the platform last answered this node, or another one that reported it.
    pub(crate) fn platform_silence(&self) -> Duration {
        self.owner
            .now()
            .saturating_sub(self.platform_heard_at.get())
    }

    /// Records that the platform answered some node at `at`.
    pub(crate) fn record_platform_answer(&self, at: MonotonicTime) {
        let before = self.platform_heard_at.get();
        if at.saturating_sub(before) > MAX_PLATFORM_SILENCE {
            self.platform_up_since.set(at);
        }
        self.platform_heard_at.set(before.max(at));
    }

    /// Records that, according to another node that currently hears from the platform, the platform has been
    /// answering without a gap since `since`.
    pub(crate) fn record_platform_uptime(&self, since: MonotonicTime) {
        let known = self.platform_up_since.get();
        self.platform_up_since.set(known.min(since));
    }

    /// Time for which the platform has been answering some node without a gap above [`MAX_PLATFORM_SILENCE`], as far as
    /// this node has learned.
    pub(crate) fn platform_up_for(&self) -> Duration {
        self.owner
            .now()
            .saturating_sub(self.platform_up_since.get())
    }

    /// Whether the platform was available to other nodes all the time, even if it did not answer this one.
    ///
    /// If so, an entry that is missing there was removed on purpose. Otherwise it may have expired because nobody
    /// could renew it.
    pub fn was_platform_up(&self) -> bool {
        self.platform_silence() <= MAX_PLATFORM_SILENCE
            && self.platform_up_for() >= MIN_PLATFORM_UPTIME
    }

    /// Counts a call to the platform by its outcome. `has_answered` says whether the platform did what was asked.
    pub fn record_platform_call(&self, outcome: &'static str, has_answered: bool) {
        self.metrics.count("platform_calls_total", outcome);
        if has_answered {
            self.platform_answered_at.set(self.owner.now());
            self.record_platform_answer(self.owner.now());
        }
    }

    /// Whether no other node has answered this one for `MAX_PEER_SILENCE`; false if no other node is listed.
    pub fn is_cut_off_from_peers(&self) -> bool {
        let silent_for = self.owner.now().saturating_sub(self.peer_answered_at.get());
        self.members.listed_count() > 1 && silent_for > MAX_PEER_SILENCE
    }

    /// Whether this node reaches no upstream directly although other nodes do.
    pub fn is_cut_off_from_upstreams(&self) -> bool {
        self.upstream_paths.borrow().is_cut_off()
    }

    /// Whether neither another node nor the platform has answered for [`MAX_PEER_SILENCE`], so that this node can't
    /// learn which upstreams leave.
    pub(crate) fn is_isolated(&self) -> bool {
        let silent_for = self
            .owner
            .now()
            .saturating_sub(self.platform_answered_at.get());
        silent_for > MAX_PEER_SILENCE && self.is_cut_off_from_peers()
    }

    /// Reports to the dispatcher how many nodes are visible.
    pub(crate) fn update_visibility(&self) {
        self.update_recent_contacts();
        // Nodes that have not been tried count as visible, unless none of those that were tried answers. Otherwise
        // nodes that are each cut off from all others would each count themselves to the majority and grant whole
        // quotas.
        let now = self.owner.now();
        let sees_others = self.members.has_discovered_peers() && !self.is_cut_off_from_peers();
        let is_reconnecting =
            self.is_reconnecting.get() && !self.members.is_in_touch_with_partners(now);
        self.is_reconnecting.set(!sees_others || is_reconnecting);
        let visible = match (sees_others, is_reconnecting) {
            (false, _) => 1,
            // Another node answers again, but it may have been cut off together with this one.
            (true, true) => self.members.recent_contact_count(now),
            (true, false) => self.members.mutually_visible_count(now),
        };
        let visibility = Visibility {
            visible,
            known: self.members.listed_count(),
            refusing: self.members.refusing_count(),
        };
        if let Some(before) = self.owner.set_visibility(visibility) {
            let change = if visible < before.visible {
                "fewer"
            } else {
                "more"
            };
            self.metrics.count("reach_changes_total", change);
        }
        self.owner.set_registry_fresh(self.is_registry_fresh());
        self.update_stream_keepers();
    }

    /// Reports to the dispatcher how many nodes have contacted this one recently. Visibility may still date from
    /// before a network partition; recent contacts do not.
    pub(crate) fn update_recent_contacts(&self) {
        let now = self.owner.now();
        let known = self.members.listed_count();
        let contacts = self.members.recent_contact_count(now);
        // A node that has just started has heard from only a part of the nodes that call within the full window, so
        // the count is scaled up.
        let share_of_time = now.as_secs_f64() / RECENT_CONTACT_WINDOW.as_secs_f64();
        let expected = contacts as f64 / share_of_time.clamp(MIN_CONTACT_WINDOW_SHARE, 1.0);
        let visible = (expected as usize).min(known);
        self.owner.set_recent_contacts(Visibility {
            visible,
            known,
            refusing: self.members.refusing_count().min(known - visible),
        });
    }
}
