//! Whether a new version is worse than the old one, by how requests of each route ended at both.
//!
//! Failures and slow outliers are compared by a sequential test: a mixture of likelihood ratios against the old version's
//! own rate, which may be looked at after each answer (Ville's inequality bounds how often it is wrong, see Robbins, 1970).
//! Durations are compared by the means of upstreams, since upstreams of one version differ several times in speed.

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

/// How much longer than the usual run of its upstream a run takes that counts as a slow one, as a logarithm of the factor.
pub(crate) const SLOW_LOG_RATIO: f64 = 0.92;

/// Rates above the old version's which the sequential test looks for.
const EXCESS_RATES: [f64; 5] = [0.04, 0.1, 0.25, 0.45, 0.8];

/// The old version, the new one since the order, and the new one recently.
const OLD: usize = 0;
const NEW: usize = 1;
const NEW_RECENT: usize = 2;

/// Durations of an upstream that are kept, to know its usual one.
const KEPT_DURATIONS: usize = 32;

/// Durations by which an upstream's usual one is known.
const LEAST_DURATIONS: usize = 5;

/// The quantile that is the usual one; below the median, so that it stands when a large part of the runs is slow.
const USUAL_QUANTILE: f64 = 0.3;

/// Upstreams by which the spread among those of a version is known.
const LEAST_UPSTREAMS: f64 = 6.0;

/// An upstream whose events are this many times those of any other stands for itself.
const OUTLYING_FACTOR: f64 = 2.0;

/// How a run ended, as far as it says something of its version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Sample {
    /// With an answer, after this time against what was expected, as a logarithm of the factor.
    Answered { log_ratio: f64 },
    /// With a failure.
    Failed,
}

/// What is known of both versions.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    routes: BTreeMap<RouteName, [Samples; 3]>,
    /// Durations of each upstream, over all routes.
    durations: HashMap<UpstreamId, Vec<f64>>,
}

/// What is known of one version on one route.
#[derive(Debug, Default)]
struct Samples {
    upstreams: HashMap<UpstreamId, UpstreamSamples>,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamSamples {
    answers: f64,
    failures: f64,
    /// Answers that were compared with the upstream's usual duration, and those that took far longer.
    compared: f64,
    slow: f64,
    /// Sums over the durations.
    timed: f64,
    sum: f64,
    square_sum: f64,
}

/// Events among trials.
#[derive(Clone, Copy, Debug)]
struct Rate {
    events: f64,
    trials: f64,
}

impl Evidence {
    /// Adds how a run ended.
    pub(crate) fn add(
        &mut self,
        is_new: bool,
        upstream: &UpstreamId,
        route: &RouteName,
        sample: Sample,
    ) {
        let durations = self.durations.entry(upstream.clone()).or_default();
        let usual = usual(durations);
        let versions = self.routes.entry(route.clone()).or_default();
        let kept_as = if is_new {
            &[NEW, NEW_RECENT][..]
        } else {
            &[OLD]
        };
        for index in kept_as {
            let upstreams = &mut versions[*index].upstreams;
            upstreams
                .entry(upstream.clone())
                .or_default()
                .add(sample, usual);
        }
        if let Sample::Answered { log_ratio } = sample {
            if durations.len() >= KEPT_DURATIONS {
                durations.remove(0);
            }
            durations.push(log_ratio);
        }
    }

    /// Forgets what the new version did recently, so that a version which turns bad is not hidden by what it did before.
    pub(crate) fn reset_recent(&mut self) {
        for versions in self.routes.values_mut() {
            versions[NEW_RECENT] = Samples::default();
        }
    }

