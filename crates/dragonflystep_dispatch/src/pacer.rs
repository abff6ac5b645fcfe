//! Limits the rate of requests to an upstream with a token bucket.
//!
//! It is designed for upstreams in trouble, or cold ones, that accept far fewer requests than are waiting. The bucket
//! begins empty, since another owner may have used up the rate just before this one learned of the limit.

use crate::{
    ids::MonotonicTime,
    limits::{MIN_TRIAL_RATE_PER_S, PACED_BURST_S},
};

/// Smallest size of the bucket, in requests: a bucket that can't hold one request would never permit any.
pub(crate) const PACED_BURST_REQUESTS: f64 = 1.0;

/// A token bucket: permits accrue at a rate, and each request takes one.
#[derive(Debug)]
pub(crate) struct RequestPacer {
    /// The rate limit of the upstream for all nodes together, in requests per second.
    limit_per_s: f64,
    /// Share of that limit that this owner may use.
    share: f64,
    permits: f64,
    at: MonotonicTime,
}

impl RequestPacer {
    pub(crate) fn new(now: MonotonicTime, limit_per_s: f64, share: f64) -> Self {
        Self {
            limit_per_s,
            share,
            permits: 0.0,
            at: now,
        }
    }

    /// Changes the rate limit; accrued permits are kept.
    pub(crate) fn set_rate(&mut self, now: MonotonicTime, limit_per_s: f64) {
        self.accrue(now);
        self.limit_per_s = limit_per_s;
    }

    /// Changes the share of the limit. Accrued permits shrink with the share: when all nodes lose sight of one another,
    /// each of them would otherwise send a request at once.
    pub(crate) fn set_share(&mut self, now: MonotonicTime, share: f64) {
        self.accrue(now);
        if share < self.share {
            self.permits = self.permits.min(share);
        }
        self.share = share;
    }

    /// Returns the requests per second that this owner may send.
    ///
    /// The limit counts as at least [`MIN_TRIAL_RATE_PER_S`], since only answers show that a limit is over.
    pub(crate) fn requests_per_s(&self) -> f64 {
        self.limit_per_s.max(MIN_TRIAL_RATE_PER_S) * self.share
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
        let max_permits = (self.requests_per_s() * PACED_BURST_S).max(PACED_BURST_REQUESTS);
        (self.permits + self.requests_per_s() * passed_s).min(max_permits)
    }
}
