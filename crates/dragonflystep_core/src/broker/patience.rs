//! Deferral of asks: an ask is passed over for now when granting it would waste prefill.
//!
//! Engines compute prompts one after the other, so prefill is the scarce resource under load. Two kinds of it are
//! wasted: the prefill of a prompt whose answer comes too late, and that of a prefix which another engine of the
//! group has cached already. An ask that is passed over keeps its place in the queue, and its account is not
//! charged; later asks use the free slot in the meantime.

use {
    super::{choice::Candidate, group::Group, queue::QueuedAsk},
    crate::{
        catalogue::ServiceKind,
        context::{Context, View},
        ids::Tier,
    },
    std::time::Duration,
};

/// Maximum number of asks that one pass over the queue defers; bounds the cost of a decision.
pub(super) const MAX_DEFERRED_ASKS: usize = 16;
/// Minimum ratio of the score on the upstream with capacity to the best score that makes an ask wait.
const MIN_SCORE_RATIO: f64 = 1.2;
/// Minimum difference in score, in seconds, that makes waiting worthwhile.
const MIN_GAIN_SECONDS: f64 = 0.05;
/// Minimum saved prefill, in seconds, that makes waiting worthwhile; below it, using an idle upstream gains more.
const MIN_PREFILL_SAVED_SECONDS: f64 = 0.1;
/// The most urgent tier, whose deadlines leave little time to wait for an engine that has the prefix cached.
const MOST_URGENT_TIER: Tier = 0;
/// Share of the time to its deadline that an ask of the most urgent tier may wait for an engine with its prefix.
const URGENT_WAIT_SHARE: f64 = 0.2;

/// Latest time until which an ask waits for an upstream that is better than the one with capacity.
fn wait_limit(queued: &QueuedAsk) -> Duration {
    if queued.ask.tier > MOST_URGENT_TIER {
        return queued.latest_start;
    }
    let total_time = queued.deadline.saturating_sub(queued.received_at);
    let until = queued.received_at + total_time.mul_f64(URGENT_WAIT_SHARE);
    until.min(queued.latest_start)
}

impl Group {
    /// Whether an ask should wait although an upstream has capacity for it.
    pub(super) fn should_wait(
        &self,
        context: &Context<'_>,
        queued: &QueuedAsk,
        chosen: &Candidate,
    ) -> bool {
        if self.kind == ServiceKind::Plain {
            return false;
        }
        self.would_be_late(context, queued, chosen)
            || self.should_wait_for_better(context.view, context.now, queued, chosen)
    }

    /// Whether the answer is predicted to miss the deadline under the current load, so that its prefill is wasted.
    fn would_be_late(&self, context: &Context<'_>, queued: &QueuedAsk, chosen: &Candidate) -> bool {
        let model = self.upstreams.get(&chosen.upstream);
        // An upstream's speed is learned only from its work, so rates that are not yet trusted must not withhold work.
        let is_known = model.is_some_and(|model| model.rates.is_trusted());
        let time_left = queued.deadline.saturating_sub(context.now);
        context.view.tuning.policy.early_refusal
            && is_known
            && chosen.finish_seconds > time_left.as_secs_f64()
    }

    /// Whether another upstream, which may have no capacity now, needs so much less prefill for the prompt that the ask
    /// should wait for it. Usually it has the prompt's prefix cached.
    fn should_wait_for_better(
        &self,
        view: &View,
        now: Duration,
        queued: &QueuedAsk,
        chosen: &Candidate,
    ) -> bool {
        let policy = &view.tuning.policy;
        let has_time = now < wait_limit(queued);
        if !policy.prefix_model || !has_time {
            return false;
        }
        let selector = self.selector(policy, now);
        let best = self
            .accepting_upstreams(view)
            .map(|model| selector.candidate(model, &queued.ask))
            .filter(|candidate| !candidate.straggler)
            .filter(|candidate| {
                candidate.prefill_seconds + MIN_PREFILL_SAVED_SECONDS < chosen.prefill_seconds
            })
            .map(|candidate| candidate.score_seconds)
            .fold(f64::INFINITY, f64::min);
        chosen.score_seconds > best * MIN_SCORE_RATIO + MIN_GAIN_SECONDS
    }
}
