//! Runs of a scenario under several policies and seeds, and the report on them.

use {
    crate::{
        baseline::BaselineKind,
        error::ExperimentError,
        figures::{Figures, figures},
        scenario::Plan,
        workload,
        world::{Policy, World},
    },
    dragonflystep_core::Tuning,
    serde::{Deserialize, Serialize},
    std::{
        fmt::Write,
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// Names of the policies, in the order in which reports show them.
pub const POLICY_NAMES: [&str; 11] = [
    "reducer",
    "reducer_urgent_alone",
    "reducer_without_prefix_model",
    "reducer_without_fairness",
    "reducer_without_early_refusal",
    "reducer_without_adaptive_limit",
    "reducer_without_straggler_signs",
    "random",
    "round_robin",
    "two_choices",
    "fifo",
];

/// A report on one scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExperimentReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seeds, in the order of the figures.
    pub seeds: Vec<u64>,
    /// Each policy.
    pub policies: Vec<PolicyReport>,
}

/// Figures of one policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyReport {
    /// Name.
    pub policy: String,
    /// Figures of each seed.
    pub runs: Vec<Figures>,
}

impl PolicyReport {
    /// Mean of a figure over the seeds.
    pub fn mean(&self, figure: impl Fn(&Figures) -> f64) -> f64 {
        let whole: f64 = self.runs.iter().map(figure).sum();
        whole / self.runs.len().max(1) as f64
    }

    /// Smallest and largest value of a figure over the seeds.
    pub fn spread(&self, figure: impl Fn(&Figures) -> f64) -> (f64, f64) {
        let values = self.runs.iter().map(figure);
        values.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), value| {
            (low.min(value), high.max(value))
        })
    }
}

/// A policy by its name; the second value says that only the most urgent tier is sent.
///
/// # Errors
/// When there is none of the name.
pub fn policy(name: &str) -> Result<(Policy, bool), ExperimentError> {
    let mut tuning = Tuning::default();
    let parts = &mut tuning.policy;
    let baseline = |kind| Ok((Policy::Baseline(kind), false));
    match name {
        "reducer" | "reducer_urgent_alone" => {}
        "reducer_without_prefix_model" => parts.prefix_model = false,
        "reducer_without_fairness" => parts.fairness = false,
        "reducer_without_early_refusal" => parts.early_refusal = false,
        "reducer_without_adaptive_limit" => parts.adaptive_limit = false,
        "reducer_without_straggler_signs" => parts.straggler_signs = false,
        "random" => return baseline(BaselineKind::Random),
        "round_robin" => return baseline(BaselineKind::RoundRobin),
        "two_choices" => return baseline(BaselineKind::TwoChoices),
        "fifo" => return baseline(BaselineKind::Fifo),
        _ => {
            return Err(ExperimentError::UnknownPolicy {
                name: name.into(),
                known: POLICY_NAMES.join(", "),
            });
        }
    }
    let urgent_alone = name == "reducer_urgent_alone";
    Ok((Policy::Reducer(Box::new(tuning)), urgent_alone))
}

/// Plays a scenario once and gives its figures.
///
/// # Errors
/// When there is no policy of the name.
pub fn run_once(plan: &Plan, policy_name: &str, seed: u64) -> Result<Figures, ExperimentError> {
    let (policy, urgent_alone) = policy(policy_name)?;
    let mut arrivals = workload::arrivals(plan, seed);
    if urgent_alone {
        arrivals.retain(|arrival| arrival.facts.tier == 0);
    }
    let record = World::new(plan, &policy, arrivals, seed).run();
    Ok(figures(plan, &record))
}

/// Plays a scenario under each policy with each seed, on at most `threads` threads.
///
/// # Errors
/// When there is no policy of a name.
pub fn run(
    plan: &Plan,
    seeds: &[u64],
    policies: &[&str],
    threads: usize,
) -> Result<ExperimentReport, ExperimentError> {
    let jobs: Vec<(&str, u64)> = policies
        .iter()
        .flat_map(|name| seeds.iter().map(|seed| (*name, *seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<Result<Figures, ExperimentError>>>> =
        Mutex::new(jobs.iter().map(|_| None).collect());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while let Some((name, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let place = jobs.iter().position(|it| it == &(*name, *seed));
                    let figures = run_once(plan, name, *seed);
                    let mut results = results.lock().expect("no run holds the lock and panics");
                    if let Some(place) = place {
                        results[place] = Some(figures);
                    }
                }
            });
        }
    });
    let results = results
        .into_inner()
        .expect("no run holds the lock and panics");
    let mut runs = results.into_iter().flatten();
    let mut reports = Vec::new();
    for name in policies {
        let figures: Result<Vec<Figures>, ExperimentError> =
            runs.by_ref().take(seeds.len()).collect();
        reports.push(PolicyReport {
            policy: (*name).into(),
            runs: figures?,
        });
    }
    Ok(ExperimentReport {
        scenario: plan.scenario.name.clone(),
        seeds: seeds.to_vec(),
        policies: reports,
    })
}

