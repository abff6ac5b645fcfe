//! The state machine of a service's owner: it takes events and returns decisions for the entry nodes.

mod content;
mod documents;
mod sharing;
mod streams;

use {
    crate::{
        account_shares::AccountWeights,
        copy_rules::CopyRules,
        crash_log::{CrashLog, Verdicts},
        event::{Effect, Event, SharedLimits},
        ids::{DataCentreName, MonotonicTime, NodeIncarnation, RunId, ServiceName, UpstreamId},
        limits::OWNER_OVERLAP,
        messages::{
            BackOff, Refusal, RefusalReason, RunOutcome, RunReport, SlotDecision, SlotRequest,
        },
        notices::{UpstreamNotice, UpstreamNotices},
        ownership::partition_limit_share,
        pool::{PoolSummary, ServicePool},
        quota::Quotas,
        refusal::{crashing_content, refuse},
        retry_budget::RetryLimits,
        rollout::{RolloutRules, RolloutStep},
        share_rules::ShareRules,
        stream_versions::{SeenVersions, StreamVersions},
        warm_up::WarmUpRules,
    },
    std::{
        collections::{BTreeSet, HashMap},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
};

pub use self::{content::ContentChange, streams::VersionEvidence};

/// Makes the scheduling decisions of one node, for all services that it owns.
///
/// # Examples
/// ```
/// use dragonflystep_dispatch::{
///     CopyRules, Dispatcher, Event, QuotaRules, RolloutRules, ShareRules, SharedLimits, WarmUpRules,
/// };
/// use std::time::Duration;
///
/// let quota = QuotaRules {
///     window: Duration::from_secs(8),
///     tolerated_share: 0.1,
///     tolerated_units: 0.0,
/// };
/// let rollout = RolloutRules { exposed_share: 0.1, exposed_slack: 50.0 };
/// let warm_up = WarmUpRules { tolerated_ratio: 1.5, tolerated_requests: 5.0 };
/// let limits = SharedLimits {
///     retry_ratio: 0.2, retry_slack: 50.0, retry_window_s: 10, quota, rollout, warm_up,
///     copies: CopyRules::default(), shares: ShareRules::default(),
/// };
/// let mut dispatcher = Dispatcher::new(limits);
/// assert!(dispatcher.reduce(Duration::from_secs(1), Event::Ticked).is_empty());
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    retry_limits: RetryLimits,
    /// Share of the limits common to all nodes that this owner may use, by the number of visible nodes.
    limit_share: f64,
    /// Like `limit_share`, but by the number of nodes that were recently in contact; applies to the accounts' quotas.
    quota_share: f64,
    pools: HashMap<ServiceName, ServicePool>,
    quotas: Quotas,
    crash_log: CrashLog,
    /// What the crashes said of content when that was last concluded.
    verdicts: Rc<Verdicts>,
    /// When that was, and whether more was learned since.
    concluded_at: MonotonicTime,
    has_new_evidence: bool,
    /// Changes of what is refused for its content, to be logged.
    content_changes: Vec<ContentChange>,
    rollout_rules: RolloutRules,
    warm_up_rules: WarmUpRules,
    copy_rules: CopyRules,
    share_rules: ShareRules,
    account_weights: Arc<AccountWeights>,
    /// Data centres whose upstreams get no requests.
    evacuated: BTreeSet<DataCentreName>,
    rollout_steps: Vec<RolloutStep>,
    back_offs: Vec<BackOff>,
    notices: UpstreamNotices,
    streams: StreamVersions,
    /// When streams that can't be resumed any more were last dropped.
    streams_swept_at: MonotonicTime,
    /// Whether streams that may still be resumed may have begun at several software versions, so that other nodes need
    /// copies of what this one knows of them.
    shares_streams: bool,
    /// Whether this node learns of changes of the registry.
    is_registry_fresh: bool,
    /// Since when this node has learned of each change of the registry; absent before the first registry.
    registry_followed_since: Option<MonotonicTime>,
    /// Whether this node also knows of the changes before that, as far as they matter for streams.
    is_version_history_known: bool,
    /// Software versions of services whose pools were dropped, for as long as their streams may be resumed.
    former_versions: HashMap<ServiceName, SeenVersions>,
    /// Whether these changed since that was last taken.
    have_former_versions_changed: bool,
    /// Time until which another owner may be granting slots too; absent when no overlap is known.
    overlap_ends_at: Option<MonotonicTime>,
    /// When an entry node last requested a slot here; absent if none has.
    last_request_at: Option<MonotonicTime>,
    /// Time until which upstreams may count rejections of requests that earlier owners sent.
    rejections_unknown_until: MonotonicTime,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no services, upstreams or accounts.
    pub fn new(limits: SharedLimits) -> Self {
        Self {
            retry_limits: limits.retries(),
            limit_share: 1.0,
            quota_share: 1.0,
            pools: HashMap::new(),
            quotas: Quotas::new(limits.quota),
            crash_log: CrashLog::default(),
            verdicts: Rc::default(),
            concluded_at: Duration::ZERO,
            has_new_evidence: false,
            content_changes: Vec::new(),
            rollout_rules: limits.rollout,
            warm_up_rules: limits.warm_up,
            copy_rules: limits.copies,
            share_rules: limits.shares,
            account_weights: Arc::default(),
            evacuated: BTreeSet::new(),
            rollout_steps: Vec::new(),
            back_offs: Vec::new(),
            notices: UpstreamNotices::default(),
            streams: StreamVersions::default(),
            streams_swept_at: Duration::ZERO,
            shares_streams: false,
            is_registry_fresh: true,
            registry_followed_since: None,
            is_version_history_known: false,
            former_versions: HashMap::new(),
            have_former_versions_changed: false,
            overlap_ends_at: None,
            last_request_at: None,
            rejections_unknown_until: Duration::ZERO,
        }
    }

    /// Returns the roll-out steps since the last call, which the caller has to publish.
    pub fn take_rollout_steps(&mut self) -> Vec<RolloutStep> {
        std::mem::take(&mut self.rollout_steps)
    }

    /// Returns the back-offs from upstreams that began since the last call, to be logged.
    pub fn take_back_offs(&mut self) -> Vec<BackOff> {
        std::mem::take(&mut self.back_offs)
    }

    /// Applies an event that happened at `now` and returns the resulting decisions.
    pub fn reduce(&mut self, now: MonotonicTime, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::SlotRequested(request) => self.handle_slot_request(now, request, &mut effects),
            Event::RequestWithdrawn(service, run) => self.handle_withdrawal(&service, run),
            Event::RunEnded(report) => self.handle_run_end(now, &report, &mut effects),
            Event::ActiveRunReported(active_run) => {
                let pool = self
                    .pools
                    .entry(active_run.request.service.clone())
                    .or_default();
                pool.adopt_run(now, active_run);
                let until = now + OWNER_OVERLAP;
                if self.overlap_ends_at.replace(until).is_none() {
                    self.apply_rate_limit_share(now);
                }
            }
            Event::UsageReported(report) => {
                self.note_entry_node(now, &report);
                self.quotas.apply_report(now, report);
            }
            Event::NodeCountChanged(nodes) => self.quotas.set_node_count(now, nodes),
            Event::LimitsChanged(limits) => {
                self.retry_limits = limits.retries();
                self.quotas.set_rules(limits.quota);
                self.rollout_rules = limits.rollout;
                self.warm_up_rules = limits.warm_up;
                self.copy_rules = limits.copies;
                self.share_rules = limits.shares;
                for pool in self.pools.values_mut() {
                    pool.set_copy_rules(limits.copies);
                    pool.set_share_rules(limits.shares);
                    pool.set_warm_up_rules(now, limits.warm_up);
                }
            }
            Event::CatalogueChanged(catalogue) => self.set_catalogue(now, &catalogue),
            Event::UpstreamsChanged(upstreams) => {
                self.set_upstreams(now, upstreams);
                for pool in self.pools.values_mut() {
                    pool.refuse_unservable(now, &mut effects);
                }
                self.place_all_waiting(now, &mut effects);
            }
            Event::EvacuationsChanged(evacuated) => {
                self.evacuated = evacuated;
                for pool in self.pools.values_mut() {
                    pool.set_evacuated(now, &self.evacuated);
                    pool.refuse_unservable(now, &mut effects);
                }
                self.place_all_waiting(now, &mut effects);
            }
            Event::VisibilityChanged(visibility) => {
                self.limit_share = partition_limit_share(visibility);
                // Upstreams reject what exceeds their slots.
                let running = visibility.without_refusing();
                let slots = (!running.is_majority()).then(|| running.fraction());
                for pool in self.pools.values_mut() {
                    pool.limit_slots(slots);
                }
                self.apply_rate_limit_share(now);
            }
            Event::RecentContactsChanged(contacts) => {
                self.quota_share = partition_limit_share(contacts);
                self.apply_rate_limit_share(now);
            }
            Event::RegistryFreshnessChanged(is_fresh) => {
                self.set_registry_fresh(now, is_fresh);
            }
            Event::StreamsRestored(streams) => {
                // The newest record of a stream comes last.
                let newest = streams.into_iter().map(|stream| (stream.stream, stream));
                for stream in newest.collect::<HashMap<_, _>>().into_values() {
                    self.streams.record_restored(now, stream);
                }
            }
            Event::VersionHistoryRestored(history) => self.restore_version_history(now, &history),
            Event::StreamsReported(streams) => {
                for stream in streams {
                    self.streams.record_reported(now, stream);
                }
            }
            Event::CrashesObserved(evidence) => {
                self.has_new_evidence |= self.crash_log.merge(now, &evidence);
                self.conclude_from_crashes(now, &mut effects);
                self.place_all_waiting(now, &mut effects);
            }
            Event::StreamBegan(stream) => self.streams.record_own(now, stream),
            Event::LoadObserved(load) => {
                if let Some(pool) = self.pools.get_mut(&load.service) {
                    pool.record_load(now, &load);
                }
            }
            Event::NoticeReceived(notice) => self.handle_notice(now, &notice, &mut effects),
            Event::RolloutOrdered(order) => {
                let pool = self.pools.entry(order.service.clone()).or_default();
                pool.order_rollout(now, order, self.rollout_rules);
                self.place_all_waiting(now, &mut effects);
            }
            Event::RolloutSettled(service, number, phase) => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.settle_rollout(number, phase);
                }
                self.place_all_waiting(now, &mut effects);
            }
            Event::RolloutWithdrawn(service) => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.withdraw_rollout();
                }
            }
            Event::Ticked => {
                if self
                    .overlap_ends_at
                    .take_if(|until| *until <= now)
                    .is_some()
                {
                    self.apply_rate_limit_share(now);
                }
                self.conclude_from_crashes(now, &mut effects);
                for pool in self.pools.values_mut() {
                    pool.end_warm_ups(now);
                    pool.release_shares(now);
                    self.rollout_steps.extend(pool.advance_rollout(now));
                    pool.expire_waiting(now, &mut effects);
                }
                self.place_all_waiting(now, &mut effects);
                self.sweep_streams(now);
            }
        }
        self.refund_refused_waiting();
        self.record_granted_streams(now);
        effects
    }

    /// Refunds the quota units of requests that were refused after waiting, since they did not run.
    fn refund_refused_waiting(&mut self) {
        for pool in self.pools.values_mut() {
            for request in pool.take_refused_waiting() {
                if let Some(account) = &request.account {
                    self.quotas.refund(account, f64::from(request.quota_units));
                }
            }
        }
    }

    /// Returns the upstreams' notices that other nodes have to know, the latest first.
    pub fn notices(&self, now: MonotonicTime) -> Vec<UpstreamNotice> {
        self.notices.to_share(now)
    }

    /// Returns the rate limit that an upstream stated, in requests per second of all nodes together.
    pub fn rate_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.notices.rate_limit(upstream)
    }

    /// Returns the number of rejections per second, of requests of all nodes together, that an upstream stated to bear.
    pub fn rejection_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.notices.rejection_limit(upstream)
    }

    /// Whether an upstream announced that it is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.notices.is_leaving(upstream)
    }

    /// Whether an upstream stated that it is cold, and that time is not over.
    pub fn is_stated_cold(&self, now: MonotonicTime, upstream: &UpstreamId) -> bool {
        let stated = self.notices.warm_up(upstream);
        stated.is_some_and(|warm_up| now < warm_up.until)
    }

    /// Whether an upstream asked a node to send no requests for now.
    pub fn is_backed_off(
        &self,
        now: MonotonicTime,
        upstream: &UpstreamId,
        node: NodeIncarnation,
    ) -> bool {
        now < self.notices.back_off_until(upstream, node)
    }

    /// Returns the number of services for which the dispatcher holds state.
    pub fn service_count(&self) -> usize {
        self.pools.len()
    }

    /// Returns summaries of the services that have waiting requests or were granted a slot since the last call.
    pub fn summaries(&mut self, now: MonotonicTime) -> Vec<PoolSummary> {
        let summaries = self
            .pools
            .iter_mut()
            .map(|(service, pool)| pool.summary(now, service.clone()));
        summaries
            .filter(|summary| summary.granted_slots > 0 || summary.waiting > 0)
            .collect()
    }

    fn handle_slot_request(
        &mut self,
        now: MonotonicTime,
        mut request: SlotRequest,
        effects: &mut Vec<Effect>,
    ) {
        self.last_request_at = Some(now);
        self.conclude_from_crashes(now, effects);
        let bound = self.bind_to_version(now, &mut request);
        let refusal = bound.err().or_else(|| self.refuse_by_limits(now, &request));
        if let Some(refusal) = refusal {
            let pool = self.pools.entry(request.service.clone()).or_default();
            pool.record_immediate_refusal(now, &request);
            effects.push(Effect {
                run: request.run,
                decision: SlotDecision::Refused(refusal),
            });
            return;
        }
        let account = request.account.clone();
        let (run, units) = (request.run, f64::from(request.quota_units));
        let pool = self.pools.entry(request.service.clone()).or_default();
        self.rollout_steps.extend(pool.advance_rollout(now));
        pool.enqueue(now, request, effects);
        // A refused request does not run, so its quota units are refunded.
        if let Some(account) = account
            && effects.iter().any(|effect| {
                effect.run == run && matches!(effect.decision, SlotDecision::Refused(_))
            })
        {
            self.quotas.refund(&account, units);
        }
    }

    fn refuse_by_limits(&mut self, now: MonotonicTime, request: &SlotRequest) -> Option<Refusal> {
        if self.verdicts.refuses(now, request) {
            return Some(crashing_content());
        }
        let limits = self.retry_limits;
        let pool = self.pools.entry(request.service.clone()).or_default();
        if request.previous_attempts == 0 {
            pool.retries.count_request(now, limits);
        } else if !pool.retries.take_retry(now, limits, self.limit_share) {
            return Some(refuse(
                RefusalReason::RetryBudgetSpent,
                Duration::from_secs(1),
            ));
        }
        let account = request.account.as_ref()?;
        let units = f64::from(request.quota_units);
        let share = self.limit_share.min(self.quota_share);
        match self.quotas.take(now, account, units, share) {
            Ok(()) => None,
            Err(wait) => Some(refuse(RefusalReason::QuotaExceeded, wait)),
        }
    }

    fn handle_withdrawal(&mut self, service: &ServiceName, run: RunId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if let Some(request) = pool.withdraw(run)
            && let Some(account) = &request.account
        {
            self.quotas.refund(account, f64::from(request.quota_units));
        }
    }

    fn handle_run_end(
        &mut self,
        now: MonotonicTime,
        report: &RunReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pool) = self.pools.get_mut(&report.service) else {
            return;
        };
        let finished = pool.finish_run(now, report);
        self.back_offs.extend(pool.take_back_offs());
        if let Some(finished) = finished {
            self.learn_content(now, report, &finished);
            if report.outcome == RunOutcome::Completed {
                for stream in finished.request.stream_ids() {
                    self.streams.note_completed(now, stream);
                }
            }
            if !report.outcome.may_have_run()
                && let Some(account) = &finished.request.account
            {
                self.quotas
                    .refund(account, f64::from(finished.request.quota_units));
            }
        }
        if self.has_new_evidence {
            self.conclude_from_crashes(now, effects);
        }
        if let Some(pool) = self.pools.get_mut(&report.service) {
            pool.place_waiting(now, effects);
        }
    }

    fn handle_notice(
        &mut self,
        now: MonotonicTime,
        notice: &UpstreamNotice,
        effects: &mut Vec<Effect>,
    ) {
        if !self.notices.apply(now, notice) {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&notice.service) {
            pool.apply_notices_of(now, &self.notices, &notice.upstream);
            pool.place_waiting(now, effects);
        }
    }

    fn place_all_waiting(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        for pool in self.pools.values_mut() {
            pool.place_waiting(now, effects);
        }
    }
}
