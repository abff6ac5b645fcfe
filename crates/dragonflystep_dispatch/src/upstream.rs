//! The state of one upstream at its owner: its registry entry, its runs, its learned speed, and its circuit breaker.

use {
    crate::{
        held_copies::HeldCopies,
        ids::{DataCentreName, MonotonicTime, RunId, ServiceName, UpstreamId, UpstreamVersion},
        limits::{
            DEFAULT_SLOTS, FAILURES_BEFORE_BACK_OFF, FOREIGN_LOAD_MEMORY, INITIAL_BACK_OFF,
            LOST_RUN_GRACE, MAX_BACK_OFF, MEAN_WEIGHT, REJECTION_BACK_OFF,
        },
        messages::{RunOutcome, SlotRequest, UpstreamLoad},
        notices::{StatedWarmUp, UpstreamNotices},
        pacer::RequestPacer,
        prefix_cache::PrefixCache,
        rejection_guard::RejectionGuard,
        requested_back_off::RequestedBackOff,
        speed::Speed,
    },
    serde::{Deserialize, Serialize},
    std::{cell::Cell, cmp::Reverse, collections::HashMap, rc::Rc, time::Duration},
};

/// An upstream's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifies this start of the upstream; a restarted upstream gets another entry.
    pub id: UpstreamId,
    /// The service whose requests it runs.
    pub service: ServiceName,
    /// Address at which it listens, as IP:PORT.
    pub address: String,
    /// The data centre in which it runs.
    pub data_centre: DataCentreName,
    /// Number of requests that it runs at once; absent if it does not state one.
    pub slots: Option<u32>,
    /// Whether it takes new requests.
    pub phase: UpstreamPhase,
    /// Version of its software; empty if unknown.
    #[serde(default = "unknown_version")]
    pub version: UpstreamVersion,
}

fn unknown_version() -> UpstreamVersion {
    "".into()
}

/// Whether an upstream takes new requests, according to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamPhase {
    /// The upstream takes new requests.
    Ready,
    /// The upstream is about to leave and takes no new requests.
    Draining,
}

/// An active run at an upstream, with its predicted times.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: SlotRequest,
    /// Tokens to be prefilled before its first event, including those of earlier runs.
    pub(crate) prefill_backlog_tokens: f64,
    pub(crate) first_event_expected_at: MonotonicTime,
    pub(crate) end_expected_at: MonotonicTime,
    /// Whether it was counted as failed in a roll-out because it is long overdue.
    pub(crate) is_overdue: bool,
    /// Whether the upstream was cold when the run began.
    pub(crate) began_cold: bool,
    /// The upstream to which the run is copied; absent if it is not.
    pub(crate) copied_to: Option<UpstreamId>,
    /// Work that was counted as received by its account, in milliseconds of one slot.
    pub(crate) work_ms: f64,
}

/// An active run at an upstream that left the registry.
#[derive(Debug)]
pub(crate) struct UnlistedRun {
    pub(crate) run: Run,
    /// When runs at its upstream last broke off.
    pub(crate) last_break_at: Rc<Cell<Option<MonotonicTime>>>,
}

/// An upstream with everything that its owner knows about it.
#[derive(Debug)]
pub(crate) struct LiveUpstream {
    pub(crate) entry: Upstream,
    pub(crate) runs: HashMap<RunId, Run>,
    pub(crate) speed: Speed,
    pub(crate) prefix_cache: PrefixCache,
    /// Copies of runs at other upstreams.
    pub(crate) copies: HeldCopies,
    /// When runs there last broke off; also held by its runs once it left the registry.
    pub(crate) last_break_at: Rc<Cell<Option<MonotonicTime>>>,
    /// Exponentially weighted share of its recent runs that failed.
    pub(crate) failure_rate: f64,
    /// Number of canaries that it got.
    pub(crate) canaries: u32,
    /// Number of requests there that this owner did not place; valid until `foreign_until`.
    foreign_runs: u32,
    foreign_until: MonotonicTime,
    failures_in_row: u32,
    /// Whether the last failure was that no connection could be opened.
    is_unreachable: bool,
    /// Length of the next back-off; doubles with each back-off, up to [`MAX_BACK_OFF`].
    back_off: Duration,
    back_off_until: MonotonicTime,
    /// Enforces the rate limit that the upstream stated and, while it is cold, that of its warm-up; absent if neither
    /// applies.
    pacer: Option<RequestPacer>,
    /// The rate limit that the upstream stated, in requests per second.
    stated_limit_per_s: Option<f64>,
    /// Requests per second that this owner may send while the upstream is cold; absent if its service has no warm-up.
    cold_limit_per_s: Option<f64>,
    /// When the upstream was last assumed to be cold without having stated so, and until when.
    assumed_cold: Option<StatedWarmUp>,
    stated_cold: Option<StatedWarmUp>,
    /// Whether an operator evacuated its data centre, so that it gets no requests.
    pub(crate) is_evacuated: bool,
    /// Keeps its rejections within what it stated to bear; absent if it stated nothing.
    rejection_guard: Option<RejectionGuard>,
    /// Time until which rejections of requests of earlier owners may count.
    rejections_unknown_until: MonotonicTime,
    /// The back-off that the upstream itself requested in its refusals.
    pub(crate) requested_back_off: RequestedBackOff,
}

