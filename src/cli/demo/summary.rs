//! The demo's summary texts, and a check of the scheduler's guarantees that relies only on the records of callers and
//! stand-ins.

use {
    super::system::System,
    dragonflystep::fakes::{
        caller::CallerReport,
        engine::{DispatchOutcome, DispatchRecord},
    },
    std::{collections::BTreeMap, fmt::Write},
};

/// Formats the goodput and latency of each tier as measured by the callers.
pub fn traffic(report: &CallerReport) -> String {
    let mut out = String::from(
        "\ntier         sent   good  share  refused  first token p50/p95 ms  whole answer p50/p95 ms\n",
    );
    for (name, tier) in &report.tiers {
        let refused: u32 = tier.refusals.values().sum();
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "{name:<11} {:>5}  {:>5}  {:>5.3}  {refused:>7}  {:>22}  {:>23}",
            tier.sent,
            tier.in_time,
            tier.goodput_share,
            format!("{}/{}", tier.first_token.p50_ms, tier.first_token.p95_ms),
            format!("{}/{}", tier.total.p50_ms, tier.total.p95_ms),
        );
    }
    out
}

/// Formats how many prompt tokens the engines computed, found in their caches and computed in vain.
pub fn prompt_tokens(system: &System) -> String {
    let records: Vec<_> = system
        .engines()
        .iter()
        .map(|engine| engine.records())
        .collect();
    let computed: u64 = records.iter().map(|record| record.prefilled_tokens).sum();
    let cached: u64 = records.iter().map(|record| record.cached_tokens).sum();
    let dispatches = records.iter().flat_map(|record| &record.dispatches);
    let wasted: u64 = dispatches
        .filter(|dispatch| is_wasted(dispatch))
        .map(uncached_prompt_tokens)
        .sum();
    format!(
        "prompt tokens: {computed} computed, {cached} found in the engines' caches, {wasted} computed and thrown away"
    )
}

/// Lists the violated guarantees: wrong answers, engines over their limit, and orders that ran more than once.
pub fn violations(report: &CallerReport, system: &System) -> Vec<String> {
    let mut violations = Vec::new();
    if report.broken_answers() > 0 {
        violations.push(format!(
            "{} answers were wrong or cut short",
            report.broken_answers()
        ));
    }
    for (limit, engine) in system.engines().iter().map(|engine| (8, engine.records())) {
        if engine.most_streams > limit {
            violations.push(format!(
                "an engine had {} streams under a limit of {limit}",
                engine.most_streams
            ));
        }
    }
    violations.extend(duplicate_orders(system));
    violations
}

/// Lists the orders, identified by their body, that ran more than once.
fn duplicate_orders(system: &System) -> Vec<String> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for service in system.services() {
        for call in service
            .records()
            .calls
            .iter()
            .filter(|call| call.method == "POST")
        {
            *runs.entry(call.body_hash.clone()).or_default() += 1;
        }
    }
    runs.into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(body, count)| format!("the order with body {body} ran {count} times"))
        .collect()
}

fn is_wasted(dispatch: &DispatchRecord) -> bool {
    matches!(
        dispatch.outcome,
        DispatchOutcome::Cancelled | DispatchOutcome::Lost | DispatchOutcome::Expired
    )
}

fn uncached_prompt_tokens(dispatch: &DispatchRecord) -> u64 {
    u64::from(
        dispatch
            .prompt_tokens
            .saturating_sub(dispatch.cached_tokens),
    )
}
