//! Moves a service's requests to upstreams of another version, or back if that version turns out to be bad.
//!
//! The load it answers: all requests of a service, while its upstreams run side by side in two versions. The new one may
//! fail or be slow at once, later, only under load or on one route only, and few requests may show it. So a small share of
//! the requests goes there as canaries for most of the time; at the end all of them do, for as long as the permitted
//! exposure lasts, and only then is the order completed, since the old upstreams stop at that moment.

mod evidence;
mod exposure;

use {
    self::{
        evidence::{Evidence, Sample},
        exposure::Exposure,
    },
    crate::{
        ids::{MonotonicTime, RouteName, ServiceName, UpstreamId, UpstreamVersion},
        limits::{
            ROLLOUT_EXPOSURE_USE, ROLLOUT_JUDGE_INTERVAL, ROLLOUT_MAX_SWITCH,
            ROLLOUT_MIN_COMPARED_MS, ROLLOUT_RECENT, ROLLOUT_SETTLE_MARGIN, ROLLOUT_SLACK_USE,
        },
        messages::RunOutcome,
    },
    std::time::Duration,
};

/// An operator's order to move a service's requests to another version of its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that its requests are to go to.
    pub to: UpstreamVersion,
    /// Tells orders apart; a later one has a higher number.
    pub number: u64,
    /// When it has to be decided.
    pub ends_at: MonotonicTime,
}

/// How a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RolloutPhase {
    /// Both versions serve.
    Serving,
    /// All requests go to the new version.
    Completed,
    /// The new version gets no more requests.
    RolledBack,
}

impl RolloutPhase {
    /// Its name in logs and metrics.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::RolloutPhase;
    ///
    /// assert_eq!(RolloutPhase::RolledBack.name(), "rolled_back");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// How many requests a version that turns out to be bad may get.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutRules {
    /// Share of the service's requests between the order and its end.
    pub exposed_share: f64,
    /// Requests besides.
    pub exposed_slack: f64,
}

/// A step of a roll-out that others have to learn of.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStep {
    /// The order.
    pub order: RolloutOrder,
    /// How it stands from now on.
    pub phase: RolloutPhase,
    /// Why, for logs.
    pub reason: String,
}

/// Which upstreams get the requests that are no canaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Track {
    Old,
    New,
}

/// Canaries go to the new version, all other requests to the old one.
#[derive(Debug)]
struct Canary;

/// All requests go to the new version, while the old one could still take them back.
#[derive(Debug)]
struct Switching {
    until: MonotonicTime,
}

/// The order is decided.
#[derive(Debug)]
struct Settled {
    phase: RolloutPhase,
}

#[derive(Debug)]
struct Stage<S> {
    order: RolloutOrder,
    evidence: Evidence,
    exposure: Exposure,
    state: S,
}

impl<S> Stage<S> {
    fn into_state<T>(self, state: T) -> Stage<T> {
        Stage {
            order: self.order,
            evidence: self.evidence,
            exposure: self.exposure,
            state,
        }
    }

    fn settle(self, phase: RolloutPhase) -> Stage<Settled> {
        self.into_state(Settled { phase })
    }
}

impl Stage<Canary> {
    fn switch(self, until: MonotonicTime) -> Stage<Switching> {
        self.into_state(Switching { until })
    }

    /// How long all requests may go to the new version before the order ends.
    fn switch_length(&self, now: MonotonicTime, rules: RolloutRules) -> Duration {
        if now >= self.order.ends_at {
            return ROLLOUT_MAX_SWITCH;
        }
        let left_s = self.order.ends_at.saturating_sub(now).as_secs_f64();
        let expected = self.exposure.expected_requests(now, left_s);
        let permitted = rules.exposed_share * ROLLOUT_EXPOSURE_USE * expected
            + rules.exposed_slack * ROLLOUT_SLACK_USE;
        let left = (permitted - self.exposure.exposed()).max(0.0);
        let length_s = left / self.exposure.requests_per_s(now).max(1.0);
        Duration::from_secs_f64(length_s).min(ROLLOUT_MAX_SWITCH)
    }
}

#[derive(Debug)]
enum Stages {
    Canary(Stage<Canary>),
    Switching(Stage<Switching>),
    Settled(Stage<Settled>),
}

/// A roll-out at the owner of its service.
#[derive(Debug)]
pub(crate) struct Rollout {
    stages: Stages,
    judged_at: MonotonicTime,
    recent_since: MonotonicTime,
    is_announced: bool,
}

