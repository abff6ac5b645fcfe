//! What a caller saw, by tier.

use {
    super::check::Refusal,
    crate::clock::millis,
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A whole and right answer.
    Complete,
    /// An answer that is not the one to this request.
    Wrong {
        /// What differs.
        reason: String,
    },
    /// An answer that ended short as if it were whole.
    Truncated,
    /// A refusal before the answer.
    Refused {
        /// What it says.
        refusal: Refusal,
    },
    /// A failure told after the answer began.
    Failed {
        /// What it says.
        refusal: Refusal,
    },
    /// An answer of another kind.
    Status {
        /// The status.
        status: u16,
    },
    /// No entry could be reached.
    Unreachable,
    /// The connection broke before the end of the answer.
    Broken,
    /// Nothing came in time.
    TimedOut,
}

/// One request from the caller's side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestResult {
    /// Number in the traffic.
    pub number: u32,
    /// Tier.
    pub tier: String,
    /// Place of the account in the settings.
    pub account: usize,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: String,
    /// Hash of the prompt or the body, as in the records of the stand-ins; none for a lookup.
    pub content_hash: Option<String>,
    /// Whether it might run again.
    pub idempotent: bool,
    /// Entry that answered last.
    pub entry: Option<String>,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Whether it completed before its deadline.
    pub in_time: bool,
    /// Times it was sent, to whichever entry.
    pub attempts: u32,
    /// How often it may have run: once, and once more for each earlier attempt whose refusal admits a run.
    pub runs_allowed: u32,
    /// Time from the first attempt to the first token.
    pub first_token_ms: Option<u64>,
    /// Time from the first attempt to the end.
    pub total_ms: u64,
    /// Right tokens received.
    pub tokens: u32,
}

/// Percentiles of a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: u64,
    /// 95 in 100 are not above it.
    pub p95_ms: u64,
    /// 99 in 100 are not above it.
    pub p99_ms: u64,
    /// Greatest value.
    pub max_ms: u64,
}

/// Counts of one tier.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TierReport {
    /// Requests sent.
    pub sent: u32,
    /// Whole and right answers.
    pub complete: u32,
    /// Whole and right answers in time: the goodput.
    pub in_time: u32,
    /// Part of the requests sent that is goodput.
    pub goodput_share: f64,
    /// Goodput over the time of the run.
    pub goodput_per_s: f64,
    /// Wrong answers; there must be none.
    pub wrong: u32,
    /// Answers that ended short as if they were whole; there must be none.
    pub truncated: u32,
    /// Refusals and told failures by code and `ran`, such as `overloaded/no`.
    pub refusals: BTreeMap<String, u32>,
    /// Refusals and told failures that say when to come back.
    pub with_retry_after: u32,
    /// Answers of another kind, broken connections, and nothing in time.
    pub unanswered: u32,
    /// Tokens of all right answers.
    pub tokens: u64,
    /// Time to the first token of complete answers.
    pub first_token: LatencySummary,
    /// Time to the end of complete answers.
    pub total: LatencySummary,
}

/// What a caller saw.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerReport {
    /// Seed of the traffic.
    pub seed: u64,
    /// Time of the run.
    pub elapsed_ms: u64,
    /// By tier.
    pub tiers: BTreeMap<String, TierReport>,
    /// Each request, in the order of the traffic.
    pub results: Vec<RequestResult>,
}

impl CallerReport {
    /// Sums up the results of a run.
    pub fn new(seed: u64, elapsed: Duration, mut results: Vec<RequestResult>) -> Self {
        results.sort_by_key(|result| result.number);
        let mut by_tier: BTreeMap<String, Vec<&RequestResult>> = BTreeMap::new();
        for result in &results {
            by_tier.entry(result.tier.clone()).or_default().push(result);
        }
        let tiers = by_tier
            .into_iter()
            .map(|(tier, results)| (tier, tier_report(elapsed, &results)))
            .collect();
        let elapsed_ms = millis(elapsed);
        Self {
            seed,
            elapsed_ms,
            tiers,
            results,
        }
    }

    /// Answers that break a promise: wrong ones, and short ones that ended as if they were whole.
    pub fn broken_answers(&self) -> u32 {
        self.tiers
            .values()
            .map(|tier| tier.wrong + tier.truncated)
            .sum()
    }
}

fn tier_report(elapsed: Duration, results: &[&RequestResult]) -> TierReport {
    let mut report = TierReport::default();
    for result in results {
        add(&mut report, result);
    }
    let complete = || {
        results
            .iter()
            .filter(|result| result.outcome == RequestOutcome::Complete)
    };
    report.first_token = summary(complete().filter_map(|result| result.first_token_ms));
    report.total = summary(complete().map(|result| result.total_ms));
    report.goodput_share = f64::from(report.in_time) / f64::from(report.sent.max(1));
    report.goodput_per_s = f64::from(report.in_time) / elapsed.as_secs_f64().max(f64::EPSILON);
    report
}

fn add(report: &mut TierReport, result: &RequestResult) {
    report.sent += 1;
    report.in_time += u32::from(result.in_time);
    match &result.outcome {
        RequestOutcome::Complete => {
            report.complete += 1;
            report.tokens += u64::from(result.tokens);
        }
        RequestOutcome::Wrong { .. } => report.wrong += 1,
        RequestOutcome::Truncated => report.truncated += 1,
        RequestOutcome::Refused { refusal } | RequestOutcome::Failed { refusal } => {
            let class = format!("{}/{}", refusal.code, refusal.ran);
            *report.refusals.entry(class).or_default() += 1;
            report.with_retry_after += u32::from(refusal.retry_after_ms.is_some());
        }
        RequestOutcome::Status { .. }
        | RequestOutcome::Unreachable
        | RequestOutcome::Broken
        | RequestOutcome::TimedOut => report.unanswered += 1,
    }
}

fn summary(values_ms: impl Iterator<Item = u64>) -> LatencySummary {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are in the allowed range");
    for value_ms in values_ms {
        histogram
            .record(value_ms)
            .expect("a histogram that resizes takes every value");
    }
    LatencySummary {
        count: histogram.len(),
        p50_ms: histogram.value_at_quantile(0.5),
        p95_ms: histogram.value_at_quantile(0.95),
        p99_ms: histogram.value_at_quantile(0.99),
        max_ms: histogram.max(),
    }
}
