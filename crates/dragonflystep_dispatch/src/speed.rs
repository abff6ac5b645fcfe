//! Learns the speeds of upstreams and the durations of routes, from which run times are predicted.
//!
//! Upstreams of one service differ severalfold in speed, and nothing states by how much. So each finished
//! run contributes a prefill time per token and a time per event to the weighted means of its upstream. For an upstream
//! without finished runs, the service's mean speed is assumed.

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

/// Lower bound of divisors; prevents division by zero.
const MIN_DIVISOR: f64 = 1e-4;

/// Prefill and decode speed of an upstream, and its speed on plain calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Speed {
    /// Prefill time per prompt token, in milliseconds.
    pub(crate) prefill_ms_per_token: f64,
    /// Time from one event of a stream to the next, in milliseconds.
    pub(crate) ms_per_event: f64,
    /// Ratio of the duration of a plain call to the mean duration on its route.
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
    /// Learns from a finished stream that had `prefill_tokens` to be prefilled before its first event.
    pub(crate) fn learn_stream(&mut self, report: &RunReport, prefill_tokens: f64) {
        let Some(to_first) = report.to_first_event else {
            return;
        };
        let first_ms = to_first.as_secs_f64() * 1e3;
        if prefill_tokens >= MIN_MEASURED_PROMPT_TOKENS {
            let sample = (first_ms - FIRST_EVENT_BASE_MS).max(0.5) / prefill_tokens;
            update_mean(&mut self.prefill_ms_per_token, sample);
        }
        if report.events > 3 {
            let rest_ms = (report.to_end.as_secs_f64() * 1e3 - first_ms).max(0.0);
            update_mean(
                &mut self.ms_per_event,
                rest_ms / f64::from(report.events - 1),
            );
        }
    }

    /// Learns from a finished plain call on a route whose calls take `mean_ms` on average.
    pub(crate) fn learn_plain(&mut self, report: &RunReport, mean_ms: f64) {
        let sample = report.to_end.as_secs_f64() * 1e3 / mean_ms.max(1.0);
        update_mean(&mut self.plain_ratio, sample.min(10.0));
    }

    /// Returns the mean speed of several upstreams, or the default speed if there are none.
    ///
    /// This is the harmonic mean of the durations: it averages rates, since a fast upstream does more of the work.
    pub(crate) fn mean<'a>(speeds: impl Iterator<Item = &'a Self>) -> Self {
        let (mut rates, mut count) = ((0.0, 0.0, 0.0), 0.0);
        for speed in speeds {
            rates.0 += 1.0 / speed.prefill_ms_per_token.max(MIN_DIVISOR);
            rates.1 += 1.0 / speed.ms_per_event.max(MIN_DIVISOR);
            rates.2 += 1.0 / speed.plain_ratio.max(MIN_DIVISOR);
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

/// Means learned from the finished runs of each route of a service.
#[derive(Debug, Default)]
pub(crate) struct RouteAverages {
    /// Ratio of the events that arrived to those that were expected.
    events_ratio: HashMap<RouteName, f64>,
    /// Mean duration of a plain call, in milliseconds.
    plain_ms: HashMap<RouteName, f64>,
}

impl RouteAverages {
    /// Learns from a complete answer: the ratio of events for a stream, the duration for a plain call.
    pub(crate) fn learn(
        &mut self,
        route: &RouteName,
        report: &RunReport,
        expected_events: Option<f64>,
    ) {
        match expected_events {
            Some(expected) => {
                let ratio = self.events_ratio.entry(route.clone()).or_insert(1.0);
                update_mean(
                    ratio,
                    (f64::from(report.events) / expected.max(1.0)).min(10.0),
                );
            }
            None => {
                let mean = self
                    .plain_ms
                    .entry(route.clone())
                    .or_insert(INITIAL_PLAIN_MS);
                update_mean(mean, report.to_end.as_secs_f64() * 1e3);
            }
        }
    }

    /// Returns the mean duration of a plain call on the route, in milliseconds.
    pub(crate) fn plain_ms(&self, route: &RouteName) -> f64 {
        self.plain_ms
            .get(route)
            .copied()
            .unwrap_or(INITIAL_PLAIN_MS)
    }

    /// Predicts the number of events of a stream on the route.
    pub(crate) fn events(&self, route: &RouteName, size: &WorkSize, tokens_per_event: u32) -> f64 {
        let ratio = self.events_ratio.get(route).copied().unwrap_or(1.0);
        (f64::from(size.output_tokens) / f64::from(tokens_per_event.max(1)) * ratio).max(1.0)
    }
}

/// Adds a sample to an exponentially weighted mean.
fn update_mean(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * MEAN_WEIGHT;
}
