//! Work that goes on at a constant pace between two changes of the pace.

use std::time::Duration;

/// Fractions in which one item of work (a token, a step) is counted.
pub(super) const UNITS_PER_ITEM: u64 = 1_000_000;

const PICOS_PER_SECOND: f64 = 1e12;
const PICOS_PER_NANO: u128 = 1_000;

/// An amount of work, in millionths of an item.
pub(super) type WorkUnits = u64;

/// Work done as a function of time, exact in integers.
///
/// The line is only moved when the pace changes, so that the times it gives do not depend on how often anybody looks.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    since: Duration,
    done_at_since: WorkUnits,
    picos_per_item: Option<u128>,
}

impl Progress {
    /// Starts with no work done and no pace.
    pub(super) fn new() -> Self {
        Self {
            since: Duration::ZERO,
            done_at_since: 0,
            picos_per_item: None,
        }
    }

    /// Work done up to `now`.
    pub(super) fn done(&self, now: Duration) -> WorkUnits {
        let Some(picos_per_item) = self.picos_per_item else {
            return self.done_at_since;
        };
        let elapsed_picos = now.saturating_sub(self.since).as_nanos() * PICOS_PER_NANO;
        let units = elapsed_picos * u128::from(UNITS_PER_ITEM) / picos_per_item;
        self.done_at_since
            .saturating_add(u64::try_from(units).unwrap_or(u64::MAX))
    }

    /// First nanosecond at which `target` is done; `None` when the pace never reaches it.
    pub(super) fn time_of(&self, target: WorkUnits) -> Option<Duration> {
        let missing = target.saturating_sub(self.done_at_since);
        if missing == 0 {
            return Some(self.since);
        }
        let picos = u128::from(missing).checked_mul(self.picos_per_item?)?;
        let nanos = picos.div_ceil(u128::from(UNITS_PER_ITEM) * PICOS_PER_NANO);
        let nanos = u64::try_from(nanos).ok()?;
        self.since.checked_add(Duration::from_nanos(nanos))
    }

    /// Goes on at another pace from `now`; `None` or an unbounded time for each item stops the work.
    pub(super) fn set_pace(&mut self, now: Duration, seconds_per_item: Option<f64>) {
        let picos_per_item = seconds_per_item
            .filter(|seconds| seconds.is_finite())
            .map(|seconds| (seconds * PICOS_PER_SECOND).round().max(1.0) as u128);
        if picos_per_item == self.picos_per_item {
            return;
        }
        self.done_at_since = self.done(now);
        self.since = now;
        self.picos_per_item = picos_per_item;
    }
}
