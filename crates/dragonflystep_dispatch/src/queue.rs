//! The requests that wait for a place, in the order in which they get one.
//!
//! The load it answers: a burst of all tiers on full upstreams. Higher tiers go first without exception.
//! Within a tier, requests that can still be on time go before those that can't: in arrival order an
//! overload of a few seconds makes every request a little late, and none is served as wanted.

use {
    crate::{
        ids::{MonotonicTime, RunId, Tier},
        limits::QUEUE_ORDER_AGE,
        messages::SlotRequest,
    },
    std::time::Duration,
};

/// A waiting request.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: SlotRequest,
    /// When it was asked for first.
    pub(crate) first_requested_at: MonotonicTime,
    /// Whether it was refused before.
    pub(crate) has_returned: bool,
    /// Whether it shows how a new version of its service does.
    pub(crate) is_canary: bool,
    /// When it is late.
    pub(crate) objective_at: MonotonicTime,
    /// When it is refused at the latest.
    pub(crate) expires_at: MonotonicTime,
    /// Predicted time at an upstream of mean speed.
    pub(crate) run_ms: f64,
    /// Predicted time to the first event at an upstream of mean speed with nothing else to read.
    pub(crate) time_to_first_event: Duration,
}

impl QueuedRequest {
    /// Whether it would be late even if a place came free now.
    pub(crate) fn is_late(&self, now: MonotonicTime) -> bool {
        now + self.time_to_first_event > self.objective_at
    }

    /// What is left until it is late.
    pub(crate) fn objective_left(&self, now: MonotonicTime) -> Duration {
        self.objective_at.saturating_sub(now)
    }
}

/// Requests that wait.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    waiting: Vec<QueuedRequest>,
    sorted_at: MonotonicTime,
}

/// What the order of the queue goes by.
fn place_key(one: &QueuedRequest, now: MonotonicTime) -> (Tier, bool, bool, MonotonicTime) {
    let is_late = one.is_late(now);
    let is_first_try = is_late && !one.has_returned;
    (one.request.tier, is_late, is_first_try, one.objective_at)
}

impl WaitQueue {
    /// Adds a request at its place in the order.
    pub(crate) fn push(&mut self, now: MonotonicTime, waiting: QueuedRequest) {
        let key = place_key(&waiting, now);
        let index = self
            .waiting
            .partition_point(|other| place_key(other, now) <= key);
        self.waiting.insert(index, waiting);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn get(&self, index: usize) -> &QueuedRequest {
        &self.waiting[index]
    }

    /// Takes one out; the order of the others stays.
    pub(crate) fn take(&mut self, index: usize) -> QueuedRequest {
        self.waiting.remove(index)
    }

    pub(crate) fn remove(&mut self, run: RunId) -> Option<QueuedRequest> {
        let index = self.waiting.iter().position(|one| one.request.run == run)?;
        Some(self.waiting.remove(index))
    }

    /// Takes out all that have waited as long as they may.
    pub(crate) fn take_expired(&mut self, now: MonotonicTime) -> Vec<QueuedRequest> {
        let (expired, waiting) = self
            .waiting
            .drain(..)
            .partition(|one| one.expires_at <= now);
        self.waiting = waiting;
        expired
    }

    /// Puts the requests into the order in which they are placed, unless that was done a moment ago.
    pub(crate) fn sort(&mut self, now: MonotonicTime) {
        if now < self.sorted_at + QUEUE_ORDER_AGE && self.sorted_at > MonotonicTime::ZERO {
            return;
        }
        self.sorted_at = now;
        self.waiting.sort_by_cached_key(|one| place_key(one, now));
    }

    /// Work that goes before a new request of `tier`, in milliseconds at one place.
    ///
    /// Requests of the tier that are late do not go before one that can be in time. Counting them would turn away
    /// those who can be served in time, who then come back late.
    pub(crate) fn work_ahead_ms(&self, now: MonotonicTime, tier: Tier, is_late: bool) -> f64 {
        let before = self.waiting.iter().filter(|one| {
            one.request.tier < tier || one.request.tier == tier && (is_late || !one.is_late(now))
        });
        before.map(|one| one.run_ms).sum()
    }
}
