//! The state of one service at its owner: its upstreams, its queue, and what was learned from earlier runs.

mod candidates;
mod copying;
mod crashing;
mod placing;
mod refusing;
mod rolling;
mod runs;
mod sharing;
mod summary;
mod warming;

pub(crate) use self::runs::FinishedRun;
pub use self::summary::{PoolSummary, UpstreamSummary};

use {
    self::{
        candidates::{FreeUpstreams, Search},
        placing::Choice,
    },
    crate::{
        account_shares::{AccountShares, ShareClass},
        break_rate::BreakRate,
        catalogue::{Engine, WarmUp},
        copy_rules::CopyRules,
        crash_log::Verdicts,
        event::Effect,
        ids::{MonotonicTime, RunId, Tier, UpstreamId},
        limits::{DEFAULT_CACHE_TOKENS, MAX_SKIPPED_REQUESTS, UNORDERED_VERSION_HOLD},
        messages::{BackOff, RefusalReason, SlotRequest},
        notices::UpstreamNotices,
        queue::{QueuedRequest, WaitQueue},
        refusal::{ArrivalRates, longest_wait},
        refused_requests::RefusedRequests,
        retry_budget::RetryBudget,
        rollout::{Rollout, RolloutRules},
        speed::{RouteAverages, Speed},
        stream_versions::{SeenVersions, StreamVersion},
        upstream::{LiveUpstream, UnlistedRun, Upstream},
        warm_up::WarmUpRules,
    },
    std::{
        cell::Cell,
        collections::{BTreeMap, HashMap, HashSet},
        rc::Rc,
        time::Duration,
    },
};

/// The state of one service at its owner.
#[derive(Debug, Default)]
pub(crate) struct ServicePool {
    pub(crate) retries: RetryBudget,
    engine: Option<Engine>,
    upstreams: Vec<LiveUpstream>,
    /// Slots of all listed upstreams.
    total_slots: u64,
    /// Index of each listed upstream, by its id.
    upstream_index: HashMap<UpstreamId, usize>,
    /// Index of the upstream of each run.
    run_index: HashMap<RunId, usize>,
    search: Search,
    /// Mean speed of a large pool, with the time at which it was computed.
    mean_speed: Cell<Option<(MonotonicTime, Speed)>>,
    /// When runs whose end was never reported were last looked for.
    swept_at: MonotonicTime,
    /// Runs at upstreams that left the registry; their ends are still reported.
    unlisted_runs: HashMap<RunId, UnlistedRun>,
    queue: WaitQueue,
    averages: RouteAverages,
    arrivals: ArrivalRates,
    refused: RefusedRequests,
    /// Slots granted since the last summary.
    granted_slots: u64,
    /// Share of the slots that this owner may use; absent if it sees a majority of the nodes and may use all.
    slot_share: Option<f64>,
    /// Share of the upstreams' rate limits that this owner may use; absent means all.
    rate_limit_share: Option<f64>,
    /// When each tier was last granted a slot, by how the request stood to the share of its account.
    granted_at: BTreeMap<(Tier, ShareClass), MonotonicTime>,
    rollout: Option<Rollout>,
    rollout_rules: RolloutRules,
    warm_up: Option<WarmUp>,
    warm_up_rules: WarmUpRules,
    /// Whether the data centre of any upstream is evacuated.
    has_evacuated: bool,
    /// Requests that were refused after waiting and whose quota units were not refunded yet.
    refused_waiting: Vec<SlotRequest>,
    /// Back-offs that began since they were last taken.
    back_offs: Vec<BackOff>,
    /// Software versions that its upstreams had lately.
    pub(crate) seen_versions: SeenVersions,
    /// Whether these changed since that was last taken.
    pub(crate) have_versions_changed: bool,
    /// Streams for which slots were granted since they were last taken.
    granted_streams: Vec<StreamVersion>,
    /// What is known of content that crashes upstreams.
    verdicts: Rc<Verdicts>,
    /// How often its upstreams break off.
    break_rate: BreakRate,
    copy_rules: CopyRules,
    /// Runs that were copied since the last summary.
    copied_runs: u64,
    /// What the accounts received.
    shares: AccountShares,
    /// How requests that were refused for overload stood to the shares of their accounts, since they were last taken.
    share_refusals: Vec<ShareClass>,
}

impl ServicePool {
    pub(crate) fn set_engine(&mut self, engine: Option<Engine>) {
        self.engine = engine;
    }

