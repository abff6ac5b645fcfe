//! Effects: the output of the reducer, which a driver carries out.

use {
    crate::{
        admin::AdminAnswer,
        catalogue::ServiceKind,
        ids::{AdminCallId, NodeId, RequestId, UpstreamId},
        message::{GrantName, Message},
        object::{ObjectCall, ObjectOperation},
        request::{Refusal, RequestFacts},
        table::{TableCall, TableOperation},
        timer::Timer,
    },
    std::{sync::Arc, time::Duration},
};

/// An action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Fire a timer at a time on the node's clock.
    StartTimer {
        /// Time on the node's clock at which the timer fires.
        at: Duration,
        /// Timer that is handed back in the event.
        timer: Timer,
    },
    /// Send a message to a node; a message to this node itself comes back as an event.
    Send {
        /// Node that receives the message; may be this node itself.
        to: NodeId,
        /// Message to send.
        message: Message,
    },
    /// Send a request's body to an upstream and relay its answer.
    Dispatch {
        /// Request that this node received.
        request: RequestId,
        /// Upstream that the effect is about.
        upstream: UpstreamId,
        /// IP address and port of the upstream.
        address: Arc<str>,
        /// Kind of the service that the upstream belongs to.
        kind: ServiceKind,
        /// Grant for the dispatch. Its epoch and number identify the stream at the upstream.
        grant: GrantName,
        /// Time on the node's clock at which the grant expires; checked right before the first byte is sent.
        valid_until: Duration,
        /// Maximum time without progress, after which the connection counts as silent.
        progress_timeout: Duration,
    },
    /// Resume a broken stream at the same upstream, after the tokens that have arrived.
    Resume {
        /// Request that this node received.
        request: RequestId,
        /// Number of tokens that have arrived.
        after_tokens: u32,
    },
    /// Drop the connection to the upstream and tell it to end the stream.
    CancelStream {
        /// Request that this node received.
        request: RequestId,
    },
    /// Tell an upstream to end the stream of a grant that another node dispatched.
    CancelGrantAt {
        /// Upstream that the effect is about.
        upstream: UpstreamId,
        /// IP address and port of the upstream.
        address: Arc<str>,
        /// Grant whose stream should end.
        grant: GrantName,
    },
    /// Complete the answer to the caller; the upstream's answer arrived in full.
    FinishAnswer {
        /// Request that this node received.
        request: RequestId,
    },
    /// End the answer to the caller with the upstream's own error answer.
    RelayRejection {
        /// Request that this node received.
        request: RequestId,
    },
    /// End the answer to the caller with a refusal.
    Refuse {
        /// Request that this node received.
        request: RequestId,
        /// Refusal that the caller receives.
        refusal: Refusal,
    },
    /// Release the request's body and connections, which are no longer needed.
    Release {
        /// Request that this node received.
        request: RequestId,
    },
    /// Start to read load and cache reports of an upstream repeatedly.
    WatchUpstream {
        /// Upstream that the effect is about.
        upstream: UpstreamId,
        /// IP address and port of the upstream.
        address: Arc<str>,
        /// Kind of the service that the upstream belongs to.
        kind: ServiceKind,
    },
    /// Stop reading reports of an upstream.
    UnwatchUpstream {
        /// Upstream that the effect is about.
        upstream: UpstreamId,
    },
    /// Call the table service.
    CallTable {
        /// Identifies the call; handed back with the answer.
        call: TableCall,
        /// Operation to carry out.
        operation: TableOperation,
    },
    /// Call the object store.
    CallObjects {
        /// Identifies the call; handed back with the answer.
        call: ObjectCall,
        /// Operation to carry out.
        operation: ObjectOperation,
    },
    /// Answer an operator.
    AnswerAdmin {
        /// Call that is answered.
        call: AdminCallId,
        /// Answer for the operator.
        answer: AdminAnswer,
    },
    /// Record a figure for the reports and metrics.
    Record(Record),
    /// Write a line to the log.
    Log(LogLine),
    /// The node has nothing left to do and may exit.
    Exit,
}

/// Figures for the burn report and the metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A request got its final answer.
    RequestEnded {
        /// What the reducer knew of the request.
        facts: Arc<RequestFacts>,
        /// Refusal that ended the request; `None` for a complete answer.
        refusal: Option<Refusal>,
        /// Time from receipt of the request to the first token; `None` when no token arrived.
        first_token_after: Option<Duration>,
        /// Time from the first token to the last.
        streamed_for: Duration,
        /// Number of tokens received.
        tokens: u32,
        /// Prompt tokens whose prefill was computed and then discarded.
        wasted_prefill_tokens: u32,
    },
    /// This node took over a group, or gave it up.
    LeaseChanged {
        /// Whether the node holds it now.
        held: bool,
    },
    /// A catalogue version came into force on this node.
    CatalogueApplied {
        /// Catalogue version that is now in force.
        version: u64,
    },
}

/// One line of the structured log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Severity of the line.
    pub level: LogLevel,
    /// What happened; a fixed text without values, so that tools can match it.
    pub text: &'static str,
    /// Names and values; must never contain a secret key or token.
    pub fields: Vec<(&'static str, String)>,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Details for the maintainers.
    Debug,
    /// An expected event that is worth knowing.
    Info,
    /// An operator should investigate if there are many of these.
    Warn,
    /// An operator has to act.
    Error,
}
