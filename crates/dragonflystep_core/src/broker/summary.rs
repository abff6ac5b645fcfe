//! Receivers of a group's summaries: a bounded number per round in rotation, and nodes that asked recently.

use {
    crate::ids::NodeId,
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Bound,
        time::Duration,
    },
};

/// Number of receivers per round that are taken in rotation from all members.
const ROTATING_RECEIVERS: usize = 2;
/// Maximum number of receivers that are chosen because they asked recently.
const MAX_RECENT_RECEIVERS: usize = 8;
/// How long after its last ask a node counts as having asked recently.
const RECENT_WINDOW: Duration = Duration::from_secs(2);
/// Minimum time between two summaries that are sent because free slots came or went.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Chooses the receivers of one group's summaries.
#[derive(Debug, Default)]
pub struct SummaryReceivers {
    asked_at: BTreeMap<NodeId, Duration>,
    cursor: Option<NodeId>,
    had_free_slots: Option<bool>,
    announced_at: Option<Duration>,
}

impl SummaryReceivers {
    /// Records that a node sent an ask.
    pub fn record_ask(&mut self, node: &NodeId, now: Duration) {
        match self.asked_at.get_mut(node) {
            Some(asked_at) => *asked_at = now,
            None => {
                self.asked_at.insert(node.clone(), now);
            }
        }
    }

    /// Nodes that asked recently, at most a fixed number.
    pub fn recent_nodes(&mut self, now: Duration) -> BTreeSet<NodeId> {
        self.asked_at
            .retain(|_, asked_at| now < asked_at.saturating_add(RECENT_WINDOW));
        self.asked_at
            .keys()
            .take(MAX_RECENT_RECEIVERS)
            .cloned()
            .collect()
    }

    /// Receivers of a round's summary: the nodes that asked recently, and the next members in rotation.
    pub fn round_receivers<T>(
        &mut self,
        members: &BTreeMap<NodeId, T>,
        now: Duration,
    ) -> BTreeSet<NodeId> {
        let mut receivers = self.recent_nodes(now);
        let after = self.cursor.take();
        let from = after.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let rest = members.range::<NodeId, _>((from, Bound::Unbounded));
        let next: Vec<&NodeId> = rest
            .map(|(node, _)| node)
            .chain(members.keys())
            .take(ROTATING_RECEIVERS.min(members.len()))
            .collect();
        self.cursor = next.last().map(|node| (*node).clone());
        receivers.extend(next.into_iter().cloned());
        receivers
    }

    /// Records whether the group has free slots. Returns whether that changed and a summary should be sent now.
    pub fn free_slots_changed(&mut self, has_free_slots: bool, now: Duration) -> bool {
        let announced_recently = self
            .announced_at
            .is_some_and(|announced_at| now < announced_at + MIN_CHANGE_INTERVAL);
        if announced_recently || self.had_free_slots == Some(has_free_slots) {
            return false;
        }
        self.had_free_slots = Some(has_free_slots);
        self.announced_at = Some(now);
        true
    }
}
