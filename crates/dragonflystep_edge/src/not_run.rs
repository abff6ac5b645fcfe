//! What shows that a request did not run, for replies that promise it to the caller.
//!
//! Such a reply needs a [`NotRunProof`]. Only a request that is still being received and the record of the dispatches of
//! a request give one, and the record gives none if any of its dispatches may have run.

use {
    crate::{dialect::AnswerFacts, stop::OpenRequest, upstream_answer::UpstreamAnswer},
    dragonflystep_dispatch::UpstreamId,
    http::StatusCode,
};

/// Shows that a request did not run.
#[derive(Debug)]
pub(crate) struct NotRunProof {
    /// The evidence for each dispatch in order; empty if there was none.
    dispatches: Vec<NotRunEvidence>,
}

impl NotRunProof {
    /// The least reliable evidence in one word, for metrics.
    pub(crate) fn label(&self) -> &'static str {
        let weakest = self.dispatches.iter().max();
        weakest.map_or(NEVER_DISPATCHED, |evidence| evidence.label())
    }

    /// The evidence for each dispatch in order, for log records.
    pub(crate) fn evidence_list(&self) -> String {
        if self.dispatches.is_empty() {
            return NEVER_DISPATCHED.to_owned();
        }
        let labels = self.dispatches.iter().map(|evidence| evidence.label());
        labels.collect::<Vec<_>>().join(",")
    }
}

/// A request that is being received. It can't be dispatched before its job has taken the open request.
pub(crate) struct Undispatched(OpenRequest);

impl Undispatched {
    pub(crate) fn new(open_request: OpenRequest) -> Self {
        Self(open_request)
    }

    /// Shows that the request did not run, for the reply that ends it.
    pub(crate) fn not_run_proof(&self) -> NotRunProof {
        NotRunProof {
            dispatches: Vec::new(),
        }
    }

    pub(crate) fn into_open_request(self) -> OpenRequest {
        self.0
    }
}

/// The dispatches of one request in order.
#[derive(Default)]
pub(crate) struct Dispatches(Vec<Dispatch>);

/// One dispatch of a request to the upstream of a slot.
struct Dispatch {
    upstream: UpstreamId,
    /// What shows that it did not run; none while it may run or have run.
    not_run: Option<NotRunEvidence>,
}

impl Dispatches {
    /// Records a dispatch, which may run from now on.
    pub(crate) fn begin(&mut self, upstream: UpstreamId) {
        self.0.push(Dispatch {
            upstream,
            not_run: None,
        });
    }

    /// Records that the latest dispatch did not run.
    pub(crate) fn end_not_run(&mut self, evidence: NotRunEvidence) {
        if let Some(dispatch) = self.0.last_mut() {
            dispatch.not_run = Some(evidence);
        }
    }

    /// Shows that the request did not run; none if any of its dispatches may have run.
    pub(crate) fn not_run_proof(&self) -> Option<NotRunProof> {
        let evidence = self.0.iter().map(|dispatch| dispatch.not_run);
        Some(NotRunProof {
            dispatches: evidence.collect::<Option<_>>()?,
        })
    }

    pub(crate) fn count(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn upstreams(&self) -> impl DoubleEndedIterator<Item = &UpstreamId> {
        self.0.iter().map(|dispatch| &dispatch.upstream)
    }
}

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
    /// Another upstream has the address, and answered with the request's id.
    NamedMisdirection,
    /// The upstream stated it in an answer without an id.
    UnnamedRejection,
    /// Another upstream has the address, and answered without an id.
    UnnamedMisdirection,
}

/// The label of a request of which nothing was dispatched.
const NEVER_DISPATCHED: &str = "never_dispatched";

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
