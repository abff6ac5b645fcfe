//! Sequential analysis of a roll-out: detects whether a new version is worse than the old one, from how the runs of
//! each route ended at both.
//!
//! Failures and slow outliers are compared by a sequential test: a mixture of likelihood ratios against the old
//! version's own rate. It may be evaluated after each answer, since Ville's inequality bounds the probability of a
//! false alarm over all evaluations (see Robbins, 1970). Durations are compared by the means of upstreams, since
//! upstreams of one version differ severalfold in speed.

use {
    crate::{
        ids::{RouteName, UpstreamId},
        limits::{
            ROLLOUT_FALSE_ALARM, ROLLOUT_MIN_ANSWERS, ROLLOUT_MIN_ROUTE_ANSWERS,
            ROLLOUT_MIN_SLOWDOWN, ROLLOUT_SLOWDOWN_DEVIATIONS, ROLLOUT_UPSTREAM_DEVIATIONS,
        },
    },
    std::{
        collections::{BTreeMap, HashMap},
        fmt::Write,
    },
};

/// A run counts as slow if it takes longer than a typical run of its upstream by more than this factor, given as a
/// natural logarithm.
pub(crate) const SLOW_LOG_RATIO: f64 = 0.92;

/// Increases over the old version's rate that the sequential test looks for.
const EXCESS_RATES: [f64; 5] = [0.04, 0.1, 0.25, 0.45, 0.8];

/// Indices into the samples of a route: the old version, the new version since the order, and the new version in the
/// recent window.
const OLD: usize = 0;
const NEW: usize = 1;
const NEW_RECENT: usize = 2;

/// Largest number of durations that are kept per upstream to determine its typical one.
const MAX_DURATIONS: usize = 32;

/// Number of durations that an upstream needs before its typical one is known.
const MIN_DURATIONS: usize = 5;

/// Quantile of the durations that counts as typical. It is below the median, so that it holds even if many runs are
/// slow.
const TYPICAL_QUANTILE: f64 = 0.3;

/// Number of upstreams that a version needs before the spread among them is known.
const MIN_UPSTREAMS: f64 = 6.0;

/// An upstream is an outlier if its rate of events exceeds that of every other upstream by more than this factor.
const OUTLIER_FACTOR: f64 = 2.0;

/// How a run ended, as far as it says something about its version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Sample {
    /// With an answer, or cancelled after it took far too long. Contains the natural logarithm of the ratio of its
    /// duration to the predicted one.
    Answered { log_ratio: f64 },
    /// With a failure, or long overdue.
    Failed,
}

/// The samples of both versions.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    routes: BTreeMap<RouteName, [Samples; 3]>,
    /// Latest durations of each upstream over all routes, as logarithms of their ratios to the predicted ones.
    durations: HashMap<UpstreamId, Vec<f64>>,
}

/// The samples of one version on one route.
#[derive(Debug, Default)]
struct Samples {
    upstreams: HashMap<UpstreamId, UpstreamSamples>,
}

/// The samples of one upstream on one route.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamSamples {
    /// Number of ended runs, including failures.
    ended_runs: f64,
    failures: f64,
    /// Number of answers whose duration was compared with the upstream's typical one.
    compared: f64,
    /// Number of those that were slow.
    slow: f64,
    /// Number of answers with a duration.
    timed_answers: f64,
    /// Sum of the durations' log ratios.
    sum: f64,
    /// Sum of the squares of the log ratios.
    square_sum: f64,
}

/// Number of events (failures or slow answers) and of the trials among which they happened.
#[derive(Clone, Copy, Debug)]
struct EventRate {
    events: f64,
    trials: f64,
}

impl Evidence {
    /// Adds the sample of a run.
    pub(crate) fn add(
        &mut self,
        is_new: bool,
        upstream: &UpstreamId,
        route: &RouteName,
        sample: Sample,
    ) {
        let durations = self.durations.entry(upstream.clone()).or_default();
        let typical = typical_duration(durations);
        let versions = self.routes.entry(route.clone()).or_default();
        let windows = if is_new {
            &[NEW, NEW_RECENT][..]
        } else {
            &[OLD]
        };
        for index in windows {
            let upstreams = &mut versions[*index].upstreams;
            upstreams
                .entry(upstream.clone())
                .or_default()
                .add(sample, typical);
        }
        if let Sample::Answered { log_ratio } = sample {
            if durations.len() >= MAX_DURATIONS {
                durations.remove(0);
            }
            durations.push(log_ratio);
        }
    }

