//! Remembers refused requests, to recognize them when their callers come back.
//!
//! In an overload, most of the refused callers come back with a new request id. Such requests go before other late
//! ones, and their objective counts from their first attempt. They cannot be recognized by the time that the caller has
//! left: it differs among first attempts, and taking those with little time left for returning ones makes most requests
//! look late. Then no request goes ahead of others, and the lowest tier waits even where there are slots for all.

use {
    crate::{
        ids::{MonotonicTime, RequestFingerprint},
        limits::MAX_REFUSED_REMEMBERED,
        messages::SlotRequest,
    },
    std::collections::HashMap,
};

/// Recently refused requests, by their fingerprints.
#[derive(Debug, Default)]
pub(crate) struct RefusedRequests {
    first_attempts: HashMap<RequestFingerprint, FirstAttempt>,
}

/// When a slot was first requested for a refused request, and how long that is remembered.
#[derive(Debug)]
struct FirstAttempt {
    requested_at: MonotonicTime,
    /// Time at which its caller gives up.
    expires_at: MonotonicTime,
}

impl RefusedRequests {
    /// Returns when a slot was first requested for the request, if it was refused and its caller may still come back.
    pub(crate) fn first_requested_at(
        &self,
        now: MonotonicTime,
        request: RequestFingerprint,
    ) -> Option<MonotonicTime> {
        let first_attempt = self.first_attempts.get(&request)?;
        (now < first_attempt.expires_at).then_some(first_attempt.requested_at)
    }

    /// Records that `request`, whose slot was first requested at `first_requested_at`, is refused.
    pub(crate) fn record(
        &mut self,
        now: MonotonicTime,
        request: &SlotRequest,
        first_requested_at: MonotonicTime,
    ) {
        if self.first_attempts.len() >= MAX_REFUSED_REMEMBERED {
            self.first_attempts
                .retain(|_, other| now < other.expires_at);
        }
        if self.first_attempts.len() >= MAX_REFUSED_REMEMBERED {
            return;
        }
        let first_attempt = FirstAttempt {
            requested_at: first_requested_at,
            expires_at: now + request.time_left,
        };
        self.first_attempts
            .insert(request.fingerprint, first_attempt);
    }

    /// Forgets a request that was answered; a later one with the same fingerprint counts as new.
    pub(crate) fn forget(&mut self, request: RequestFingerprint) {
        self.first_attempts.remove(&request);
    }
}
