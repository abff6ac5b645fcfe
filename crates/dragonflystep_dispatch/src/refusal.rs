//! Whether a request that finds no place may wait, and what a refused one is told.
//!
//! The load it answers: work arriving at up to twice what the upstreams finish. Whoever would wait
//! beyond the time that the caller has is told at once, with the time after which the queue is predicted
//! to be short enough, so that no caller waits for nothing and none comes back in vain.

use {
    crate::{
        ids::{MonotonicTime, Tier},
        limits::{
            ARRIVAL_WINDOW_S, LATE_WAIT_OBJECTIVES, MAX_RETRY_AFTER, MAX_RETURNED_WAIT_SHARE,
            MAX_WAIT_SHARE, MIN_CAPACITY_SHARE, MIN_RETRY_AFTER,
        },
        messages::{Refusal, RefusalReason, SlotRequest},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Work of each tier that arrives, in places that it keeps busy.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRates {
    tiers: BTreeMap<Tier, Rate>,
}

#[derive(Debug)]
struct Rate {
    /// Milliseconds of work in the averaging window, decaying.
    work_ms: f64,
    at: MonotonicTime,
}

impl Rate {
    fn decay(&mut self, now: MonotonicTime) {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        self.work_ms *= (-passed_s / ARRIVAL_WINDOW_S).exp();
        self.at = now;
    }
}

impl ArrivalRates {
    /// Notes work that arrives.
    pub(crate) fn record_arrival(&mut self, now: MonotonicTime, tier: Tier, work_ms: f64) {
        let rate = self.tiers.entry(tier).or_insert(Rate {
            work_ms: 0.0,
            at: now,
        });
        rate.decay(now);
        rate.work_ms += work_ms;
    }

    /// Places that the tiers above `tier` keep busy.
    pub(crate) fn slots_above(&mut self, now: MonotonicTime, tier: Tier) -> f64 {
        let mut work_ms = 0.0;
        for (_, rate) in self.tiers.range_mut(..tier) {
            rate.decay(now);
            work_ms += rate.work_ms;
        }
        work_ms / (ARRIVAL_WINDOW_S * 1e3)
    }
}

/// Predicted time until a place for a new request, from the work before it and the places left to its
/// tier.
pub(crate) fn predicted_wait(work_ahead_ms: f64, slots: f64, slots_above: f64) -> Duration {
    let free = (slots - slots_above).max(slots * MIN_CAPACITY_SHARE);
    let ms = work_ahead_ms / free.max(0.1);
    Duration::from_secs_f64(ms.min(3.6e6) / 1e3)
}

/// Longest time that the request may wait, if its first event takes `first` once it has a place.
///
/// Who comes for the first time and can't be served in time is better told at once when to come back.
/// Who came back waits longer, since a second refusal leaves the caller no time for a third try.
pub(crate) fn longest_wait(
    request: &SlotRequest,
    has_returned: bool,
    time_to_first_event: Duration,
) -> Duration {
    if has_returned {
        return request.time_left.mul_f64(MAX_RETURNED_WAIT_SHARE);
    }
    let in_time = request.objective_left.saturating_sub(time_to_first_event);
    let beyond = request.objective_left.mul_f64(LATE_WAIT_OBJECTIVES);
    (in_time + beyond).min(request.time_left.mul_f64(MAX_WAIT_SHARE))
}

/// A refusal with the time to come back.
pub(crate) fn refuse(reason: RefusalReason, wait: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}
