//! Replies that a node generates itself instead of passing on an upstream's answer.

use {
    crate::{answer::AnswerBody, node::Node, not_run::NotRunProof},
    bytes::Bytes,
    dragonflystep_dispatch::{Refusal, RefusalReason},
    http::{Response, StatusCode},
    std::time::Duration,
};

/// A reply of the node itself; its body is the reason in one line.
#[derive(Debug)]
pub(crate) struct LocalReply {
    status: StatusCode,
    /// The reason in one word, for the body, logs and metrics.
    pub(crate) reason: &'static str,
    /// When the caller may retry; none if the reply invites no retry.
    retry_after: Option<Duration>,
    /// What shows that the request did not run; none if the status does not promise that.
    proof: Option<NotRunProof>,
}

/// The statuses of replies that do not promise that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorStatus {
    BadRequest,
    Unauthorized,
    NotFound,
    PayloadTooLarge,
    BadGateway,
    GatewayTimeout,
    HttpVersionNotSupported,
}

impl From<ErrorStatus> for StatusCode {
    fn from(status: ErrorStatus) -> Self {
        match status {
            ErrorStatus::BadRequest => Self::BAD_REQUEST,
            ErrorStatus::Unauthorized => Self::UNAUTHORIZED,
            ErrorStatus::NotFound => Self::NOT_FOUND,
            ErrorStatus::PayloadTooLarge => Self::PAYLOAD_TOO_LARGE,
            ErrorStatus::BadGateway => Self::BAD_GATEWAY,
            ErrorStatus::GatewayTimeout => Self::GATEWAY_TIMEOUT,
            ErrorStatus::HttpVersionNotSupported => Self::HTTP_VERSION_NOT_SUPPORTED,
        }
    }
}

impl LocalReply {
    /// A reply that neither promises that the request did not run nor states a time after which to retry.
    pub(crate) fn error(status: ErrorStatus, reason: &'static str) -> Self {
        Self {
            status: status.into(),
            reason,
            retry_after: None,
            proof: None,
        }
    }

    /// The request did not run and will not; the caller may retry it after `retry_after`.
    pub(crate) fn not_run(proof: NotRunProof, reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
            proof: Some(proof),
        }
    }

    /// The body of the request did not arrive in time, so that it did not run and will not.
    pub(crate) fn slow_body(proof: NotRunProof) -> Self {
        Self {
            status: StatusCode::REQUEST_TIMEOUT,
            reason: "slow_body",
            retry_after: None,
            proof: Some(proof),
        }
    }

    /// The reply to a request that the owner of the service refused and that did not run.
    pub(crate) fn from_refusal(proof: NotRunProof, refusal: Refusal) -> Self {
        let status = match refusal.reason {
            RefusalReason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::Overloaded
            | RefusalReason::NoUpstream
            | RefusalReason::RetryBudgetSpent
            | RefusalReason::StreamVersionUnknown
            | RefusalReason::CrashSuspect => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self {
            status,
            reason: refusal_reason(refusal),
            retry_after: Some(refusal.retry_after),
            proof: Some(proof),
        }
    }

    /// What shows for each dispatch that the request did not run, for log records; empty if the reply does not promise it.
    pub(crate) fn evidence_list(&self) -> String {
        let proof = self.proof.as_ref();
        proof.map_or_else(String::new, NotRunProof::evidence_list)
    }

    /// The response for the caller of `request_id`.
    pub(crate) fn response(self, node: &Node, request_id: &str) -> Response<AnswerBody> {
        node.metrics.count("own_answers_total", self.reason);
        if let Some(proof) = &self.proof {
            node.metrics.count("not_run_replies_total", proof.label());
        }
        let body = format!("{}\n", self.reason);
        let mut response = Response::new(AnswerBody::from(Bytes::from(body)));
        *response.status_mut() = self.status;
        node.dialect
            .local_reply_headers(response.headers_mut(), request_id, self.retry_after);
        response
    }
}

/// Why the owner of a service granted no slot, in one word.
pub(crate) fn refusal_reason(refusal: Refusal) -> &'static str {
    match refusal.reason {
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::NoUpstream => "no_upstream",
        RefusalReason::RetryBudgetSpent => "retry_budget_spent",
        RefusalReason::QuotaExceeded => "quota_exceeded",
        RefusalReason::StreamVersionUnknown => "stream_version_unknown",
        RefusalReason::CrashSuspect => "breaks_upstreams",
    }
}