    /// Starts a new window of recent samples, so that a version that turns bad is not hidden by its earlier good runs.
    pub(crate) fn reset_recent(&mut self) {
        for versions in self.routes.values_mut() {
            versions[NEW_RECENT] = Samples::default();
        }
    }

    /// Returns a description of how the new version is worse than the old one; absent while nothing shows that it is.
    pub(crate) fn regression(&self) -> Option<String> {
        [NEW, NEW_RECENT].into_iter().find_map(|new| {
            let on_one_route = self.routes.iter().find_map(|(route, versions)| {
                let fault = regression_of(&[(&versions[OLD], &versions[new])])?;
                Some(format!("{route}: {fault}"))
            });
            let pairs = self
                .routes
                .values()
                .map(|versions| (&versions[OLD], &versions[new]));
            let pairs: Vec<_> = pairs.collect();
            on_one_route.or_else(|| Some(format!("all routes: {}", regression_of(&pairs)?)))
        })
    }

    /// Whether there are enough samples of the new version to send all requests there.
    pub(crate) fn is_sufficient(&self) -> bool {
        let total: f64 = self
            .routes
            .values()
            .map(|versions| versions[NEW].ended_runs())
            .sum();
        let is_each_route_sufficient = self.routes.values().all(|versions| {
            let is_rare = versions[OLD].ended_runs() < ROLLOUT_MIN_ANSWERS;
            is_rare || versions[NEW].ended_runs() >= ROLLOUT_MIN_ROUTE_ANSWERS
        });
        total >= ROLLOUT_MIN_ANSWERS && is_each_route_sufficient
    }

    /// Describes the failures and slow answers of each route, for logs.
    pub(crate) fn describe(&self) -> String {
        let mut text = String::new();
        for (route, versions) in &self.routes {
            let pair = [(&versions[OLD], &versions[NEW])];
            let _ = write!(
                text,
                "{route}: {}, {}; ",
                describe_rates("fail", &pair, failures),
                describe_rates("are slow", &pair, slow)
            );
        }
        text
    }
}

impl UpstreamSamples {
    fn add(&mut self, sample: Sample, typical: Option<f64>) {
        self.ended_runs += 1.0;
        let Sample::Answered { log_ratio } = sample else {
            self.failures += 1.0;
            return;
        };
        self.timed_answers += 1.0;
        self.sum += log_ratio;
        self.square_sum += log_ratio * log_ratio;
        if let Some(typical) = typical {
            self.compared += 1.0;
            self.slow += f64::from(u8::from(log_ratio - typical > SLOW_LOG_RATIO));
        }
    }
}

/// Returns the failures and the ended runs among which they happened.
fn failures(samples: &UpstreamSamples) -> (f64, f64) {
    (samples.failures, samples.ended_runs)
}

/// Returns the slow answers and the compared answers among which they happened.
fn slow(samples: &UpstreamSamples) -> (f64, f64) {
    (samples.slow, samples.compared)
}

/// Returns a description of how the new version is worse on the given routes taken together, if it is.
///
/// Each pair holds the samples of one route at the old and the new version. Durations are only compared on a single
/// route.
fn regression_of(pairs: &[(&Samples, &Samples)]) -> Option<String> {
    if is_worse(pairs, failures) {
        return Some(describe_rates("fail", pairs, failures));
    }
    if is_worse(pairs, slow) {
        return Some(describe_rates("are slow", pairs, slow));
    }
    let [(old, new)] = pairs else {
        return None;
    };
    Some(format!("{:.1} times slower", slowdown(old, new)?))
}

impl Samples {
    /// Returns the number of ended runs, including failures.
    fn ended_runs(&self) -> f64 {
        self.upstreams
            .values()
            .map(|samples| samples.ended_runs)
            .sum()
    }

