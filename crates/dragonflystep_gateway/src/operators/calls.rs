//! Calls of operators that wait for the reducer's answer.

use {
    crate::registry::lock,
    dragonflystep_core::{admin::AdminAnswer, ids::AdminCallId},
    std::{
        collections::HashMap,
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::oneshot,
};

/// The waiting calls.
#[derive(Default)]
pub(crate) struct AdminCalls {
    next: AtomicU64,
    waiting: Mutex<HashMap<AdminCallId, oneshot::Sender<AdminAnswer>>>,
}

/// One waiting call; dropping it forgets the call.
pub(crate) struct WaitingCall<'a> {
    calls: &'a AdminCalls,
    /// Its number.
    pub(crate) id: AdminCallId,
    answer: oneshot::Receiver<AdminAnswer>,
}

impl AdminCalls {
    /// Opens a call.
    pub(crate) fn open(&self) -> WaitingCall<'_> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        lock(&self.waiting).insert(id, sender);
        WaitingCall {
            calls: self,
            id,
            answer,
        }
    }

    /// Hands the reducer's answer to the call; one that no longer waits loses it.
    pub(crate) fn answer(&self, id: AdminCallId, answer: AdminAnswer) {
        if let Some(sender) = lock(&self.waiting).remove(&id) {
            let _ = sender.send(answer);
        }
    }
}

impl WaitingCall<'_> {
    /// Waits for the answer; none when there will be none.
    pub(crate) async fn answer(&mut self) -> Option<AdminAnswer> {
        (&mut self.answer).await.ok()
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        lock(&self.calls.waiting).remove(&self.id);
    }
}
