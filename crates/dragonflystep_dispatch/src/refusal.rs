//! Load shedding: how long a request without a slot may wait, and the retry-after time of a refusal.
//!
//! It is designed for work that arrives at up to twice the rate at which the upstreams finish it. A request that would
//! wait longer than its caller can is refused at once, so that no caller waits in vain. The refusal contains the time
//! after which the queue is predicted to be short enough for the request to be served when its caller comes back.

use {
    crate::{
        ids::{MonotonicTime, Tier},
        limits::{
            ARRIVAL_WINDOW_S, CRASHING_CONTENT_RETRY_AFTER, EXTRA_WAIT_OBJECTIVES, MAX_RETRY_AFTER,
            MAX_RETURNED_WAIT_SHARE, MAX_WAIT_SHARE, MIN_CAPACITY_SHARE, MIN_RETRY_AFTER,
        },
        messages::{Refusal, RefusalReason, SlotRequest},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Rate at which work of each tier arrives, as the number of slots that it keeps busy.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRates {
    tiers: BTreeMap<Tier, ArrivalRate>,
}

#[derive(Debug)]
struct ArrivalRate {
    /// Exponentially decaying sum of the arrived work, in milliseconds of one slot.
    work_ms: f64,
    /// Time up to which `work_ms` has decayed.
    at: MonotonicTime,
}

impl ArrivalRate {
    fn work_ms_at(&self, now: MonotonicTime) -> f64 {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        self.work_ms * (-passed_s / ARRIVAL_WINDOW_S).exp()
    }
}

impl ArrivalRates {
    /// Adds a request's work to the rate of its tier.
    pub(crate) fn record_arrival(&mut self, now: MonotonicTime, tier: Tier, work_ms: f64) {
        let rate = self.tiers.entry(tier).or_insert(ArrivalRate {
            work_ms: 0.0,
            at: now,
        });
        rate.work_ms = rate.work_ms_at(now) + work_ms;
        rate.at = now;
    }

    /// Returns the number of slots that arriving work of the tiers above `tier` keeps busy.
    pub(crate) fn slots_above(&self, now: MonotonicTime, tier: Tier) -> f64 {
        let above = self.tiers.range(..tier);
        let work_ms: f64 = above.map(|(_, rate)| rate.work_ms_at(now)).sum();
        work_ms / (ARRIVAL_WINDOW_S * 1e3)
    }
}

/// Predicts how long a new request waits for a slot, from the work ahead of it and the slots that higher tiers leave
/// free.
pub(crate) fn predicted_wait(work_ahead_ms: f64, slots: f64, slots_above: f64) -> Duration {
    let free = (slots - slots_above).max(slots * MIN_CAPACITY_SHARE);
    let ms = work_ahead_ms / free.max(0.1);
    Duration::from_secs_f64(ms.min(3.6e6) / 1e3)
}

/// Returns the longest time that a request may wait, given the time from its slot to its first event.
///
/// A new request that cannot be served on time is better refused at once with a retry-after time. A request that was
/// refused before may wait longer, since a second refusal leaves its caller no time for a third try. An answer that has
/// begun may wait until its caller gives up: a refusal would end it.
pub(crate) fn longest_wait(
    request: &SlotRequest,
    was_refused: bool,
    time_to_first_event: Duration,
) -> Duration {
    if request.has_begun() {
        return request.time_left;
    }
    if was_refused {
        return request.time_left.mul_f64(MAX_RETURNED_WAIT_SHARE);
    }
    let on_time = request.objective_left.saturating_sub(time_to_first_event);
    let extra = request.objective_left.mul_f64(EXTRA_WAIT_OBJECTIVES);
    (on_time + extra).min(request.time_left.mul_f64(MAX_WAIT_SHARE))
}

/// Builds the refusal of a request with content that crashes upstreams.
pub(crate) fn crashing_content() -> Refusal {
    Refusal {
        reason: RefusalReason::CrashSuspect,
        retry_after: CRASHING_CONTENT_RETRY_AFTER,
    }
}

/// Builds a refusal with a retry-after time of `wait`, limited to the permitted range.
pub(crate) fn refuse(reason: RefusalReason, wait: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}
