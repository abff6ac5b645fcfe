//! The phases of a request.
//!
//! The types only allow one direction: an [`UnsentGrant`] becomes a [`DispatchingGrant`], which turns out to
//! be sent or not, and a [`Stream`] can never be dispatched again.

use {
    crate::{
        catalogue::{ServiceKind, Upstream},
        effect::Effect,
        ids::{NodeId, RequestId, UpstreamId},
        message::{AskName, GrantName},
    },
    std::{sync::Arc, time::Duration},
};

/// Phase of an open request. Ended requests are removed.
#[derive(Debug)]
pub(super) enum Phase {
    /// No ask is pending: the request waits for its key, its claim, the catalogue or a broker.
    Waiting,
    /// An ask is pending at a broker.
    Asking(PendingAsk),
    /// The ask is being withdrawn so that another group can be asked.
    Withdrawing(PendingAsk),
    /// A grant is held while the key or the claim is still missing.
    Granted(UnsentGrant),
    /// The driver was told to dispatch and has not yet reported whether it did.
    Dispatching(DispatchingGrant),
    /// The request was dispatched.
    Running(Stream),
    /// The request was dispatched; its stream broke and is being resumed.
    Resuming(Stream),
}

/// An ask that was sent to one broker and not answered finally.
#[derive(Debug)]
pub(super) struct PendingAsk {
    /// Identifies the ask in the broker's messages.
    pub name: AskName,
    /// Broker that the ask was sent to.
    pub broker: NodeId,
    /// Time after which the broker is treated as silent.
    pub timeout_at: Duration,
}

/// A broker's permission to dispatch one request to one upstream.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    /// Identifies the grant in messages.
    pub name: GrantName,
    /// Broker that issued it.
    pub broker: NodeId,
    /// Upstream to dispatch to.
    pub upstream: UpstreamId,
    /// Prompt tokens that the upstream's prefix cache is expected to hold.
    pub cached_tokens: u32,
    /// Time on this node's clock at which the grant expires.
    pub valid_until: Duration,
}

/// A grant that has not been used.
#[derive(Debug)]
pub(super) struct UnsentGrant(pub Grant);

impl UnsentGrant {
    /// Turns the grant into the effect that tells the driver to dispatch.
    pub fn into_dispatch(
        self,
        request: RequestId,
        upstream: &Upstream,
        kind: ServiceKind,
        progress_timeout: Duration,
    ) -> (DispatchingGrant, Effect) {
        let effect = Effect::Dispatch {
            request,
            upstream: self.0.upstream.clone(),
            address: Arc::clone(&upstream.address),
            kind,
            grant: self.0.name.clone(),
            valid_until: self.0.valid_until,
            progress_timeout,
        };
        let dispatching = DispatchingGrant {
            grant: self.0,
            kind,
        };
        (dispatching, effect)
    }
}

/// A grant that was handed to the driver, which may or may not have sent the request.
#[derive(Debug)]
pub(super) struct DispatchingGrant {
    /// The grant that was handed over.
    pub grant: Grant,
    kind: ServiceKind,
}

impl DispatchingGrant {
    /// Takes the grant back after the driver reported that nothing was sent.
    pub fn not_sent(self) -> UnsentGrant {
        UnsentGrant(self.grant)
    }

    /// Starts the stream after the driver reported that the first byte is being sent.
    pub fn sent(self, now: Duration) -> Stream {
        Stream {
            grant: self.grant,
            kind: self.kind,
            dispatched_at: now,
            first_token_at: None,
            progress_at: now,
            tokens: 0,
            resume_attempts: 0,
            resume_at: None,
        }
    }
}

/// A dispatched request.
#[derive(Debug)]
pub(super) struct Stream {
    /// Grant under which the request runs.
    pub grant: Grant,
    /// Kind of the service that answers; only engine streams can be resumed.
    pub kind: ServiceKind,
    /// When it was dispatched.
    pub dispatched_at: Duration,
    /// When the first token arrived; `None` before that.
    pub first_token_at: Option<Duration>,
    /// When the last token arrived; the time of the dispatch before the first token.
    pub progress_at: Duration,
    /// Number of tokens that have arrived.
    pub tokens: u32,
    /// Attempts to resume since the last new token.
    pub resume_attempts: u32,
    /// When the next attempt to resume is due; `None` while none is scheduled.
    pub resume_at: Option<Duration>,
}

impl Stream {
    /// Records the arrival of the first token.
    pub fn first_token(&mut self, now: Duration) {
        self.first_token_at.get_or_insert(now);
        self.progress_at = now;
    }

    /// Records the number of tokens received so far. A late report with no more tokens than before is not
    /// progress.
    pub fn progress(&mut self, now: Duration, tokens: u32) {
        if tokens <= self.tokens {
            return;
        }
        self.first_token(now);
        self.tokens = tokens;
        self.resume_attempts = 0;
    }
}
