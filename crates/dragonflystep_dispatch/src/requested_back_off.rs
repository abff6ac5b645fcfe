//! The rest that an upstream wants which refused requests.
//!
//! The load it answers: an upstream that turns away whatever reaches it, from all nodes alike, for seconds. Each refusal is one for
//! a caller whose request may not go elsewhere. So all nodes leave it alone as soon as it has refused one of them, and one
//! request shows afterwards whether it accepts again. Where no other upstream is left, nodes that it has not refused try it,
//! until it has refused a second one.

use {
    crate::{
        ids::{MonotonicTime, NodeIncarnation},
        limits::{BACK_OFF_PROBE_TIME, MIN_REFUSED_NODES},
    },
    std::time::Duration,
};

/// The rest that an upstream wants.
#[derive(Debug, Default)]
pub(crate) struct RequestedBackOff {
    /// Until when it wants no requests of which nodes.
    nodes: Vec<(NodeIncarnation, MonotonicTime)>,
    until: MonotonicTime,
    /// Whether it has to be shown after the rest that it accepts requests again.
    is_on_trial: bool,
    /// When the request was sent that shows it.
    tried_at: Option<MonotonicTime>,
}

impl RequestedBackOff {
    /// Takes over until when it wants no requests of which nodes.
    pub(crate) fn set(&mut self, nodes: impl Iterator<Item = (NodeIncarnation, MonotonicTime)>) {
        self.nodes.clear();
        self.nodes.extend(nodes);
        let until = self.nodes.iter().map(|(_, until)| *until).max();
        let until = until.unwrap_or(Duration::ZERO);
        if until > self.until {
            self.until = until;
            self.is_on_trial = true;
            self.tried_at = None;
        }
    }

    /// Until when it is left alone.
    pub(crate) fn until(&self) -> MonotonicTime {
        self.until
    }

    /// Whether it has not shown yet since its last rest that it accepts requests.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Whether it wants no requests of a node.
    pub(crate) fn is_wanted_from(&self, now: MonotonicTime, node: NodeIncarnation) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.any(|(resting, until)| *resting == node && now < *until)
    }

    /// Whether nodes that it has not refused may try it: it has refused too few to count as refusing all.
    pub(crate) fn may_be_tried(&self, now: MonotonicTime) -> bool {
        let refused = self.nodes.iter().filter(|(_, until)| now < *until);
        now < self.until && refused.count() < MIN_REFUSED_NODES
    }

    /// Whether a request may be sent as far as its rest is concerned.
    pub(crate) fn admits_request(&self, now: MonotonicTime) -> bool {
        let is_accepted = |at: MonotonicTime| now.saturating_sub(at) >= BACK_OFF_PROBE_TIME;
        now >= self.until && (!self.is_on_trial || self.tried_at.is_none_or(is_accepted))
    }

    /// Notes that a request is sent; the second one after a rest ends the trial.
    pub(crate) fn note_sent(&mut self, now: MonotonicTime) {
        if self.is_on_trial && now >= self.until {
            self.is_on_trial = self.tried_at.is_none();
            self.tried_at = Some(now);
        }
    }
}