    /// Replaces the list of upstreams by the registry's entries for this service; known upstreams keep their state.
    pub(crate) fn set_upstreams(&mut self, now: MonotonicTime, entries: Vec<Upstream>) {
        let versions: HashSet<_> = self
            .upstreams
            .iter()
            .map(|upstream| upstream.entry.version.clone())
            .collect();
        let mut previous: HashMap<_, LiveUpstream> = self
            .upstreams
            .drain(..)
            .map(|upstream| (upstream.entry.id.clone(), upstream))
            .collect();
        let mean = Speed::mean(previous.values().map(|upstream| &upstream.speed));
        let cache_tokens = self
            .engine
            .map_or(DEFAULT_CACHE_TOKENS, |engine| engine.cache_tokens);
        for entry in entries {
            let upstream = match previous.remove(&entry.id) {
                Some(mut known) => {
                    known.entry = entry;
                    known
                }
                None => {
                    let is_unordered = !versions.is_empty() && !versions.contains(&entry.version);
                    let mut upstream = LiveUpstream::new(entry, mean, cache_tokens);
                    if is_unordered && self.rollout.is_none() {
                        upstream.extend_back_off(now + UNORDERED_VERSION_HOLD);
                    }
                    upstream.set_cold_limit(now, self.cold_limit_per_s(), self.rate_share());
                    if let Some(warm_up) = self.warm_up.filter(|_| !versions.is_empty()) {
                        // It has just started, unless it states otherwise.
                        upstream.assume_cold(now, warm_up.duration, self.rate_share());
                    }
                    upstream
                }
            };
            self.upstreams.push(upstream);
        }
        for (_, removed) in previous {
            let runs = removed.runs.into_iter().map(|(id, run)| {
                let last_break_at = removed.last_break_at.clone();
                (id, UnlistedRun { run, last_break_at })
            });
            self.unlisted_runs.extend(runs);
        }
        let listed = self.upstreams.iter();
        let versions = listed.map(|upstream| upstream.entry.version.clone());
        self.have_versions_changed |= self.seen_versions.update(now, &versions.collect());
        self.rebuild_indices();
        self.forget_replaced_rollout();
    }