impl ExperimentReport {
    /// The report as a text table.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = self.write_text(&mut text);
        text
    }

    fn write_text(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "scenario {}, seeds {:?}", self.scenario, self.seeds)?;
        writeln!(
            text,
            "{:32} {:>7} {:>13} {:>6} {:>6} {:>7} {:>7} {:>5}  {:26} {:20} violations",
            "policy",
            "measure",
            "spread",
            "good",
            "bound",
            "waste",
            "fair",
            "wrong",
            "goodput by tier",
            "first token p50/p95"
        )?;
        for policy in &self.policies {
            policy.write_row(text)?;
        }
        for policy in &self.policies {
            policy.write_refusals(text)?;
        }
        Ok(())
    }
}

impl PolicyReport {
    fn write_row(&self, text: &mut String) -> std::fmt::Result {
        let (low, high) = self.spread(|it| it.measure);
        let tiers = self.runs.first().map_or(0, |it| it.tiers.len());
        let by_tier =
            (0..tiers).map(|tier| format!("{:.3}", self.mean(|it| it.tiers[tier].goodput)));
        let by_tier: Vec<String> = by_tier.collect();
        let urgent = |at: fn(&Figures) -> f64| self.mean(at);
        let first_token = format!(
            "{:.0}/{:.0}",
            urgent(|it| it.tiers[0].first_token_ms.p50),
            urgent(|it| it.tiers[0].first_token_ms.p95)
        );
        let mut violations = std::collections::BTreeMap::new();
        for run in &self.runs {
            for (promise, count) in &run.violations {
                *violations.entry(*promise).or_insert(0) += count;
            }
        }
        writeln!(
            text,
            "{:32} {:>7.3} {:>6.3}-{:>6.3} {:>6.3} {:>6.3} {:>7.3} {:>7.3} {:>5.2}  {:26} {:20} {:?}",
            self.policy,
            self.mean(|it| it.measure),
            low,
            high,
            self.mean(|it| it.goodput),
            self.mean(|it| it.work_of_bound),
            self.mean(|it| it.wasted_prefill),
            self.mean(|it| it.least_fair_share),
            self.mean(wrong_refusals),
            by_tier.join(" / "),
            first_token,
            violations
        )
    }

    fn write_refusals(&self, text: &mut String) -> std::fmt::Result {
        let Some(first) = self.runs.first() else {
            return Ok(());
        };
        let parts: Vec<String> = first
            .refusals
            .iter()
            .map(|(code, it)| format!("{code:?} {} ({:.2} right)", it.count, it.right))
            .collect();
        let tiers = first.tiers.iter().map(|it| {
            format!(
                "{}: dispatch {:.0}/{:.0}/{:.0} ms, first token {:.0}/{:.0}/{:.0} ms, gap {:.0}/{:.0}/{:.0} ms",
                it.tier,
                it.queued_ms.p50,
                it.queued_ms.p95,
                it.queued_ms.p99,
                it.first_token_ms.p50,
                it.first_token_ms.p95,
                it.first_token_ms.p99,
                it.token_gap_ms.p50,
                it.token_gap_ms.p95,
                it.token_gap_ms.p99
            )
        });
        let tiers: Vec<String> = tiers.collect();
        writeln!(text, "{}, first seed: {}", self.policy, tiers.join("; "))?;
        writeln!(text, "    refusals: {}", parts.join(", "))?;
        writeln!(
            text,
            "    prefill: {} computed, {} useful, {} thrown away; wasted: {} again on the same engine, \
             {} on another of the group, {} in another group, {} for no answer, {} cut short",
            first.prefilled_tokens,
            first.useful_prefill_tokens,
            first.thrown_away_tokens,
            first.waste.evicted,
            first.waste.same_group,
            first.waste.other_group,
            first.waste.no_answer,
            first.waste.cut_short
        )
    }
}

/// Share of the refusals that were wrong in hindsight.
fn wrong_refusals(figures: &Figures) -> f64 {
    let all: usize = figures.refusals.values().map(|it| it.count).sum();
    let wrong: f64 = figures
        .refusals
        .values()
        .map(|it| it.count as f64 * (1.0 - it.right))
        .sum();
    if all == 0 { 0.0 } else { wrong / all as f64 }
}
