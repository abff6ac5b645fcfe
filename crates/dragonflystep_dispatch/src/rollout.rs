//! Roll-outs: move a service's requests to upstreams of a new version, and back if that version turns out to be bad.
//!
//! Upstreams of both versions run side by side. The new version may fail or be slow from the beginning or only later,
//! only under load, or only on one route, and only a limited number of requests may be exposed to find out. So for most
//! of the time a small share of the requests goes to the new version as canaries. At the end all requests go there, for
//! as long as the permitted exposure lasts. Only then is the order completed, since the old upstreams stop at that
//! moment.

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
            ROLLOUT_EVALUATION_INTERVAL, ROLLOUT_EXPOSURE_USE, ROLLOUT_MAX_SWITCH,
            ROLLOUT_MIN_COMPARED_MS, ROLLOUT_RECENT_WINDOW, ROLLOUT_SETTLE_MARGIN,
            ROLLOUT_SLACK_USE,
        },
        messages::RunOutcome,
    },
    std::time::Duration,
};

/// An operator's order to move a service's requests to another version of its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The service that is rolled out.
    pub service: ServiceName,
    /// The new version, to which the service's requests move.
    pub target_version: UpstreamVersion,
    /// Number of the order; a later order has a higher number.
    pub number: u64,
    /// Time by which the order has to be decided.
    pub ends_at: MonotonicTime,
}

/// State of a roll-out as other nodes and operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RolloutPhase {
    /// Undecided: both versions may serve requests.
    Serving,
    /// All requests go to the new version.
    Completed,
    /// The new version gets no more requests.
    RolledBack,
}

impl RolloutPhase {
    /// Returns the name of the phase in logs and metrics.
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

/// The permitted exposure: how many requests a version that turns out to be bad may get.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutRules {
    /// Permitted share of the service's requests between the order and its end.
    pub exposed_share: f64,
    /// Number of permitted requests in addition to that share.
    pub exposed_slack: f64,
}

/// A step of a roll-out that has to be published to other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStep {
    /// The order that the step belongs to.
    pub order: RolloutOrder,
    /// Phase of the roll-out after the step.
    pub phase: RolloutPhase,
    /// Reason of the step, for logs.
    pub reason: String,
}

/// The version that gets all requests other than canaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MainVersion {
    Old,
    New,
}

/// Stage in which canaries go to the new version and all other requests to the old one.
#[derive(Debug)]
struct Canary;

/// Stage in which all requests go to the new version, while the old version can still take them back.
#[derive(Debug)]
struct Switching {
    /// Time at which the roll-out is completed, unless the evidence shows a regression before.
    until: MonotonicTime,
}

/// Stage in which the order is decided.
#[derive(Debug)]
struct Settled {
    phase: RolloutPhase,
}

/// One stage of a roll-out; the type parameter states which.
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

    /// Returns how long all requests may go to the new version before the order ends, within the permitted exposure.
    fn switch_length(&self, now: MonotonicTime, rules: RolloutRules) -> Duration {
        if now >= self.order.ends_at {
            return ROLLOUT_MAX_SWITCH;
        }
        let remaining_s = self.order.ends_at.saturating_sub(now).as_secs_f64();
        let expected = self.exposure.expected_requests(now, remaining_s);
        let permitted = rules.exposed_share * ROLLOUT_EXPOSURE_USE * expected
            + rules.exposed_slack * ROLLOUT_SLACK_USE;
        let remaining = (permitted - self.exposure.exposed()).max(0.0);
        let length_s = remaining / self.exposure.requests_per_s(now).max(1.0);
        Duration::from_secs_f64(length_s).min(ROLLOUT_MAX_SWITCH)
    }
}

/// A roll-out in any of its stages.
#[derive(Debug)]
enum AnyStage {
    Canary(Stage<Canary>),
    Switching(Stage<Switching>),
    Settled(Stage<Settled>),
}

/// The state of a roll-out at the owner of its service.
#[derive(Debug)]
pub(crate) struct Rollout {
    stage: AnyStage,
    evaluated_at: MonotonicTime,
    recent_since: MonotonicTime,
    /// Whether the step that makes the order known was returned.
    is_announced: bool,
}

/// What the owner knows about the service when a roll-out advances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RolloutInputs {
    pub(crate) now: MonotonicTime,
    /// Number of upstreams of the new version that take requests.
    pub(crate) new_upstreams: usize,
    /// Whether this owner sees a majority of the nodes; without one it decides nothing.
    pub(crate) may_decide: bool,
}

