//! Holds what a caller saw against what the stand-ins recorded.
//!
//! The records are made at the upstreams and the report at the caller, so nothing that lies between the two is trusted.

use {
    crate::{
        caller::{CallerReport, DID_NOT_RUN, RequestOutcome, RequestResult},
        engine::{DispatchOutcome, DispatchRecord, EngineRecords},
        service::ServiceRecords,
    },
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "finding", rename_all = "snake_case")]
pub enum Finding {
    /// A request ran more often than its caller was told.
    RanTwice {
        /// Number of the request in the traffic.
        number: u32,
        /// How often it ran.
        runs: u32,
    },
    /// A caller was told that a request did not run, and it ran.
    RanThoughRefused {
        /// Number of the request in the traffic.
        number: u32,
        /// Code of the refusal.
        code: String,
    },
    /// A caller got a wrong answer, or a short one that ended as if it were whole.
    BadAnswer {
        /// Number of the request in the traffic.
        number: u32,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// A caller got a whole answer to a request that no upstream ran.
    NeverRan {
        /// Number of the request in the traffic.
        number: u32,
    },
}

/// All broken promises that the records show, in the order of the traffic.
///
/// A request is told by the hash of its prompt or body, which the traffic makes unique. Lookups have none and are only
/// checked for their answers. A request that came back after a refusal that admits a run may run once more.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::{audit::audit, caller::CallerReport};
///
/// assert!(audit(&CallerReport::default(), &[], &[]).is_empty());
/// ```
pub fn audit(
    report: &CallerReport,
    engines: &[EngineRecords],
    services: &[ServiceRecords],
) -> Vec<Finding> {
    let runs = runs_by_content(engines, services);
    let findings = report.results.iter().flat_map(|result| {
        let hash = result.content_hash.as_ref();
        let runs = hash.map(|hash| runs.get(hash).copied().unwrap_or_default());
        findings_of(result, runs)
    });
    findings.collect()
}

fn runs_by_content(engines: &[EngineRecords], services: &[ServiceRecords]) -> HashMap<String, u32> {
    let mut runs = HashMap::new();
    let dispatches = engines.iter().flat_map(|engine| &engine.dispatches);
    for dispatch in dispatches.filter(|dispatch| has_run(dispatch)) {
        *runs.entry(dispatch.prompt_hash.clone()).or_default() += 1;
    }
    for (body_hash, count) in services.iter().flat_map(|service| &service.order_runs) {
        *runs.entry(body_hash.clone()).or_default() += count;
    }
    runs
}

// A dispatch that the engine took in counts as run, even when it was still waiting there.
fn has_run(dispatch: &DispatchRecord) -> bool {
    use DispatchOutcome::{Cancelled, Duplicate, Expired, Fenced, Finished, Lost, Open, Refused};
    match dispatch.outcome {
        Open | Finished | Cancelled | Lost | Expired => true,
        Fenced | Duplicate | Refused => false,
    }
}

/// Findings of one request; `runs` is none where the records can't tell it from others.
fn findings_of(result: &RequestResult, runs: Option<u32>) -> Vec<Finding> {
    let number = result.number;
    let mut findings = Vec::new();
    if let Some(runs) = runs.filter(|runs| *runs > result.runs_allowed) {
        findings.push(Finding::RanTwice { number, runs });
    }
    // The last attempt is one of those that might have run.
    let runs_before = result.runs_allowed - 1;
    let ran_last = runs.is_some_and(|runs| runs > runs_before);
    match &result.outcome {
        RequestOutcome::Refused { refusal } | RequestOutcome::Failed { refusal }
            if refusal.ran == DID_NOT_RUN && ran_last =>
        {
            let code = refusal.code.clone();
            findings.push(Finding::RanThoughRefused { number, code });
        }
        RequestOutcome::Wrong { .. } | RequestOutcome::Truncated => {
            let outcome = result.outcome.clone();
            findings.push(Finding::BadAnswer { number, outcome });
        }
        RequestOutcome::Complete if runs == Some(0) => findings.push(Finding::NeverRan { number }),
        _ => {}
    }
    findings
}
