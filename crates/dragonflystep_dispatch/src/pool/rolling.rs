//! A service's side of a roll-out: which upstreams get which requests, and what their runs show.

use {
    super::ServicePool,
    crate::{
        ids::MonotonicTime,
        limits::{FIRST_EVENT_BASE_MS, OVERDUE_AFTER, ROLLOUT_CANARY_UPSTREAMS},
        messages::{RunReport, SlotRequest},
        rollout::{
            Rollout, RolloutInputs, RolloutOrder, RolloutPhase, RolloutRules, RolloutStep,
            overdue_sample, sample_of,
        },
        speed::Speed,
        upstream::{LiveUpstream, Run, UpstreamPhase},
    },
};

impl ServicePool {
    /// Takes over an order; one of the same number may have another end.
    pub(crate) fn order_rollout(
        &mut self,
        now: MonotonicTime,
        order: RolloutOrder,
        rules: RolloutRules,
    ) {
        self.rollout_rules = rules;
        match &mut self.rollout {
            Some(rollout)
                if rollout.order().to == order.to && rollout.order().number == order.number =>
            {
                rollout.renew(order);
            }
            _ => self.rollout = Some(Rollout::new(now, order, self.canary_group())),
        }
    }

    /// Canaries that are sent together. Runs of engines are long, so that they meet one another anyway.
    fn canary_group(&self) -> u32 {
        let slots = self.upstreams.iter().map(LiveUpstream::slots).max();
        if self.engine.is_some() {
            return 1;
        }
        slots.unwrap_or(1)
    }

    /// Takes over what was decided of an order elsewhere.
    pub(crate) fn settle_rollout(&mut self, number: u64, phase: RolloutPhase) {
        if let Some(rollout) = self
            .rollout
            .take_if(|rollout| rollout.order().number == number)
        {
            self.rollout = Some(rollout.settle(phase));
        }
    }

    /// Forgets an order that the operator has withdrawn.
    pub(crate) fn withdraw_rollout(&mut self) {
        self.rollout = None;
    }

    /// Goes on with a roll-out where it is time; returns the steps that others have to learn of.
    pub(crate) fn advance_rollout(&mut self, now: MonotonicTime) -> Vec<RolloutStep> {
        let rollout = self.rollout.as_ref();
        if !rollout.is_some_and(|rollout| rollout.is_due(now)) {
            return Vec::new();
        }
        self.note_overdue(now);
        let inputs = self.rollout_inputs(now);
        let Some(rollout) = self.rollout.take() else {
            return Vec::new();
        };
        let (rollout, steps) = rollout.advance(inputs, self.rollout_rules);
        self.rollout = Some(rollout);
        steps
    }

    fn rollout_inputs(&self, now: MonotonicTime) -> RolloutInputs {
        let is_new = |one: &&LiveUpstream| self.is_of_new_version(one);
        let new_ready = self
            .upstreams
            .iter()
            .filter(is_new)
            .filter(|one| one.entry.phase == UpstreamPhase::Ready);
        RolloutInputs {
            now,
            new_upstreams: new_ready.count(),
            may_decide: self.places_share.is_none(),
        }
    }

    /// Counts runs that take far too long, at both versions; their callers may wait until their time is over.
    fn note_overdue(&mut self, now: MonotonicTime) {
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

    /// Whether requests that are no canaries may go to an upstream.
    pub(super) fn takes_main_traffic(&self, upstream: &LiveUpstream) -> bool {
        let rollout = self.rollout.as_ref();
        rollout.is_none_or(|rollout| rollout.takes_main_traffic(&upstream.entry.version))
    }

    /// Forgets a roll-out that was completed once its version is gone: what came after it came without an order.
    pub(super) fn forget_replaced_rollout(&mut self) {
        let is_completed = |rollout: &mut Rollout| rollout.phase() == RolloutPhase::Completed;
        let Some(rollout) = self.rollout.take_if(is_completed) else {
            return;
        };
        let is_there = |one: &LiveUpstream| rollout.is_new(&one.entry.version);
        if self.upstreams.is_empty() || self.upstreams.iter().any(is_there) {
            self.rollout = Some(rollout);
        }
    }

    /// Counts a request; says whether it is to be a canary.
    pub(super) fn note_for_rollout(&mut self, request: &SlotRequest) -> bool {
        // Who sees no majority decides nothing, and a request that failed before is not put at risk again.
        let may_be = request.attempt == 0 && self.places_share.is_none();
        let rules = self.rollout_rules;
        let rollout = self.rollout.as_mut();
        rollout.is_some_and(|rollout| rollout.admit_canary(&request.route, rules, may_be))
    }

    /// Upstreams of the new version that have room for canaries.
    pub(super) fn canary_room(&self, now: MonotonicTime) -> Vec<usize> {
        if !self.rollout.as_ref().is_some_and(Rollout::sends_canaries) {
            return Vec::new();
        }
        let upstreams = self.upstreams.iter().enumerate();
        let new = upstreams.filter(|(_, one)| self.is_of_new_version(one));
        let tried = new
            .filter(|(_, one)| one.entry.phase == UpstreamPhase::Ready)
            .take(ROLLOUT_CANARY_UPSTREAMS);
        let free: Vec<_> = tried
            .filter(|(_, one)| one.has_free_slot(now))
            .map(|(index, one)| (index, one.canary_turn()))
            .collect();
        let first = free.iter().map(|(_, turn)| *turn).min();
        let next = free.iter().filter(|(_, turn)| Some(*turn) == first);
        next.map(|(index, _)| *index).collect()
    }

    /// The speed of the upstreams to which requests go that are no canaries.
    pub(super) fn joint_speed(&self) -> Speed {
        let main = self
            .upstreams
            .iter()
            .filter(|one| self.takes_main_traffic(one));
        Speed::joint(main.map(|one| &one.speed))
    }

    /// Adds what a run showed of its version.
    pub(super) fn observe_for_rollout(&mut self, index: usize, run: &Run, ended: &RunReport) {
        if run.is_overdue || !self.rollout.as_ref().is_some_and(Rollout::is_undecided) {
            return;
        }
        let expected_ms = self.expected_ms(&run.request, ended);
        let took_ms = ended.to_end.as_secs_f64() * 1e3;
        let Some(sample) = sample_of(ended.outcome, took_ms, expected_ms) else {
            return;
        };
        let entry = &self.upstreams[index].entry;
        if let Some(rollout) = &mut self.rollout {
            rollout.observe(&entry.version, &entry.id, &run.request.route, sample);
        }
    }

    /// Milliseconds that a run with so many events takes at an upstream of the old version with nothing else to do.
    fn expected_ms(&self, request: &SlotRequest, ended: &RunReport) -> f64 {
        if request.longest_pause.is_none() {
            return self.averages.plain_ms(&request.route);
        }
        let old = self
            .upstreams
            .iter()
            .filter(|one| !self.is_of_new_version(one));
        let speed = Speed::joint(old.map(|one| &one.speed));
        let read_ms = f64::from(request.size.prompt_tokens) * speed.prefill_ms_per_token;
        FIRST_EVENT_BASE_MS + read_ms + f64::from(ended.events) * speed.ms_per_event
    }
}