/// What the owner knows of the service's upstreams at a moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutInputs {
    pub(crate) now: MonotonicTime,
    /// Upstreams of the new version that take requests.
    pub(crate) new_upstreams: usize,
    /// Whether this owner sees most of the nodes.
    pub(crate) may_decide: bool,
}

impl Rollout {
    /// A roll-out that begins now, with canaries in groups of `group`.
    pub(crate) fn new(now: MonotonicTime, order: RolloutOrder, group: u32) -> Self {
        Self {
            stages: Stages::Canary(Stage {
                order,
                evidence: Evidence::default(),
                exposure: Exposure::new(now, group),
                state: Canary,
            }),
            judged_at: now,
            recent_since: now,
            is_announced: false,
        }
    }

    fn order_mut(&mut self) -> &mut RolloutOrder {
        match &mut self.stages {
            Stages::Canary(stage) => &mut stage.order,
            Stages::Switching(stage) => &mut stage.order,
            Stages::Settled(stage) => &mut stage.order,
        }
    }

    pub(crate) fn order(&self) -> &RolloutOrder {
        match &self.stages {
            Stages::Canary(stage) => &stage.order,
            Stages::Switching(stage) => &stage.order,
            Stages::Settled(stage) => &stage.order,
        }
    }

    pub(crate) fn phase(&self) -> RolloutPhase {
        match &self.stages {
            Stages::Canary(_) | Stages::Switching(_) => RolloutPhase::Serving,
            Stages::Settled(stage) => stage.state.phase,
        }
    }

    /// Takes over the order's end as another node knows it.
    pub(crate) fn renew(&mut self, order: RolloutOrder) {
        *self.order_mut() = order;
    }

    /// Takes over what was decided elsewhere.
    pub(crate) fn settle(self, phase: RolloutPhase) -> Self {
        let stages = match self.stages {
            _ if phase == RolloutPhase::Serving => self.stages,
            Stages::Canary(stage) => Stages::Settled(stage.settle(phase)),
            Stages::Switching(stage) => Stages::Settled(stage.settle(phase)),
            Stages::Settled(stage) => Stages::Settled(stage.settle(phase)),
        };
        Self { stages, ..self }
    }

    fn main_track(&self) -> Track {
        match &self.stages {
            Stages::Canary(_) => Track::Old,
            Stages::Switching(_) => Track::New,
            Stages::Settled(stage) => match stage.state.phase {
                RolloutPhase::Completed => Track::New,
                RolloutPhase::Serving | RolloutPhase::RolledBack => Track::Old,
            },
        }
    }

    /// Whether requests that are no canaries may go to an upstream of `version`.
    pub(crate) fn takes_main_traffic(&self, version: &UpstreamVersion) -> bool {
        self.is_new(version) == (self.main_track() == Track::New)
    }

    pub(crate) fn is_new(&self, version: &UpstreamVersion) -> bool {
        *version == self.order().to
    }

    /// Whether canaries are sent now.
    pub(crate) fn sends_canaries(&self) -> bool {
        matches!(self.stages, Stages::Canary(_))
    }

    /// Whether both versions are being compared.
    pub(crate) fn is_undecided(&self) -> bool {
        self.phase() == RolloutPhase::Serving
    }

    /// Counts a request of the service; says whether it is to be a canary.
    pub(crate) fn admit_canary(
        &mut self,
        route: &RouteName,
        rules: RolloutRules,
        may_be: bool,
    ) -> bool {
        match &mut self.stages {
            Stages::Canary(stage) => stage.exposure.admit_canary(route, rules, may_be),
            Stages::Switching(stage) => {
                stage.exposure.asked_in_switch(route);
                false
            }
            Stages::Settled(_) => false,
        }
    }

    /// Records how a run of either version ended.
    pub(crate) fn observe(
        &mut self,
        version: &UpstreamVersion,
        upstream: &UpstreamId,
        route: &RouteName,
        sample: Sample,
    ) {
        let is_new = self.is_new(version);
        match &mut self.stages {
            Stages::Canary(stage) => stage.evidence.add(is_new, upstream, route, sample),
            Stages::Switching(stage) => stage.evidence.add(is_new, upstream, route, sample),
            Stages::Settled(_) => {}
        }
    }

    /// Whether it is time to look at the evidence, or the order has not been announced yet.
    pub(crate) fn is_due(&self, now: MonotonicTime) -> bool {
        let is_time = now.saturating_sub(self.judged_at) >= ROLLOUT_JUDGE_INTERVAL;
        self.is_undecided() && (is_time || !self.is_announced)
    }

