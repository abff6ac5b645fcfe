//! Which of a service's upstreams are cold or evacuated.

use {
    super::ServicePool,
    crate::{
        catalogue::WarmUp,
        ids::{DataCentreName, MonotonicTime},
        warm_up::WarmUpRules,
    },
    std::collections::BTreeSet,
};

impl ServicePool {
    /// Changes how the upstreams of the service warm up.
    pub(crate) fn set_warm_up(&mut self, now: MonotonicTime, warm_up: Option<WarmUp>) {
        self.warm_up = warm_up;
        self.apply_cold_limit(now);
    }

    /// Changes how many requests a cold upstream may get.
    pub(crate) fn set_warm_up_rules(&mut self, now: MonotonicTime, rules: WarmUpRules) {
        self.warm_up_rules = rules;
        self.apply_cold_limit(now);
    }

    /// Returns the requests per second that this owner may send to a cold upstream; `None` if there is no warm-up.
    pub(super) fn cold_limit_per_s(&self) -> Option<f64> {
        self.warm_up
            .map(|warm_up| self.warm_up_rules.paced_rate_per_s(warm_up))
    }

    fn apply_cold_limit(&mut self, now: MonotonicTime) {
        let (limit_per_s, share) = (self.cold_limit_per_s(), self.rate_share());
        for upstream in &mut self.upstreams {
            upstream.set_cold_limit(now, limit_per_s, share);
        }
    }

    /// Marks the upstreams of evacuated data centres. Those whose evacuation ended count as cold, because they ran
    /// nothing meanwhile and may have been restarted.
    pub(crate) fn set_evacuated(
        &mut self,
        now: MonotonicTime,
        evacuated: &BTreeSet<DataCentreName>,
    ) {
        let (warm_up, share) = (self.warm_up, self.rate_share());
        self.has_evacuated = false;
        for upstream in &mut self.upstreams {
            let was_evacuated = upstream.is_evacuated;
            upstream.is_evacuated = evacuated.contains(&upstream.entry.data_centre);
            self.has_evacuated |= upstream.is_evacuated;
            if let Some(warm_up) = warm_up
                && was_evacuated
                && !upstream.is_evacuated
            {
                upstream.assume_cold(now, warm_up.duration, share);
            }
        }
    }

    /// Counts the upstream at `index` as cold because it could not be reached. It may come back cold before the registry
    /// says so.
    pub(super) fn assume_restarted(&mut self, now: MonotonicTime, index: usize) {
        let share = self.rate_share();
        if let Some(warm_up) = self.warm_up {
            self.upstreams[index].assume_cold(now, warm_up.duration, share);
        }
    }

    /// Lifts the limits of upstreams that have warmed up.
    pub(crate) fn end_warm_ups(&mut self, now: MonotonicTime) {
        if self.warm_up.is_none() {
            return;
        }
        let share = self.rate_share();
        for upstream in &mut self.upstreams {
            if !upstream.is_cold(now) {
                upstream.update_pacer(now, share);
            }
        }
    }
}
