//! Retry budget of a service: limits retries in proportion to requests, in a sliding window of whole seconds.
//!
//! It prevents retries from multiplying the load of a service in trouble. The limit applies to all nodes together.

use {crate::ids::MonotonicTime, std::collections::VecDeque};

/// Retry limits that operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimits {
    /// Permitted retries as a share of the requests in the window.
    pub(crate) ratio: f64,
    /// Permitted retries in the window in addition to that share.
    pub(crate) slack: f64,
    /// Length of the window, in seconds.
    pub(crate) window_s: u64,
}

/// Numbers of requests and retries of a service in each second of the window.
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
    /// Whether nothing has been counted.
    pub(crate) fn is_empty(&self) -> bool {
        self.seconds.is_empty()
    }

    /// Counts a request that is not a retry.
    pub(crate) fn count_request(&mut self, now: MonotonicTime, limits: RetryLimits) {
        self.current_second(now, limits).requests += 1;
    }

    /// Takes one retry from the budget; returns whether one was left. `share` is this owner's share of the additional
    /// retries.
    pub(crate) fn take_retry(
        &mut self,
        now: MonotonicTime,
        limits: RetryLimits,
        share: f64,
    ) -> bool {
        self.current_second(now, limits);
        let requests: u32 = self.seconds.iter().map(|second| second.requests).sum();
        let retries: u32 = self.seconds.iter().map(|second| second.retries).sum();
        let permitted = (limits.ratio * f64::from(requests) + limits.slack * share)
            * crate::limits::RETRY_BUDGET_USE;
        if f64::from(retries + 1) > permitted {
            return false;
        }
        self.current_second(now, limits).retries += 1;
        true
    }

    /// Returns the counters of the current second, and drops those that left the window.
    fn current_second(&mut self, now: MonotonicTime, limits: RetryLimits) -> &mut Second {
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
