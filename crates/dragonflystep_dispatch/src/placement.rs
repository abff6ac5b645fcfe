//! Chooses the upstream for a request by predicted cost.
//!
//! It is designed for prompts of very different lengths on engines of very different speeds, with nearly all slots
//! taken. The engine with the fewest runs is then often the slowest one. A long prompt that an engine prefills between
//! the decode steps of other runs lengthens their pauses beyond what is permitted. So the choice depends on the
//! predicted time to the first event, on the pause that the prompt causes in running streams, and on the time for which
//! the run holds its slot.

use {
    crate::{
        ids::{MonotonicTime, node_incarnation_of},
        limits::{
            FAILURE_PENALTY_MS, FIRST_EVENT_BASE_MS, MAX_PREDICTED_PAUSE_SHARE,
            MINORITY_COST_SPREAD, OTHER_DATA_CENTRE_COST_MS, PREFILL_CHUNK_TOKENS,
        },
        messages::SlotRequest,
        speed::RouteAverages,
        upstream::LiveUpstream,
    },
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

/// Predicted consequences of placing a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Prediction {
    /// When the first event of a stream, or the whole answer of a plain call, arrives.
    pub(crate) first_event_at: MonotonicTime,
    /// When the run ends and frees its slot.
    pub(crate) end_at: MonotonicTime,
    /// Tokens that the engine has to prefill before the first event, including the backlog of earlier runs.
    pub(crate) prefill_backlog_tokens: f64,
    /// Whether the request meets its objective and the streams at the upstream stay within their permitted pauses.
    pub(crate) is_on_time: bool,
    /// Cost by which upstreams are compared, in milliseconds; lower is better.
    cost_ms: f64,
}

/// Facts about a service that predictions need.
#[derive(Clone, Copy)]
pub(crate) struct ServiceModel<'a> {
    pub(crate) averages: &'a RouteAverages,
    pub(crate) tokens_per_event: u32,
    /// Memory of an engine for prompts and answers, in tokens; absent for a plain service.
    pub(crate) memory_tokens: Option<u64>,
    /// Whether costs are varied pseudo-randomly, so that requests spread over upstreams of similar cost.
    pub(crate) spread_costs: bool,
    /// Share of a run's predicted duration that is added to its cost.
    pub(crate) run_cost_share: f64,
}

/// Returns the index of the best of the `free` upstreams for `request`, with its prediction.
///
/// Upstreams where the prediction is on time are preferred, then those with the lowest cost.
pub(crate) fn choose(
    now: MonotonicTime,
    request: &SlotRequest,
    objective_left: Duration,
    upstreams: &[LiveUpstream],
    free: &[usize],
    model: ServiceModel<'_>,
) -> Option<(usize, Prediction)> {
    let mut best: Option<(usize, Prediction)> = None;
    for &index in free {
        let upstream = &upstreams[index];
        let is_backed_off = upstream
            .requested_back_off
            .applies_to(now, node_incarnation_of(request.run));
        if is_backed_off
            || request.excluded_upstreams.contains(&upstream.entry.id)
            || !request.permits(&upstream.entry)
            || exceeds_memory(request, upstream, model)
        {
            continue;
        }
        let prediction = predict(now, request, objective_left, upstream, model);
        let is_better = best.as_ref().is_none_or(|(_, other)| {
            (!prediction.is_on_time, prediction.cost_ms) < (!other.is_on_time, other.cost_ms)
        });
        if is_better {
            best = Some((index, prediction));
        }
    }
    best
}

/// Predicts the consequences of placing `request` at `upstream` now.
pub(crate) fn predict(
    now: MonotonicTime,
    request: &SlotRequest,
    objective_left: Duration,
    upstream: &LiveUpstream,
    model: ServiceModel<'_>,
) -> Prediction {
    let mut prediction = match request.longest_pause {
        Some(_) => predict_stream(now, request, upstream, model),
        None => predict_plain(now, request, upstream, model),
    };
    let first_ms = to_ms(prediction.first_event_at.saturating_sub(now));
    let run_ms = to_ms(prediction.end_at.saturating_sub(now));
    let load = upstream.runs.len() as f64 / f64::from(upstream.slots());
    prediction.cost_ms = first_ms
        + run_ms * model.run_cost_share
        + load * upstream.speed.ms_per_event
        + upstream.failure_rate * FAILURE_PENALTY_MS;
    if upstream.requested_back_off.awaits_acceptance() {
        prediction.cost_ms += FAILURE_PENALTY_MS;
    }
    if upstream.entry.data_centre != request.data_centre {
        prediction.cost_ms += OTHER_DATA_CENTRE_COST_MS;
    }
    if model.spread_costs {
        prediction.cost_ms *= 1.0 + MINORITY_COST_SPREAD * random_fraction(request, upstream);
    }
    let is_in_time = prediction.first_event_at <= now + objective_left;
    prediction.is_on_time = is_in_time && !exceeds_pause_limit(request, upstream, model);
    prediction
}

