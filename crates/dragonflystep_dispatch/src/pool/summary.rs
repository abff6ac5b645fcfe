//! What an owner believes of a service, for logs and metrics.

use {
    super::ServicePool,
    crate::ids::{MonotonicTime, ServiceName, UpstreamId},
};

/// What an owner believes of an upstream, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSummary {
    /// The upstream.
    pub id: UpstreamId,
    /// Requests that run there.
    pub running: usize,
    /// Whether it takes requests now.
    pub is_usable: bool,
    /// Requests a second that this owner may send there, if it names a rate limit.
    pub limited_per_s: Option<f64>,
    /// Microseconds to read a prompt token.
    pub prefill_us_per_token: f64,
    /// Milliseconds from event to event.
    pub ms_per_event: f64,
    /// Share of its last runs that failed.
    pub failure_rate: f64,
}

/// What an owner believes of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSummary {
    /// The service.
    pub service: ServiceName,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that were granted a place since the last summary.
    pub granted: u64,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamSummary>,
}

impl ServicePool {
    /// What the owner believes, and how much it granted since the last call.
    pub(crate) fn summary(&mut self, now: MonotonicTime, service: ServiceName) -> PoolSummary {
        let upstreams = self.upstreams.iter().map(|upstream| UpstreamSummary {
            id: upstream.entry.id.clone(),
            running: upstream.runs.len(),
            is_usable: upstream.is_usable(now),
            limited_per_s: upstream.limited_per_s(),
            prefill_us_per_token: upstream.speed.prefill_ms_per_token * 1e3,
            ms_per_event: upstream.speed.ms_per_event,
            failure_rate: upstream.failure_rate,
        });
        PoolSummary {
            service,
            waiting: self.queue.len(),
            granted: std::mem::take(&mut self.granted),
            upstreams: upstreams.collect(),
        }
    }
}
