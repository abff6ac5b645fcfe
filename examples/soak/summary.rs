//! Writes the results of a soak run as text.

use {
    super::{checker::Violations, faults::Faults},
    dragonflystep::fakes::caller::{CallerReport, PlannedRequest, RequestOutcome},
    std::{collections::BTreeMap, fmt::Write, time::Duration},
};

/// Seconds of traffic summarized in one line.
const SPAN_SECONDS: u64 = 10;
/// Number of violations of one guarantee that are written in full.
const SHOWN_VIOLATIONS: usize = 5;

/// Recovery times from one kind of fault; `None` where the system did not recover within the probes' timeout.
type Times = Vec<Option<Duration>>;

/// Recovery times from all faults of a run, by kind of fault.
#[derive(Debug, Default)]
pub struct Recoveries {
    during: BTreeMap<String, Times>,
    after: BTreeMap<String, Times>,
    rounds: Vec<String>,
}

impl Recoveries {
    /// Adds the line of one round: its start, its faults and the recovery times.
    pub fn round(&mut self, line: String) {
        self.rounds.push(line);
    }

    /// Adds a recovery time counted from the start of a fault and probed through the unaffected nodes.
    pub fn during(&mut self, name: &str, took: Option<Duration>) {
        self.during.entry(name.to_owned()).or_default().push(took);
    }

    /// Adds a recovery time counted from the end of a fault and probed through all nodes, with orders.
    pub fn after(&mut self, name: &str, took: Option<Duration>) {
        self.after.entry(name.to_owned()).or_default().push(took);
    }
}

/// Returns the summary of a run.
pub fn text(
    seed: u64,
    plan: &[PlannedRequest],
    report: &CallerReport,
    violations: &Violations,
    recoveries: &Recoveries,
    faults: &Faults,
) -> String {
    let mut text = String::new();
    let sent = report.results.len();
    let total = |count: fn(&dragonflystep::fakes::caller::TierReport) -> u32| -> u32 {
        report.tiers.values().map(count).sum()
    };
    let line = |text: &mut String, line: String| {
        // Writing to a `String` does not fail.
        let _ = writeln!(text, "{line}");
    };
    line(
        &mut text,
        format!(
            "seed {seed}, {} ms, {} faults",
            report.elapsed_ms,
            faults.log.len()
        ),
    );
    line(
        &mut text,
        format!(
            "sent {sent}, answered whole {}, in time {}, refused or told failures {}, without a final answer {}",
            total(|tier| tier.complete),
            total(|tier| tier.in_time),
            total(|tier| tier.refusals.values().sum()),
            total(|tier| tier.unanswered)
        ),
    );
    for (tier, figures) in &report.tiers {
        line(&mut text, format!("  {tier}: {:?}", figures.refusals));
    }
    for (title, times) in [
        (
            "recovered after the beginning (other nodes)",
            &recoveries.during,
        ),
        (
            "recovered after the end (all nodes, with orders)",
            &recoveries.after,
        ),
    ] {
        line(
            &mut text,
            format!("{title}: count, p50 ms, max ms, not within a minute"),
        );
        for (name, times) in times {
            line(&mut text, format!("  {name}: {}", format_recovery(times)));
        }
    }
    line(
        &mut text,
        "rounds: when it began, faults with targets, recovered after the beginning and after the end"
            .to_owned(),
    );
    for round in &recoveries.rounds {
        line(&mut text, format!("  {round}"));
    }
    line(
        &mut text,
        "sent in ten seconds: number, whole, refusals by service".to_owned(),
    );
    for (slot, span) in spans(plan, report) {
        line(&mut text, format!("  {} s: {span}", slot * SPAN_SECONDS));
    }
    let count: usize = violations.values().map(Vec::len).sum();
    line(&mut text, format!("violations: {count}"));
    for (guarantee, found) in violations {
        line(&mut text, format!("  {guarantee}: {}", found.len()));
        for one in found.iter().take(SHOWN_VIOLATIONS) {
            line(&mut text, format!("    {one}"));
        }
    }
    text
}

/// Counts the requests, complete answers and failures of each span of `SPAN_SECONDS`, by the number of the span.
fn spans(plan: &[PlannedRequest], report: &CallerReport) -> BTreeMap<u64, String> {
    let mut counts: BTreeMap<u64, (u32, u32, BTreeMap<String, u32>)> = BTreeMap::new();
    for result in &report.results {
        let planned = &plan[result.number as usize];
        let span = counts
            .entry(planned.at.as_secs() / SPAN_SECONDS)
            .or_default();
        span.0 += 1;
        let code = match &result.outcome {
            RequestOutcome::Complete => {
                span.1 += 1;
                continue;
            }
            RequestOutcome::Refused { refusal } | RequestOutcome::Failed { refusal } => {
                refusal.code.clone()
            }
            other => format!("{other:?}"),
        };
        let kind = format!("{:?}", planned.ask);
        let kind = kind.split([' ', '{', '(']).next().unwrap_or_default();
        *span.2.entry(format!("{kind} {code}")).or_default() += 1;
    }
    let text = |(sent, whole, others)| format!("{sent}, {whole}, {others:?}");
    counts
        .into_iter()
        .map(|(span, counts)| (span, text(counts)))
        .collect()
}

fn format_recovery(times: &Times) -> String {
    let mut known_ms: Vec<u128> = times.iter().flatten().map(Duration::as_millis).collect();
    known_ms.sort_unstable();
    let missing = times.len() - known_ms.len();
    let median_ms = known_ms
        .get(known_ms.len() / 2)
        .copied()
        .unwrap_or_default();
    let max_ms = known_ms.last().copied().unwrap_or_default();
    format!("{}, {median_ms}, {max_ms}, {missing}", times.len())
}
