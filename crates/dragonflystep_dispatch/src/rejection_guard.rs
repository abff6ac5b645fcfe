//! Keeps the rejections of an upstream below the number that it bears.
//!
//! It is designed for upstreams that fail if they have to reject more than a few requests in a second, and that queue
//! fewer requests than usual meanwhile. An owner sends no more requests than there are free slots, but it can be wrong
//! about those: another owner may be granting slots too, and an upstream may go on working on a request whose caller
//! left. So after a rejection, and while another owner may be active, requests that may be rejected are counted as if they
//! were, until one of them was accepted.
//!
//! A new owner does not know which requests the ones before it had rejected. Until those no longer count, it sends only
//! what several owners in a row may send together, which is nothing to an upstream that bears very few rejections.

use {
    crate::{
        ids::MonotonicTime,
        limits::{
            BACK_OFF_PROBE_TIME, MAX_LINGERING_TIME, OWNER_STARTS_COVERED, REJECTION_LIMIT_USE,
            REJECTION_REPORT_TIME, REJECTION_WINDOW,
        },
    },
    std::collections::VecDeque,
};

/// The rejections of an upstream that stated how many it bears.
#[derive(Debug)]
pub(crate) struct RejectionGuard {
    /// Rejections in one second above which the upstream fails, for all nodes together.
    limit_per_s: f64,
    /// Share of that limit that this owner may use.
    share: f64,
    /// Times of the rejections within the last [`REJECTION_WINDOW`].
    rejected_at: VecDeque<MonotonicTime>,
    /// Times at which requests were sent within the last [`REJECTION_WINDOW`].
    sent_at: VecDeque<MonotonicTime>,
    /// When a request was last rejected; absent once one that was sent later was accepted.
    suspected_since: Option<MonotonicTime>,
    /// For each cancelled run, until when the upstream may go on working on it.
    lingering_until: Vec<MonotonicTime>,
    /// Time until which rejections of requests of earlier owners may count.
    unknown_until: MonotonicTime,
}

impl RejectionGuard {
    pub(crate) fn new(limit_per_s: f64, share: f64, unknown_until: MonotonicTime) -> Self {
        Self {
            limit_per_s,
            share,
            rejected_at: VecDeque::new(),
            sent_at: VecDeque::new(),
            suspected_since: None,
            lingering_until: Vec::new(),
            unknown_until,
        }
    }

    pub(crate) fn set_limit(&mut self, limit_per_s: f64) {
        self.limit_per_s = limit_per_s;
    }

    pub(crate) fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    pub(crate) fn set_unknown_until(&mut self, unknown_until: MonotonicTime) {
        self.unknown_until = unknown_until;
    }

    pub(crate) fn record_sent(&mut self, now: MonotonicTime) {
        self.forget_old(now);
        self.sent_at.push_back(now);
    }

    pub(crate) fn record_rejection(&mut self, now: MonotonicTime) {
        self.forget_old(now);
        self.rejected_at.push_back(now);
        self.suspected_since = Some(now);
    }

    /// Records that a run was cancelled that was expected to end at `end_expected_at`.
    pub(crate) fn record_cancelled(&mut self, now: MonotonicTime, end_expected_at: MonotonicTime) {
        self.forget_old(now);
        let until = end_expected_at.min(now + MAX_LINGERING_TIME);
        self.lingering_until.push(until);
    }

    /// Number of cancelled runs on which the upstream may still be working.
    pub(crate) fn lingering_runs(&self, now: MonotonicTime) -> u32 {
        let lingering = self.lingering_until.iter().filter(|until| now < **until);
        lingering.count() as u32
    }

    /// Whether a request may be sent even if the upstream rejects it.
    pub(crate) fn admits_request(&self, now: MonotonicTime) -> bool {
        let is_in_window = |at: &&MonotonicTime| now.saturating_sub(**at) < REJECTION_WINDOW;
        let rejections = self.rejected_at.iter().filter(is_in_window).count();
        let suspected_since = self
            .suspected_since
            .filter(|since| rejections > 0 || !self.was_accepted_after(now, *since));
        let (may_be_rejected_since, limit) = match suspected_since {
            _ if now < self.unknown_until => {
                let limit = self.budget_beside_earlier_owners();
                (now.saturating_sub(REJECTION_WINDOW), limit)
            }
            Some(since) => (since, self.budget()),
            None if self.share < 1.0 => (now.saturating_sub(REJECTION_WINDOW), self.budget()),
            None => {
                let limit = (self.limit_per_s - 1.0).max(1.0) as usize;
                (now.saturating_sub(REJECTION_REPORT_TIME), limit)
            }
        };
        let sent_at = self.sent_at.iter().filter(is_in_window);
        let at_risk = sent_at.filter(|at| **at > may_be_rejected_since).count();
        rejections + at_risk < limit
    }

    /// Whether a request that was sent after `since` was not rejected within [`BACK_OFF_PROBE_TIME`].
    fn was_accepted_after(&self, now: MonotonicTime, since: MonotonicTime) -> bool {
        let mut sent_at = self.sent_at.iter();
        sent_at.any(|at| *at > since && now.saturating_sub(*at) >= BACK_OFF_PROBE_TIME)
    }

    /// Number of requests that this owner may have rejected within [`REJECTION_WINDOW`].
    fn budget(&self) -> usize {
        (self.limit_per_s * self.share * REJECTION_LIMIT_USE).max(1.0) as usize
    }

    /// Like [`budget`](Self::budget), while rejections of requests of earlier owners may count.
    fn budget_beside_earlier_owners(&self) -> usize {
        let unused_share = 1.0 - REJECTION_LIMIT_USE;
        (self.limit_per_s * self.share * unused_share / OWNER_STARTS_COVERED) as usize
    }

    fn forget_old(&mut self, now: MonotonicTime) {
        self.suspected_since = self
            .suspected_since
            .filter(|since| !self.was_accepted_after(now, *since));
        let is_old = |at: &MonotonicTime| now.saturating_sub(*at) >= REJECTION_WINDOW;
        while self.sent_at.front().is_some_and(is_old) {
            self.sent_at.pop_front();
        }
        while self.rejected_at.front().is_some_and(is_old) {
            self.rejected_at.pop_front();
        }
        self.lingering_until.retain(|until| now < *until);
    }
}