    /// Why the new version is bad; none while nothing shows it.
    pub(crate) fn fault(&self) -> Option<String> {
        [NEW, NEW_RECENT].into_iter().find_map(|new| {
            let on_a_route = self.routes.iter().find_map(|(route, versions)| {
                let fault = fault_of(&[(&versions[OLD], &versions[new])])?;
                Some(format!("{route}: {fault}"))
            });
            let pairs = self.routes.values().map(|one| (&one[OLD], &one[new]));
            let pairs: Vec<_> = pairs.collect();
            on_a_route.or_else(|| Some(format!("all routes: {}", fault_of(&pairs)?)))
        })
    }

    /// Whether enough is known of the new version to send all requests there.
    pub(crate) fn is_sufficient(&self) -> bool {
        let all: f64 = self.routes.values().map(|one| one[NEW].answers()).sum();
        let on_each = self.routes.values().all(|one| {
            let is_rare = one[OLD].answers() < ROLLOUT_MIN_ANSWERS;
            is_rare || one[NEW].answers() >= ROLLOUT_MIN_ROUTE_ANSWERS
        });
        all >= ROLLOUT_MIN_ANSWERS && on_each
    }

    /// Answers and failures by route, for logs.
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
    fn add(&mut self, sample: Sample, usual: Option<f64>) {
        self.answers += 1.0;
        let Sample::Answered { log_ratio } = sample else {
            self.failures += 1.0;
            return;
        };
        self.timed += 1.0;
        self.sum += log_ratio;
        self.square_sum += log_ratio * log_ratio;
        if let Some(usual) = usual {
            self.compared += 1.0;
            self.slow += f64::from(u8::from(log_ratio - usual > SLOW_LOG_RATIO));
        }
    }
}

fn failures(one: &UpstreamSamples) -> (f64, f64) {
    (one.failures, one.answers)
}

fn slow(one: &UpstreamSamples) -> (f64, f64) {
    (one.slow, one.compared)
}

/// Why the new version is worse on some routes taken together; each pair holds a route's old and new version.
fn fault_of(pairs: &[(&Samples, &Samples)]) -> Option<String> {
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
    fn answers(&self) -> f64 {
        self.upstreams.values().map(|one| one.answers).sum()
    }

    /// Events among trials.
    fn rate(&self, of: impl Fn(&UpstreamSamples) -> (f64, f64)) -> Rate {
        let counts = self.upstreams.values().map(of);
        let (events, trials) = counts.fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
        Rate { events, trials }
    }

    /// Events among trials, where an upstream with far more events than any other counts as the next one does, as long as
    /// others were tried: one faulty upstream says nothing of its version.
    fn careful_rate(&self, of: impl Fn(&UpstreamSamples) -> (f64, f64)) -> Rate {
        let mut rate = self.rate(&of);
        let mut counts: Vec<(f64, f64)> = self.upstreams.values().map(of).collect();
        counts.retain(|(_, trials)| *trials > 0.0);
        counts.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let [.., next, worst] = counts.as_slice() else {
            return rate;
        };
        let as_next = worst.1 * next.0 / next.1;
        if worst.0 > as_next * OUTLYING_FACTOR {
            rate.events += as_next - worst.0;
        }
        rate
    }

    /// Mean of the upstreams' mean durations, its variance by their spread, and their number.
    fn mean_duration(&self) -> Option<(f64, f64, f64)> {
        let timed = self.upstreams.values().filter(|one| one.timed > 0.0);
        let means: Vec<f64> = timed.map(|one| one.sum / one.timed).collect();
        let count = means.len() as f64;
        if means.len() < 2 {
            return None;
        }
        let mean = means.iter().sum::<f64>() / count;
        let spread: f64 = means.iter().map(|one| (one - mean).powi(2)).sum::<f64>() / (count - 1.0);
        Some((mean, spread, count))
    }

    /// The same, where the slowest upstream counts as the one next to it.
    fn careful_mean_duration(&self) -> Option<(f64, f64, f64)> {
        let (_, spread, _) = self.mean_duration()?;
        let timed = self.upstreams.values().filter(|one| one.timed > 0.0);
        let mut means: Vec<f64> = timed.map(|one| one.sum / one.timed).collect();
        means.sort_by(f64::total_cmp);
        let [.., next, slowest] = means.as_mut_slice() else {
            return None;
        };
        *slowest = *next;
        let count = means.len() as f64;
        Some((means.iter().sum::<f64>() / count, spread, count))
    }

    /// Variance of a single duration around its upstream's mean.
    fn variance_within(&self) -> f64 {
        let (mut squares, mut degrees) = (0.0, 0.0);
        for one in self.upstreams.values().filter(|one| one.timed > 1.0) {
            squares += one.square_sum - one.sum * one.sum / one.timed;
            degrees += one.timed - 1.0;
        }
        if degrees > 0.0 {
            squares / degrees
        } else {
            1.0
        }
    }

    fn timed(&self) -> f64 {
        self.upstreams.values().map(|one| one.timed).sum()
    }
}

fn usual(durations: &[f64]) -> Option<f64> {
    if durations.len() < LEAST_DURATIONS {
        return None;
    }
    let mut sorted = durations.to_vec();
    sorted.sort_by(f64::total_cmp);
    Some(sorted[(sorted.len() as f64 * USUAL_QUANTILE) as usize])
}

/// Whether events are more frequent at the new version than the old one's rates on the same routes explain.
fn is_worse(
    pairs: &[(&Samples, &Samples)],
    of: impl Fn(&UpstreamSamples) -> (f64, f64) + Copy,
) -> bool {
    let known = pairs
        .iter()
        .map(|(old, new)| (old.rate(of), new.careful_rate(of)));
    let known: Vec<(Rate, Rate)> = known
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
                .map(|(old, new)| log_ratio(*old, *new, *excess));
            logs.sum::<f64>().min(600.0).exp()
        })
        .sum();
    evidence / EXCESS_RATES.len() as f64 > 1.0 / ROLLOUT_FALSE_ALARM
}

