//! Selection of an upstream: the shortest predicted completion time among those with free capacity.

use {
    super::{
        slots::{AskKey, SlotTable, Usage},
        upstream::UpstreamModel,
    },
    crate::{catalogue::ServiceKind, ids::UpstreamId, message::Ask, state::PolicyParts},
    rand::{Rng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
};

/// Weight of a second of prefill relative to a second of waiting or decoding. Repeated prefill is wasted engine
/// time, while decode time is shared by the whole batch.
const PREFILL_WEIGHT: f64 = 8.0;
/// Longest prefill backlog at which an engine still gets new requests. With more, prompts would queue inside the
/// engine, which knows no priorities.
pub const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(500);
/// Relative slowdown of decoding on a full upstream compared with an empty one.
const FULL_LOAD_SLOWDOWN: f64 = 0.5;
/// Relative difference below which two scores count as equal, so that brokers do not all pick the same upstream.
const TIE_TOLERANCE: f64 = 0.05;
/// Slowness from which an upstream counts as a straggler, used only when no other has capacity.
const STRAGGLER_SLOWNESS: f64 = 4.0;

/// Free capacity of an upstream for one ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeCapacity {
    /// Number of further requests that the upstream may run.
    pub requests: u32,
    /// Number of further tokens that the upstream may hold; `None` if it has no token limit.
    pub tokens: Option<u64>,
}

/// Computes the free capacity of an upstream: its limits minus its slots and minus the streams without a slot that
/// may still run there.
pub fn free_capacity(model: &UpstreamModel, usage: Usage, policy: &PolicyParts) -> FreeCapacity {
    let Some(untracked) = model.untracked else {
        return FreeCapacity {
            requests: 0,
            tokens: Some(0),
        };
    };
    let taken = usage.running.saturating_add(untracked);
    let requests = model.running_limit(policy).saturating_sub(taken);
    let tokens = model.entry.limits.held_tokens.map(|limit| {
        // The token count of a stream without a slot is unknown, so it is assumed to use the whole limit.
        let hidden = if untracked > 0 { limit } else { 0 };
        limit.saturating_sub(usage.held_tokens + hidden)
    });
    FreeCapacity { requests, tokens }
}

/// Tokens that the ask's stream may hold at most: its prompt and its longest answer.
pub fn held_tokens(ask: &Ask) -> u64 {
    u64::from(ask.prompt_tokens) + u64::from(ask.output_tokens)
}

/// An upstream considered for an ask, with its predicted times.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Prompt tokens that the upstream has cached, by the broker's model of its prefix cache.
    pub cached_tokens: u32,
    /// Weighted completion time that candidates are compared by: prefill counts more than waiting and decoding.
    pub score_seconds: f64,
    /// Predicted time until the request completes, in seconds.
    pub finish_seconds: f64,
    /// Predicted time to compute the prompt, in seconds.
    pub prefill_seconds: f64,
    /// Predicted time until the upstream has computed the prompts granted earlier, in seconds.
    pub backlog_seconds: f64,
    /// Whether the upstream is so slow that it is used only when no other candidate exists.
    pub straggler: bool,
}

/// Borrowed state of a group that the selection of an upstream reads.
#[derive(Debug)]
pub struct Selector<'a> {
    /// Kind of the group's service.
    pub kind: ServiceKind,
    /// Models of the group's upstreams.
    pub upstreams: &'a BTreeMap<UpstreamId, UpstreamModel>,
    /// Slots of the group, from which each upstream's usage is known.
    pub slots: &'a SlotTable,
    /// Switches that turn single parts of the scheduling policy on or off.
    pub policy: &'a PolicyParts,
    /// Time of the event that is being handled.
    pub now: Duration,
}

