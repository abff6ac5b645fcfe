//! Predicted service and waiting times of a group's requests.

use {
    super::{
        choice::{Selector, free_capacity},
        group::Group,
        queue::QueuedAsk,
        slots::AskKey,
        supply::accepts_work,
        upstream::UpstreamModel,
    },
    crate::{
        context::{Context, View},
        ids::Tier,
        message::Ask,
        state::PolicyParts,
    },
    std::time::Duration,
};

/// Share of the predicted decode time that an answer needs at least, since it may be shorter than predicted.
pub(super) const MIN_ANSWER_SHARE: f64 = 0.5;
/// Share of the predicted decode time that is assumed when a request is about to start.
pub(super) const EXPECTED_ANSWER_SHARE: f64 = 1.0;

/// Queue length beyond which further asks count as late and are refused for load; bounds the queue's memory.
const MAX_QUEUED_ASKS: usize = 20_000;

impl Group {
    /// Models of the group's upstreams that accept new work.
    pub(super) fn accepting_upstreams<'a>(
        &'a self,
        view: &'a View,
    ) -> impl Iterator<Item = &'a UpstreamModel> {
        self.upstreams
            .values()
            .filter(|model| accepts_work(view, &model.entry))
    }

    pub(super) fn selector<'a>(&'a self, policy: &'a PolicyParts, now: Duration) -> Selector<'a> {
        Selector {
            kind: self.kind,
            upstreams: &self.upstreams,
            slots: &self.slots,
            policy,
            now,
        }
    }

    /// Number of requests that could be granted now.
    pub fn free_slots(&self, view: &View, now: Duration) -> u32 {
        let selector = self.selector(&view.tuning.policy, now);
        self.accepting_upstreams(view)
            .filter(|model| model.reserved_for.is_none())
            .map(|model| {
                let usage = self.slots.usage(&model.entry.id);
                if usage.exclusive > 0 || selector.is_prefilling(model) {
                    return 0;
                }
                let capacity = free_capacity(model, usage, &view.tuning.policy);
                if capacity.tokens == Some(0) {
                    return 0;
                }
                capacity.requests
            })
            .sum()
    }

    /// Mean slot time of a request over the group's upstreams, in seconds, assuming that no prefix is cached.
    pub(super) fn mean_cost_seconds(&self, ask: &Ask) -> f64 {
        let computed = f64::from(ask.prompt_tokens);
        let total: f64 = self
            .upstreams
            .values()
            .map(|model| {
                let estimate = model.rates.estimate(self.kind, computed, ask.output_tokens);
                estimate.total_seconds()
            })
            .sum();
        total / self.upstreams.len().max(1) as f64
    }

    /// Predicted seconds for a request on the fastest upstream that accepts work; 0 if none does.
    pub(super) fn best_service_seconds(&self, view: &View, ask: &Ask) -> f64 {
        let selector = self.selector(&view.tuning.policy, Duration::ZERO);
        let best = self
            .accepting_upstreams(view)
            .map(|model| selector.service_seconds(model, ask, 1.0))
            .fold(f64::INFINITY, f64::min);
        if best.is_finite() { best } else { 0.0 }
    }

    /// Whether no upstream could answer within `time_left`, even if it started now and ran nothing else.
    ///
    /// `answer_share` is the share of the predicted decode time that is assumed for the answer.
    pub(super) fn is_unreachable(
        &self,
        view: &View,
        ask: &Ask,
        time_left: Duration,
        answer_share: f64,
    ) -> bool {
        let selector = self.selector(&view.tuning.policy, Duration::ZERO);
        let mut any = false;
        let reachable = self.accepting_upstreams(view).any(|model| {
            any = true;
            let seconds = selector.service_seconds(model, ask, answer_share);
            !model.rates.is_trusted() || seconds <= time_left.as_secs_f64()
        });
        any && !reachable
    }

    /// Number of requests that the group's upstreams may run at the same time.
    pub(super) fn running_limit(&self, view: &View) -> u32 {
        self.accepting_upstreams(view)
            .map(|model| model.running_limit(&view.tuning.policy))
            .sum()
    }

    /// Predicted time from now until a waiting ask starts.
    pub(super) fn predicted_wait(
        &self,
        view: &View,
        now: Duration,
        queued: &QueuedAsk,
    ) -> Duration {
        let ahead = self.queue.cost_before(queued);
        self.takeover_remaining(now) + self.wait_behind(view, ahead)
    }

    /// Predicted time from now until an ask of this tier would start, if its account had no other asks waiting.
    pub(super) fn predicted_tier_wait(&self, view: &View, now: Duration, tier: Tier) -> Duration {
        let waiting = u32::try_from(self.queue.asks_up_to(tier)).unwrap_or(u32::MAX);
        if self.free_slots(view, now) > waiting {
            return self.takeover_remaining(now);
        }
        let ahead = self.queue.cost_before_new(tier);
        self.takeover_remaining(now) + self.wait_behind(view, ahead)
    }

    /// Time to process `ahead_seconds` of slot time, plus the mean wait for the next slot to become free.
    fn wait_behind(&self, view: &View, ahead_seconds: f64) -> Duration {
        let slots = f64::from(self.running_limit(view).max(1));
        let mean = self.mean_service_seconds.unwrap_or(0.0);
        Duration::from_secs_f64((mean + ahead_seconds) / slots)
    }

    fn takeover_remaining(&self, now: Duration) -> Duration {
        self.takeover.expires_at().saturating_sub(now)
    }

    /// Whether a waiting ask is predicted to start too late for its deadline, or the queue is too long.
    pub(super) fn is_late(&self, context: &Context<'_>, queued: &QueuedAsk) -> bool {
        let wait = self.predicted_wait(context.view, context.now, queued);
        context.now + wait > queued.latest_start || self.queue.len() > MAX_QUEUED_ASKS
    }

    /// Updates the late mark of a queued ask.
    pub(super) fn update_lateness(&mut self, context: &Context<'_>, key: &AskKey) {
        if let Some(queued) = self.queue.get(key) {
            let late = self.is_late(context, queued);
            self.queue.set_late(key, late);
        }
    }
}
