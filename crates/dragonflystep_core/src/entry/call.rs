//! State of one request that this node received.

use {
    super::phase::{Grant, Phase, Stream},
    crate::{
        context::Context,
        ids::{GroupId, NodeId, RequestId},
        request::RequestFacts,
        timer::Timer,
    },
    std::{sync::Arc, time::Duration},
};

/// State of a key or claim that a request may need before it is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Prerequisite {
    /// The request does not need it.
    NotNeeded,
    /// It is needed and has not been requested yet.
    NotRequested,
    /// It was requested, and no answer has arrived.
    Requested,
    /// The request has it.
    Met,
}

impl Prerequisite {
    /// Whether a dispatch still has to wait for it.
    pub fn blocks(self) -> bool {
        matches!(self, Self::NotRequested | Self::Requested)
    }

    /// Whether it was requested, so that the part that manages it has to be told when the request ends.
    pub fn was_requested(self) -> bool {
        matches!(self, Self::Requested | Self::Met)
    }
}

/// What the caller of a request has been told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Caller {
    /// The caller waits for its answer.
    Waiting,
    /// The caller disconnected; the request runs on.
    Left,
    /// The caller has its final answer; the request runs on.
    Answered,
}

/// One open request: its facts, prerequisites and phase.
#[derive(Debug)]
pub(super) struct Call {
    /// What the caller sent and what was derived from it.
    pub facts: Arc<RequestFacts>,
    /// When it was received.
    pub received_at: Duration,
    /// Time after which the answer is of no use to the caller.
    pub deadline_at: Duration,
    /// Whether the request passed the check against the catalogue in force.
    pub admitted: bool,
    /// State of the idempotency key.
    pub key: Prerequisite,
    /// State of the durable claim, which only a non-idempotent request with a key needs.
    pub claim: Prerequisite,
    /// Whether the caller still waits for an answer.
    pub caller: Caller,
    /// How far the request has come.
    pub phase: Phase,
    /// Timestamp that identifies the last ask; `None` before the first one.
    pub last_asked_at: Option<Duration>,
    /// Group that the next ask skips, since its broker could not serve the last one.
    pub avoid: Option<GroupId>,
    /// Group to ask next, once the pending ask has been withdrawn.
    pub next_group: Option<GroupId>,
    /// How often the request was moved to another group or holder; bounded by `MAX_MOVES`.
    pub moves: u32,
    /// Whether a grant expired while the key or claim was missing; the next ask then waits for the key.
    pub ask_after_key: bool,
    /// Since when the catalogue has been too old to act on; `None` while it is fresh.
    pub stale_since: Option<Duration>,
    /// When the retry timer is due; `None` when no retry is scheduled.
    pub retry_at: Option<Duration>,
}

impl Call {
    /// Creates the state of a request received at `now`.
    pub fn new(now: Duration, facts: Arc<RequestFacts>) -> Self {
        let key = match facts.key {
            Some(_) => Prerequisite::NotRequested,
            None => Prerequisite::NotNeeded,
        };
        let claim = match facts.idempotent {
            true => Prerequisite::NotNeeded,
            false => key,
        };
        Self {
            received_at: now,
            deadline_at: now + facts.deadline,
            facts,
            admitted: false,
            key,
            claim,
            caller: Caller::Waiting,
            phase: Phase::Waiting,
            last_asked_at: None,
            avoid: None,
            next_group: None,
            moves: 0,
            ask_after_key: false,
            stale_since: None,
            retry_at: None,
        }
    }

    /// Whether everything that a dispatch needs besides a grant is available.
    pub fn may_dispatch(&self) -> bool {
        self.admitted && !self.key.blocks() && !self.claim.blocks()
    }

    /// Whether a broker can be asked now.
    ///
    /// A claim needs a write to the table service. An ask before that write ends would leave the granted slot
    /// idle.
    pub fn may_ask(&self) -> bool {
        self.admitted && !self.claim.blocks() && !(self.ask_after_key && self.key.blocks())
    }

    /// Schedules a retry of this request.
    pub fn schedule_retry(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        after: Duration,
    ) {
        self.retry_at = Some(context.now + after);
        context.start_timer(after, Timer::RequestRetry(request));
    }
}

impl Call {
    /// The grant that the request holds in its present phase.
    pub fn grant(&self) -> Option<&Grant> {
        match &self.phase {
            Phase::Waiting | Phase::Asking(_) | Phase::Withdrawing(_) => None,
            Phase::Granted(unsent) => Some(&unsent.0),
            Phase::Dispatching(dispatching) => Some(&dispatching.grant),
            Phase::Running(stream) | Phase::Resuming(stream) => Some(&stream.grant),
        }
    }

    /// The stream of a dispatched request.
    pub fn stream(&self) -> Option<&Stream> {
        match &self.phase {
            Phase::Running(stream) | Phase::Resuming(stream) => Some(stream),
            _ => None,
        }
    }

    /// Whether any bytes of the request may have been sent to an upstream.
    pub fn may_have_been_sent(&self) -> bool {
        matches!(
            self.phase,
            Phase::Dispatching(_) | Phase::Running(_) | Phase::Resuming(_)
        )
    }

    /// Skips the group of the pending ask in the next choice when that ask is at this broker.
    pub fn avoid_group_of(&mut self, node: &NodeId) {
        if let Phase::Asking(ask) | Phase::Withdrawing(ask) = &self.phase
            && ask.broker == *node
        {
            self.avoid = Some(ask.name.group.clone());
        }
    }
}
