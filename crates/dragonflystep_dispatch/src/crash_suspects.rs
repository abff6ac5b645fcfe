//! Requests that broke the upstreams which ran them.
//!
//! A request that crashes each engine comes again under a new id. After some breaks without one whole
//! answer it is refused, before it takes the next engine down.

use {
    crate::{
        ids::{MonotonicTime, RequestFingerprint},
        limits::{CRASH_MEMORY, CRASHES_BEFORE_REFUSAL, MAX_CRASH_SUSPECTS},
    },
    std::collections::HashMap,
};

/// Requests that broke upstreams lately.
#[derive(Debug, Default)]
pub(crate) struct CrashSuspects {
    breaks: HashMap<RequestFingerprint, (u32, MonotonicTime)>,
}

impl CrashSuspects {
    /// Counts a break.
    pub(crate) fn record_crash(&mut self, now: MonotonicTime, request: RequestFingerprint) {
        if self.breaks.len() >= MAX_CRASH_SUSPECTS {
            self.breaks
                .retain(|_, (_, at)| now.saturating_sub(*at) < CRASH_MEMORY);
        }
        let entry = self.breaks.entry(request).or_insert((0, now));
        entry.0 += 1;
        entry.1 = now;
    }

    /// Clears a request that was answered whole.
    pub(crate) fn record_completion(&mut self, request: RequestFingerprint) {
        self.breaks.remove(&request);
    }

    /// Whether the request is to be refused.
    pub(crate) fn is_refused(&self, now: MonotonicTime, request: RequestFingerprint) -> bool {
        self.breaks.get(&request).is_some_and(|(breaks, at)| {
            *breaks >= CRASHES_BEFORE_REFUSAL && now.saturating_sub(*at) < CRASH_MEMORY
        })
    }
}
