//! Recognizes requests that crash the upstreams that run them.
//!
//! A request that crashes every engine comes again under a new id. After several crashes without a complete answer it
//! is refused, before it crashes the next engine.

use {
    crate::{
        ids::{MonotonicTime, RequestFingerprint},
        limits::{CRASH_MEMORY, CRASHES_BEFORE_REFUSAL, MAX_CRASH_SUSPECTS},
    },
    std::collections::HashMap,
};

/// Requests that recently broke upstreams, with the number of crashes and the time of the last one.
#[derive(Debug, Default)]
pub(crate) struct CrashSuspects {
    crashes: HashMap<RequestFingerprint, (u32, MonotonicTime)>,
}

impl CrashSuspects {
    /// Counts a run of the request that broke its upstream.
    pub(crate) fn record_crash(&mut self, now: MonotonicTime, request: RequestFingerprint) {
        if self.crashes.len() >= MAX_CRASH_SUSPECTS {
            self.crashes
                .retain(|_, (_, at)| now.saturating_sub(*at) < CRASH_MEMORY);
        }
        let entry = self.crashes.entry(request).or_insert((0, now));
        entry.0 += 1;
        entry.1 = now;
    }

    /// Clears a request that was answered completely.
    pub(crate) fn record_completion(&mut self, request: RequestFingerprint) {
        self.crashes.remove(&request);
    }

    /// Whether the request must be refused.
    pub(crate) fn is_refused(&self, now: MonotonicTime, request: RequestFingerprint) -> bool {
        self.crashes.get(&request).is_some_and(|(crashes, at)| {
            *crashes >= CRASHES_BEFORE_REFUSAL && now.saturating_sub(*at) < CRASH_MEMORY
        })
    }
}
