//! Answers of upstreams, and to which call they belong.
//!
//! An upstream may send an answer a second time, late: where the answer to the next call of that connection is expected.
//! So nothing that an answer states is used before it is claimed for the call that waits. An answer that names a request
//! belongs to that one alone. One that names none can only be told from a late copy if no earlier answer of its connection
//! lacked a name either, so that a connection is not used again after such an answer.

use {
    crate::{dialect::AnswerFacts, node::Node, upstream_connections::OpenConnection},
    http::{Response, response::Parts},
    hyper::body::Incoming,
};

/// An answer that arrived on a connection. It may belong to another call than the one that waits there.
pub(crate) struct UnclaimedAnswer {
    response: Response<Incoming>,
    connection: OpenConnection,
}

/// The answer to the call that waited for it.
pub(crate) struct UpstreamAnswer {
    pub(crate) head: Parts,
    pub(crate) facts: AnswerFacts,
    pub(crate) body: Incoming,
    connection: OpenConnection,
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

    /// Claims the answer for a caller's request. Without its id, only a rejection is accepted.
    pub(crate) fn claim_for_request(
        self,
        node: &Node,
        request_id: &str,
    ) -> Result<UpstreamAnswer, ForeignAnswer> {
        let mut answer = self.read_head(node);
        let facts = &answer.facts;
        let is_own = if facts.request_id.is_empty() {
            let is_rejection = facts.is_not_run || facts.is_misdirected;
            answer.connection.note_unnamed_answer() && is_rejection
        } else {
            facts.request_id == request_id
        };
        answer.accept_if(is_own, node, "request")
    }

    /// Claims the answer for a call of this node, which has no id.
    pub(crate) fn claim_for_call(self, node: &Node) -> Result<UpstreamAnswer, ForeignAnswer> {
        let mut answer = self.read_head(node);
        let is_own = answer.facts.request_id.is_empty() && answer.connection.note_unnamed_answer();
        answer.accept_if(is_own, node, "call")
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

impl UpstreamAnswer {
    fn accept_if(
        self,
        is_own: bool,
        node: &Node,
        waiting: &'static str,
    ) -> Result<Self, ForeignAnswer> {
        if is_own {
            return Ok(self);
        }
        node.metrics.count("foreign_answers_total", waiting);
        Err(ForeignAnswer(self.facts.request_id))
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
