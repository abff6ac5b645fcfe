//! A service's part in a roll-out: which upstreams get which requests, and what their runs show about their version.

use {
    super::ServicePool,
    crate::{
        ids::MonotonicTime,
        limits::{
            FIRST_EVENT_BASE_MS, MEAN_SPEED_LIFETIME_PER_UPSTREAM, OVERDUE_AFTER,
            ROLLOUT_CANARY_UPSTREAMS,
        },
        messages::{RunOutcome, RunReport, SlotRequest},
        rollout::{
            Rollout, RolloutInputs, RolloutOrder, RolloutPhase, RolloutRules, RolloutStep,
            overdue_sample, sample_of,
        },
        speed::Speed,
        upstream::{LiveUpstream, Run},
    },
};

impl ServicePool {
    /// Starts the roll-out of an order, or updates it if the order is known already; its end may have changed.
    pub(crate) fn order_rollout(
        &mut self,
        now: MonotonicTime,
        order: RolloutOrder,
        rules: RolloutRules,
    ) {
        self.rollout_rules = rules;
        match &mut self.rollout {
            Some(rollout)
                if rollout.order().target_version == order.target_version
                    && rollout.order().number == order.number =>
            {
                rollout.update_order(order);
            }
            _ => self.rollout = Some(Rollout::new(now, order, self.canary_group())),
        }
    }

    /// Returns the number of canaries that are sent together, so that they load an upstream fully. For engines it is
    /// one: their runs are long enough to overlap anyway.
    fn canary_group(&self) -> u32 {
        let slots = self.upstreams.iter().map(LiveUpstream::slots).max();
        if self.engine.is_some() {
            return 1;
        }
        slots.unwrap_or(1)
    }

    /// Applies a decision about an order that was made elsewhere.
    pub(crate) fn settle_rollout(&mut self, number: u64, phase: RolloutPhase) {
        if let Some(rollout) = self
            .rollout
            .take_if(|rollout| rollout.order().number == number)
        {
            self.rollout = Some(rollout.settle(phase));
        }
    }

    /// Drops the roll-out whose order the operator withdrew.
    pub(crate) fn withdraw_rollout(&mut self) {
        self.rollout = None;
    }

    /// Advances the roll-out if it is due; returns the steps that have to be published.
    pub(crate) fn advance_rollout(&mut self, now: MonotonicTime) -> Vec<RolloutStep> {
        let rollout = self.rollout.as_ref();
        if !rollout.is_some_and(|rollout| rollout.is_due(now)) {
            return Vec::new();
        }
        self.record_overdue_runs(now);
        let inputs = self.rollout_inputs(now);
        let Some(rollout) = self.rollout.take() else {
            return Vec::new();
        };
        let (rollout, steps) = rollout.advance(inputs, self.rollout_rules);
        self.rollout = Some(rollout);
        steps
    }

    fn rollout_inputs(&self, now: MonotonicTime) -> RolloutInputs {
        let is_new = |upstream: &&LiveUpstream| self.is_of_new_version(upstream);
        let new_ready = self
            .upstreams
            .iter()
            .filter(is_new)
            .filter(|upstream| upstream.is_open());
        RolloutInputs {
            now,
            new_upstreams: new_ready.count(),
            may_decide: self.slot_share.is_none(),
        }
    }

