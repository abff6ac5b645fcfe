//! Summaries of an owner's view of its services, for logs and metrics.

use {
    super::ServicePool,
    crate::{
        ids::{MonotonicTime, ServiceName, UpstreamId},
        upstream::LiveUpstream,
    },
    std::time::Duration,
};

/// Largest number of upstreams in a summary; about 8 KB in the log.
const MAX_SUMMARIZED: usize = 200;

/// An owner's view of one upstream, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSummary {
    /// Identifies the upstream.
    pub id: UpstreamId,
    /// Number of runs there that this owner knows of.
    pub running: usize,
    /// Whether it is ready and not backed off.
    pub is_usable: bool,
    /// Requests per second that this owner may send there; absent if the upstream stated no rate limit.
    pub rate_limit_per_s: Option<f64>,
    /// Prefill time per prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Time between two events of a stream, in milliseconds.
    pub ms_per_event: f64,
    /// Exponentially weighted share of its recent runs that failed.
    pub failure_rate: f64,
}

/// An owner's view of one service, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSummary {
    /// The service that is summarized.
    pub service: ServiceName,
    /// Number of requests that wait for a slot.
    pub waiting: usize,
    /// Number of slots granted since the last summary.
    pub granted_slots: u64,
    /// Upstreams that were examined to place requests since the last summary.
    pub examined: u64,
    /// Number of upstreams of the service.
    pub upstream_count: usize,
    /// Probability that an upstream breaks off within a second, by what was seen lately.
    pub break_probability_per_s: f64,
    /// Runs that were copied to a second upstream since the last summary.
    pub copied_runs: u64,
    /// Copies that the upstreams hold.
    pub copies: usize,
    /// The upstreams of the service; of a large one, up to [`MAX_SUMMARIZED`] that have runs or are not usable.
    pub upstreams: Vec<UpstreamSummary>,
}

impl ServicePool {
    /// Summarizes the service, and resets the counts.
    pub(crate) fn summary(&mut self, now: MonotonicTime, service: ServiceName) -> PoolSummary {
        let is_large = self.upstreams.len() > MAX_SUMMARIZED;
        let is_listed = |upstream: &&LiveUpstream| {
            !is_large || !upstream.runs.is_empty() || !upstream.is_usable(now)
        };
        let listed = self.upstreams.iter().filter(is_listed).take(MAX_SUMMARIZED);
        let upstreams = listed.map(|upstream| UpstreamSummary {
            id: upstream.entry.id.clone(),
            running: upstream.runs.len(),
            is_usable: upstream.is_usable(now),
            rate_limit_per_s: upstream.rate_limit_per_s(),
            prefill_us_per_token: upstream.speed.prefill_ms_per_token * 1e3,
            ms_per_event: upstream.speed.ms_per_event,
            failure_rate: upstream.failure_rate,
        });
        PoolSummary {
            service,
            waiting: self.queue.len(),
            granted_slots: std::mem::take(&mut self.granted_slots),
            examined: self.search.take_examined(),
            upstream_count: self.upstreams.len(),
            break_probability_per_s: self.break_rate.probability(
                now,
                self.upstreams.len(),
                Duration::from_secs(1),
            ),
            copied_runs: std::mem::take(&mut self.copied_runs),
            copies: self.upstreams.iter().map(|it| it.copies.len()).sum(),
            upstreams: upstreams.collect(),
        }
    }
}
