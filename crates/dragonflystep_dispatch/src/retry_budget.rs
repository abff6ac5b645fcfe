//! Retries of a service against its requests, in a sliding window of whole seconds.
//!
//! A service in trouble must not get more and more of the same requests; all nodes together may send a
//! request again only so often.

use {crate::ids::MonotonicTime, std::collections::VecDeque};

/// What operators permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimits {
    /// Retries for each request.
    pub(crate) ratio: f64,
    /// Retries besides.
    pub(crate) slack: f64,
    /// Length of the window.
    pub(crate) window_s: u64,
}

/// Requests and retries of a service in the last seconds.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    seconds: VecDeque<Second>,
}

#[derive(Debug)]
struct Second {
    at_s: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Whether nothing was counted yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.seconds.is_empty()
    }

    /// Counts a request that came for the first time.
    pub(crate) fn count_request(&mut self, now: MonotonicTime, limits: RetryLimits) {
        self.current(now, limits).requests += 1;
    }

    /// Takes one retry, if one is left.
    pub(crate) fn take_retry(
        &mut self,
        now: MonotonicTime,
        limits: RetryLimits,
        share: f64,
    ) -> bool {
        self.current(now, limits);
        let requests: u32 = self.seconds.iter().map(|second| second.requests).sum();
        let retries: u32 = self.seconds.iter().map(|second| second.retries).sum();
        let permitted = (limits.ratio * f64::from(requests) + limits.slack * share)
            * crate::limits::RETRY_BUDGET_USE;
        if f64::from(retries + 1) > permitted {
            return false;
        }
        self.current(now, limits).retries += 1;
        true
    }

    fn current(&mut self, now: MonotonicTime, limits: RetryLimits) -> &mut Second {
        let at_s = now.as_secs();
        self.seconds
            .retain(|second| second.at_s + limits.window_s > at_s);
        if self.seconds.back().is_none_or(|second| second.at_s != at_s) {
            self.seconds.push_back(Second {
                at_s,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}
