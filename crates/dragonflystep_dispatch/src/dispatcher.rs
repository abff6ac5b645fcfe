//! The reducer of a service's owner: events in, verdicts out.

use {
    crate::{
        catalogue::Catalogue,
        crash_suspects::CrashSuspects,
        ids::{MonotonicTime, NodeIncarnation, RunId, ServiceName, UpstreamId},
        limits::{OVERLAP_RATE_SHARE, OWNER_OVERLAP},
        messages::{
            ActiveRun, RefusalReason, RunOutcome, RunReport, SlotDecision, SlotRequest,
            UpstreamLoad,
        },
        notices::{UpstreamNotice, UpstreamNotices},
        ownership::{Visibility, partition_limit_share},
        pool::{PoolSummary, ServicePool},
        quota::{QuotaRules, Quotas},
        refusal::refuse,
        retry_budget::RetryLimits,
        rollout::{RolloutOrder, RolloutPhase, RolloutRules, RolloutStep},
        upstream::Upstream,
        usage::UsageReport,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Limits that operators set for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLimits {
    /// Retries of a service for each of its requests.
    pub retry_ratio: f64,
    /// Retries of a service besides.
    pub retry_slack: f64,
    /// Length of the window in which retries are counted, in seconds.
    pub retry_window_s: u64,
    /// How the use of accounts is judged.
    pub quota: QuotaRules,
    /// How many requests a new version may get before it is known to be good.
    pub rollout: RolloutRules,
}

impl SharedLimits {
    fn retries(&self) -> RetryLimits {
        RetryLimits {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window_s: self.retry_window_s.max(1),
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry asks for a place.
    SlotRequested(SlotRequest),
    /// An entry no longer waits for a place.
    RequestWithdrawn(ServiceName, RunId),
    /// A run ended.
    RunEnded(RunReport),
    /// An entry reported a run that another owner granted.
    RunAdopted(ActiveRun),
    /// An entry reported what accounts spent through it, before it asks this owner.
    UsageReported(UsageReport),
    /// The list of nodes changed; their number.
    NodeCountChanged(usize),
    /// The limits for all nodes together changed.
    LimitsChanged(SharedLimits),
    /// A new version of the catalogue is in force.
    CatalogueChanged(Arc<Catalogue>),
    /// The registry of upstreams changed; all entries.
    UpstreamsChanged(Vec<Upstream>),
    /// How much of the system this node sees.
    VisibilityChanged(Visibility),
    /// How many of the nodes have called this one lately, or answered its calls.
    RecentContactsChanged(Visibility),
    /// An upstream said that requests wait there.
    LoadObserved(UpstreamLoad),
    /// An upstream said something of itself in an answer.
    NoticeReceived(UpstreamNotice),
    /// An operator orders that a service's requests move to another version, or the order is known better.
    RolloutOrdered(RolloutOrder),
    /// An order of a number was decided by another node, or earlier.
    RolloutSettled(ServiceName, u64, RolloutPhase),
    /// An operator withdrew the order of a service.
    RolloutWithdrawn(ServiceName),
    /// Time passed.
    Ticked,
}

/// A verdict for an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The dispatch that was asked for.
    pub run: RunId,
    /// The verdict.
    pub decision: SlotDecision,
}

/// The decisions of one owner, for all services that it owns.
///
/// # Examples
/// ```
/// use dragonflystep_dispatch::{Dispatcher, Event, QuotaRules, RolloutRules, SharedLimits};
/// use std::time::Duration;
///
/// let quota = QuotaRules {
///     window: Duration::from_secs(8),
///     tolerated_share: 0.1,
///     tolerated_units: 0.0,
/// };
/// let rollout = RolloutRules { exposed_share: 0.1, exposed_slack: 50.0 };
/// let limits = SharedLimits { retry_ratio: 0.2, retry_slack: 50.0, retry_window_s: 10, quota, rollout };
/// let mut dispatcher = Dispatcher::new(limits);
/// assert!(dispatcher.reduce(Duration::from_secs(1), Event::Ticked).is_empty());
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    retry_limits: RetryLimits,
    share: f64,
    /// Share of the accounts' quotas, by the nodes that were heard lately.
    quota_share: f64,
    pools: HashMap<ServiceName, ServicePool>,
    quotas: Quotas,
    suspects: CrashSuspects,
    rollout_rules: RolloutRules,
    rollout_steps: Vec<RolloutStep>,
    notices: UpstreamNotices,
    /// Until when another owner may be giving out places too.
    overlaps_until: Option<MonotonicTime>,
}

impl Dispatcher {
    /// An owner that knows nothing yet.
    pub fn new(limits: SharedLimits) -> Self {
        Self {
            retry_limits: limits.retries(),
            share: 1.0,
            quota_share: 1.0,
            pools: HashMap::new(),
            quotas: Quotas::new(limits.quota),
            suspects: CrashSuspects::default(),
            rollout_rules: limits.rollout,
            rollout_steps: Vec::new(),
            notices: UpstreamNotices::default(),
            overlaps_until: None,
        }
    }

    /// Steps of roll-outs since the last call, which others have to be told of.
    pub fn take_rollout_steps(&mut self) -> Vec<RolloutStep> {
        std::mem::take(&mut self.rollout_steps)
    }

    /// Applies what happened at `now` and returns the verdicts that follow.
    pub fn reduce(&mut self, now: MonotonicTime, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::SlotRequested(request) => self.asked(now, request, &mut effects),
            Event::RequestWithdrawn(service, run) => self.withdrawn(&service, run),
            Event::RunEnded(ended) => self.ended(now, &ended, &mut effects),
            Event::RunAdopted(running) => {
                let pool = self
                    .pools
                    .entry(running.request.service.clone())
                    .or_default();
                pool.adopt_run(now, running);
                let until = now + OWNER_OVERLAP;
                if self.overlaps_until.replace(until).is_none() {
                    self.share_limits(now);
                }
            }
            Event::UsageReported(report) => self.quotas.apply_report(now, report),
            Event::NodeCountChanged(nodes) => self.quotas.set_node_count(now, nodes),
            Event::LimitsChanged(limits) => {
                self.retry_limits = limits.retries();
                self.quotas.set_rules(limits.quota);
                self.rollout_rules = limits.rollout;
            }
            Event::CatalogueChanged(catalogue) => self.set_catalogue(&catalogue),
            Event::UpstreamsChanged(upstreams) => {
                self.set_upstreams(now, upstreams);
                self.place_all(now, &mut effects);
            }
            Event::VisibilityChanged(visibility) => {
                self.share = partition_limit_share(visibility.visible, visibility.known);
                let slots = (!visibility.is_majority()).then(|| visibility.fraction());
                for pool in self.pools.values_mut() {
                    pool.limit_slots(slots);
                }
                self.share_limits(now);
            }
            Event::RecentContactsChanged(heard) => {
                self.quota_share = partition_limit_share(heard.visible, heard.known);
            }
            Event::LoadObserved(load) => {
                if let Some(pool) = self.pools.get_mut(&load.service) {
                    pool.load_observed(now, &load);
                }
            }
            Event::NoticeReceived(notice) => self.noticed(now, &notice, &mut effects),
            Event::RolloutOrdered(order) => {
                let pool = self.pools.entry(order.service.clone()).or_default();
                pool.order_rollout(now, order, self.rollout_rules);
                self.place_all(now, &mut effects);
            }
            Event::RolloutSettled(service, number, phase) => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.settle_rollout(number, phase);
                }
                self.place_all(now, &mut effects);
            }
            Event::RolloutWithdrawn(service) => {
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.withdraw_rollout();
                }
            }
            Event::Ticked => {
                if self.overlaps_until.take_if(|until| *until <= now).is_some() {
                    self.share_limits(now);
                }
                for pool in self.pools.values_mut() {
                    self.rollout_steps.extend(pool.advance_rollout(now));
                    pool.expire_waiting(now, &mut effects);
                }
                self.place_all(now, &mut effects);
            }
        }
        effects
    }

    /// What upstreams said of themselves and another node has to know, the latest first.
    pub fn notices(&self, now: MonotonicTime) -> Vec<UpstreamNotice> {
        self.notices.to_share(now)
    }

    /// Requests a second that an upstream takes from all nodes together, if it names a limit.
    pub fn rate_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.notices.rate_limit(upstream)
    }

    /// Whether an upstream said that it leaves.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.notices.is_leaving(upstream)
    }

    /// Whether an upstream wants no requests of a node now.
    pub fn wants_back_off_from(
        &self,
        now: MonotonicTime,
        upstream: &UpstreamId,
        node: NodeIncarnation,
    ) -> bool {
        now < self.notices.back_off_until(upstream, node)
    }

    /// Services that something is known of.
    pub fn service_count(&self) -> usize {
        self.pools.len()
    }

    /// What the owner believes of the services for which it granted a place since the last call.
    pub fn summaries(&mut self, now: MonotonicTime) -> Vec<PoolSummary> {
        let summaries = self
            .pools
            .iter_mut()
            .map(|(service, pool)| pool.summary(now, service.clone()));
        summaries
            .filter(|summary| summary.granted > 0 || summary.waiting > 0)
            .collect()
    }

    fn asked(&mut self, now: MonotonicTime, request: SlotRequest, effects: &mut Vec<Effect>) {
        if let Some(refusal) = self.refuse_by_limits(now, &request) {
            let pool = self.pools.entry(request.service.clone()).or_default();
            pool.note_refused_at_once(now, &request);
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
        // What does not run does not use up the quota.
        if let Some(account) = account
            && effects.iter().any(|effect| {
                effect.run == run && matches!(effect.decision, SlotDecision::Refused(_))
            })
        {
            self.quotas.refund(&account, units);
        }
    }

    fn refuse_by_limits(
        &mut self,
        now: MonotonicTime,
        request: &SlotRequest,
    ) -> Option<crate::Refusal> {
        if self.suspects.is_refused(now, request.fingerprint) {
            return Some(refuse(RefusalReason::CrashSuspect, Duration::MAX));
        }
        let limits = self.retry_limits;
        let pool = self.pools.entry(request.service.clone()).or_default();
        if request.attempt == 0 {
            pool.retries.count_request(now, limits);
        } else if !pool.retries.take_retry(now, limits, self.share) {
            return Some(refuse(
                RefusalReason::RetryBudgetSpent,
                Duration::from_secs(1),
            ));
        }
        let account = request.account.as_ref()?;
        let units = f64::from(request.quota_units);
        let share = self.share.min(self.quota_share);
        match self.quotas.take(now, account, units, share) {
            Ok(()) => None,
            Err(wait) => Some(refuse(RefusalReason::QuotaExceeded, wait)),
        }
    }

    fn withdrawn(&mut self, service: &ServiceName, run: RunId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if let Some(request) = pool.withdraw(run)
            && let Some(account) = &request.account
        {
            self.quotas.refund(account, f64::from(request.quota_units));
        }
    }

    fn ended(&mut self, now: MonotonicTime, ended: &RunReport, effects: &mut Vec<Effect>) {
        let Some(pool) = self.pools.get_mut(&ended.service) else {
            return;
        };
        if let Some(end) = pool.finish_run(now, ended) {
            match ended.outcome {
                RunOutcome::Broken => self.suspects.record_crash(now, end.fingerprint),
                RunOutcome::Completed => self.suspects.record_completion(end.fingerprint),
                RunOutcome::Failed
                | RunOutcome::Rejected
                | RunOutcome::Misdirected
                | RunOutcome::Unreachable
                | RunOutcome::Withheld
                | RunOutcome::Cancelled => {}
            }
            if !ended.outcome.has_run()
                && let Some(account) = &end.request.account
            {
                self.quotas
                    .refund(account, f64::from(end.request.quota_units));
            }
        }
        pool.place_waiting(now, effects);
    }

    fn noticed(&mut self, now: MonotonicTime, notice: &UpstreamNotice, effects: &mut Vec<Effect>) {
        if !self.notices.apply(now, notice) {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&notice.service) {
            pool.apply_notices(now, &self.notices);
            pool.place_waiting(now, effects);
        }
    }

    /// Share of the upstreams' rate limits that this owner may use.
    fn limits_share(&self) -> f64 {
        let overlap = self.overlaps_until.map_or(1.0, |_| OVERLAP_RATE_SHARE);
        self.share * overlap
    }

    fn share_limits(&mut self, now: MonotonicTime) {
        let share = self.limits_share();
        for pool in self.pools.values_mut() {
            pool.set_limits_share(now, share);
        }
    }

    fn set_catalogue(&mut self, catalogue: &Catalogue) {
        for service in &catalogue.services {
            let pool = self.pools.entry(service.name.clone()).or_default();
            pool.set_engine(service.engine);
        }
        let limits = catalogue
            .accounts
            .iter()
            .filter_map(|account| Some((account.name.clone(), account.quota?)))
            .collect();
        self.quotas.set_limits(limits);
    }

    fn set_upstreams(&mut self, now: MonotonicTime, upstreams: Vec<Upstream>) {
        let listed: HashSet<UpstreamId> = upstreams.iter().map(|one| one.id.clone()).collect();
        self.notices
            .forget_old(now, |upstream| listed.contains(upstream));
        let mut by_service: HashMap<ServiceName, Vec<Upstream>> = HashMap::new();
        for upstream in upstreams {
            let of_service = by_service.entry(upstream.service.clone()).or_default();
            of_service.push(upstream);
        }
        for name in by_service.keys() {
            self.pools.entry(name.clone()).or_default();
        }
        let limits_share = self.limits_share();
        for (name, pool) in &mut self.pools {
            pool.set_upstreams(now, by_service.remove(name).unwrap_or_default());
            pool.set_limits_share(now, limits_share);
            pool.apply_notices(now, &self.notices);
        }
        // Entries of the registry may name any service; what they leave behind must not pile up.
        self.pools.retain(|_, pool| !pool.is_unused());
    }

    fn place_all(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        for pool in self.pools.values_mut() {
            pool.place_waiting(now, effects);
        }
    }
}