/// Logarithm of how much likelier the new version's events are with a rate that is higher by `excess` than the old one's.
fn log_ratio(old: Rate, new: Rate, excess: f64) -> f64 {
    // An upper bound of the old version's rate: few answers say little of it.
    let base = (old.events + 1.5 * (old.events + 1.0).sqrt()) / (old.trials + 2.0);
    let base = base.clamp(1e-4, 0.95);
    let rate = (base + excess).min(0.99);
    new.events * (rate / base).ln() + (new.trials - new.events) * ((1.0 - rate) / (1.0 - base)).ln()
}

/// How many times slower the new version is, if it is.
fn slowdown(old: &Samples, new: &Samples) -> Option<f64> {
    let (old_mean, old_spread, old_count) = old.mean_duration()?;
    let (new_mean, new_spread, new_count) = new.careful_mean_duration()?;
    if old.timed() < ROLLOUT_MIN_ANSWERS || new.timed() < ROLLOUT_MIN_ROUTE_ANSWERS {
        return None;
    }
    let shift = new_mean - old_mean;
    // Slow upstreams of the old version may have got few requests, so that the new version's spread counts as well, where
    // enough upstreams were tried.
    let within = new.variance_within() / new.timed();
    let is_known = new_count >= LEAST_UPSTREAMS;
    let spread = if is_known {
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

fn describe_rates(
    what: &str,
    pairs: &[(&Samples, &Samples)],
    of: impl Fn(&UpstreamSamples) -> (f64, f64) + Copy,
) -> String {
    let sum = |rates: &mut dyn Iterator<Item = Rate>| {
        rates.fold((0.0, 0.0), |all, one| {
            (all.0 + one.events, all.1 + one.trials)
        })
    };
    let old = sum(&mut pairs.iter().map(|(old, _)| old.rate(of)));
    let new = sum(&mut pairs.iter().map(|(_, new)| new.rate(of)));
    format!(
        "{:.0} of {:.0} {what} at the new version, {:.0} of {:.0} at the old one",
        new.0, new.1, old.0, old.1
    )
}
