//! Measured speeds of upstreams, and the durations that they predict.
//!
//! Upstreams of one service differ several times in speed and nobody says how much. Each end of a run
//! tells two figures of its upstream; a service's means stand in for an upstream not yet measured.

use {
    crate::{
        ids::RouteName,
        limits::{
            FIRST_EVENT_BASE_MS, INITIAL_MS_PER_EVENT, INITIAL_PLAIN_MS,
            INITIAL_PREFILL_MS_PER_TOKEN, MEAN_WEIGHT, MIN_MEASURED_PROMPT_TOKENS,
        },
        messages::{RunReport, WorkSize},
    },
    std::collections::HashMap,
};

/// Smallest duration that is divided by, in milliseconds.
const SMALLEST_MS: f64 = 1e-4;

/// How fast an upstream reads and writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Speed {
    /// Milliseconds to read a prompt token.
    pub(crate) prefill_ms_per_token: f64,
    /// Milliseconds from one event to the next.
    pub(crate) ms_per_event: f64,
    /// Duration of a plain call against the mean of its route.
    pub(crate) plain_ratio: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prefill_ms_per_token: INITIAL_PREFILL_MS_PER_TOKEN,
            ms_per_event: INITIAL_MS_PER_EVENT,
            plain_ratio: 1.0,
        }
    }
}

impl Speed {
    /// Learns from the end of a stream that had `tokens_read` to be read before its first event.
    pub(crate) fn learn_stream(&mut self, ended: &RunReport, tokens_read: f64) {
        let Some(to_first) = ended.to_first_event else {
            return;
        };
        let first_ms = to_first.as_secs_f64() * 1e3;
        if tokens_read >= MIN_MEASURED_PROMPT_TOKENS {
            let sample = (first_ms - FIRST_EVENT_BASE_MS).max(0.5) / tokens_read;
            move_mean(&mut self.prefill_ms_per_token, sample);
        }
        if ended.events > 3 {
            let rest_ms = (ended.to_end.as_secs_f64() * 1e3 - first_ms).max(0.0);
            move_mean(
                &mut self.ms_per_event,
                rest_ms / f64::from(ended.events - 1),
            );
        }
    }

    /// Learns from the end of a plain call whose route takes `mean_ms`.
    pub(crate) fn learn_plain(&mut self, ended: &RunReport, mean_ms: f64) {
        let sample = ended.to_end.as_secs_f64() * 1e3 / mean_ms.max(1.0);
        move_mean(&mut self.plain_ratio, sample.min(10.0));
    }

    /// The speed of the whole of several upstreams: a fast one does more of the work, so that rates are
    /// averaged and not durations.
    pub(crate) fn joint<'a>(speeds: impl Iterator<Item = &'a Self>) -> Self {
        let (mut rates, mut count) = ((0.0, 0.0, 0.0), 0.0);
        for speed in speeds {
            rates.0 += 1.0 / speed.prefill_ms_per_token.max(SMALLEST_MS);
            rates.1 += 1.0 / speed.ms_per_event.max(SMALLEST_MS);
            rates.2 += 1.0 / speed.plain_ratio.max(SMALLEST_MS);
            count += 1.0;
        }
        if count == 0.0 {
            return Self::default();
        }
        Self {
            prefill_ms_per_token: count / rates.0,
            ms_per_event: count / rates.1,
            plain_ratio: count / rates.2,
        }
    }
}

/// Means learned from the runs of a service's routes.
#[derive(Debug, Default)]
pub(crate) struct RouteAverages {
    /// Events that came for each that was expected.
    events_ratio: HashMap<RouteName, f64>,
    /// Milliseconds of a plain call.
    plain_ms: HashMap<RouteName, f64>,
}

impl RouteAverages {
    /// Learns from a whole answer.
    pub(crate) fn learn(
        &mut self,
        route: &RouteName,
        ended: &RunReport,
        expected_events: Option<f64>,
    ) {
        match expected_events {
            Some(expected) => {
                let ratio = self.events_ratio.entry(route.clone()).or_insert(1.0);
                move_mean(
                    ratio,
                    (f64::from(ended.events) / expected.max(1.0)).min(10.0),
                );
            }
            None => {
                let mean = self
                    .plain_ms
                    .entry(route.clone())
                    .or_insert(INITIAL_PLAIN_MS);
                move_mean(mean, ended.to_end.as_secs_f64() * 1e3);
            }
        }
    }

    /// Milliseconds that a plain call of the route takes on a mean upstream.
    pub(crate) fn plain_ms(&self, route: &RouteName) -> f64 {
        self.plain_ms
            .get(route)
            .copied()
            .unwrap_or(INITIAL_PLAIN_MS)
    }

    /// Events that a stream of the route is expected to have.
    pub(crate) fn events(&self, route: &RouteName, size: &WorkSize, tokens_per_event: u32) -> f64 {
        let ratio = self.events_ratio.get(route).copied().unwrap_or(1.0);
        (f64::from(size.output_tokens) / f64::from(tokens_per_event.max(1)) * ratio).max(1.0)
    }
}

fn move_mean(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * MEAN_WEIGHT;
}
