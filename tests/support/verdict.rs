//! Checks a test run against the records of the stand-ins.

use {
    super::Site,
    dragonflystep::fakes::{
        audit::audit,
        caller::{CallerReport, RequestOutcome, RequestResult},
        engine::EngineRecords,
        service::ServiceRecords,
    },
};

/// Records of all upstream stand-ins of a site.
#[derive(Debug, Default)]
pub struct Records {
    /// Records of the engines, in the order of `Site::engines`.
    pub engines: Vec<EngineRecords>,
    /// Records of the plain upstreams, in the order of `Site::services`.
    pub services: Vec<ServiceRecords>,
}

/// Fetches the records of all upstream stand-ins of a site.
pub async fn records_of(site: &Site) -> Records {
    let mut records = Records::default();
    for engine in &site.engines {
        records.engines.push(engine.control.records().await);
    }
    for service in &site.services {
        records.services.push(service.control.records().await);
    }
    records
}

impl Records {
    /// Asserts that every answer was complete and correct. On failure, the message lists the other requests and the
    /// engines' records of their dispatches.
    pub fn assert_complete(&self, report: &CallerReport) {
        let failed = incomplete(report);
        let hashes: Vec<&String> = failed
            .iter()
            .filter_map(|r| r.content_hash.as_ref())
            .collect();
        let dispatches = self.engines.iter().flat_map(|engine| &engine.dispatches);
        let dispatches: Vec<_> = dispatches
            .filter(|dispatch| hashes.contains(&&dispatch.prompt_hash))
            .collect();
        assert!(
            failed.is_empty(),
            "incomplete answers: {failed:#?}\ntheir dispatches to engines: {dispatches:#?}"
        );
    }

    /// Asserts that the audit of the records and of the callers' results finds no violated guarantee.
    pub fn assert_guarantees(&self, report: &CallerReport) {
        let findings = audit(report, &self.engines, &self.services);
        assert!(findings.is_empty(), "violated guarantees: {findings:?}");
    }

    /// Asserts that no upstream ever ran more requests at once than its limit `running_requests`.
    pub fn assert_limits(&self, running_requests: u32) {
        let engines = self.engines.iter().map(|records| records.most_streams);
        let services = self.services.iter().map(|records| records.most_running);
        let most: Vec<u32> = engines.chain(services).collect();
        assert!(
            most.iter().all(|most| *most <= running_requests),
            "peak of concurrent requests per upstream: {most:?}, limit {running_requests}"
        );
    }
}

/// Returns the results whose callers got neither a complete answer nor a refusal or failure that the program reports.
pub fn without_final_answer(report: &CallerReport) -> Vec<&RequestResult> {
    let is_cut = |result: &&RequestResult| {
        matches!(
            result.outcome,
            RequestOutcome::Broken
                | RequestOutcome::TimedOut
                | RequestOutcome::Unreachable
                | RequestOutcome::Status { .. }
        )
    };
    report.results.iter().filter(is_cut).collect()
}

/// Returns the results that are not a complete and correct answer.
pub fn incomplete(report: &CallerReport) -> Vec<&RequestResult> {
    let incomplete = |result: &&RequestResult| result.outcome != RequestOutcome::Complete;
    report.results.iter().filter(incomplete).collect()
}