impl Selector<'_> {
    /// Whether an upstream has capacity for an ask. With `exclusive`, the upstream must also be empty.
    pub fn has_capacity(
        &self,
        model: &UpstreamModel,
        key: &AskKey,
        ask: &Ask,
        exclusive: bool,
    ) -> bool {
        let usage = self.slots.usage(&model.entry.id);
        let reserved = model.reserved_for.as_ref();
        if usage.exclusive > 0 || reserved.is_some_and(|other| other != key) {
            return false;
        }
        if exclusive && (usage.running > 0 || model.untracked != Some(0)) {
            return false;
        }
        if self.is_prefilling(model) {
            return false;
        }
        let capacity = free_capacity(model, usage, self.policy);
        capacity.requests > 0
            && capacity
                .tokens
                .is_none_or(|tokens| tokens >= held_tokens(ask))
    }

    /// Whether the engine's prefill backlog is so long that a further prompt would queue inside the engine.
    pub fn is_prefilling(&self, model: &UpstreamModel) -> bool {
        self.policy.adaptive_limit
            && self.prefill_backlog(model) > MAX_PREFILL_BACKLOG.as_secs_f64()
    }

    /// Predicts the times of an ask on an upstream, whether or not the upstream has capacity for it.
    pub fn candidate(&self, model: &UpstreamModel, ask: &Ask) -> Candidate {
        let cached_tokens = self.cached_tokens(model, ask);
        let trusted = f64::from(cached_tokens) * model.cache.trust();
        let computed = f64::from(ask.prompt_tokens) - trusted;
        let estimate = model.rates.estimate(self.kind, computed, ask.output_tokens);
        let running = f64::from(self.slots.usage(&model.entry.id).running);
        let full = running / f64::from(model.limit.ceiling().max(1));
        let slowness = if self.policy.straggler_signs {
            model.slowness.max(1.0)
        } else {
            1.0
        };
        let prefill = estimate.prefill_seconds * slowness;
        let decode = estimate.decode_seconds * slowness * (1.0 + FULL_LOAD_SLOWDOWN * full);
        let backlog = self.prefill_backlog(model) * slowness;
        Candidate {
            upstream: model.entry.id.clone(),
            cached_tokens,
            score_seconds: backlog + PREFILL_WEIGHT * prefill + decode,
            finish_seconds: backlog + prefill + decode,
            prefill_seconds: prefill,
            backlog_seconds: backlog,
            straggler: slowness >= STRAGGLER_SLOWNESS,
        }
    }

    /// Predicted seconds for a request on an otherwise idle upstream, with an answer of `answer_share` times the usual
    /// length.
    pub fn service_seconds(&self, model: &UpstreamModel, ask: &Ask, answer_share: f64) -> f64 {
        let cached = f64::from(self.cached_tokens(model, ask));
        let computed = f64::from(ask.prompt_tokens) - cached;
        let estimate = model.rates.estimate(self.kind, computed, ask.output_tokens);
        match self.kind {
            ServiceKind::Plain => answer_share * estimate.prefill_seconds,
            ServiceKind::Engine => {
                estimate.prefill_seconds + answer_share * estimate.decode_seconds
            }
        }
    }

    /// Picks the candidate with the lowest score; ties are broken by more cached tokens, then at random.
    pub fn choose(&self, candidates: Vec<Candidate>, random: &mut SmallRng) -> Option<Candidate> {
        let healthy = candidates.iter().any(|each| !each.straggler);
        let eligible: Vec<Candidate> = candidates
            .into_iter()
            .filter(|each| !healthy || !each.straggler)
            .collect();
        let best = eligible
            .iter()
            .map(|each| each.score_seconds)
            .fold(f64::INFINITY, f64::min);
        let mut equal: Vec<Candidate> = eligible
            .into_iter()
            .filter(|each| each.score_seconds <= best * (1.0 + TIE_TOLERANCE))
            .collect();
        // Among equally fast candidates, the one that needs the least prefill is preferred.
        let most_cached = equal.iter().map(|each| each.cached_tokens).max()?;
        equal.retain(|each| each.cached_tokens == most_cached);
        let drawn = random.random_range(0..equal.len());
        Some(equal.swap_remove(drawn))
    }

    fn cached_tokens(&self, model: &UpstreamModel, ask: &Ask) -> u32 {
        if !self.policy.prefix_model || self.kind == ServiceKind::Plain {
            return 0;
        }
        model
            .cache
            .cached_tokens(&ask.prefix_blocks, ask.prompt_tokens)
    }

    /// Seconds that the upstream still needs for granted prompts without a first token.
    pub fn prefill_backlog(&self, model: &UpstreamModel) -> f64 {
        if self.kind == ServiceKind::Plain {
            return 0.0;
        }
        let usage = self.slots.usage(&model.entry.id);
        if usage.prefill_tokens == 0 {
            return 0.0;
        }
        let left = model.prefill_until.saturating_sub(self.now);
        // Elapsed time and received first tokens both indicate finished prefill, so the smaller remainder counts.
        left.as_secs_f64().min(usage.prefill_seconds.max(0.0))
    }
}
