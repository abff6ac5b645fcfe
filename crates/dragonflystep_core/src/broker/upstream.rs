//! A broker's model of one upstream: speed, cache, limit, load reports and recent failures.

use {
    super::{
        adaptive_limit::AdaptiveLimit,
        prefix_cache::PrefixCache,
        prompt_ends::PromptEnds,
        rates::Rates,
        slots::{AskKey, Slot},
    },
    crate::{catalogue::Upstream, ids::Fingerprint, state::PolicyParts},
    std::{sync::Arc, time::Duration},
};

/// A load report of an upstream, with the time at which it was sampled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When the upstream sampled it, on this node's clock.
    pub sampled_at: Duration,
    /// When this node received it.
    pub read_at: Duration,
    /// Number of requests on the upstream, including those in its own queue.
    pub running: u32,
}

/// How long a stream that broke off counts as one that ran on the upstream when it crashed.
const CRASH_WINDOW: Duration = Duration::from_secs(3);

/// A stream that broke off, kept to attribute a crash to it.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Duration,
    fingerprint: Option<Fingerprint>,
    granted_at: Duration,
    exclusive: bool,
}

/// State and predictions of one upstream of a held group.
#[derive(Debug)]
pub struct UpstreamModel {
    /// Its catalogue entry.
    pub entry: Arc<Upstream>,
    /// Learned prefill and decode speed.
    pub rates: Rates,
    /// Predicted content of its prefix cache.
    pub cache: PrefixCache,
    /// Adaptive concurrency limit.
    pub limit: AdaptiveLimit,
    /// Ratio of the current token gap to the usual one; 1 is normal.
    pub slowness: f64,
    /// Oldest load report that was not yet compared with the slots.
    pub pending_report: Option<LoadReport>,
    /// Whether it has ever reported its load.
    pub has_reported: bool,
    /// Maximum number of running streams that have no slot; `None` if unknown, and then nothing is granted here.
    pub untracked: Option<u32>,
    /// Reports sampled before this time do not bound `untracked`.
    pub untracked_as_of: Duration,
    /// Suspect ask that gets this upstream exclusively once it is empty; other asks get no grants here until then.
    pub reserved_for: Option<AskKey>,
    /// Predicted time at which all prompts granted so far will have been computed.
    pub prefill_until: Duration,
    /// End times of its latest prompts.
    pub prompt_ends: PromptEnds,
    /// When a stream on it last ended and its rates were updated.
    pub learned_at: Duration,
    failures: Vec<Failure>,
}

impl UpstreamModel {
    /// Creates the model of an upstream, starting from the rates of its class.
    pub fn new(entry: Arc<Upstream>, class: &Rates, untracked: Option<u32>) -> Self {
        Self {
            limit: AdaptiveLimit::new(entry.limits.running_requests),
            entry,
            rates: Rates::from_class(class),
            cache: PrefixCache::default(),
            slowness: 1.0,
            pending_report: None,
            has_reported: false,
            untracked,
            untracked_as_of: Duration::ZERO,
            reserved_for: None,
            prefill_until: Duration::ZERO,
            prompt_ends: PromptEnds::default(),
            learned_at: Duration::ZERO,
            failures: Vec::new(),
        }
    }

    /// Applies a changed catalogue entry.
    pub fn set_entry(&mut self, entry: Arc<Upstream>) {
        self.limit.set_ceiling(entry.limits.running_requests);
        self.entry = entry;
    }

    /// Number of requests that may run at the same time: the adaptive limit if the policy uses it, else the ceiling.
    pub fn running_limit(&self, policy: &PolicyParts) -> u32 {
        if policy.adaptive_limit {
            self.limit.requests()
        } else {
            self.limit.ceiling()
        }
    }

    /// Adds a granted prompt with this predicted prefill time to the backlog.
    pub fn prefill_granted(&mut self, now: Duration, prefill_seconds: f64) {
        let after = self.prefill_until.max(now);
        self.prefill_until = after + Duration::from_secs_f64(prefill_seconds.max(0.0));
    }

    /// Subtracts the predicted prefill time of a returned grant from the backlog.
    pub fn prefill_returned(&mut self, prefill_seconds: f64) {
        let returned = Duration::from_secs_f64(prefill_seconds.max(0.0));
        self.prefill_until = self.prefill_until.saturating_sub(returned);
    }

    /// Keeps a load report for a later comparison with the slots.
    ///
    /// A report that is already pending is kept instead, unless it was sampled before `useful_from` and so bounds
    /// nothing.
    pub fn keep_report(&mut self, report: LoadReport, useful_from: Duration) {
        self.has_reported = true;
        let keeps = |pending: &LoadReport| pending.sampled_at >= useful_from;
        if !self.pending_report.as_ref().is_some_and(keeps) {
            self.pending_report = Some(report);
        }
    }

    /// Records that a stream broke off.
    pub fn record_failure(&mut self, now: Duration, slot: &Slot) {
        self.failures
            .retain(|failure| now < failure.at + CRASH_WINDOW);
        self.failures.push(Failure {
            at: now,
            fingerprint: slot.fingerprint,
            granted_at: slot.granted_at,
            exclusive: slot.exclusive,
        });
    }

    /// Number of streams that broke off so recently that one crash may have caused it.
    pub fn recent_failure_count(&self, now: Duration) -> u32 {
        u32::try_from(self.recent_failures(now).count()).unwrap_or(u32::MAX)
    }

    /// When a request that broke off recently was granted, and whether it had the upstream exclusively.
    pub fn failed_grant(
        &self,
        fingerprint: Fingerprint,
        now: Duration,
    ) -> Option<(Duration, bool)> {
        self.recent_failures(now)
            .filter(|failure| failure.fingerprint == Some(fingerprint))
            .map(|failure| (failure.granted_at, failure.exclusive))
            .max()
    }

    fn recent_failures(&self, now: Duration) -> impl Iterator<Item = &Failure> {
        let failures = self.failures.iter();
        failures.filter(move |failure| now < failure.at + CRASH_WINDOW)
    }
}