fn predict_stream(
    now: MonotonicTime,
    request: &SlotRequest,
    upstream: &LiveUpstream,
    model: ServiceModel<'_>,
) -> Prediction {
    let speed = &upstream.speed;
    let backlog_done_at = upstream.prefill_done_at(now);
    let own_tokens = uncached_tokens(request, upstream);
    let first_event_at =
        backlog_done_at + from_ms(FIRST_EVENT_BASE_MS + own_tokens * speed.prefill_ms_per_token);
    let backlog_ms = to_ms(backlog_done_at.saturating_sub(now));
    let events = model
        .averages
        .events(&request.route, &request.size, model.tokens_per_event);
    Prediction {
        first_event_at,
        end_at: first_event_at + from_ms(events * speed.ms_per_event),
        prefill_backlog_tokens: own_tokens + backlog_ms / speed.prefill_ms_per_token,
        is_on_time: false,
        cost_ms: 0.0,
    }
}

fn predict_plain(
    now: MonotonicTime,
    request: &SlotRequest,
    upstream: &LiveUpstream,
    model: ServiceModel<'_>,
) -> Prediction {
    let plain_ms = model.averages.plain_ms(&request.route) * upstream.speed.plain_ratio;
    let end_at = now + from_ms(plain_ms);
    Prediction {
        first_event_at: end_at,
        end_at,
        prefill_backlog_tokens: 0.0,
        is_on_time: false,
        cost_ms: 0.0,
    }
}

/// Returns the prompt tokens that the upstream's prefix cache does not hold. A run that goes on has its copy there.
fn uncached_tokens(request: &SlotRequest, upstream: &LiveUpstream) -> f64 {
    if request.continues_at().is_some() {
        return 0.0;
    }
    let cached = upstream.prefix_cache.cached_tokens(&request.size.segments);
    f64::from(request.size.prompt_tokens.saturating_sub(cached))
}

/// Whether prefilling the prompt is predicted to make a stream at the upstream pause longer than permitted.
///
/// The strictest limit among the running streams applies, or the request's own limit if only plain calls run there.
fn exceeds_pause_limit(
    request: &SlotRequest,
    upstream: &LiveUpstream,
    model: ServiceModel<'_>,
) -> bool {
    let Some(own_limit) = request.longest_pause else {
        return false;
    };
    if upstream.runs.is_empty() {
        return false;
    }
    let event_chunk_tokens = PREFILL_CHUNK_TOKENS * f64::from(model.tokens_per_event);
    let prefill_tokens = uncached_tokens(request, upstream).min(event_chunk_tokens);
    let speed = &upstream.speed;
    let pause_ms = speed.ms_per_event + prefill_tokens * speed.prefill_ms_per_token;
    let strictest_limit = upstream
        .runs
        .values()
        .filter_map(|run| run.request.longest_pause)
        .min()
        .unwrap_or(own_limit);
    pause_ms > to_ms(strictest_limit) * MAX_PREDICTED_PAUSE_SHARE
}

/// Whether the engine's memory does not hold the request beside its runs and the copies of others. An engine that runs out
/// of memory preempts runs and reads their prompts again, or crashes.
fn exceeds_memory(request: &SlotRequest, upstream: &LiveUpstream, model: ServiceModel<'_>) -> bool {
    let Some(memory_tokens) = model.memory_tokens.filter(|_| !upstream.runs.is_empty()) else {
        return false;
    };
    let requests = upstream.runs.values().map(|run| &run.request);
    let run_tokens: u64 = requests
        .chain([request])
        .map(|request| {
            u64::from(request.size.prompt_tokens) + u64::from(request.size.output_tokens)
        })
        .sum();
    run_tokens + upstream.copies.tokens() > memory_tokens
}

/// Returns a pseudo-random number from 0 to 1 that is the same each time for a run and an upstream.
fn random_fraction(request: &SlotRequest, upstream: &LiveUpstream) -> f64 {
    let mut hasher = DefaultHasher::new();
    (request.run, &upstream.entry.id).hash(&mut hasher);
    (hasher.finish() >> 32) as f64 / f64::from(u32::MAX)
}

fn to_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 3.6e6) / 1e3)
}
