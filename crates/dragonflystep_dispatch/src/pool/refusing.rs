//! Who may not wait, and what is told to those who are refused.

use {
    super::ServicePool,
    crate::{
        dispatcher::Effect,
        ids::{MonotonicTime, RunId, Tier},
        limits::{FIRST_EVENT_BASE_MS, SERVED_BELOW_MEMORY},
        messages::{RefusalReason, SlotDecision, SlotRequest},
        refusal::{predicted_wait, refuse},
        speed::Speed,
        upstream::UpstreamPhase,
    },
    std::time::Duration,
};

impl ServicePool {
    /// Whether a lower tier got a place a moment ago; then the prediction of a long wait is wrong, and a
    /// request of `tier` is not refused for load.
    pub(super) fn serves_below(&self, now: MonotonicTime, tier: Tier) -> bool {
        let mut below = self.granted_at.range(tier.saturating_add(1)..);
        below.any(|(_, at)| now.saturating_sub(*at) < SERVED_BELOW_MEMORY)
    }

    /// Refuses those who have waited as long as they may.
    pub(crate) fn expire_waiting(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        for waiting in self.queue.take_expired(now) {
            self.refused
                .record(now, &waiting.request, waiting.first_requested_at);
            let wait = self.estimate_wait(now, waiting.request.tier, true, waiting.run_ms);
            effects.push(Effect {
                run: waiting.request.run,
                decision: SlotDecision::Refused(refuse(self.reason_to_refuse(), wait)),
            });
        }
        for upstream in &mut self.upstreams {
            upstream.forget_old_runs(now);
        }
        self.unlisted_runs
            .retain(|_, run| now < run.end_expected_at + run.request.time_left);
    }

    /// Remembers a request that is refused before it came to wait.
    pub(crate) fn note_refused_at_once(&mut self, now: MonotonicTime, request: &SlotRequest) {
        let first = self.refused.first_requested_at(now, request.fingerprint);
        self.refused.record(now, request, first.unwrap_or(now));
    }

    pub(super) fn refuse_waiting(
        &mut self,
        now: MonotonicTime,
        run: RunId,
        wait: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let reason = self.reason_to_refuse();
        if let Some(waiting) = self.queue.remove(run) {
            self.refused
                .record(now, &waiting.request, waiting.first_requested_at);
            effects.push(Effect {
                run: waiting.request.run,
                decision: SlotDecision::Refused(refuse(reason, wait)),
            });
        }
    }

    fn reason_to_refuse(&self) -> RefusalReason {
        let is_there_one = self
            .upstreams
            .iter()
            .any(|one| one.entry.phase == UpstreamPhase::Ready && self.takes_main_traffic(one));
        if is_there_one {
            RefusalReason::Overloaded
        } else {
            RefusalReason::NoUpstream
        }
    }

    pub(super) fn estimate_wait(
        &mut self,
        now: MonotonicTime,
        tier: Tier,
        is_late: bool,
        own_run_ms: f64,
    ) -> Duration {
        let slots: f64 = self
            .upstreams
            .iter()
            .filter(|one| one.is_usable(now) && self.takes_main_traffic(one))
            .map(|one| one.effective_slots(own_run_ms))
            .sum();
        if slots == 0.0 {
            return self.shortest_rest(now);
        }
        // The next place comes free after a fraction of a run.
        let work_ms = self.queue.work_ahead_ms(now, tier, is_late) + own_run_ms;
        let above = self.arrivals.slots_above(now, tier);
        predicted_wait(work_ms, slots, above)
    }

    /// Time until the first upstream has rested as long as it wanted.
    fn shortest_rest(&self, now: MonotonicTime) -> Duration {
        let main = self
            .upstreams
            .iter()
            .filter(|one| self.takes_main_traffic(one));
        let ready = main.filter(|one| one.entry.phase == UpstreamPhase::Ready);
        let over_at = ready.map(|one| one.requested_back_off.until()).min();
        over_at.unwrap_or_default().saturating_sub(now)
    }

    /// Time to the first event, and milliseconds of the whole run, at an upstream of the joint speed without other work.
    pub(super) fn joint_durations(&self, request: &SlotRequest, joint: Speed) -> (Duration, f64) {
        let Some(_) = request.longest_pause else {
            let ms = self.averages.plain_ms(&request.route);
            return (Duration::from_secs_f64(ms / 1e3), ms);
        };
        let model = self.model();
        let read_ms = f64::from(request.size.prompt_tokens) * joint.prefill_ms_per_token;
        let first_ms = FIRST_EVENT_BASE_MS + read_ms;
        let events = model
            .averages
            .events(&request.route, &request.size, model.tokens_per_event);
        let run_ms = first_ms + events * joint.ms_per_event;
        (Duration::from_secs_f64(first_ms / 1e3), run_ms)
    }
}
