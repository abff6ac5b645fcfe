//! Refuses requests that would wait or have waited too long, and estimates waiting times.

use {
    super::ServicePool,
    crate::{
        account_shares::ShareClass,
        event::Effect,
        ids::{MonotonicTime, RunId, Tier},
        limits::{
            FIRST_EVENT_BASE_MS, LOWER_TIER_GRANT_MEMORY, MAX_RETRY_AFTER, RUN_SWEEP_INTERVAL,
        },
        messages::{RefusalReason, SlotDecision, SlotRequest},
        refusal::{predicted_wait, refuse},
        speed::Speed,
        upstream::{LiveUpstream, UnlistedRun},
    },
    std::{
        ops::Bound::{Excluded, Unbounded},
        time::Duration,
    },
};

impl ServicePool {
    /// Whether a request that goes behind one of this tier and share was granted a slot a moment ago: one of a lower tier, or
    /// of an account that received more of its share. In that case a long predicted wait is wrong, and the request must not
    /// be refused for overload.
    pub(super) fn granted_later_recently(
        &self,
        now: MonotonicTime,
        tier: Tier,
        share_class: ShareClass,
    ) -> bool {
        let mut later = self
            .granted_at
            .range((Excluded((tier, share_class)), Unbounded));
        later.any(|(_, at)| now.saturating_sub(*at) < LOWER_TIER_GRANT_MEMORY)
    }

    /// Refuses requests that have waited as long as they may, and drops runs whose end was never reported.
    pub(crate) fn expire_waiting(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        for queued in self.queue.take_expired(now) {
            self.refused
                .record(now, &queued.request, queued.first_requested_at);
            let share_class = queued.share_class;
            let ahead_ms = self
                .queue
                .work_ahead_ms(now, &queued.request, share_class, true);
            let work_ms = ahead_ms + queued.run_ms;
            let wait = self.estimate_wait(now, &queued.request, queued.run_ms, work_ms);
            let reason = self.refusal_reason();
            self.note_share_refusal(reason, share_class);
            effects.push(Effect {
                run: queued.request.run,
                decision: SlotDecision::Refused(refuse(reason, wait)),
            });
            self.refused_waiting.push(queued.request);
        }
        if !self.is_large() || now >= self.swept_at + RUN_SWEEP_INTERVAL {
            self.forget_old_runs(now);
        }
    }

    fn forget_old_runs(&mut self, now: MonotonicTime) {
        self.swept_at = now;
        for upstream in &mut self.upstreams {
            upstream.forget_old_runs(now);
        }
        let upstreams = &self.upstreams;
        self.run_index
            .retain(|run, index| upstreams[*index].runs.contains_key(run));
        self.unlisted_runs
            .retain(|_, UnlistedRun { run, .. }| now < run.end_expected_at + run.request.time_left);
    }

    /// Remembers a request that is refused without having been queued.
    pub(crate) fn record_immediate_refusal(&mut self, now: MonotonicTime, request: &SlotRequest) {
        let first = self.refused.first_requested_at(now, request.fingerprint);
        self.refused.record(now, request, first.unwrap_or(now));
    }

    /// Refuses a new request that was not queued.
    pub(super) fn refuse_new(
        &mut self,
        now: MonotonicTime,
        request: &SlotRequest,
        reason: RefusalReason,
        effects: &mut Vec<Effect>,
    ) {
        self.record_immediate_refusal(now, request);
        effects.push(Effect {
            run: request.run,
            decision: SlotDecision::Refused(refuse(reason, MAX_RETRY_AFTER)),
        });
    }

    /// Whether the service has upstreams, but evacuations, the regions of the request and the software version that it needs
    /// leave none of them. Such a request would wait in vain.
    pub(super) fn is_unservable(&self, request: &SlotRequest) -> bool {
        let is_bound = request.required_version().is_some();
        let is_affected = self.has_evacuated || request.allowed_data_centres.is_some() || is_bound;
        if !is_affected || self.upstreams.is_empty() {
            return false;
        }
        let takes_stream = |upstream: &LiveUpstream| {
            !is_bound || (upstream.is_open() && self.takes_resumed_streams(upstream))
        };
        !self.upstreams.iter().any(|upstream| {
            !upstream.is_evacuated && request.permits(&upstream.entry) && takes_stream(upstream)
        })
    }

