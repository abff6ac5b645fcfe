//! What was tried for a request so far.

use {
    crate::{
        job::Job,
        placing::{Place, obtain},
    },
    dragonflystep_dispatch::{Refusal, UpstreamId},
    std::time::{Duration, Instant},
};

/// Upstreams that got a request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Times that it was sent.
    pub(crate) sent: u32,
    /// Places that were asked for.
    pub(crate) places: u32,
    /// Whether it may have run.
    pub(crate) has_run: bool,
    /// Time spent waiting for places.
    pub(crate) queued: Duration,
    /// Upstreams that got it or could not be reached, in order.
    avoid: Vec<UpstreamId>,
}

impl Attempts {
    /// Gets a place for the next attempt.
    pub(crate) async fn place(&mut self, job: &Job) -> Result<Place, Refusal> {
        self.places += 1;
        let request = job.ask(self);
        let asked_at = Instant::now();
        let place = obtain(&job.node, request).await;
        self.queued += asked_at.elapsed();
        place
    }

    /// The upstream that got the request last; empty when there is none.
    pub(crate) fn last_upstream(&self) -> &str {
        self.avoid.last().map_or("", |upstream| &**upstream)
    }

    /// Notes the time spent waiting for places.
    pub(crate) fn observe_queued(&self, job: &Job) {
        let metrics = &job.node.metrics;
        metrics.observe("queued_ms", &job.route.name, self.queued);
    }

    /// Upstreams that got the request, in order.
    pub(crate) fn upstreams(&self) -> &[UpstreamId] {
        &self.avoid
    }

    /// Takes the last attempt back, of which nothing was sent; its upstream is still avoided.
    pub(crate) fn take_back(&mut self) {
        self.sent -= 1;
    }

    /// Notes that the request goes to an upstream.
    pub(crate) fn count_sent(&mut self, upstream: &UpstreamId) {
        self.sent += 1;
        self.avoid.push(upstream.clone());
    }
}