    /// Goes on to the next stage where it is time; returns the steps that others have to learn of.
    pub(crate) fn advance(
        mut self,
        inputs: RolloutInputs,
        rules: RolloutRules,
    ) -> (Self, Vec<RolloutStep>) {
        let mut steps = Vec::new();
        if !inputs.may_decide || !self.has_requests() {
            return (self, steps);
        }
        if !self.is_announced {
            self.is_announced = true;
            steps.push(self.step("the order is known"));
        }
        self.judged_at = inputs.now;
        if inputs.now.saturating_sub(self.recent_since) > ROLLOUT_RECENT {
            self.recent_since = inputs.now;
            self.reset_recent();
        }
        let (stages, reason) = match self.stages {
            Stages::Canary(stage) => advance_canary(stage, inputs, rules),
            Stages::Switching(stage) => advance_switch(stage, inputs),
            Stages::Settled(stage) => (Stages::Settled(stage), None),
        };
        self.stages = stages;
        if let Some(reason) = reason {
            steps.push(self.step(&reason));
        }
        (self, steps)
    }

    fn reset_recent(&mut self) {
        match &mut self.stages {
            Stages::Canary(stage) => stage.evidence.reset_recent(),
            Stages::Switching(stage) => stage.evidence.reset_recent(),
            Stages::Settled(_) => {}
        }
    }

    fn has_requests(&self) -> bool {
        match &self.stages {
            Stages::Canary(stage) => stage.exposure.has_requests(),
            Stages::Switching(stage) => stage.exposure.has_requests(),
            Stages::Settled(_) => false,
        }
    }

    fn step(&self, reason: &str) -> RolloutStep {
        RolloutStep {
            order: self.order().clone(),
            phase: self.phase(),
            reason: reason.to_owned(),
        }
    }
}

/// From canaries to the switch, or back; the text is the reason of a decision.
fn advance_canary(
    stage: Stage<Canary>,
    inputs: RolloutInputs,
    rules: RolloutRules,
) -> (Stages, Option<String>) {
    if let Some(fault) = stage.evidence.fault() {
        return (
            Stages::Settled(stage.settle(RolloutPhase::RolledBack)),
            Some(fault),
        );
    }
    let is_over = inputs.now >= stage.order.ends_at;
    if is_over && inputs.new_upstreams == 0 {
        let reason = "no upstream of the new version takes requests".to_owned();
        return (
            Stages::Settled(stage.settle(RolloutPhase::RolledBack)),
            Some(reason),
        );
    }
    let length = stage.switch_length(inputs.now, rules);
    // All requests go to the new version from the switch to the order's end, whether it is completed by then or not.
    let is_time = inputs.now + length >= stage.order.ends_at;
    if !is_time || inputs.new_upstreams == 0 || !stage.evidence.is_sufficient() {
        return (Stages::Canary(stage), None);
    }
    let until = if is_over {
        inputs.now + length
    } else {
        stage.order.ends_at.saturating_sub(ROLLOUT_SETTLE_MARGIN)
    };
    (Stages::Switching(stage.switch(until)), None)
}

/// From the switch to the end, or back.
fn advance_switch(stage: Stage<Switching>, inputs: RolloutInputs) -> (Stages, Option<String>) {
    if let Some(fault) = stage.evidence.fault() {
        return (
            Stages::Settled(stage.settle(RolloutPhase::RolledBack)),
            Some(fault),
        );
    }
    if inputs.now < stage.state.until {
        return (Stages::Switching(stage), None);
    }
    let reason = stage.evidence.describe();
    (
        Stages::Settled(stage.settle(RolloutPhase::Completed)),
        Some(reason),
    )
}

/// What a run says of its version that has not ended long after it should have.
pub(crate) fn overdue_sample() -> Sample {
    Sample::Failed
}

/// What a run's end says of its version; nothing if it says nothing.
pub(crate) fn sample_of(outcome: RunOutcome, took_ms: f64, expected_ms: f64) -> Option<Sample> {
    let compared_ms = |ms: f64| ms.max(ROLLOUT_MIN_COMPARED_MS);
    let log_ratio = (compared_ms(took_ms) / compared_ms(expected_ms)).ln();
    match outcome {
        RunOutcome::Completed => Some(Sample::Answered { log_ratio }),
        RunOutcome::Failed | RunOutcome::Broken => Some(Sample::Failed),
        // A caller that left, or the time that ran out, says something only of a run that took far too long.
        RunOutcome::Cancelled => {
            (log_ratio > evidence::SLOW_LOG_RATIO).then_some(Sample::Answered { log_ratio })
        }
        RunOutcome::Rejected
        | RunOutcome::Misdirected
        | RunOutcome::Unreachable
        | RunOutcome::Withheld => None,
    }
}