    /// Returns the rate of events over all upstreams.
    fn rate(&self, counts_of: impl Fn(&UpstreamSamples) -> (f64, f64)) -> EventRate {
        let counts = self.upstreams.values().map(counts_of);
        let (events, trials) = counts.fold((0.0, 0.0), |total, counts| {
            (total.0 + counts.0, total.1 + counts.1)
        });
        EventRate { events, trials }
    }

    /// Returns the rate of events over all upstreams, without the excess of a single outlier.
    ///
    /// An upstream with a far higher rate than all others counts with the second highest rate, since one faulty
    /// upstream says nothing about its version. This applies only if other upstreams were tried too.
    fn robust_rate(&self, counts_of: impl Fn(&UpstreamSamples) -> (f64, f64)) -> EventRate {
        let mut rate = self.rate(&counts_of);
        let mut counts: Vec<(f64, f64)> = self.upstreams.values().map(counts_of).collect();
        counts.retain(|(_, trials)| *trials > 0.0);
        counts.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let [.., next, worst] = counts.as_slice() else {
            return rate;
        };
        let events_at_next_rate = worst.1 * next.0 / next.1;
        if worst.0 > events_at_next_rate * OUTLIER_FACTOR {
            rate.events += events_at_next_rate - worst.0;
        }
        rate
    }

    /// Returns the mean of the upstreams' mean durations, the variance among them, and the number of upstreams.
    ///
    /// Absent if fewer than two upstreams have durations. Durations are logarithms of ratios to the predicted ones.
    fn mean_duration(&self) -> Option<(f64, f64, f64)> {
        let timed = self
            .upstreams
            .values()
            .filter(|samples| samples.timed_answers > 0.0);
        let means: Vec<f64> = timed
            .map(|samples| samples.sum / samples.timed_answers)
            .collect();
        let count = means.len() as f64;
        if means.len() < 2 {
            return None;
        }
        let mean = means.iter().sum::<f64>() / count;
        let spread: f64 = means
            .iter()
            .map(|upstream_mean| (upstream_mean - mean).powi(2))
            .sum::<f64>()
            / (count - 1.0);
        Some((mean, spread, count))
    }

    /// Like [`mean_duration`](Self::mean_duration), but the slowest upstream counts in the mean as the second slowest.
    fn robust_mean_duration(&self) -> Option<(f64, f64, f64)> {
        let (_, spread, _) = self.mean_duration()?;
        let timed = self
            .upstreams
            .values()
            .filter(|samples| samples.timed_answers > 0.0);
        let mut means: Vec<f64> = timed
            .map(|samples| samples.sum / samples.timed_answers)
            .collect();
        means.sort_by(f64::total_cmp);
        let [.., next, slowest] = means.as_mut_slice() else {
            return None;
        };
        *slowest = *next;
        let count = means.len() as f64;
        Some((means.iter().sum::<f64>() / count, spread, count))
    }

    /// Returns the variance of single durations around the means of their upstreams.
    fn variance_within(&self) -> f64 {
        let (mut squares, mut degrees_of_freedom) = (0.0, 0.0);
        for samples in self
            .upstreams
            .values()
            .filter(|samples| samples.timed_answers > 1.0)
        {
            squares += samples.square_sum - samples.sum * samples.sum / samples.timed_answers;
            degrees_of_freedom += samples.timed_answers - 1.0;
        }
        if degrees_of_freedom > 0.0 {
            squares / degrees_of_freedom
        } else {
            1.0
        }
    }

    /// Returns the number of answers with a duration.
    fn timed_answers(&self) -> f64 {
        self.upstreams
            .values()
            .map(|samples| samples.timed_answers)
            .sum()
    }
}

/// Returns the typical one of an upstream's durations, if enough are known.
fn typical_duration(durations: &[f64]) -> Option<f64> {
    if durations.len() < MIN_DURATIONS {
        return None;
    }
    let mut sorted = durations.to_vec();
    sorted.sort_by(f64::total_cmp);
    Some(sorted[(sorted.len() as f64 * TYPICAL_QUANTILE) as usize])
}

