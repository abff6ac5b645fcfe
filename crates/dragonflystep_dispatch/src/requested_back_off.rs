//! The back-off that an upstream requests when it refuses requests.
//!
//! An upstream in trouble may refuse all requests of all nodes for seconds. If a refused request may not be sent to
//! another upstream, its caller gets the refusal. So all nodes stop sending to the upstream as soon as it has refused
//! one of them. After the back-off, a single request shows whether it accepts requests again. If no other upstream is
//! left, nodes that it has not refused may probe it during the back-off, until it has refused a second node.

use {
    crate::{
        ids::{MonotonicTime, NodeIncarnation},
        limits::{BACK_OFF_PROBE_TIME, MIN_REFUSED_NODES},
    },
    std::time::Duration,
};

/// The back-off that an upstream requested, and the probe that follows it.
#[derive(Debug, Default)]
pub(crate) struct RequestedBackOff {
    /// The nodes that it refused, with the end of the back-off that it requested from each.
    nodes: Vec<(NodeIncarnation, MonotonicTime)>,
    /// End of the longest back-off. Until then nodes send no requests, except those that probe the upstream early.
    until: MonotonicTime,
    /// Whether the upstream has not yet shown, since its last back-off, that it accepts requests again.
    awaits_acceptance: bool,
    /// When the first request after the back-off was sent, which shows whether the upstream accepts requests.
    probe_sent_at: Option<MonotonicTime>,
}

impl RequestedBackOff {
    /// Replaces the nodes that the upstream refused, with the end of the back-off that it requested from each.
    pub(crate) fn set(&mut self, nodes: impl Iterator<Item = (NodeIncarnation, MonotonicTime)>) {
        self.nodes.clear();
        self.nodes.extend(nodes);
        let until = self.nodes.iter().map(|(_, until)| *until).max();
        let until = until.unwrap_or(Duration::ZERO);
        if until > self.until {
            self.until = until;
            self.awaits_acceptance = true;
            self.probe_sent_at = None;
        }
    }

    /// Returns the end of the longest back-off that the upstream requested.
    pub(crate) fn until(&self) -> MonotonicTime {
        self.until
    }

    /// Whether the upstream has not yet shown, since its last back-off, that it accepts requests again.
    pub(crate) fn awaits_acceptance(&self) -> bool {
        self.awaits_acceptance
    }

    /// Whether the upstream currently asks this node to send no requests.
    pub(crate) fn applies_to(&self, now: MonotonicTime, node: NodeIncarnation) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.any(|(refused, until)| *refused == node && now < *until)
    }

    /// Whether nodes that the upstream has not refused may probe it during the back-off, since it has refused too few
    /// nodes to count as refusing all.
    pub(crate) fn may_be_probed_early(&self, now: MonotonicTime) -> bool {
        let refused = self.nodes.iter().filter(|(_, until)| now < *until);
        now < self.until && refused.count() < MIN_REFUSED_NODES
    }

    /// Whether the back-off permits a request now.
    pub(crate) fn admits_request(&self, now: MonotonicTime) -> bool {
        let is_accepted = |at: MonotonicTime| now.saturating_sub(at) >= BACK_OFF_PROBE_TIME;
        now >= self.until && (!self.awaits_acceptance || self.probe_sent_at.is_none_or(is_accepted))
    }

    /// Records that a request is sent. The second one after a back-off ends the probing, since it is sent only if the
    /// first one was not refused.
    pub(crate) fn record_sent(&mut self, now: MonotonicTime) {
        if self.awaits_acceptance && now >= self.until {
            self.awaits_acceptance = self.probe_sent_at.is_none();
            self.probe_sent_at = Some(now);
        }
    }
}
