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
const IN_ROTATION: usize = 2;
/// Maximum number of receivers that are chosen because they asked recently.
const ASKED_LATELY: usize = 8;
/// How long after its last ask a node counts as having asked recently.
const LATELY: Duration = Duration::from_secs(2);
/// Minimum time between two summaries that are sent because free slots came or went.
const TURN_GAP: Duration = Duration::from_millis(250);

/// Chooses the receivers of one group's summaries.
#[derive(Debug, Default)]
pub struct Audience {
    asked_at: BTreeMap<NodeId, Duration>,
    cursor: Option<NodeId>,
    had_free_slots: Option<bool>,
    turned_at: Option<Duration>,
}

impl Audience {
    /// Records that a node sent an ask.
    pub fn asked(&mut self, node: &NodeId, now: Duration) {
        match self.asked_at.get_mut(node) {
            Some(asked_at) => *asked_at = now,
            None => {
                self.asked_at.insert(node.clone(), now);
            }
        }
    }

    /// Nodes that asked recently, at most a fixed number.
    pub fn lately(&mut self, now: Duration) -> BTreeSet<NodeId> {
        self.asked_at
            .retain(|_, asked_at| now < asked_at.saturating_add(LATELY));
        self.asked_at.keys().take(ASKED_LATELY).cloned().collect()
    }

    /// Receivers of a round's summary: the nodes that asked recently, and the next members in rotation.
    pub fn round<T>(&mut self, members: &BTreeMap<NodeId, T>, now: Duration) -> BTreeSet<NodeId> {
        let mut receivers = self.lately(now);
        let after = self.cursor.take();
        let from = after.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let rest = members.range::<NodeId, _>((from, Bound::Unbounded));
        let next: Vec<&NodeId> = rest
            .map(|(node, _)| node)
            .chain(members.keys())
            .take(IN_ROTATION.min(members.len()))
            .collect();
        self.cursor = next.last().map(|node| (*node).clone());
        receivers.extend(next.into_iter().cloned());
        receivers
    }

    /// Records whether the group has free slots. Returns whether that changed and a summary should be sent now.
    pub fn turned(&mut self, has_free_slots: bool, now: Duration) -> bool {
        let told_lately = self
            .turned_at
            .is_some_and(|turned_at| now < turned_at + TURN_GAP);
        if told_lately || self.had_free_slots == Some(has_free_slots) {
            return false;
        }
        self.had_free_slots = Some(has_free_slots);
        self.turned_at = Some(now);
        true
    }
}
