//! The upstreams of which this node has read itself that they leave or left.
//!
//! Other nodes, whose calls to the platform failed meanwhile, can't tell a deleted entry from one that expired. They keep it for
//! a while, and their lists are newer than what this node read. What it read is a fact, and what they keep is an assumption, so
//! that such a list does not make this node use the upstream again. A list that awaits no entries does.

use {
    crate::limits::{LEFT_UPSTREAM_MEMORY, MAX_LEFT_UPSTREAMS},
    dragonflystep_dispatch::{Upstream, UpstreamId, UpstreamPhase},
    std::{cell::RefCell, collections::HashMap},
    tokio::time::Instant,
};

/// The upstreams that were read to leave, with the time of the reading.
#[derive(Default)]
pub(crate) struct LeftUpstreams(RefCell<HashMap<UpstreamId, Instant>>);

impl LeftUpstreams {
    /// Records that this node read that an upstream leaves, or that its entry was deleted.
    pub(crate) fn record(&self, upstream: UpstreamId) {
        let mut left = self.0.borrow_mut();
        left.retain(|_, at| at.elapsed() < LEFT_UPSTREAM_MEMORY);
        if left.len() < MAX_LEFT_UPSTREAMS {
            left.insert(upstream, Instant::now());
        }
    }

    /// Records that this node read an upstream's entry as ready.
    pub(crate) fn record_ready(&self, upstream: &UpstreamId) {
        self.0.borrow_mut().remove(upstream);
    }

    pub(crate) fn contains(&self, upstream: &UpstreamId) -> bool {
        self.0.borrow().contains_key(upstream)
    }

    /// Marks the ready upstreams of a list that are known to leave as draining. If the list awaits no entries, its upstreams are
    /// ready.
    pub(crate) fn correct(&self, upstreams: &mut [Upstream], awaits_entries: bool) {
        let mut left = self.0.borrow_mut();
        if left.is_empty() {
            return;
        }
        let ready = upstreams
            .iter_mut()
            .filter(|upstream| upstream.phase == UpstreamPhase::Ready);
        for upstream in ready {
            if !awaits_entries {
                left.remove(&upstream.id);
            } else if left.contains_key(&upstream.id) {
                upstream.phase = UpstreamPhase::Draining;
            }
        }
    }
}
