//! Adaptive concurrency limit of one upstream, at or below the catalogue's limit.
//!
//! The limit follows additive increase, multiplicative decrease (AIMD). Engines know no priorities, so the limit
//! keeps the engine's own queue empty and the gap between tokens within what the tier promises.

use std::time::Duration;

/// Factor that the limit is multiplied by after a load report that shows requests in the engine's own queue.
pub const ENGINE_QUEUE_DECREASE: f64 = 0.85;
/// Factor that the limit is multiplied by after a stream whose token gap was too long.
pub const SLOW_STREAM_DECREASE: f64 = 0.93;
/// Factor by which a token gap may exceed the promised gap before the limit decreases.
const GAP_TOLERANCE: f64 = 1.1;
/// Factor by which a token gap may exceed the upstream's best gap, if the upstream cannot reach the promised gap.
const BEST_GAP_TOLERANCE: f64 = 1.5;
/// Growth of the remembered best gap per sample, so that it adapts when the upstream changes.
const BEST_GAP_GROWTH: f64 = 1.002;
/// Minimum time between two decreases, so that one cause reduces the limit only once.
const COOLDOWN: Duration = Duration::from_secs(1);

/// Current concurrency limit of one upstream, with the state that its adjustment needs.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveLimit {
    ceiling: u32,
    limit: f64,
    decreased_at: Option<Duration>,
    best_gap_seconds: Option<f64>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at the catalogue's limit, `ceiling`.
    pub fn new(ceiling: u32) -> Self {
        Self {
            ceiling,
            limit: f64::from(ceiling),
            decreased_at: None,
            best_gap_seconds: None,
        }
    }

    /// Applies a changed catalogue limit; a limit that was at the old ceiling moves to the new one.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let was_at_ceiling = self.limit >= f64::from(self.ceiling);
        self.ceiling = ceiling;
        if was_at_ceiling {
            self.limit = f64::from(ceiling);
        }
        self.limit = self.limit.min(f64::from(ceiling));
    }

    /// Number of requests that may run at the same time, at least 1 unless the ceiling is 0.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::broker::AdaptiveLimit;
    /// use std::time::Duration;
    /// let mut limit = AdaptiveLimit::new(8);
    /// limit.decrease(Duration::from_secs(1), 0.5);
    /// assert_eq!(limit.requests(), 4);
    /// ```
    pub fn requests(&self) -> u32 {
        (self.limit as u32).max(1).min(self.ceiling)
    }

    /// The catalogue's limit, which the adaptive limit never exceeds.
    pub fn ceiling(&self) -> u32 {
        self.ceiling
    }

    /// Raises the limit after a stream that met its objective while `running` requests ran.
    pub fn increase(&mut self, running: u32) {
        if running + 1 < self.requests() {
            // Too few requests ran to show whether the upstream could take more than the limit.
            return;
        }
        self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(f64::from(self.ceiling));
    }

    /// Multiplies the limit by `factor` because the upstream was overloaded at `sampled_at`.
    pub fn decrease(&mut self, sampled_at: Duration, factor: f64) {
        if self
            .decreased_at
            .is_some_and(|last| sampled_at < last + COOLDOWN)
        {
            return;
        }
        self.decreased_at = Some(sampled_at);
        self.limit = (self.limit * factor).max(1.0);
    }

    /// Adjusts the limit by the mean token gap of an ended stream, whose tier promises a gap of `promised`.
    ///
    /// `running` is the number of requests in the upstream's slots at that time.
    pub fn record_gap(
        &mut self,
        now: Duration,
        gap_seconds: f64,
        promised: Option<Duration>,
        running: u32,
    ) {
        let best = self.best_gap_seconds.unwrap_or(gap_seconds) * BEST_GAP_GROWTH;
        let best = best.min(gap_seconds);
        self.best_gap_seconds = Some(best);
        // A lower limit does not help an upstream that is slow even with few streams.
        let reachable = promised.map(|promise| {
            let promise_seconds = promise.as_secs_f64() * GAP_TOLERANCE;
            promise_seconds.max(best * BEST_GAP_TOLERANCE)
        });
        if reachable.is_some_and(|reachable| gap_seconds > reachable) {
            self.decrease(now, SLOW_STREAM_DECREASE);
        } else {
            self.increase(running);
        }
    }
}
