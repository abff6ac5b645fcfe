//! Events: the input of the reducer, which drivers report.

use {
    crate::{
        admin::AdminCommand,
        ids::{AdminCallId, BlockHash, Epoch, GrantId, NodeId, RequestId, UpstreamId},
        message::Message,
        object::{ObjectCall, ObjectOutcome},
        request::RequestFacts,
        table::{TableCall, TableOutcome},
        timer::Timer,
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Something that happened, as reported by a driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node's drivers are ready.
    Started,
    /// A timer fired.
    TimerFired(Timer),
    /// A caller's request was read and checked.
    RequestReceived {
        /// Number that the driver assigned to the request.
        request: RequestId,
        /// What the reducer needs to know of the request.
        facts: Arc<RequestFacts>,
    },
    /// The caller disconnected before its answer was complete.
    CallerLeft {
        /// Request that this node received.
        request: RequestId,
    },
    /// Something that happened between this node and an upstream.
    Upstream(UpstreamEvent),
    /// A message came from another node, or from this node itself.
    MessageReceived {
        /// Node that sent the message.
        from: NodeId,
        /// Message that arrived.
        message: Message,
    },
    /// No working connection to a node could be made.
    PeerLost {
        /// Node that can't be reached.
        node: NodeId,
    },
    /// A call to the platform's table service was answered or failed.
    TableAnswered {
        /// Call that the event belongs to.
        call: TableCall,
        /// Result of the call.
        outcome: TableOutcome,
    },
    /// A call to the platform's object store was answered or failed.
    ObjectAnswered {
        /// Call that the event belongs to.
        call: ObjectCall,
        /// Result of the call.
        outcome: ObjectOutcome,
    },
    /// The platform's VM list was read.
    VmListRead {
        /// Names of the live VMs.
        live: BTreeSet<Arc<str>>,
        /// Names of the VMs that are listed as leaving.
        leaving: BTreeSet<Arc<str>>,
    },
    /// An operator called the administration API.
    AdminCalled {
        /// Call that the event belongs to.
        call: AdminCallId,
        /// Command of the operator.
        command: AdminCommand,
    },
    /// The process was asked to stop.
    StopRequested,
}

/// Something that happened between this node and an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamEvent {
    /// The grant had expired right before the first byte was due; nothing was sent.
    DispatchExpired {
        /// Request that this node received.
        request: RequestId,
    },
    /// No connection could be made; nothing was sent.
    ConnectFailed {
        /// Request that this node received.
        request: RequestId,
    },
    /// The first byte is about to be sent; from here on the request may run.
    Dispatched {
        /// Request that this node received.
        request: RequestId,
    },
    /// The first token arrived, or, for a plain service, the head of the answer.
    FirstTokenArrived {
        /// Request that this node received.
        request: RequestId,
    },
    /// Tokens arrived; reported in batches.
    TokensArrived {
        /// Request that this node received.
        request: RequestId,
        /// Total number of tokens so far.
        tokens: u32,
    },
    /// The answer is complete; its end was checked.
    AnswerCompleted {
        /// Request that this node received.
        request: RequestId,
        /// Total number of tokens.
        tokens: u32,
        /// Prompt tokens that the engine reports to have found in its cache; `None` when it does not say.
        cached_tokens: Option<u32>,
    },
    /// The upstream answered with an error status, and its answer is complete.
    AnswerRejected {
        /// Request that this node received.
        request: RequestId,
        /// HTTP status of the answer.
        status: u16,
        /// Whether the upstream says that the request did not run.
        not_run: bool,
    },
    /// The connection broke or went silent before the answer was complete.
    StreamBroken {
        /// Request that this node received.
        request: RequestId,
        /// Number of tokens that arrived in order before that.
        tokens: u32,
        /// Whether the connection went silent; otherwise it was closed or reset.
        silent: bool,
    },
    /// A stream could not be resumed, because the upstream does not have it or can't be reached.
    ResumeFailed {
        /// Request that this node received.
        request: RequestId,
        /// Whether the upstream was reached and answered that it does not have the stream.
        gone: bool,
    },
    /// The upstream confirmed that a cancelled stream has ended there.
    CancelConfirmed {
        /// Upstream that the report or confirmation concerns.
        upstream: UpstreamId,
        /// Epoch in which the stream's grant was made.
        epoch: Epoch,
        /// Number of the stream's grant within its group and epoch.
        grant: GrantId,
    },
    /// The upstream reported its load.
    LoadReported {
        /// Upstream that the report or confirmation concerns.
        upstream: UpstreamId,
        /// Number of requests that it was running.
        running: u32,
        /// Number of requests in its own queue.
        queued: u32,
        /// Age of the report when it was read.
        age: Duration,
    },
    /// The upstream reported changes of its prefix cache.
    CacheReported {
        /// Upstream that the report or confirmation concerns.
        upstream: UpstreamId,
        /// Sequence number of the report; a gap means that reports were lost.
        sequence: u64,
        /// Blocks stored since the last report.
        stored: Vec<BlockHash>,
        /// Blocks evicted since the last report.
        evicted: Vec<BlockHash>,
    },
    /// Reading the reports of a watched upstream failed.
    WatchFailed {
        /// Upstream that the report or confirmation concerns.
        upstream: UpstreamId,
    },
}