impl LiveUpstream {
    pub(crate) fn new(entry: Upstream, speed: Speed, cache_tokens: u64) -> Self {
        Self {
            entry,
            runs: HashMap::new(),
            speed,
            prefix_cache: PrefixCache::new(cache_tokens),
            copies: HeldCopies::default(),
            last_break_at: Rc::default(),
            failure_rate: 0.0,
            canaries: 0,
            foreign_runs: 0,
            foreign_until: Duration::ZERO,
            failures_in_row: 0,
            is_unreachable: false,
            back_off: INITIAL_BACK_OFF,
            back_off_until: Duration::ZERO,
            pacer: None,
            stated_limit_per_s: None,
            cold_limit_per_s: None,
            assumed_cold: None,
            stated_cold: None,
            is_evacuated: false,
            rejection_guard: None,
            rejections_unknown_until: Duration::ZERO,
            requested_back_off: RequestedBackOff::default(),
        }
    }

    /// Applies the upstream's own notices; this owner may use `share` of its rate limit.
    pub(crate) fn apply_notices(
        &mut self,
        now: MonotonicTime,
        notices: &UpstreamNotices,
        share: f64,
    ) {
        if notices.is_leaving(&self.entry.id) {
            self.entry.phase = UpstreamPhase::Draining;
        }
        self.requested_back_off
            .set(notices.back_offs(&self.entry.id));
        self.stated_limit_per_s = notices.rate_limit(&self.entry.id);
        self.stated_cold = notices.warm_up(&self.entry.id);
        self.set_rejection_limit(notices.rejection_limit(&self.entry.id), share);
        self.update_pacer(now, share);
    }

    /// Changes the number of rejections per second that the upstream bears; this owner may use `share` of it.
    fn set_rejection_limit(&mut self, limit_per_s: Option<f64>, share: f64) {
        match (&mut self.rejection_guard, limit_per_s) {
            (guard, None) => *guard = None,
            (Some(guard), Some(limit)) => guard.set_limit(limit),
            (guard, Some(limit)) => {
                let unknown_until = self.rejections_unknown_until;
                *guard = Some(RejectionGuard::new(limit, share, unknown_until));
            }
        }
    }

    /// Sets the time until which rejections of requests of earlier owners may count.
    pub(crate) fn set_rejections_unknown_until(&mut self, until: MonotonicTime) {
        self.rejections_unknown_until = until;
        if let Some(guard) = &mut self.rejection_guard {
            guard.set_unknown_until(until);
        }
    }

    /// Records that a run was cancelled, on which the upstream may go on working until `end_expected_at`.
    pub(crate) fn record_cancelled(&mut self, now: MonotonicTime, end_expected_at: MonotonicTime) {
        if let Some(guard) = &mut self.rejection_guard {
            guard.record_cancelled(now, end_expected_at);
        }
    }

    /// Changes the rate at which the upstream gets requests while it is cold; `None` if its service has no warm-up.
    pub(crate) fn set_cold_limit(
        &mut self,
        now: MonotonicTime,
        limit_per_s: Option<f64>,
        share: f64,
    ) {
        self.cold_limit_per_s = limit_per_s;
        self.update_pacer(now, share);
    }

    /// Counts the upstream as cold for `duration`, unless it states something else later than now.
    pub(crate) fn assume_cold(&mut self, now: MonotonicTime, duration: Duration, share: f64) {
        self.assumed_cold = Some(StatedWarmUp {
            at: now,
            until: now.saturating_add(duration),
        });
        self.update_pacer(now, share);
    }

