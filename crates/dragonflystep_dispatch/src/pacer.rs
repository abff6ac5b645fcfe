//! Keeps the requests to an upstream to a rate.
//!
//! The load it answers: far more requests than an upstream in trouble takes. It begins without a permit: whoever learns of a
//! limit may follow on another owner that has just used the rate up.

use crate::{
    ids::MonotonicTime,
    limits::{MIN_TRIAL_RATE_PER_S, PACED_BURST_S},
};

/// Permits that accrue at a rate, of which each request takes one.
#[derive(Debug)]
pub(crate) struct RequestPacer {
    stated_per_s: f64,
    /// Part of the rate that this owner may use.
    share: f64,
    permits: f64,
    at: MonotonicTime,
}

impl RequestPacer {
    pub(crate) fn new(now: MonotonicTime, stated_per_s: f64, share: f64) -> Self {
        Self {
            stated_per_s,
            share,
            permits: 0.0,
            at: now,
        }
    }

    /// Goes on at another rate.
    pub(crate) fn set_rate(&mut self, now: MonotonicTime, stated_per_s: f64) {
        self.accrue(now);
        self.stated_per_s = stated_per_s;
    }

    /// Goes on with another part of the rate.
    pub(crate) fn set_share(&mut self, now: MonotonicTime, share: f64) {
        self.accrue(now);
        self.share = share;
    }

    /// Requests a second that this owner may send.
    ///
    /// Only an answer shows that a limit is over, so that it is never zero.
    pub(crate) fn requests_per_s(&self) -> f64 {
        self.stated_per_s.max(MIN_TRIAL_RATE_PER_S) * self.share
    }

    pub(crate) fn has_permit(&self, now: MonotonicTime) -> bool {
        self.permits_at(now) >= 1.0
    }

    pub(crate) fn take(&mut self, now: MonotonicTime) {
        self.accrue(now);
        self.permits -= 1.0;
    }

    fn accrue(&mut self, now: MonotonicTime) {
        self.permits = self.permits_at(now);
        self.at = self.at.max(now);
    }

    fn permits_at(&self, now: MonotonicTime) -> f64 {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        let most = (self.requests_per_s() * PACED_BURST_S).max(1.0);
        (self.permits + self.requests_per_s() * passed_s).min(most)
    }
}
