//! Chooses the upstream for a request.
//!
//! The load it answers: prompts of very unlike length on engines of very unlike speed, nearly all places
//! taken. The least loaded engine by count is then often the slowest one, and a long prompt read between
//! the tokens of others lengthens the pauses of all of them beyond what is permitted. So the choice goes
//! by the predicted first event, by the pause that the prompt causes to those who run there, and by the time
//! for which the run holds its place.

use {
    crate::{
        ids::{MonotonicTime, node_incarnation_of},
        limits::{
            FAILURE_PENALTY_MS, FIRST_EVENT_BASE_MS, MINORITY_COST_SPREAD, OTHER_DATA_CENTRE_MS,
            PAUSE_HEADROOM, PREFILL_CHUNK_TOKENS, RUN_COST_SHARE,
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

/// What a placement leads to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Prediction {
    /// When the first event or the whole plain answer is there.
    pub(crate) first_event_at: MonotonicTime,
    /// When the run ends.
    pub(crate) end_at: MonotonicTime,
    /// Tokens to be read before the first event.
    pub(crate) prefill_backlog_tokens: f64,
    /// Whether all who are concerned stay within their objectives.
    pub(crate) is_on_time: bool,
    /// What is compared, in milliseconds.
    cost_ms: f64,
}

/// Facts about the service that predictions need.
#[derive(Clone, Copy)]
pub(crate) struct ServiceModel<'a> {
    pub(crate) averages: &'a RouteAverages,
    pub(crate) tokens_per_event: u32,
    /// Whether requests are spread over upstreams of like cost.
    pub(crate) spreads: bool,
}

/// The best of the `free` upstreams for `ask`: its index and what is predicted.
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
        let is_refused = upstream
            .requested_back_off
            .is_wanted_from(now, node_incarnation_of(request.run));
        if is_refused || request.avoid.contains(&upstream.entry.id) {
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

/// What would come of placing `ask` at `upstream` now.
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
        + run_ms * RUN_COST_SHARE
        + load * upstream.speed.ms_per_event
        + upstream.failure_rate * FAILURE_PENALTY_MS;
    if upstream.requested_back_off.is_on_trial() {
        prediction.cost_ms += FAILURE_PENALTY_MS;
    }
    if upstream.entry.data_centre != request.data_centre {
        prediction.cost_ms += OTHER_DATA_CENTRE_MS;
    }
    if model.spreads {
        prediction.cost_ms *= 1.0 + MINORITY_COST_SPREAD * fraction(request, upstream);
    }
    let is_in_time = prediction.first_event_at <= now + objective_left;
    prediction.is_on_time = is_in_time && !lengthens_pauses(request, upstream, model);
    prediction
}

fn predict_stream(
    now: MonotonicTime,
    request: &SlotRequest,
    upstream: &LiveUpstream,
    model: ServiceModel<'_>,
) -> Prediction {
    let speed = &upstream.speed;
    let ahead = upstream.prefill_done_at(now);
    let own_tokens = unread_tokens(request, upstream);
    let first_event_at =
        ahead + from_ms(FIRST_EVENT_BASE_MS + own_tokens * speed.prefill_ms_per_token);
    let ahead_ms = to_ms(ahead.saturating_sub(now));
    let events = model
        .averages
        .events(&request.route, &request.size, model.tokens_per_event);
    Prediction {
        first_event_at,
        end_at: first_event_at + from_ms(events * speed.ms_per_event),
        prefill_backlog_tokens: own_tokens + ahead_ms / speed.prefill_ms_per_token,
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

fn unread_tokens(request: &SlotRequest, upstream: &LiveUpstream) -> f64 {
    let cached = upstream.prefix_cache.cached_tokens(&request.size.segments);
    f64::from(request.size.prompt_tokens.saturating_sub(cached))
}

/// Whether reading the prompt makes some stream at the upstream, or this one's neighbours, pause too long.
fn lengthens_pauses(
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
    let chunks_tokens = PREFILL_CHUNK_TOKENS * f64::from(model.tokens_per_event);
    let read_tokens = unread_tokens(request, upstream).min(chunks_tokens);
    let speed = &upstream.speed;
    let pause_ms = speed.ms_per_event + read_tokens * speed.prefill_ms_per_token;
    let strictest = upstream
        .runs
        .values()
        .filter_map(|run| run.request.longest_pause)
        .min()
        .unwrap_or(own_limit);
    pause_ms > to_ms(strictest) * PAUSE_HEADROOM
}

/// A number from 0 to 1 that is fixed for a request and an upstream.
fn fraction(request: &SlotRequest, upstream: &LiveUpstream) -> f64 {
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
