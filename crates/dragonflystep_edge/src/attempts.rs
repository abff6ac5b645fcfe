//! Tracks what was already tried for a request.

use {
    crate::{
        job::{DispatchOutcome, Job},
        not_run::{Dispatches, NotRunProof},
        slots::{Slot, acquire_slot},
    },
    dragonflystep_dispatch::{Grant, Refusal, UpstreamId, UpstreamVersion},
    std::time::Duration,
    tokio::time::Instant,
};

/// The dispatches and slot requests of one request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Attempts so far; a dispatch that sent nothing does not count.
    pub(crate) sent: u32,
    /// Slots requested so far, whether or not they were granted.
    pub(crate) slot_requests: u32,
    /// Total time spent waiting for slots.
    pub(crate) queued: Duration,
    /// The dispatches to the upstreams of all granted slots in order, including those of which nothing was sent.
    dispatches: Dispatches,
    /// Software version of the upstream whose events the caller received; none before the first event.
    pub(crate) stream_version: Option<UpstreamVersion>,
    /// When the latest event of an upstream arrived; none before the first one.
    pub(crate) last_event_at: Option<Instant>,
    /// The slot of the latest dispatch.
    pub(crate) last_grant: Option<Grant>,
    /// The upstream at which the next attempt goes on from a copy of the run; none if it does not.
    pub(crate) continues_at: Option<UpstreamId>,
    /// Whether the run went on from a copy already.
    pub(crate) has_continued: bool,
}

impl Attempts {
    /// Requests a slot for the next attempt.
    pub(crate) async fn request_slot(&mut self, job: &Job) -> Result<Slot, Refusal> {
        self.slot_requests += 1;
        let request = job.slot_request(self);
        let requested_at = Instant::now();
        let slot = acquire_slot(&job.node, request).await;
        self.queued += requested_at.elapsed();
        slot
    }

    /// The upstream of the latest slot, even if nothing could be sent to it; empty when there is none.
    pub(crate) fn last_upstream(&self) -> &str {
        let last = self.dispatches.upstreams().next_back();
        last.map_or("", |upstream| &**upstream)
    }

    /// Records the time spent waiting for slots so far as a metric.
    pub(crate) fn observe_queue_time(&self, job: &Job) {
        let metrics = &job.node.metrics;
        metrics.observe("queued_ms", &job.route.name, self.queued);
    }

    /// The upstreams of all granted slots in order, which the next slot request excludes.
    pub(crate) fn upstreams(&self) -> Vec<UpstreamId> {
        self.dispatches.upstreams().cloned().collect()
    }

    /// Shows that the request did not run; none if it may have run.
    pub(crate) fn not_run_proof(&self) -> Option<NotRunProof> {
        self.dispatches.not_run_proof()
    }

    /// Number of dispatches, including those of which nothing was sent.
    pub(crate) fn dispatch_count(&self) -> usize {
        self.dispatches.count()
    }

    /// The upstreams of all dispatches in order, for log records.
    pub(crate) fn upstream_list(&self) -> String {
        self.upstreams().join(",")
    }

    /// Records how the latest dispatch ended. Its upstream stays excluded.
    pub(crate) fn record_outcome(&mut self, outcome: &DispatchOutcome) {
        let DispatchOutcome::NotRun(evidence) = outcome else {
            return;
        };
        self.dispatches.end_not_run(*evidence);
        if evidence.is_unsent() {
            self.uncount_sent();
        }
    }

    /// Uncounts the last attempt.
    pub(crate) fn uncount_sent(&mut self) {
        self.sent -= 1;
    }

    /// Counts an attempt at the upstream of a slot.
    pub(crate) fn count_sent(&mut self, grant: &Grant) {
        self.sent += 1;
        self.dispatches.begin(grant.upstream.clone());
        self.last_grant = Some(grant.clone());
    }
}
