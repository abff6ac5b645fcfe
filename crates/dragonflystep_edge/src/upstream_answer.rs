//! Answers of upstreams, and to which call they belong.
//!
//! An upstream may send an answer a second time, late: where the answer to the next call of that connection is expected.
//! So nothing that an answer states is used before it is claimed for the call that waits. An answer that names a request
//! belongs to that one alone. One that names none belongs to a request only if no other call was sent on its connection; an
//! upstream may also send answers that belong to no call. The answers to the node's own calls name no request: one of them is
//! told from a late copy if no earlier answer of its connection lacked a name, so that a connection is not used again after
//! such an answer.

use {
    crate::{
        dialect::AnswerFacts, limits::MAX_SHORT_ANSWER_BYTES, node::Node,
        upstream_connections::OpenConnection,
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderValue, Response, StatusCode, response::Parts},
    http_body_util::BodyExt,
    hyper::body::{Frame, Incoming},
};

/// How the head of an answer begins.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// An answer that arrived on a connection. It may belong to another call than the one that waits there.
pub(crate) struct UnclaimedAnswer {
    response: Response<Incoming>,
    connection: OpenConnection,
}

/// The answer to the call that waited for it.
pub(crate) struct UpstreamAnswer {
    pub(crate) head: Parts,
    pub(crate) facts: AnswerFacts,
    body: Incoming,
    connection: OpenConnection,
}

/// Why the body of an answer could not be read whole.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection broke, or the body is malformed.
    #[error("the answer broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than permitted.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

/// An answer that may belong to another call. Its connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("received an answer that may belong to another call ({0:?})")]
pub(crate) struct ForeignAnswer(
    /// The id of the request that the answer names; empty if it names none.
    pub(crate) String,
);

impl UnclaimedAnswer {
    pub(crate) fn new(response: Response<Incoming>, connection: OpenConnection) -> Self {
        Self {
            response,
            connection,
        }
    }

    /// Claims the answer for a caller's request. Without its id, only a rejection of the first call of a connection is
    /// accepted. A rejection that also bears marks of a run is not accepted, nor is a head that was joined with another one.
    pub(crate) fn claim_for_request(
        self,
        node: &Node,
        request_id: &str,
    ) -> Result<UpstreamAnswer, ForeignAnswer> {
        let mut answer = self.read_head(node);
        if is_joined(&answer.head, &answer.facts) {
            return answer.accept_if(false, node, "joined");
        }
        let facts = &answer.facts;
        let is_rejection = facts.is_not_run || facts.is_misdirected;
        if is_rejection && has_marks_of_run(&answer.head, facts) {
            return answer.accept_if(false, node, "contradiction");
        }
        let is_own = if facts.request_id.is_empty() {
            answer.connection.note_unnamed_answer();
            is_rejection && answer.connection.is_first_call()
        } else {
            facts.request_id == request_id
        };
        if is_own && is_rejection {
            answer.connection.note_rejection(request_id);
        }
        answer.accept_if(is_own, node, "request")
    }

    /// Claims the answer for a call of this node, which has no id.
    pub(crate) fn claim_for_call(self, node: &Node) -> Result<UpstreamAnswer, ForeignAnswer> {
        let mut answer = self.read_head(node);
        if is_joined(&answer.head, &answer.facts) {
            return answer.accept_if(false, node, "joined");
        }
        let is_own = answer.facts.request_id.is_empty() && answer.connection.note_unnamed_answer();
        answer.accept_if(is_own, node, "call")
    }

    /// Claims the answer for a call of this node that a stray or late answer must not decide: only on a connection that has
    /// carried no other call.
    pub(crate) fn claim_for_first_call(self, node: &Node) -> Result<UpstreamAnswer, ForeignAnswer> {
        let mut answer = self.read_head(node);
        let is_own = answer.facts.request_id.is_empty()
            && answer.connection.note_unnamed_answer()
            && answer.connection.is_first_call();
        answer.accept_if(is_own, node, "first_call")
    }

    fn read_head(self, node: &Node) -> UpstreamAnswer {
        let (head, body) = self.response.into_parts();
        UpstreamAnswer {
            facts: node.dialect.read_answer(head.status, &head.headers),
            head,
            body,
            connection: self.connection,
        }
    }
}

/// Whether a head holds parts of two heads: an upstream may stop in the middle of one and begin another. The status then belongs to
/// one answer, and the rest to the other.
fn is_joined(head: &Parts, facts: &AnswerFacts) -> bool {
    let holds_status_line = |value: &HeaderValue| {
        let mut parts = value.as_bytes().windows(STATUS_LINE_START.len());
        parts.any(|part| part == STATUS_LINE_START)
    };
    facts.is_ambiguous || head.headers.values().any(holds_status_line)
}

/// Whether the head of a rejection also says that the request ran.
fn has_marks_of_run(head: &Parts, facts: &AnswerFacts) -> bool {
    let is_rejection_status = matches!(
        head.status,
        StatusCode::BAD_REQUEST
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    facts.is_signed || !is_rejection_status
}

impl UpstreamAnswer {
    fn accept_if(
        mut self,
        is_own: bool,
        node: &Node,
        waiting: &'static str,
    ) -> Result<Self, ForeignAnswer> {
        if is_own {
            node.record_answer_on(&mut self.connection);
            return Ok(self);
        }
        node.metrics.count("foreign_answers_total", waiting);
        Err(ForeignAnswer(self.facts.request_id))
    }

    /// The next part of the body: data or trailers. None at the end.
    pub(crate) async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let frame = self.body.frame().await;
        self.connection.note_delivery();
        frame
    }

    /// Reads a body of at most [`MAX_SHORT_ANSWER_BYTES`] whole.
    pub(crate) async fn read_short_body(&mut self) -> Result<Bytes, BodyError> {
        let mut body = BytesMut::new();
        while let Some(frame) = self.next_frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if body.len() + data.len() > MAX_SHORT_ANSWER_BYTES {
                return Err(BodyError::TooLong(MAX_SHORT_ANSWER_BYTES));
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    /// The connection that the answer arrives on.
    pub(crate) fn connection(&self) -> &OpenConnection {
        &self.connection
    }

    /// Returns the connection to the pool, after the body was read whole.
    pub(crate) fn keep_connection(self, node: &Node) {
        node.connections
            .keep(self.connection, self.facts.keep_alive);
    }
}
