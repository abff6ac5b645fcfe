//! Finds violated guarantees of a run. Uses only the records of the stand-ins and the results that callers saw, because
//! the logs and statuses of the nodes under test may be wrong.

use {
    super::{
        faults::Faults,
        support::{Records, Site},
    },
    dragonflystep::fakes::{
        audit::{Finding, audit},
        caller::{CallerReport, PlannedRequest, RequestOutcome, RequestResult},
        engine::DispatchOutcome,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Violations found, by the name of the violated guarantee.
pub type Violations = BTreeMap<&'static str, Vec<String>>;

/// Milliseconds for which a leaving engine may still get dispatches after the announcement.
const LEAVING_WITHIN_MS: u64 = 4_000;
/// Tolerance for a request whose caller saw its end before the fault was recorded.
const FAULT_RECORD_TOLERANCE: Duration = Duration::from_millis(500);

/// Returns all violations of the run: of the audit, the faults, the limits, and the requests without a final answer.
pub fn check(
    site: &Site,
    plan: &[PlannedRequest],
    report: &CallerReport,
    records: &Records,
    faults: &Faults,
) -> Violations {
    let mut violations = Violations::new();
    let mut add = |guarantee, text| violations.entry(guarantee).or_default().push(text);
    for finding in audit(report, &records.engines, &records.services) {
        add(guarantee_of(&finding), format!("{finding:?}"));
    }
    for (guarantee, text) in &faults.findings {
        add(guarantee, text.clone());
    }
    for text in dispatched_twice(records) {
        add("dispatched_at_most_once", text);
    }
    let allowed = site.settings.running_requests;
    for (number, engine) in records.engines.iter().enumerate() {
        if engine.most_streams > allowed {
            let most = engine.most_streams;
            add(
                "limits",
                format!("engine-{number} ran {most} requests at once, limit {allowed}"),
            );
        }
    }
    for (number, service) in records.services.iter().enumerate() {
        if service.most_running > allowed {
            let most = service.most_running;
            add(
                "limits",
                format!("ledger-{number} ran {most} requests at once, limit {allowed}"),
            );
        }
    }
    for text in dispatches_to_leaving_engines(records, faults) {
        add("leaving_takes_nothing_new", text);
    }
    for result in report
        .results
        .iter()
        .filter(|result| lacks_final_answer(result))
    {
        let sent_at = plan[result.number as usize].at;
        if !was_open_during_node_fault(result, sent_at, faults) {
            add("final_answer", format!("{result:?}"));
        }
    }
    violations
}

fn guarantee_of(finding: &Finding) -> &'static str {
    match finding {
        Finding::RanTwice { .. } => "runs_at_most_once",
        Finding::RanThoughRefused { .. } => "a_refused_request_did_not_run",
        Finding::BadAnswer { .. } => "whole_and_right_answers",
        Finding::NeverRan { .. } => "an_answered_request_ran",
    }
}

/// Returns the prompts and orders that upstreams accepted more than once, whatever answers their callers got.
fn dispatched_twice(records: &Records) -> Vec<String> {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let dispatches = records.engines.iter().flat_map(|engine| &engine.dispatches);
    let accepted = dispatches.filter(|dispatch| {
        !matches!(
            dispatch.outcome,
            DispatchOutcome::Fenced | DispatchOutcome::Refused
        )
    });
    for dispatch in accepted {
        *counts.entry(&dispatch.prompt_hash).or_default() += 1;
    }
    for service in &records.services {
        for (body, runs) in &service.order_runs {
            *counts.entry(body).or_default() += runs;
        }
    }
    let twice = counts.into_iter().filter(|(_, count)| *count > 1);
    twice
        .map(|(hash, count)| format!("{hash} was accepted {count} times"))
        .collect()
}

fn dispatches_to_leaving_engines(records: &Records, faults: &Faults) -> Vec<String> {
    let mut found = Vec::new();
    for leaving in &faults.leaving {
        let from_ms = leaving.from_ms + LEAVING_WITHIN_MS;
        let span = from_ms..leaving.until_ms.unwrap_or(u64::MAX);
        let dispatches = &records.engines[leaving.engine].dispatches;
        for dispatch in dispatches
            .iter()
            .filter(|dispatch| span.contains(&dispatch.arrived_unix_ms))
        {
            let late_ms = dispatch.arrived_unix_ms - leaving.from_ms;
            found.push(format!(
                "engine-{} got a dispatch {late_ms} ms after the announcement",
                leaving.engine
            ));
        }
    }
    found
}

/// Returns true if the caller got neither a complete answer nor a refusal or failure that the program reports.
fn lacks_final_answer(result: &RequestResult) -> bool {
    matches!(
        result.outcome,
        RequestOutcome::Broken
            | RequestOutcome::TimedOut
            | RequestOutcome::Unreachable
            | RequestOutcome::Status { .. }
    )
}

/// Returns true if the request's node was killed or frozen while the request was open.
fn was_open_during_node_fault(result: &RequestResult, sent_at: Duration, faults: &Faults) -> bool {
    let ended_at = sent_at + Duration::from_millis(result.total_ms);
    faults.windows.iter().any(|window| {
        let until = window.until.unwrap_or(Duration::MAX);
        let overlaps = sent_at <= until && ended_at + FAULT_RECORD_TOLERANCE >= window.from;
        overlaps && result.entry.as_ref() == Some(&window.entry)
    })
}
