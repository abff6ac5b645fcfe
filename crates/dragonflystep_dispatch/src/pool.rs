//! One service at its owner: its upstreams, its queue and what was measured.

mod placing;
mod refusing;
mod rolling;
mod runs;
mod summary;

pub use self::summary::{PoolSummary, UpstreamSummary};

use {
    self::placing::Choice,
    crate::{
        catalogue::Engine,
        dispatcher::Effect,
        ids::{MonotonicTime, RunId, Tier},
        limits::{DEFAULT_CACHE_TOKENS, MAX_PASSED_OVER, UNORDERED_VERSION_HOLD},
        messages::SlotRequest,
        notices::UpstreamNotices,
        queue::{QueuedRequest, WaitQueue},
        refusal::{ArrivalRates, longest_wait},
        refused_requests::RefusedRequests,
        retry_budget::RetryBudget,
        rollout::{Rollout, RolloutRules},
        speed::{RouteAverages, Speed},
        upstream::{LiveUpstream, Run, Upstream},
    },
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// One service at its owner.
#[derive(Debug, Default)]
pub(crate) struct ServicePool {
    pub(crate) retries: RetryBudget,
    engine: Option<Engine>,
    upstreams: Vec<LiveUpstream>,
    /// Runs at upstreams that left the registry; they still end.
    unlisted_runs: HashMap<RunId, Run>,
    queue: WaitQueue,
    averages: RouteAverages,
    arrivals: ArrivalRates,
    refused: RefusedRequests,
    granted: u64,
    /// Share of the places that this owner may use, if it sees no majority of the nodes.
    places_share: Option<f64>,
    /// Share of the limits common to all nodes that this owner may use; none is all of them.
    limits_share: Option<f64>,
    /// When each tier got its last place.
    granted_at: BTreeMap<Tier, MonotonicTime>,
    rollout: Option<Rollout>,
    rollout_rules: RolloutRules,
}

impl ServicePool {
    pub(crate) fn set_engine(&mut self, engine: Option<Engine>) {
        self.engine = engine;
    }

    /// Takes over the registry's entries for this service.
    pub(crate) fn set_upstreams(&mut self, now: MonotonicTime, entries: Vec<Upstream>) {
        let versions: HashSet<_> = self
            .upstreams
            .iter()
            .map(|one| one.entry.version.clone())
            .collect();
        let mut before: HashMap<_, LiveUpstream> = self
            .upstreams
            .drain(..)
            .map(|upstream| (upstream.entry.id.clone(), upstream))
            .collect();
        let joint = Speed::joint(before.values().map(|upstream| &upstream.speed));
        let cache_tokens = self
            .engine
            .map_or(DEFAULT_CACHE_TOKENS, |engine| engine.cache_tokens);
        for entry in entries {
            let upstream = match before.remove(&entry.id) {
                Some(mut known) => {
                    known.entry = entry;
                    known
                }
                None => {
                    let is_unordered = !versions.is_empty() && !versions.contains(&entry.version);
                    let mut upstream = LiveUpstream::new(entry, joint, cache_tokens);
                    if is_unordered && self.rollout.is_none() {
                        upstream.extend_back_off(now + UNORDERED_VERSION_HOLD);
                    }
                    upstream
                }
            };
            self.upstreams.push(upstream);
        }
        for (_, gone) in before {
            self.unlisted_runs.extend(gone.runs);
        }
        self.forget_replaced_rollout();
    }

    /// Keeps to what upstreams said of themselves, whatever the registry says.
    pub(crate) fn apply_notices(&mut self, now: MonotonicTime, notices: &UpstreamNotices) {
        let share = self.limits_share.unwrap_or(1.0);
        for upstream in &mut self.upstreams {
            upstream.apply_notices(now, notices, share);
        }
    }

    /// Uses another share of the limits common to all nodes from now on.
    pub(crate) fn set_limits_share(&mut self, now: MonotonicTime, share: f64) {
        self.limits_share = Some(share);
        for upstream in &mut self.upstreams {
            upstream.set_rate_share(now, share);
        }
    }

    /// Whether nothing would be lost with it.
    pub(crate) fn is_unused(&self) -> bool {
        self.engine.is_none()
            && self.upstreams.is_empty()
            && self.unlisted_runs.is_empty()
            && self.queue.is_empty()
            && self.retries.is_empty()
            && self.rollout.is_none()
    }

    /// Places a new request, lets it wait or refuses it.
    pub(crate) fn enqueue(
        &mut self,
        now: MonotonicTime,
        mut request: SlotRequest,
        effects: &mut Vec<Effect>,
    ) {
        let earlier = self.refused.first_requested_at(now, request.fingerprint);
        let first_requested_at = earlier.unwrap_or(now);
        let has_returned = earlier.is_some();
        let spent_before = now.saturating_sub(first_requested_at);
        request.objective_left = request.objective_left.saturating_sub(spent_before);
        let is_canary = self.note_for_rollout(&request);
        let joint = self.joint_speed();
        let (time_to_first_event, run_ms) = self.joint_durations(&request, joint);
        let max_wait = longest_wait(&request, has_returned, time_to_first_event);
        let tier = request.tier;
        let is_late = request.objective_left < time_to_first_event;
        let wait = self.estimate_wait(now, tier, is_late, run_ms);
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
                has_returned,
                is_canary,
                request,
            },
        );
        self.place_waiting(now, effects);
        let is_placed = effects.iter().any(|effect| effect.run == run);
        if !is_placed && wait > max_wait && !self.serves_below(now, tier) {
            self.refuse_waiting(now, run, wait, effects);
        }
    }

    /// Gives places to those who wait, in order.
    pub(crate) fn place_waiting(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if self.queue.is_empty() {
            return;
        }
        let mut room = self.room(now);
        if room.free.is_empty() && room.canary.is_empty() {
            return;
        }
        self.queue.sort(now);
        let (mut index, mut passed_over) = (0, 0);
        while index < self.queue.len() && passed_over < MAX_PASSED_OVER {
            match self.choose_for(now, self.queue.get(index), &room) {
                choice @ (Choice::Place(upstream, prediction)
                | Choice::PlaceCanary(upstream, prediction)) => {
                    if matches!(choice, Choice::PlaceCanary(..)) {
                        self.upstreams[upstream].canaries += 1;
                    }
                    let waiting = self.queue.take(index);
                    effects.push(self.grant(now, waiting.request, upstream, prediction));
                    room = self.room(now);
                    if room.free.is_empty() && room.canary.is_empty() {
                        return;
                    }
                }
                Choice::Wait => {
                    index += 1;
                    passed_over += 1;
                }
            }
        }
    }

    /// Takes a request out of the queue whose caller left.
    pub(crate) fn withdraw(&mut self, run: RunId) -> Option<SlotRequest> {
        self.queue.remove(run).map(|waiting| waiting.request)
    }
}