    /// Whether the upstream is cold, by the latest of its statements and what was assumed.
    pub(crate) fn is_cold(&self, now: MonotonicTime) -> bool {
        let latest = match (self.stated_cold, self.assumed_cold) {
            (Some(stated), Some(assumed)) if stated.at < assumed.at => Some(assumed),
            (stated, assumed) => stated.or(assumed),
        };
        self.cold_limit_per_s.is_some() && latest.is_some_and(|warm_up| now < warm_up.until)
    }

    /// Adapts the pacer to the limits that apply now; this owner may use `share` of them.
    pub(crate) fn update_pacer(&mut self, now: MonotonicTime, share: f64) {
        let cold_limit_per_s = self.cold_limit_per_s.filter(|_| self.is_cold(now));
        let limit_per_s = match (self.stated_limit_per_s, cold_limit_per_s) {
            (Some(stated), Some(cold)) => Some(stated.min(cold)),
            (stated, cold) => stated.or(cold),
        };
        self.pacer = match (self.pacer.take(), limit_per_s) {
            (_, None) => None,
            (None, Some(limit)) => Some(RequestPacer::new(now, limit, share)),
            (Some(mut pacer), Some(limit)) => {
                pacer.set_rate(now, limit);
                Some(pacer)
            }
        };
    }

    /// Whether the upstream takes new requests: it is ready and its data centre is not evacuated. It may still be full or
    /// backed off.
    pub(crate) fn is_open(&self) -> bool {
        self.entry.phase == UpstreamPhase::Ready && !self.is_evacuated
    }

    /// Changes the share of the upstream's own limits that this owner may use.
    pub(crate) fn set_rate_share(&mut self, now: MonotonicTime, share: f64) {
        if let Some(pacer) = &mut self.pacer {
            pacer.set_share(now, share);
        }
        if let Some(guard) = &mut self.rejection_guard {
            guard.set_share(share);
        }
    }

    /// Returns the requests per second that this owner may send, if the upstream stated a rate limit.
    pub(crate) fn rate_limit_per_s(&self) -> Option<f64> {
        self.pacer.as_ref().map(RequestPacer::requests_per_s)
    }

    /// Whether the rate limit permits another request now.
    pub(crate) fn has_permit(&self, now: MonotonicTime) -> bool {
        let pacer = self.pacer.as_ref();
        pacer.is_none_or(|pacer| pacer.has_permit(now))
    }

    /// Records that a request is sent, for the upstream's own limits and the requested back-off.
    pub(crate) fn record_sent(&mut self, now: MonotonicTime) {
        self.requested_back_off.record_sent(now);
        if let Some(pacer) = &mut self.pacer {
            pacer.take(now);
        }
        if let Some(guard) = &mut self.rejection_guard {
            guard.record_sent(now);
        }
    }

    /// Returns the number of runs of length `run_ms` that are active at once when the upstream gets all that its slots
    /// and its rate limit permit.
    pub(crate) fn effective_slots(&self, run_ms: f64) -> f64 {
        let slots = f64::from(self.slots());
        self.rate_limit_per_s()
            .map_or(slots, |rate| slots.min(rate * run_ms / 1e3))
    }

    /// Backs the upstream off until `until` at least.
    pub(crate) fn extend_back_off(&mut self, until: MonotonicTime) {
        self.back_off_until = self.back_off_until.max(until);
    }

    /// Sort key for the upstream that gets the next canary; the smallest goes first.
    ///
    /// All upstreams take turns, so that one faulty upstream does not stand for its version. In its turn an upstream
    /// gets as many canaries as it has slots, so that they run under some load.
    pub(crate) fn canary_order(&self) -> (u32, Reverse<u32>) {
        let slots = self.slots();
        (self.canaries / slots, Reverse(self.canaries % slots))
    }

    /// Returns the number of requests that the upstream runs at once.
    pub(crate) fn slots(&self) -> u32 {
        self.entry.slots.unwrap_or(DEFAULT_SLOTS).max(1)
    }

    /// Whether the upstream is open and not backed off; it may still be full.
    pub(crate) fn is_usable(&self, now: MonotonicTime) -> bool {
        self.is_open() && now >= self.back_off_until && now >= self.requested_back_off.until()
    }

    /// Whether a request can start at once.
    pub(crate) fn has_free_slot(&self, now: MonotonicTime) -> bool {
        if !self.is_usable(now)
            || !self.has_permit(now)
            || !self.requested_back_off.admits_request(now)
        {
            return false;
        }
        let guard = self.rejection_guard.as_ref();
        if guard.is_some_and(|guard| !guard.admits_request(now)) {
            return false;
        }
        let lingering = guard.map_or(0, |guard| guard.lingering_runs(now));
        // After a back-off, one request at a time shows whether the upstream has recovered.
        let is_probing = self.failures_in_row >= FAILURES_BEFORE_BACK_OFF;
        let slots = if is_probing { 1 } else { self.slots() };
        let foreign = if now < self.foreign_until {
            self.foreign_runs
        } else {
            0
        };
        let own = self.runs.len() as u32 + lingering;
        foreign.saturating_add(own) < slots
    }

