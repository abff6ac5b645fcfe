//! Estimates how often the upstreams of a service break off, from which follows which runs are worth a copy.
//!
//! It is designed for failures that come together: racks, switches and bad versions take many upstreams at once, and more
//! follow within seconds. So the rate is a mean over the last seconds, which rises at once and falls slowly.

use {
    crate::{
        ids::MonotonicTime,
        limits::{BREAK_RATE_WINDOW, CRASH_MERGE_TIME},
    },
    std::time::Duration,
};

/// The rate at which the upstreams of a service break off.
#[derive(Debug, Default)]
pub(crate) struct BreakRate {
    /// Exponentially decaying number of upstreams that broke off.
    breaks: f64,
    /// Time up to which `breaks` has decayed.
    at: MonotonicTime,
}

impl BreakRate {
    /// Records that runs at an upstream broke off, which it last did at `last_break_at`. Runs that break off together count
    /// once.
    pub(crate) fn record(&mut self, now: MonotonicTime, last_break_at: Option<MonotonicTime>) {
        if last_break_at.is_some_and(|last| now < last + CRASH_MERGE_TIME) {
            return;
        }
        self.breaks = self.breaks_at(now) + 1.0;
        self.at = now;
    }

    /// Returns the probability that one of `upstreams` upstreams breaks off within `duration`.
    pub(crate) fn probability(
        &self,
        now: MonotonicTime,
        upstreams: usize,
        duration: Duration,
    ) -> f64 {
        let window_s = BREAK_RATE_WINDOW.as_secs_f64() * upstreams.max(1) as f64;
        let rate_per_s = self.breaks_at(now) / window_s;
        1.0 - (-rate_per_s * duration.as_secs_f64()).exp()
    }

    fn breaks_at(&self, now: MonotonicTime) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.breaks * (-passed / BREAK_RATE_WINDOW.as_secs_f64()).exp()
    }
}
