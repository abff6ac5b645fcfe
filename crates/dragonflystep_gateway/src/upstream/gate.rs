//! The point of no return of a dispatch: the last check before the first byte goes out.

use {
    std::sync::atomic::{AtomicU8, Ordering},
    tokio::sync::Notify,
};

const WAITING: u8 = 0;
const OPEN: u8 = 1;
const EXPIRED: u8 = 2;
const CLOSED: u8 = 3;

/// How far a dispatch got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GateState {
    /// Nothing was sent so far.
    Waiting,
    /// Bytes were handed to the connection; the request may run.
    Open,
    /// The grant ran out first; nothing was sent and nothing will be.
    Expired,
    /// The dispatch was given up first; nothing was sent and nothing will be.
    Closed,
}

/// Opens at most once; whoever moves it away from waiting decides for good.
///
/// A connection is written by a task of the HTTP client that outlives the dropped future of the call.
/// So dropping the call proves nothing; closing the gate does.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    state: AtomicU8,
    opened: Notify,
    closed: Notify,
}

impl Gate {
    /// Opens the gate; false when it was decided before.
    pub(crate) fn open(&self) -> bool {
        let opened = self.decide(OPEN);
        if opened {
            self.opened.notify_one();
        }
        opened
    }

    /// Marks the grant as expired; false when it was decided before.
    pub(crate) fn expire(&self) -> bool {
        self.decide(EXPIRED)
    }

    /// Gives the dispatch up; false when it was decided before.
    pub(crate) fn close(&self) -> bool {
        let closed = self.decide(CLOSED);
        if closed {
            self.closed.notify_one();
        }
        closed
    }

    /// How far the dispatch got.
    pub(crate) fn state(&self) -> GateState {
        match self.state.load(Ordering::Acquire) {
            WAITING => GateState::Waiting,
            OPEN => GateState::Open,
            EXPIRED => GateState::Expired,
            _ => GateState::Closed,
        }
    }

    /// Waits until the gate is open.
    pub(crate) async fn opened(&self) {
        self.opened.notified().await;
    }

    /// Waits until the dispatch is given up.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    fn decide(&self, to: u8) -> bool {
        self.state
            .compare_exchange(WAITING, to, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }
}
