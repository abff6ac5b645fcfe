//! Ends requests: replies of the node itself, and the log records and counts of how a request or one of its runs ended.

use {
    crate::{
        answer::AnswerBody,
        attempts::Attempts,
        burn::{FAILED, IN_TIME, LATE, REFUSED},
        job::{Job, ms},
        limits::OTHER_NODE_RETRY_AFTER,
        local_reply::{ErrorStatus, LocalReply, refusal_reason},
    },
    dragonflystep_dispatch::{Refusal, RefusalReason},
    http::{Response, StatusCode},
};

impl Job {
    /// Replies to a request for which the owner granted no slot.
    pub(crate) fn refuse(
        &self,
        refusal: Refusal,
        attempts: &Attempts,
        server_error: Option<Response<AnswerBody>>,
    ) -> Response<AnswerBody> {
        let reason = refusal_reason(refusal);
        let Some(proof) = attempts.not_run_proof() else {
            return self.give_up(reason, attempts, server_error);
        };
        if refusal.reason == RefusalReason::CrashSuspect {
            log::info!(request:% = self.facts.request_id, content:% = self.content(); "the request holds content that crashes upstreams");
        }
        log::info!(request:% = self.facts.request_id, route:% = self.route.name, tier = self.tier, account = self.account_name(), fingerprint:% = self.fingerprint_hex(), quota_units = self.quota_units, reason, evidence = proof.evidence_list(), dispatches = attempts.dispatch_count(), upstreams = attempts.upstream_list(), sent = attempts.sent, held_ms = ms(self.arrived.elapsed()), retry_after_ms = ms(refusal.retry_after); "request refused");
        LocalReply::from_refusal(proof, refusal).response(&self.node, &self.facts.request_id)
    }

    /// The name of the account for log records; empty without an account.
    pub(crate) fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }

    /// The content because of which the request may crash upstreams, for log records: each shared segment of its prompt and
    /// the request itself, with the keys by which nodes know them.
    pub(crate) fn content(&self) -> String {
        let segments = self.facts.size.segments.iter();
        let shared = segments.zip(&self.shared_content);
        let shared = shared.map(|(segment, key)| format!("{:x}/{key:016x}", segment.id));
        let request = format!("request/{:016x}", self.fingerprint);
        shared.chain([request]).collect::<Vec<_>>().join(",")
    }

    /// The fingerprint for log records. It joins the requests of a caller that tries again, whose ids differ.
    pub(crate) fn fingerprint_hex(&self) -> String {
        format!("{:016x}", self.fingerprint)
    }

    /// Logs that a request is sent again because an upstream answered with a server error.
    pub(crate) fn log_server_error(&self, status: StatusCode, attempts: &Attempts) {
        log::info!(request:% = self.facts.request_id, route:% = self.route.name, fingerprint:% = self.fingerprint_hex(), status = status.as_u16(), upstream = attempts.last_upstream(), sent = attempts.sent; "retrying after an upstream's server error");
    }

    /// Counts a run that broke off after `events` events of its answer.
    pub(crate) fn count_broken_run(&self, events: u32) {
        let progress = if events == 0 {
            "no_event"
        } else {
            "some_events"
        };
        self.node.metrics.count("broken_runs_total", progress);
    }

    /// Counts how the request ended, for the burn report.
    pub(crate) fn count_end(&self, counter: &'static str) {
        self.node.metrics.count(counter, &self.route.name);
    }

    /// Ends a request that is not sent again. The caller receives the server error of an earlier attempt, if there was
    /// one; otherwise the reply states whether the request may have run.
    pub(crate) fn give_up(
        &self,
        reason: &'static str,
        attempts: &Attempts,
        server_error: Option<Response<AnswerBody>>,
    ) -> Response<AnswerBody> {
        if let Some(response) = server_error {
            return response;
        }
        let Some(proof) = attempts.not_run_proof() else {
            return self.fail_unknown(reason);
        };
        log::info!(request:% = self.facts.request_id, route:% = self.route.name, fingerprint:% = self.fingerprint_hex(), reason, evidence = proof.evidence_list(), dispatches = attempts.dispatch_count(), upstreams = attempts.upstream_list(), held_ms = ms(self.arrived.elapsed()); "request ended without having run");
        LocalReply::not_run(proof, reason, OTHER_NODE_RETRY_AFTER)
            .response(&self.node, &self.facts.request_id)
    }

    /// Ends a request that may have run but has no answer.
    pub(crate) fn fail_unknown(&self, reason: &'static str) -> Response<AnswerBody> {
        let status = if reason == "timeout" {
            ErrorStatus::GatewayTimeout
        } else {
            ErrorStatus::BadGateway
        };
        log::warn!(request:% = self.facts.request_id, route:% = self.route.name, fingerprint:% = self.fingerprint_hex(), reason, held_ms = ms(self.arrived.elapsed()); "request ended, it may have run");
        LocalReply::error(status, reason).response(&self.node, &self.facts.request_id)
    }

    /// Logs the final answer, records its latency and counts how the request ended.
    pub(crate) fn log_end(&self, status: StatusCode, attempts: &Attempts) {
        let elapsed = self.arrived.elapsed();
        self.node
            .metrics
            .observe("request_ms", &self.route.name, elapsed);
        self.count_end(outcome_counter(status, elapsed <= self.route.objective));
        log::info!(request:% = self.facts.request_id, route:% = self.route.name, fingerprint:% = self.fingerprint_hex(), status = status.as_u16(), upstream = attempts.last_upstream(), sent = attempts.sent, queued_ms = ms(attempts.queued), total_ms = ms(elapsed), catalogue = self.node.views.catalogue_version(); "request ended");
    }
}

/// The counter for a request that ended with `status`.
fn outcome_counter(status: StatusCode, is_in_time: bool) -> &'static str {
    match status.as_u16() {
        408 | 421 | 429 | 503 => REFUSED,
        code if code >= 500 => FAILED,
        _ if is_in_time => IN_TIME,
        _ => LATE,
    }
}