/// Whether the sequential test shows more events at the new version than the old version's rates on the same routes
/// explain.
fn is_worse(
    pairs: &[(&Samples, &Samples)],
    counts_of: impl Fn(&UpstreamSamples) -> (f64, f64) + Copy,
) -> bool {
    let known = pairs
        .iter()
        .map(|(old, new)| (old.rate(counts_of), new.robust_rate(counts_of)));
    let known: Vec<(EventRate, EventRate)> = known
        .filter(|(old, _)| old.trials >= ROLLOUT_MIN_ANSWERS)
        .collect();
    let events: f64 = known.iter().map(|(_, new)| new.events).sum();
    if events < 2.0 {
        return false;
    }
    let evidence: f64 = EXCESS_RATES
        .iter()
        .map(|excess| {
            let logs = known
                .iter()
                .map(|(old, new)| log_likelihood_ratio(*old, *new, *excess));
            logs.sum::<f64>().min(600.0).exp()
        })
        .sum();
    evidence / EXCESS_RATES.len() as f64 > 1.0 / ROLLOUT_FALSE_ALARM
}

/// Returns the logarithm of the likelihood ratio of the new version's events: how much more likely they are at a rate
/// that exceeds the old version's by `excess` than at the old version's own rate.
fn log_likelihood_ratio(old: EventRate, new: EventRate, excess: f64) -> f64 {
    // Uses an upper bound of the old version's rate, since few answers determine it only roughly.
    let base = (old.events + 1.5 * (old.events + 1.0).sqrt()) / (old.trials + 2.0);
    let base = base.clamp(1e-4, 0.95);
    let rate = (base + excess).min(0.99);
    new.events * (rate / base).ln() + (new.trials - new.events) * ((1.0 - rate) / (1.0 - base)).ln()
}

/// Returns the factor by which the new version is slower, if it is significantly slower.
fn slowdown(old: &Samples, new: &Samples) -> Option<f64> {
    let (old_mean, old_spread, old_count) = old.mean_duration()?;
    let (new_mean, new_spread, new_count) = new.robust_mean_duration()?;
    if old.timed_answers() < ROLLOUT_MIN_ANSWERS || new.timed_answers() < ROLLOUT_MIN_ROUTE_ANSWERS
    {
        return None;
    }
    let shift = new_mean - old_mean;
    // The old version's spread may be too small, since its slow upstreams may have got few requests. So the new
    // version's spread counts as well if enough of its upstreams were tried.
    let within = new.variance_within() / new.timed_answers();
    let is_spread_known = new_count >= MIN_UPSTREAMS;
    let spread = if is_spread_known {
        new_spread.max(old_spread)
    } else {
        old_spread
    };
    let among = spread / new_count;
    let new_variance = among.max(within);
    let deviations = if among > within {
        ROLLOUT_UPSTREAM_DEVIATIONS
    } else {
        ROLLOUT_SLOWDOWN_DEVIATIONS
    };
    let variance = old_spread / old_count + new_variance;
    let is_slower = shift > ROLLOUT_MIN_SLOWDOWN.ln() && shift > deviations * variance.sqrt();
    is_slower.then(|| shift.exp())
}

/// Describes the events at both versions on the given routes; `what` names the kind of event.
fn describe_rates(
    what: &str,
    pairs: &[(&Samples, &Samples)],
    counts_of: impl Fn(&UpstreamSamples) -> (f64, f64) + Copy,
) -> String {
    let sum = |rates: &mut dyn Iterator<Item = EventRate>| {
        rates.fold((0.0, 0.0), |total, rate| {
            (total.0 + rate.events, total.1 + rate.trials)
        })
    };
    let old = sum(&mut pairs.iter().map(|(old, _)| old.rate(counts_of)));
    let new = sum(&mut pairs.iter().map(|(_, new)| new.rate(counts_of)));
    format!(
        "{:.0} of {:.0} {what} at the new version, {:.0} of {:.0} at the old one",
        new.0, new.1, old.0, old.1
    )
}
