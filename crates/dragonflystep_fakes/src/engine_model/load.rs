//! The load that an engine reports, with a lag.

use std::{collections::VecDeque, time::Duration};

/// Load of an engine as it was some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Streams in the batch.
    pub running: u32,
    /// Streams in the engine's own queue.
    pub queued: u32,
    /// Time since the load was like this.
    pub age: Duration,
}

/// Counts over the last `lag`.
#[derive(Debug, Clone)]
pub(super) struct LoadHistory {
    lag: Duration,
    counts: VecDeque<(Duration, u32, u32)>,
}

impl LoadHistory {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            counts: VecDeque::from([(Duration::ZERO, 0, 0)]),
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(super) fn record(&mut self, now: Duration, running: u32, queued: u32) {
        if let Some(last) = self.counts.back_mut() {
            if (last.1, last.2) == (running, queued) {
                return;
            }
            if last.0 == now {
                *last = (now, running, queued);
                return;
            }
        }
        self.counts.push_back((now, running, queued));
        self.forget_before(now.saturating_sub(self.lag));
    }

    pub(super) fn report(&self, now: Duration) -> LoadReport {
        let sampled = now.saturating_sub(self.lag);
        let after = self.counts.partition_point(|(at, _, _)| *at <= sampled);
        let (_, running, queued) = self.counts[after.saturating_sub(1)];
        LoadReport {
            running,
            queued,
            age: now - sampled,
        }
    }

    // The last count before the horizon is still the one in force at it.
    fn forget_before(&mut self, horizon: Duration) {
        while self.counts.len() > 1 && self.counts[1].0 <= horizon {
            self.counts.pop_front();
        }
    }
}
