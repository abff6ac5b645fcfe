//! Replies that a node generates itself instead of passing on an upstream's answer.

use {
    crate::{answer::AnswerBody, node::Node},
    bytes::Bytes,
    dragonflystep_dispatch::{Refusal, RefusalReason},
    http::{Response, StatusCode},
    std::time::Duration,
};

/// A reply of the node itself; its body is the reason in one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LocalReply {
    pub(crate) status: StatusCode,
    /// The reason in one word, for the body, logs and metrics.
    pub(crate) reason: &'static str,
    /// When the caller may retry; none if the reply invites no retry.
    pub(crate) retry_after: Option<Duration>,
}

impl LocalReply {
    /// A reply that states no time after which to retry.
    pub(crate) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// The request did not run and will not; the caller may retry it after `retry_after`.
    pub(crate) const fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// The reply to a request that the owner of the service refused.
    pub(crate) fn from_refusal(refusal: Refusal) -> Self {
        let (status, reason) = match refusal.reason {
            RefusalReason::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
            RefusalReason::NoUpstream => (StatusCode::SERVICE_UNAVAILABLE, "no_upstream"),
            RefusalReason::RetryBudgetSpent => {
                (StatusCode::SERVICE_UNAVAILABLE, "retry_budget_spent")
            }
            RefusalReason::QuotaExceeded => (StatusCode::TOO_MANY_REQUESTS, "quota_exceeded"),
            RefusalReason::StreamVersionUnknown => {
                (StatusCode::SERVICE_UNAVAILABLE, "stream_version_unknown")
            }
            RefusalReason::CrashSuspect => (StatusCode::SERVICE_UNAVAILABLE, "breaks_upstreams"),
        };
        Self {
            status,
            reason,
            retry_after: Some(refusal.retry_after),
        }
    }

    /// The response for the caller of `request_id`.
    pub(crate) fn response(self, node: &Node, request_id: &str) -> Response<AnswerBody> {
        node.metrics.count("own_answers_total", self.reason);
        let body = format!("{}\n", self.reason);
        let mut response = Response::new(AnswerBody::from(Bytes::from(body)));
        *response.status_mut() = self.status;
        node.dialect
            .local_reply_headers(response.headers_mut(), request_id, self.retry_after);
        response
    }
}
