//! Detects requests that may crash the upstreams that run them.

use {
    super::{Entry, call::Call},
    crate::{
        context::Context,
        ids::{Fingerprint, GroupId, RequestId, UpstreamId},
        message::{CrashObserved, Message},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Streams that break within this time of each other may have been broken by the same crash.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Running and recently broken streams of each upstream.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    upstreams: BTreeMap<UpstreamId, OnBoard>,
}

/// Running and recently broken streams of one upstream.
#[derive(Debug, Default)]
struct OnBoard {
    /// When each running stream was dispatched.
    running: BTreeMap<RequestId, Duration>,
    broken: BTreeMap<RequestId, Broken>,
}

/// A stream that broke and has not been resumed.
#[derive(Debug)]
struct Broken {
    boarded_at: Duration,
    /// When it first broke. Attempts to resume it may fail until long after that.
    broke_at: Duration,
    last_broke_at: Duration,
    group: GroupId,
    fingerprint: Fingerprint,
    prefill_done: bool,
    reported: bool,
}

impl Crashes {
    /// Records the dispatch of a request to an upstream.
    pub fn boarded(&mut self, now: Duration, upstream: &UpstreamId, request: RequestId) {
        let on_board = self.upstreams.entry(upstream.clone()).or_default();
        on_board.running.insert(request, now);
    }

    /// Records the end of a stream.
    pub fn left(&mut self, upstream: &UpstreamId, request: RequestId) {
        if let Some(on_board) = self.upstreams.get_mut(upstream) {
            on_board.running.remove(&request);
        }
    }

    /// Records that a stream broke, for the first time or again.
    pub fn broke(&mut self, now: Duration, upstream: &UpstreamId, request: RequestId, call: &Call) {
        let Some(stream) = call.stream() else {
            return;
        };
        let on_board = self.upstreams.entry(upstream.clone()).or_default();
        if let Some(broken) = on_board.broken.get_mut(&request) {
            broken.last_broke_at = now;
            return;
        }
        let broken = Broken {
            boarded_at: on_board.running.get(&request).copied().unwrap_or(now),
            broke_at: now,
            last_broke_at: now,
            group: stream.grant.name.group.clone(),
            fingerprint: call.facts.fingerprint,
            prefill_done: stream.first_token_at.is_some(),
            reported: false,
        };
        on_board.broken.insert(request, broken);
    }

    /// Records that a broken stream was resumed.
    pub fn recovered(&mut self, upstream: &UpstreamId, request: RequestId) {
        if let Some(on_board) = self.upstreams.get_mut(upstream) {
            on_board.broken.remove(&request);
        }
    }

    /// Removes broken streams that are too old to belong to a new crash.
    pub fn forget_old(&mut self, now: Duration) {
        for on_board in self.upstreams.values_mut() {
            on_board.forget_old(now);
        }
        self.upstreams
            .retain(|_, on_board| !on_board.running.is_empty() || !on_board.broken.is_empty());
    }

    /// Builds the report of the crash that broke a stream, once for each crash; `None` while a stream that
    /// ran with it still works.
    fn observed(
        &mut self,
        now: Duration,
        upstream: &UpstreamId,
        request: RequestId,
        for_good: bool,
    ) -> Option<CrashObserved> {
        let on_board = self.upstreams.get_mut(upstream)?;
        on_board.forget_old(now);
        let event = on_board.event_of(request)?;
        let group = on_board.broken.get(&request)?.group.clone();
        // The network may be the cause of a single broken stream. Several at once, or one that can't be
        // resumed, indicate a fault of the upstream.
        let grave = for_good || event.len() > 1;
        let reported = event
            .iter()
            .all(|request| on_board.broken[request].reported);
        if !grave || reported {
            return None;
        }
        for request in &event {
            if let Some(broken) = on_board.broken.get_mut(request) {
                broken.reported = true;
            }
        }
        Some(CrashObserved {
            upstream: upstream.clone(),
            group,
            fingerprints: on_board.suspects(&event),
            on_board: u32::try_from(event.len()).unwrap_or(u32::MAX),
        })
    }
}

impl OnBoard {
    fn forget_old(&mut self, now: Duration) {
        self.broken
            .retain(|_, broken| now.saturating_sub(broken.last_broke_at) <= CRASH_WINDOW);
    }

    /// The streams that broke together with the given one, including itself; `None` if a stream that ran
    /// alongside is not broken.
    ///
    /// Streams dispatched after the break are ignored, since a crashed upstream may soon accept new requests.
    /// Streams that broke before this one was dispatched belong to an earlier crash.
    fn event_of(&self, request: RequestId) -> Option<Vec<RequestId>> {
        let broken = self.broken.get(&request)?;
        let goes_on = self.running.iter().any(|(other, boarded_at)| {
            *boarded_at <= broken.broke_at && !self.broken.contains_key(other)
        });
        if goes_on {
            return None;
        }
        let together = self.broken.iter().filter(|(other, each)| {
            **other == request
                || (each.broke_at >= broken.boarded_at && each.boarded_at <= broken.broke_at)
        });
        Some(together.map(|(other, _)| *other).collect())
    }

    /// Fingerprints of the requests that were still in prefill, or of the only request in the crash.
    fn suspects(&self, event: &[RequestId]) -> Vec<Fingerprint> {
        let alone = event.len() == 1;
        event
            .iter()
            .map(|request| &self.broken[request])
            .filter(|broken| alone || !broken.prefill_done)
            .map(|broken| broken.fingerprint)
            .collect()
    }
}

impl Entry {
    /// Reports a crash to the group's broker if the broken streams indicate one.
    pub(super) fn report_crash(
        &mut self,
        context: &mut Context<'_>,
        upstream: &UpstreamId,
        request: RequestId,
        for_good: bool,
    ) {
        let observed = self
            .crashes
            .observed(context.now, upstream, request, for_good);
        let Some(observed) = observed else {
            return;
        };
        if let Some(broker) = self.groups.broker(context.view, &observed.group) {
            context.send(&broker, Message::CrashObserved(observed));
        }
    }
}