impl Rollout {
    /// Creates a roll-out that begins now and sends canaries in groups of `group`.
    pub(crate) fn new(now: MonotonicTime, order: RolloutOrder, group: u32) -> Self {
        Self {
            stage: AnyStage::Canary(Stage {
                order,
                evidence: Evidence::default(),
                exposure: Exposure::new(now, group),
                state: Canary,
            }),
            evaluated_at: now,
            recent_since: now,
            is_announced: false,
        }
    }

    fn order_mut(&mut self) -> &mut RolloutOrder {
        match &mut self.stage {
            AnyStage::Canary(stage) => &mut stage.order,
            AnyStage::Switching(stage) => &mut stage.order,
            AnyStage::Settled(stage) => &mut stage.order,
        }
    }

    pub(crate) fn order(&self) -> &RolloutOrder {
        match &self.stage {
            AnyStage::Canary(stage) => &stage.order,
            AnyStage::Switching(stage) => &stage.order,
            AnyStage::Settled(stage) => &stage.order,
        }
    }

    pub(crate) fn phase(&self) -> RolloutPhase {
        match &self.stage {
            AnyStage::Canary(_) | AnyStage::Switching(_) => RolloutPhase::Serving,
            AnyStage::Settled(stage) => stage.state.phase,
        }
    }

    /// Replaces the order, whose end may have changed.
    pub(crate) fn update_order(&mut self, order: RolloutOrder) {
        *self.order_mut() = order;
    }

    /// Applies a decision that was made elsewhere; [`RolloutPhase::Serving`] changes nothing.
    pub(crate) fn settle(self, phase: RolloutPhase) -> Self {
        let stage = match self.stage {
            _ if phase == RolloutPhase::Serving => self.stage,
            AnyStage::Canary(stage) => AnyStage::Settled(stage.settle(phase)),
            AnyStage::Switching(stage) => AnyStage::Settled(stage.settle(phase)),
            AnyStage::Settled(stage) => AnyStage::Settled(stage.settle(phase)),
        };
        Self { stage, ..self }
    }

    fn main_version(&self) -> MainVersion {
        match &self.stage {
            AnyStage::Canary(_) => MainVersion::Old,
            AnyStage::Switching(_) => MainVersion::New,
            AnyStage::Settled(stage) => match stage.state.phase {
                RolloutPhase::Completed => MainVersion::New,
                RolloutPhase::Serving | RolloutPhase::RolledBack => MainVersion::Old,
            },
        }
    }

    /// Whether requests other than canaries may go to upstreams of `version`.
    pub(crate) fn takes_main_traffic(&self, version: &UpstreamVersion) -> bool {
        self.is_new(version) == (self.main_version() == MainVersion::New)
    }

    pub(crate) fn is_new(&self, version: &UpstreamVersion) -> bool {
        *version == self.order().target_version
    }

    /// Whether the roll-out is in the stage that sends canaries.
    pub(crate) fn sends_canaries(&self) -> bool {
        matches!(self.stage, AnyStage::Canary(_))
    }

    /// Whether the roll-out is undecided, so that both versions are still being compared.
    pub(crate) fn is_undecided(&self) -> bool {
        self.phase() == RolloutPhase::Serving
    }

    /// Counts a request of the service; returns whether it becomes a canary, which only an eligible request can.
    pub(crate) fn admit_canary(
        &mut self,
        route: &RouteName,
        rules: RolloutRules,
        is_eligible: bool,
    ) -> bool {
        match &mut self.stage {
            AnyStage::Canary(stage) => stage.exposure.admit_canary(route, rules, is_eligible),
            AnyStage::Switching(stage) => {
                stage.exposure.count_switch_request(route);
                false
            }
            AnyStage::Settled(_) => false,
        }
    }

    /// Adds the sample of a run at either version to the evidence.
    pub(crate) fn observe(
        &mut self,
        version: &UpstreamVersion,
        upstream: &UpstreamId,
        route: &RouteName,
        sample: Sample,
    ) {
        let is_new = self.is_new(version);
        match &mut self.stage {
            AnyStage::Canary(stage) => stage.evidence.add(is_new, upstream, route, sample),
            AnyStage::Switching(stage) => stage.evidence.add(is_new, upstream, route, sample),
            AnyStage::Settled(_) => {}
        }
    }

    /// Whether [`advance`](Self::advance) has to be called: the evidence is due for evaluation, or the order has not
    /// been announced yet.
    pub(crate) fn is_due(&self, now: MonotonicTime) -> bool {
        let is_due = now.saturating_sub(self.evaluated_at) >= ROLLOUT_EVALUATION_INTERVAL;
        self.is_undecided() && (is_due || !self.is_announced)
    }

