//! Chooses the upstream for a request.
//!
//! The load it answers: prompts of very unlike length on engines of very unlike speed, nearly all places
//! taken. The least loaded engine by count is then often the slowest one, and a long prompt read between
//! the tokens of others lengthens the pauses of all of them beyond what is permitted. So the choice goes
//! by the predicted first event, by the pause that the prompt causes to those who run there, and by the time
//! for which the run holds its place.

use {
    crate::{
        ask::Ask,
        ids::{MonotonicTime, node_start_of},
        limits::{
            FAILURE_PENALTY_MS, FIRST_EVENT_BASE_MS, MINORITY_COST_SPREAD, OTHER_DATA_CENTRE_MS,
            PAUSE_HEADROOM, PREFILL_CHUNK_TOKENS, RUN_COST_SHARE,
        },
        speed::RouteMeans,
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
    pub(crate) first_at: MonotonicTime,
    /// When the run ends.
    pub(crate) end_at: MonotonicTime,
    /// Tokens to be read before the first event.
    pub(crate) tokens_before_first: f64,
    /// Whether all who are concerned stay within their objectives.
    pub(crate) is_on_time: bool,
    /// What is compared, in milliseconds.
    cost_ms: f64,
}

/// Facts about the service that predictions need.
#[derive(Clone, Copy)]
pub(crate) struct ServiceModel<'a> {
    pub(crate) means: &'a RouteMeans,
    pub(crate) tokens_per_event: u32,
    /// Whether requests are spread over upstreams of like cost.
    pub(crate) spreads: bool,
}

/// The best of the `free` upstreams for `ask`: its index and what is predicted.
pub(crate) fn choose(
    now: MonotonicTime,
    ask: &Ask,
    objective_left: Duration,
    upstreams: &[LiveUpstream],
    free: &[usize],
    model: ServiceModel<'_>,
) -> Option<(usize, Prediction)> {
    let mut best: Option<(usize, Prediction)> = None;
    for &index in free {
        let upstream = &upstreams[index];
        let is_refused = upstream
            .wanted_rest
            .is_wanted_from(now, node_start_of(ask.run));
        if is_refused || ask.avoid.contains(&upstream.entry.id) {
            continue;
        }
        let prediction = predict(now, ask, objective_left, upstream, model);
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
    ask: &Ask,
    objective_left: Duration,
    upstream: &LiveUpstream,
    model: ServiceModel<'_>,
) -> Prediction {
    let mut prediction = match ask.longest_pause {
        Some(_) => predict_stream(now, ask, upstream, model),
        None => predict_plain(now, ask, upstream, model),
    };
    let first_ms = to_ms(prediction.first_at.saturating_sub(now));
    let run_ms = to_ms(prediction.end_at.saturating_sub(now));
    let load = upstream.runs.len() as f64 / f64::from(upstream.slots());
    prediction.cost_ms = first_ms
        + run_ms * RUN_COST_SHARE
        + load * upstream.speed.ms_per_event
        + upstream.failure_rate * FAILURE_PENALTY_MS;
    if upstream.wanted_rest.is_on_trial() {
        prediction.cost_ms += FAILURE_PENALTY_MS;
    }
    if upstream.entry.data_centre != ask.data_centre {
        prediction.cost_ms += OTHER_DATA_CENTRE_MS;
    }
    if model.spreads {
        prediction.cost_ms *= 1.0 + MINORITY_COST_SPREAD * fraction(ask, upstream);
    }
    let is_in_time = prediction.first_at <= now + objective_left;
    prediction.is_on_time = is_in_time && !lengthens_pauses(ask, upstream, model);
    prediction
}

fn predict_stream(
    now: MonotonicTime,
    ask: &Ask,
    upstream: &LiveUpstream,
    model: ServiceModel<'_>,
) -> Prediction {
    let speed = &upstream.speed;
    let ahead = upstream.prefill_done_at(now);
    let own_tokens = unread_tokens(ask, upstream);
    let first_at = ahead + from_ms(FIRST_EVENT_BASE_MS + own_tokens * speed.prefill_ms_per_token);
    let ahead_ms = to_ms(ahead.saturating_sub(now));
    let events = model
        .means
        .events(&ask.route, &ask.size, model.tokens_per_event);
    Prediction {
        first_at,
        end_at: first_at + from_ms(events * speed.ms_per_event),
        tokens_before_first: own_tokens + ahead_ms / speed.prefill_ms_per_token,
        is_on_time: false,
        cost_ms: 0.0,
    }
}

fn predict_plain(
    now: MonotonicTime,
    ask: &Ask,
    upstream: &LiveUpstream,
    model: ServiceModel<'_>,
) -> Prediction {
    let plain_ms = model.means.plain_ms(&ask.route) * upstream.speed.plain_ratio;
    let end_at = now + from_ms(plain_ms);
    Prediction {
        first_at: end_at,
        end_at,
        tokens_before_first: 0.0,
        is_on_time: false,
        cost_ms: 0.0,
    }
}

fn unread_tokens(ask: &Ask, upstream: &LiveUpstream) -> f64 {
    let cached = upstream.cached.cached_tokens(&ask.size.parts);
    f64::from(ask.size.prompt_tokens.saturating_sub(cached))
}

/// Whether reading the prompt makes some stream at the upstream, or this one's neighbours, pause too long.
fn lengthens_pauses(ask: &Ask, upstream: &LiveUpstream, model: ServiceModel<'_>) -> bool {
    let Some(own_limit) = ask.longest_pause else {
        return false;
    };
    if upstream.runs.is_empty() {
        return false;
    }
    let chunks_tokens = PREFILL_CHUNK_TOKENS * f64::from(model.tokens_per_event);
    let read_tokens = unread_tokens(ask, upstream).min(chunks_tokens);
    let speed = &upstream.speed;
    let pause_ms = speed.ms_per_event + read_tokens * speed.prefill_ms_per_token;
    let strictest = upstream
        .runs
        .values()
        .filter_map(|run| run.ask.longest_pause)
        .min()
        .unwrap_or(own_limit);
    pause_ms > to_ms(strictest) * PAUSE_HEADROOM
}

/// A number from 0 to 1 that is fixed for a request and an upstream.
fn fraction(ask: &Ask, upstream: &LiveUpstream) -> f64 {
    let mut hasher = DefaultHasher::new();
    (ask.run, &upstream.entry.id).hash(&mut hasher);
    (hasher.finish() >> 32) as f64 / f64::from(u32::MAX)
}

fn to_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 3.6e6) / 1e3)
}