    /// Records the reported load. Requests only wait at the upstream if someone other than this owner places some
    /// there.
    pub(crate) fn record_load(&mut self, now: MonotonicTime, load: &UpstreamLoad) {
        if load.waiting == 0 {
            return;
        }
        let total = load.running.saturating_add(load.waiting);
        self.foreign_runs = total.saturating_sub(self.runs.len() as u32);
        self.foreign_until = now + FOREIGN_LOAD_MEMORY;
    }

    /// Whether the upstream could run a request although it is backed off for failed answers, or because it refused
    /// another node.
    pub(crate) fn has_fallback_slot(&self, now: MonotonicTime) -> bool {
        let guard = self.rejection_guard.as_ref();
        let may_be_rejected = guard.is_none_or(|guard| guard.admits_request(now));
        if !self.is_open() || !self.has_permit(now) || !may_be_rejected {
            return false;
        }
        let is_probe = self.requested_back_off.may_be_probed_early(now) && self.runs.is_empty();
        let wants_back_off = now < self.requested_back_off.until();
        let has_slot = (self.runs.len() as u32) < self.slots();
        is_probe || (!wants_back_off && self.is_suspended() && has_slot)
    }

    /// Predicts when the prompts of all current runs will have been prefilled.
    pub(crate) fn prefill_done_at(&self, now: MonotonicTime) -> MonotonicTime {
        let last = self
            .runs
            .values()
            .map(|run| run.first_event_expected_at)
            .max();
        last.unwrap_or(now).max(now)
    }

    /// Whether the circuit breaker is open or half-open because the upstream's answers fail.
    pub(crate) fn is_suspended(&self) -> bool {
        self.failures_in_row >= FAILURES_BEFORE_BACK_OFF && !self.is_unreachable
    }

    /// Records how a run ended. Failed answers lead to a back-off only if `may_back_off` is set. Returns the length of
    /// the back-off that a failure led to.
    pub(crate) fn record_outcome(
        &mut self,
        now: MonotonicTime,
        outcome: RunOutcome,
        may_back_off: bool,
    ) -> Option<Duration> {
        match outcome {
            RunOutcome::Completed
            | RunOutcome::Failed
            | RunOutcome::Broken
            | RunOutcome::Unreachable => {}
            RunOutcome::Misdirected => {
                // The address now belongs to another upstream; the registry will show that shortly.
                self.back_off_until = now + MAX_BACK_OFF;
                return Some(MAX_BACK_OFF);
            }
            RunOutcome::Rejected => {
                if let Some(guard) = &mut self.rejection_guard {
                    guard.record_rejection(now);
                }
                self.back_off_until = self.back_off_until.max(now + REJECTION_BACK_OFF);
                return None;
            }
            RunOutcome::Cancelled | RunOutcome::Withheld => return None,
        }
        let has_failed = outcome.has_failed();
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * MEAN_WEIGHT;
        if !has_failed {
            if self.is_suspended() {
                self.back_off_until = now;
            }
            self.failures_in_row = 0;
            self.back_off = INITIAL_BACK_OFF;
            return None;
        }
        self.failures_in_row += 1;
        self.is_unreachable = outcome == RunOutcome::Unreachable;
        if !self.is_unreachable && !may_back_off {
            self.failures_in_row = self.failures_in_row.min(FAILURES_BEFORE_BACK_OFF - 1);
        }
        if self.is_unreachable || self.failures_in_row >= FAILURES_BEFORE_BACK_OFF {
            self.failures_in_row = self.failures_in_row.max(FAILURES_BEFORE_BACK_OFF);
            let back_off = self.back_off;
            self.back_off_until = now + back_off;
            self.back_off = (back_off * 2).min(MAX_BACK_OFF);
            return Some(back_off);
        }
        None
    }

    /// Drops runs whose end was never reported. A run is kept past its predicted end for [`LOST_RUN_GRACE`], or for the
    /// time that its caller had left if that is shorter.
    pub(crate) fn forget_old_runs(&mut self, now: MonotonicTime) {
        self.copies.expire(now);
        self.runs
            .retain(|_, run| now < run.end_expected_at + run.request.time_left.min(LOST_RUN_GRACE));
    }
}