    /// Refuses the waiting requests for which no upstream is left.
    pub(crate) fn refuse_unservable(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if !self.has_evacuated && !self.queue.has_bound_to_version() {
            return;
        }
        let unservable = self
            .queue
            .iter()
            .filter(|queued| self.is_unservable(&queued.request));
        let runs: Vec<RunId> = unservable.map(|queued| queued.request.run).collect();
        for run in runs {
            if let Some(queued) = self.queue.remove(run) {
                self.refuse_new(now, &queued.request, RefusalReason::NoUpstream, effects);
                self.refused_waiting.push(queued.request);
            }
        }
    }

    /// Refuses one request of the queue.
    pub(super) fn refuse_waiting(
        &mut self,
        now: MonotonicTime,
        run: RunId,
        wait: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let reason = self.refusal_reason();
        if let Some(queued) = self.queue.remove(run) {
            self.refused
                .record(now, &queued.request, queued.first_requested_at);
            self.note_share_refusal(reason, queued.share_class);
            effects.push(Effect {
                run: queued.request.run,
                decision: SlotDecision::Refused(refuse(reason, wait)),
            });
        }
    }

    fn note_share_refusal(&mut self, reason: RefusalReason, share_class: ShareClass) {
        if reason == RefusalReason::Overloaded {
            self.share_refusals.push(share_class);
        }
    }

    fn refusal_reason(&self) -> RefusalReason {
        let has_ready_upstream = self
            .upstreams
            .iter()
            .any(|upstream| upstream.is_open() && self.takes_main_traffic(upstream));
        if has_ready_upstream {
            RefusalReason::Overloaded
        } else {
            RefusalReason::NoUpstream
        }
    }

    /// Estimates how long a request waits for a slot that it needs for `run_ms`. `work_ms` is the work that is served up
    /// to and including the request itself, whose own work stands for the time until the next slot becomes free.
    pub(super) fn estimate_wait(
        &self,
        now: MonotonicTime,
        request: &SlotRequest,
        run_ms: f64,
        work_ms: f64,
    ) -> Duration {
        let slots: f64 = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_usable(now) && self.takes_main_traffic(upstream))
            .filter(|upstream| request.permits_data_centre(&upstream.entry.data_centre))
            .map(|upstream| upstream.effective_slots(run_ms))
            .sum();
        if slots == 0.0 {
            return self.shortest_back_off(now);
        }
        let above = self.arrivals.slots_above(now, request.tier);
        predicted_wait(work_ms, slots, above)
    }

    /// Returns the time until the first of the ready upstreams' requested back-offs is over; zero if one of them
    /// requested none.
    fn shortest_back_off(&self, now: MonotonicTime) -> Duration {
        let main = self
            .upstreams
            .iter()
            .filter(|upstream| self.takes_main_traffic(upstream));
        let ready = main.filter(|upstream| upstream.is_open());
        let ends_at = ready
            .map(|upstream| upstream.requested_back_off.until())
            .min();
        ends_at.unwrap_or_default().saturating_sub(now)
    }

    /// Predicts the time to the first event, and the duration of the whole run in milliseconds, at an otherwise idle
    /// upstream of the given mean speed.
    pub(super) fn durations_at_mean_speed(
        &self,
        request: &SlotRequest,
        mean: Speed,
    ) -> (Duration, f64) {
        let Some(_) = request.longest_pause else {
            let ms = self.averages.plain_ms(&request.route);
            return (Duration::from_secs_f64(ms / 1e3), ms);
        };
        let model = self.model();
        let read_ms = f64::from(request.size.prompt_tokens) * mean.prefill_ms_per_token;
        let first_ms = FIRST_EVENT_BASE_MS + read_ms;
        let events = model
            .averages
            .events(&request.route, &request.size, model.tokens_per_event);
        let run_ms = first_ms + events * mean.ms_per_event;
        (Duration::from_secs_f64(first_ms / 1e3), run_ms)
    }
}
