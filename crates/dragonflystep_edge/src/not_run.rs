//! What shows that a dispatch of a request did not run, for replies that promise it to the caller.

use {
    crate::{dialect::AnswerFacts, upstream_answer::UpstreamAnswer},
    http::StatusCode,
};

/// What shows that one dispatch did not run, the most reliable first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NotRunEvidence {
    /// The node kept the request back: by what it knows, the upstream may not receive it.
    Withheld,
    /// The node kept the request back: its content crashes upstreams.
    CrashingContent,
    /// The node kept the request back: the upstream did not confirm that it takes requests.
    Unconfirmed,
    /// No node is known that reaches the upstream.
    NoPath,
    /// No connection to the upstream opened, or it closed before anything was sent.
    Unreachable,
    /// The upstream stated in an answer with the request's id that it did not run it.
    NamedRejection,
    /// The upstream stated it in an answer without an id.
    UnnamedRejection,
    /// Another upstream has the address, and answered with the request's id.
    NamedMisdirection,
    /// Another upstream has the address, and answered without an id.
    UnnamedMisdirection,
}

/// The label of a request of which nothing was dispatched.
pub(crate) const NEVER_DISPATCHED: &str = "never_dispatched";

/// The label of a dispatch that may have run.
pub(crate) const NO_EVIDENCE: &str = "none";

impl NotRunEvidence {
    /// What an answer that was claimed for the request states; none if the request may have run.
    pub(crate) fn in_answer(answer: &UpstreamAnswer) -> Option<Self> {
        let AnswerFacts {
            is_misdirected,
            is_not_run,
            request_id,
            ..
        } = &answer.facts;
        match (is_misdirected, is_not_run, !request_id.is_empty()) {
            (true, _, true) => Some(Self::NamedMisdirection),
            (true, _, false) => Some(Self::UnnamedMisdirection),
            (false, true, true) => Some(Self::NamedRejection),
            (false, true, false) => Some(Self::UnnamedRejection),
            (false, false, _) => None,
        }
    }

    /// Whether nothing was sent to the upstream; the dispatch then does not count as an attempt.
    pub(crate) fn is_unsent(self) -> bool {
        self < Self::NamedRejection
    }

    /// The reason in one word, for the body of the reply.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Withheld => "withheld",
            Self::CrashingContent => "breaks_upstreams",
            Self::Unconfirmed => "unconfirmed",
            Self::NoPath => "no_path",
            Self::Unreachable => "unreachable",
            Self::NamedRejection
            | Self::UnnamedRejection
            | Self::NamedMisdirection
            | Self::UnnamedMisdirection => "rejected",
        }
    }

    /// The evidence in one word, for logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Withheld => "withheld",
            Self::CrashingContent => "crashing_content",
            Self::Unconfirmed => "unconfirmed",
            Self::NoPath => "no_path",
            Self::Unreachable => "unreachable",
            Self::NamedRejection => "rejected_named",
            Self::UnnamedRejection => "rejected_unnamed",
            Self::NamedMisdirection => "misdirected_named",
            Self::UnnamedMisdirection => "misdirected_unnamed",
        }
    }
}

/// Whether callers take a status to mean that the request did not run.
pub(crate) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