    fn rebuild_indices(&mut self) {
        self.search.reset();
        let slots = self.upstreams.iter().map(LiveUpstream::slots);
        self.total_slots = slots.map(u64::from).sum();
        self.mean_speed.set(None);
        self.upstream_index.clear();
        self.run_index.clear();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            self.upstream_index.insert(upstream.entry.id.clone(), index);
            self.run_index
                .extend(upstream.runs.keys().map(|run| (*run, index)));
        }
    }

    /// Applies the notices of one upstream, which take precedence over the registry.
    pub(crate) fn apply_notices_of(
        &mut self,
        now: MonotonicTime,
        notices: &UpstreamNotices,
        upstream: &UpstreamId,
    ) {
        let share = self.rate_share();
        if let Some(&index) = self.upstream_index.get(upstream) {
            self.upstreams[index].apply_notices(now, notices, share);
        }
    }

    /// Applies the upstreams' own notices, which take precedence over the registry.
    pub(crate) fn apply_notices(&mut self, now: MonotonicTime, notices: &UpstreamNotices) {
        let share = self.rate_share();
        for upstream in &mut self.upstreams {
            upstream.apply_notices(now, notices, share);
        }
    }

    /// Changes the share of the upstreams' rate limits that this owner may use.
    pub(crate) fn set_rate_limit_share(&mut self, now: MonotonicTime, share: f64) {
        self.rate_limit_share = Some(share);
        for upstream in &mut self.upstreams {
            upstream.set_rate_share(now, share);
        }
    }

    /// Sets the time until which upstreams may count rejections of requests of earlier owners.
    pub(crate) fn set_rejections_unknown_until(&mut self, until: MonotonicTime) {
        for upstream in &mut self.upstreams {
            upstream.set_rejections_unknown_until(until);
        }
    }

    /// Returns the share of the upstreams' rate limits that this owner may use.
    fn rate_share(&self) -> f64 {
        self.rate_limit_share.unwrap_or(1.0)
    }

    /// Whether the pool holds no state that would be lost if it were dropped.
    pub(crate) fn is_unused(&self) -> bool {
        self.engine.is_none()
            && self.upstreams.is_empty()
            && self.unlisted_runs.is_empty()
            && self.queue.is_empty()
            && self.retries.is_empty()
            && self.rollout.is_none()
    }

    /// Handles a new request: grants it a slot, queues it or refuses it.
    pub(crate) fn enqueue(
        &mut self,
        now: MonotonicTime,
        mut request: SlotRequest,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(target) = request.continues_at().cloned() {
            self.continue_run(now, request, &target, effects);
            return;
        }
        if self.is_unservable(&request) {
            self.refuse_new(now, &request, RefusalReason::NoUpstream, effects);
            return;
        }
        let previous_request_at = self.refused.first_requested_at(now, request.fingerprint);
        let first_requested_at = previous_request_at.unwrap_or(now);
        let was_refused = previous_request_at.is_some();
        let elapsed = now.saturating_sub(first_requested_at);
        request.objective_left = request.objective_left.saturating_sub(elapsed);
        let is_canary = self.count_for_rollout(&request);
        let mean = self.mean_speed(now);
        let (time_to_first_event, run_ms) = self.durations_at_mean_speed(&request, mean);
        let max_wait = longest_wait(&request, was_refused, time_to_first_event);
        let tier = request.tier;
        let is_late = request.objective_left < time_to_first_event;
        self.update_shares(now);
        let account_ms = self.queue.account_work_ahead_ms(now, &request, is_late);
        let share_class = self
            .shares
            .class_of(now, tier, &request.account, account_ms);
        // While no request waits, the estimate is needed only if this one gets no slot.
        let wait = (!self.queue.is_empty()).then(|| {
            let ahead_ms = self
                .queue
                .work_ahead_ms(now, &request, share_class, is_late);
            let work_ms = ahead_ms + run_ms;
            self.estimate_wait(now, &request, run_ms, work_ms)
        });
        self.arrivals.record_arrival(now, request.tier, run_ms);
        let run = request.run;
        self.queue.push(
            now,
            QueuedRequest {
                objective_at: now + request.objective_left,
                expires_at: now + max_wait,
                run_ms,
                time_to_first_event,
                first_requested_at,
                was_refused,
                share_class,
                is_canary,
                request,
            },
        );
        self.place_waiting(now, effects);
        if effects.iter().any(|effect| effect.run == run) {
            return;
        }
        let wait = wait.unwrap_or_else(|| {
            let queued = self.queue.find(run);
            queued.map_or(Duration::ZERO, |queued| {
                self.estimate_wait(now, &queued.request, run_ms, run_ms)
            })
        });
        if wait > max_wait && !self.granted_later_recently(now, tier, share_class) {
            self.refuse_waiting(now, run, wait, effects);
        }
    }

    /// Grants free slots to waiting requests, in the order of the queue.
    pub(crate) fn place_waiting(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if self.queue.is_empty() {
            return;
        }
        let mut free_upstreams = self.free_upstreams(now);
        if !self.may_grant(&free_upstreams) {
            return;
        }
        self.update_shares(now);
        self.queue.sort(now);
        let (mut index, mut skipped) = (0, 0);
        while index < self.queue.len() && skipped < MAX_SKIPPED_REQUESTS {
            match self.choose_for(now, self.queue.get(index), &free_upstreams) {
                choice @ (Choice::Grant(upstream, prediction)
                | Choice::GrantCanary(upstream, prediction)) => {
                    if matches!(choice, Choice::GrantCanary(..)) {
                        self.upstreams[upstream].canaries += 1;
                    }
                    let queued = self.queue.take(index);
                    // An answer that has begun goes first whatever its account received.
                    let has_begun = queued.request.has_begun();
                    let share_class = if has_begun {
                        ShareClass::Below
                    } else {
                        queued.share_class
                    };
                    let rank = (queued.request.tier, share_class);
                    self.granted_at.insert(rank, now);
                    let request = queued.request;
                    effects.push(self.grant(now, request, upstream, prediction, queued.run_ms));
                    free_upstreams = self.free_upstreams(now);
                    if !self.may_grant(&free_upstreams) {
                        return;
                    }
                }
                Choice::Wait => {
                    // Requests that need one version, or are sent one at a time, don't keep others from being examined.
                    let request = &self.queue.get(index).request;
                    let is_special = request.required_version().is_some()
                        || !self.verdicts.serialized_content(request).is_empty();
                    index += 1;
                    skipped += usize::from(!is_special);
                }
            }
        }
    }

    /// Whether a waiting request may get a slot. Those that resume a stream may do so at upstreams which a roll-out keeps from
    /// other requests.
    fn may_grant(&self, free_upstreams: &FreeUpstreams) -> bool {
        !free_upstreams.main.is_empty()
            || !free_upstreams.canary.is_empty()
            || (self.rollout.is_some() && self.queue.has_bound_to_version())
    }

    /// Returns the streams for which slots were granted since the last call.
    pub(crate) fn take_granted_streams(&mut self) -> Vec<StreamVersion> {
        std::mem::take(&mut self.granted_streams)
    }

    /// Returns the requests that were refused after waiting since the last call. They did not run.
    pub(crate) fn take_refused_waiting(&mut self) -> Vec<SlotRequest> {
        std::mem::take(&mut self.refused_waiting)
    }

    /// Returns the back-offs that began since the last call.
    pub(crate) fn take_back_offs(&mut self) -> Vec<BackOff> {
        std::mem::take(&mut self.back_offs)
    }

    /// Removes a request from the queue because its entry node no longer waits for a slot.
    pub(crate) fn withdraw(&mut self, run: RunId) -> Option<SlotRequest> {
        self.queue.remove(run).map(|queued| queued.request)
    }
}
