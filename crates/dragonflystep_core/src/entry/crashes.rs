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
    upstreams: BTreeMap<UpstreamId, UpstreamStreams>,
}

/// Running and recently broken streams of one upstream.
#[derive(Debug, Default)]
struct UpstreamStreams {
    /// When each running stream was dispatched.
    running: BTreeMap<RequestId, Duration>,
    broken: BTreeMap<RequestId, BrokenStream>,
}

/// A stream that broke and has not been resumed.
#[derive(Debug)]
struct BrokenStream {
    dispatched_at: Duration,
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
    pub fn dispatched(&mut self, now: Duration, upstream: &UpstreamId, request: RequestId) {
        let streams = self.upstreams.entry(upstream.clone()).or_default();
        streams.running.insert(request, now);
    }

    /// Records the end of a stream.
    pub fn ended(&mut self, upstream: &UpstreamId, request: RequestId) {
        if let Some(streams) = self.upstreams.get_mut(upstream) {
            streams.running.remove(&request);
        }
    }

    /// Records that a stream broke, for the first time or again.
    pub fn stream_broke(
        &mut self,
        now: Duration,
        upstream: &UpstreamId,
        request: RequestId,
        call: &Call,
    ) {
        let Some(stream) = call.stream() else {
            return;
        };
        let streams = self.upstreams.entry(upstream.clone()).or_default();
        if let Some(broken) = streams.broken.get_mut(&request) {
            broken.last_broke_at = now;
            return;
        }
        let broken = BrokenStream {
            dispatched_at: streams.running.get(&request).copied().unwrap_or(now),
            broke_at: now,
            last_broke_at: now,
            group: stream.grant.name.group.clone(),
            fingerprint: call.facts.fingerprint,
            prefill_done: stream.first_token_at.is_some(),
            reported: false,
        };
        streams.broken.insert(request, broken);
    }

    /// Records that a broken stream was resumed.
    pub fn recovered(&mut self, upstream: &UpstreamId, request: RequestId) {
        if let Some(streams) = self.upstreams.get_mut(upstream) {
            streams.broken.remove(&request);
        }
    }

    /// Removes broken streams that are too old to belong to a new crash.
    pub fn remove_expired(&mut self, now: Duration) {
        for streams in self.upstreams.values_mut() {
            streams.remove_expired(now);
        }
        self.upstreams
            .retain(|_, streams| !streams.running.is_empty() || !streams.broken.is_empty());
    }

    /// Builds the report of the crash that broke a stream, once for each crash; `None` while a stream that
    /// ran with it still works.
    fn crash_report(
        &mut self,
        now: Duration,
        upstream: &UpstreamId,
        request: RequestId,
        permanent: bool,
    ) -> Option<CrashObserved> {
        let streams = self.upstreams.get_mut(upstream)?;
        streams.remove_expired(now);
        let event = streams.broken_together(request)?;
        let group = streams.broken.get(&request)?.group.clone();
        // The network may be the cause of a single broken stream. Several at once, or one that can't be
        // resumed, indicate a fault of the upstream.
        let conclusive = permanent || event.len() > 1;
        let reported = event.iter().all(|request| streams.broken[request].reported);
        if !conclusive || reported {
            return None;
        }
        for request in &event {
            if let Some(broken) = streams.broken.get_mut(request) {
                broken.reported = true;
            }
        }
        Some(CrashObserved {
            upstream: upstream.clone(),
            group,
            fingerprints: streams.suspects(&event),
            on_board: u32::try_from(event.len()).unwrap_or(u32::MAX),
        })
    }
}

impl UpstreamStreams {
    fn remove_expired(&mut self, now: Duration) {
        self.broken
            .retain(|_, broken| now.saturating_sub(broken.last_broke_at) <= CRASH_WINDOW);
    }

    /// The streams that broke together with the given one, including itself; `None` if a stream that ran
    /// alongside is not broken.
    ///
    /// Streams dispatched after the break are ignored, since a crashed upstream may soon accept new requests.
    /// Streams that broke before this one was dispatched belong to an earlier crash.
    fn broken_together(&self, request: RequestId) -> Option<Vec<RequestId>> {
        let broken = self.broken.get(&request)?;
        let other_unbroken = self.running.iter().any(|(other, dispatched_at)| {
            *dispatched_at <= broken.broke_at && !self.broken.contains_key(other)
        });
        if other_unbroken {
            return None;
        }
        let together = self.broken.iter().filter(|(other, each)| {
            **other == request
                || (each.broke_at >= broken.dispatched_at && each.dispatched_at <= broken.broke_at)
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
        permanent: bool,
    ) {
        let crash_report = self
            .crashes
            .crash_report(context.now, upstream, request, permanent);
        let Some(crash_report) = crash_report else {
            return;
        };
        if let Some(broker) = self.groups.broker(context.view, &crash_report.group) {
            context.send(&broker, Message::CrashObserved(crash_report));
        }
    }
}