    /// Counts runs that are long overdue as failed, at both versions. Their ends may come much later, since callers may
    /// wait until they time out.
    fn record_overdue_runs(&mut self, now: MonotonicTime) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        for upstream in &mut self.upstreams {
            let entry = &upstream.entry;
            for run in upstream.runs.values_mut().filter(|run| !run.is_overdue) {
                if now > run.end_expected_at + OVERDUE_AFTER {
                    run.is_overdue = true;
                    let sample = overdue_sample();
                    rollout.observe(&entry.version, &entry.id, &run.request.route, sample);
                }
            }
        }
    }

    fn is_of_new_version(&self, upstream: &LiveUpstream) -> bool {
        let rollout = self.rollout.as_ref();
        rollout.is_some_and(|rollout| rollout.is_new(&upstream.entry.version))
    }

    /// Whether requests other than canaries may go to an upstream.
    pub(super) fn takes_main_traffic(&self, upstream: &LiveUpstream) -> bool {
        let rollout = self.rollout.as_ref();
        rollout.is_none_or(|rollout| rollout.takes_main_traffic(&upstream.entry.version))
    }

    /// Whether streams that began at the upstream's software version may go on there.
    pub(super) fn takes_resumed_streams(&self, upstream: &LiveUpstream) -> bool {
        let rollout = self.rollout.as_ref();
        let sends_canaries = rollout.is_some_and(Rollout::sends_canaries);
        self.takes_main_traffic(upstream) || (sends_canaries && self.is_of_new_version(upstream))
    }

    /// Drops a completed roll-out once its version is gone: the version that replaced it was started without an order.
    pub(super) fn forget_replaced_rollout(&mut self) {
        let is_completed = |rollout: &mut Rollout| rollout.phase() == RolloutPhase::Completed;
        let Some(rollout) = self.rollout.take_if(is_completed) else {
            return;
        };
        let has_new_version = |upstream: &LiveUpstream| rollout.is_new(&upstream.entry.version);
        if self.upstreams.is_empty() || self.upstreams.iter().any(has_new_version) {
            self.rollout = Some(rollout);
        }
    }

    /// Counts a request for the roll-out; returns whether it becomes a canary.
    pub(super) fn count_for_rollout(&mut self, request: &SlotRequest) -> bool {
        // An owner that sees no majority cannot decide the roll-out, so it sends no canaries. A request that failed
        // before is not exposed to another risk.
        let is_eligible = request.previous_attempts == 0
            && request.required_version().is_none()
            && self.slot_share.is_none();
        let rules = self.rollout_rules;
        let rollout = self.rollout.as_mut();
        rollout.is_some_and(|rollout| rollout.admit_canary(&request.route, rules, is_eligible))
    }

    /// Returns the upstreams of the new version that get the next canaries and have a free slot.
    pub(super) fn free_canary_upstreams(&self, now: MonotonicTime) -> Vec<usize> {
        if !self.rollout.as_ref().is_some_and(Rollout::sends_canaries) {
            return Vec::new();
        }
        let upstreams = self.upstreams.iter().enumerate();
        let new = upstreams.filter(|(_, upstream)| self.is_of_new_version(upstream));
        let candidates = new
            .filter(|(_, upstream)| upstream.is_open())
            .take(ROLLOUT_CANARY_UPSTREAMS);
        let free: Vec<_> = candidates
            .filter(|(_, upstream)| upstream.has_free_slot(now))
            .map(|(index, upstream)| (index, upstream.canary_order()))
            .collect();
        let first = free.iter().map(|(_, order)| *order).min();
        let next = free.iter().filter(|(_, order)| Some(*order) == first);
        next.map(|(index, _)| *index).collect()
    }

    /// Returns the mean speed of the upstreams that take requests other than canaries. That of a large pool changes
    /// little from one request to the next and is computed only now and then.
    pub(super) fn mean_speed(&self, now: MonotonicTime) -> Speed {
        let lifetime = MEAN_SPEED_LIFETIME_PER_UPSTREAM * self.upstreams.len() as u32;
        if let Some((at, mean)) = self.mean_speed.get()
            && self.is_large()
            && now < at + lifetime
        {
            return mean;
        }
        let main = self
            .upstreams
            .iter()
            .filter(|upstream| self.takes_main_traffic(upstream));
        let mean = Speed::mean(main.map(|upstream| &upstream.speed));
        self.mean_speed.set(Some((now, mean)));
        mean
    }

    /// Adds the outcome and duration of a run to the evidence about its version.
    pub(super) fn observe_for_rollout(&mut self, index: usize, run: &Run, report: &RunReport) {
        // A cold upstream is slow whatever its version.
        let is_completed = report.outcome == RunOutcome::Completed;
        let is_cold_answer = run.began_cold && is_completed;
        // A run that went on did part of its work elsewhere.
        let is_partial = run.request.continues_at().is_some() && is_completed;
        if run.is_overdue
            || is_cold_answer
            || is_partial
            || !self.rollout.as_ref().is_some_and(Rollout::is_undecided)
        {
            return;
        }
        let expected_ms = self.expected_ms(&run.request, report);
        let took_ms = report.to_end.as_secs_f64() * 1e3;
        let Some(sample) = sample_of(report.outcome, took_ms, expected_ms) else {
            return;
        };
        let entry = &self.upstreams[index].entry;
        if let Some(rollout) = &mut self.rollout {
            rollout.observe(&entry.version, &entry.id, &run.request.route, sample);
        }
    }

    /// Predicts the duration of a run with the reported number of events at an otherwise idle upstream of the old
    /// version, in milliseconds.
    fn expected_ms(&self, request: &SlotRequest, report: &RunReport) -> f64 {
        if request.longest_pause.is_none() {
            return self.averages.plain_ms(&request.route);
        }
        let old = self
            .upstreams
            .iter()
            .filter(|upstream| !self.is_of_new_version(upstream));
        let speed = Speed::mean(old.map(|upstream| &upstream.speed));
        let read_ms = f64::from(request.size.prompt_tokens) * speed.prefill_ms_per_token;
        FIRST_EVENT_BASE_MS + read_ms + f64::from(report.events) * speed.ms_per_event
    }
}
