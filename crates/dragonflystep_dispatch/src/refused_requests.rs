//! Requests that were refused lately, to recognize them when their callers come back.
//!
//! The load it answers: an overload in which most of the refused callers come back under a new id. They
//! go before others that are late, and their objective counts from their first try. The time that a
//! caller has left does not tell this: it differs among first tries, and taking the shorter ones for returned
//! ones makes most requests look late, so that nobody goes ahead of others and the lowest kind waits where there is
//! room for all.

use {
    crate::{
        ids::{MonotonicTime, RequestFingerprint},
        limits::MAX_REFUSED_REMEMBERED,
        messages::SlotRequest,
    },
    std::collections::HashMap,
};

/// Requests that were refused lately.
#[derive(Debug, Default)]
pub(crate) struct RefusedRequests {
    first_tries: HashMap<RequestFingerprint, FirstTry>,
}

#[derive(Debug)]
struct FirstTry {
    asked_at: MonotonicTime,
    /// When its caller no longer waits for an answer.
    over_at: MonotonicTime,
}

impl RefusedRequests {
    /// When the request was asked for first, if it was refused then.
    pub(crate) fn first_requested_at(
        &self,
        now: MonotonicTime,
        request: RequestFingerprint,
    ) -> Option<MonotonicTime> {
        let first_try = self.first_tries.get(&request)?;
        (now < first_try.over_at).then_some(first_try.asked_at)
    }

    /// Notes that `ask`, first asked for at `first_asked_at`, is refused.
    pub(crate) fn record(
        &mut self,
        now: MonotonicTime,
        request: &SlotRequest,
        first_requested_at: MonotonicTime,
    ) {
        if self.first_tries.len() >= MAX_REFUSED_REMEMBERED {
            self.first_tries.retain(|_, other| now < other.over_at);
        }
        if self.first_tries.len() >= MAX_REFUSED_REMEMBERED {
            return;
        }
        let first_try = FirstTry {
            asked_at: first_requested_at,
            over_at: now + request.time_left,
        };
        self.first_tries.insert(request.fingerprint, first_try);
    }

    /// Forgets a request that was answered; the next one like it is another request.
    pub(crate) fn forget(&mut self, request: RequestFingerprint) {
        self.first_tries.remove(&request);
    }
}