    /// Evaluates the evidence and moves to the next stage if it is time; returns the steps that have to be published.
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
        self.evaluated_at = inputs.now;
        if inputs.now.saturating_sub(self.recent_since) > ROLLOUT_RECENT_WINDOW {
            self.recent_since = inputs.now;
            self.reset_recent();
        }
        let (stage, reason) = match self.stage {
            AnyStage::Canary(stage) => advance_canary(stage, inputs, rules),
            AnyStage::Switching(stage) => advance_switch(stage, inputs),
            AnyStage::Settled(stage) => (AnyStage::Settled(stage), None),
        };
        self.stage = stage;
        if let Some(reason) = reason {
            steps.push(self.step(&reason));
        }
        (self, steps)
    }

    fn reset_recent(&mut self) {
        match &mut self.stage {
            AnyStage::Canary(stage) => stage.evidence.reset_recent(),
            AnyStage::Switching(stage) => stage.evidence.reset_recent(),
            AnyStage::Settled(_) => {}
        }
    }

    fn has_requests(&self) -> bool {
        match &self.stage {
            AnyStage::Canary(stage) => stage.exposure.has_requests(),
            AnyStage::Switching(stage) => stage.exposure.has_requests(),
            AnyStage::Settled(_) => false,
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

/// Advances from the canaries to the switch, or rolls back. The text is the reason of a decision.
fn advance_canary(
    stage: Stage<Canary>,
    inputs: RolloutInputs,
    rules: RolloutRules,
) -> (AnyStage, Option<String>) {
    if let Some(regression) = stage.evidence.regression() {
        return (
            AnyStage::Settled(stage.settle(RolloutPhase::RolledBack)),
            Some(regression),
        );
    }
    let is_over = inputs.now >= stage.order.ends_at;
    if is_over && inputs.new_upstreams == 0 {
        let reason = "no upstream of the new version takes requests".to_owned();
        return (
            AnyStage::Settled(stage.settle(RolloutPhase::RolledBack)),
            Some(reason),
        );
    }
    let switch_length = stage.switch_length(inputs.now, rules);
    // After the switch, all requests go to the new version until the order ends, whether the roll-out is completed
    // before that or not.
    let is_due = inputs.now + switch_length >= stage.order.ends_at;
    if !is_due || inputs.new_upstreams == 0 || !stage.evidence.is_sufficient() {
        return (AnyStage::Canary(stage), None);
    }
    let until = if is_over {
        inputs.now + switch_length
    } else {
        stage.order.ends_at.saturating_sub(ROLLOUT_SETTLE_MARGIN)
    };
    (AnyStage::Switching(stage.switch(until)), None)
}

/// Advances from the switch to completion, or rolls back. The text is the reason of a decision.
fn advance_switch(stage: Stage<Switching>, inputs: RolloutInputs) -> (AnyStage, Option<String>) {
    if let Some(regression) = stage.evidence.regression() {
        return (
            AnyStage::Settled(stage.settle(RolloutPhase::RolledBack)),
            Some(regression),
        );
    }
    if inputs.now < stage.state.until {
        return (AnyStage::Switching(stage), None);
    }
    let reason = stage.evidence.describe();
    (
        AnyStage::Settled(stage.settle(RolloutPhase::Completed)),
        Some(reason),
    )
}

/// Returns the sample of a run that has not ended long after its predicted end.
pub(crate) fn overdue_sample() -> Sample {
    Sample::Failed
}

/// Returns the sample of a run that ended; absent if its end says nothing about the version.
pub(crate) fn sample_of(outcome: RunOutcome, took_ms: f64, expected_ms: f64) -> Option<Sample> {
    let clamp_ms = |ms: f64| ms.max(ROLLOUT_MIN_COMPARED_MS);
    let log_ratio = (clamp_ms(took_ms) / clamp_ms(expected_ms)).ln();
    match outcome {
        RunOutcome::Completed => Some(Sample::Answered { log_ratio }),
        RunOutcome::Failed | RunOutcome::Broken => Some(Sample::Failed),
        // The caller left or the request timed out. That says something about the version only if the run took far too
        // long.
        RunOutcome::Cancelled => {
            (log_ratio > evidence::SLOW_LOG_RATIO).then_some(Sample::Answered { log_ratio })
        }
        RunOutcome::Rejected
        | RunOutcome::Misdirected
        | RunOutcome::Unreachable
        | RunOutcome::Withheld => None,
    }
}
