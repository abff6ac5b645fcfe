//! An upstream as its owner sees it: its entry in the registry, what runs there and how it behaves.

use {
    crate::{
        ids::{DataCentreName, MonotonicTime, RunId, ServiceName, UpstreamId, UpstreamVersion},
        limits::{
            DEFAULT_SLOTS, FAILURES_BEFORE_BACK_OFF, FOREIGN_LOAD_MEMORY, INITIAL_BACK_OFF,
            LOST_RUN_GRACE, MAX_BACK_OFF, MEAN_WEIGHT, REJECTION_BACK_OFF,
        },
        messages::{RunOutcome, SlotRequest, UpstreamLoad},
        notices::UpstreamNotices,
        pacer::RequestPacer,
        prefix_cache::PrefixCache,
        requested_back_off::RequestedBackOff,
        speed::Speed,
    },
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, collections::HashMap, time::Duration},
};

/// An upstream's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifies this start of the upstream.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens, as IP:PORT.
    pub address: String,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Requests that it runs at once, if it says so.
    pub slots: Option<u32>,
    /// Whether it takes new requests.
    pub phase: UpstreamPhase,
    /// The version of its software.
    #[serde(default = "unknown_version")]
    pub version: UpstreamVersion,
}

fn unknown_version() -> UpstreamVersion {
    "".into()
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamPhase {
    /// It takes them.
    Ready,
    /// It is about to leave and takes none.
    Draining,
}

/// A run at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: SlotRequest,
    /// Tokens to be read before its first event, those of earlier runs included.
    pub(crate) prefill_backlog_tokens: f64,
    pub(crate) first_event_expected_at: MonotonicTime,
    pub(crate) end_expected_at: MonotonicTime,
    /// Whether it was counted as failed since it takes far too long.
    pub(crate) is_overdue: bool,
}

/// An upstream with what its owner knows of it.
#[derive(Debug)]
pub(crate) struct LiveUpstream {
    pub(crate) entry: Upstream,
    pub(crate) runs: HashMap<RunId, Run>,
    pub(crate) speed: Speed,
    pub(crate) prefix_cache: PrefixCache,
    /// Share of the last runs that failed.
    pub(crate) failure_rate: f64,
    /// Canaries that it got, while its version was new.
    pub(crate) canaries: u32,
    /// Requests there that this owner did not place, and until when that is believed.
    foreign_runs: u32,
    foreign_until: MonotonicTime,
    failures_in_row: u32,
    /// Whether its last failure was that no connection could be opened.
    is_unreachable: bool,
    back_off: Duration,
    back_off_until: MonotonicTime,
    /// Keeps to the rate limit that it names.
    pacer: Option<RequestPacer>,
    pub(crate) requested_back_off: RequestedBackOff,
}

impl LiveUpstream {
    pub(crate) fn new(entry: Upstream, speed: Speed, cache_tokens: u64) -> Self {
        Self {
            entry,
            runs: HashMap::new(),
            speed,
            prefix_cache: PrefixCache::new(cache_tokens),
            failure_rate: 0.0,
            canaries: 0,
            foreign_runs: 0,
            foreign_until: Duration::ZERO,
            failures_in_row: 0,
            is_unreachable: false,
            back_off: INITIAL_BACK_OFF,
            back_off_until: Duration::ZERO,
            pacer: None,
            requested_back_off: RequestedBackOff::default(),
        }
    }

    /// Keeps to what it said of itself; of its rate limit this owner may use a share.
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
        let requests_per_s = notices.rate_limit(&self.entry.id);
        self.pacer = match (self.pacer.take(), requests_per_s) {
            (_, None) => None,
            (None, Some(rate)) => Some(RequestPacer::new(now, rate, share)),
            (Some(mut pacer), Some(rate)) => {
                pacer.set_rate(now, rate);
                Some(pacer)
            }
        };
    }

    /// Uses another share of its rate limit from now on.
    pub(crate) fn set_rate_share(&mut self, now: MonotonicTime, share: f64) {
        if let Some(pacer) = &mut self.pacer {
            pacer.set_share(now, share);
        }
    }

    /// Requests a second that this owner may send there, if it is limited.
    pub(crate) fn limited_per_s(&self) -> Option<f64> {
        self.pacer.as_ref().map(RequestPacer::requests_per_s)
    }

    /// Whether its rate limit leaves room for a request.
    pub(crate) fn has_permit(&self, now: MonotonicTime) -> bool {
        let pacer = self.pacer.as_ref();
        pacer.is_none_or(|pacer| pacer.has_permit(now))
    }

    /// Counts a request against what it permits.
    pub(crate) fn note_sent(&mut self, now: MonotonicTime) {
        self.requested_back_off.note_sent(now);
        if let Some(pacer) = &mut self.pacer {
            pacer.take(now);
        }
    }

    /// Requests that it has under way at once when all of `run_ms` are sent that it takes.
    pub(crate) fn effective_slots(&self, run_ms: f64) -> f64 {
        let places = f64::from(self.slots());
        self.limited_per_s()
            .map_or(places, |rate| places.min(rate * run_ms / 1e3))
    }

    /// Lets it rest until a time.
    pub(crate) fn extend_back_off(&mut self, until: MonotonicTime) {
        self.back_off_until = self.back_off_until.max(until);
    }

    /// Orders upstreams by who gets the next canary: all in turn, so that one faulty upstream does not stand for its
    /// version, and each as many as run at once, so that they meet some load.
    pub(crate) fn canary_turn(&self) -> (u32, Reverse<u32>) {
        let slots = self.slots();
        (self.canaries / slots, Reverse(self.canaries % slots))
    }

    /// Requests that run at once.
    pub(crate) fn slots(&self) -> u32 {
        self.entry.slots.unwrap_or(DEFAULT_SLOTS).max(1)
    }

    /// Whether it takes requests at all now.
    pub(crate) fn is_usable(&self, now: MonotonicTime) -> bool {
        self.entry.phase == UpstreamPhase::Ready
            && now >= self.back_off_until
            && now >= self.requested_back_off.until()
    }

    /// Whether a request can start at once.
    pub(crate) fn has_free_slot(&self, now: MonotonicTime) -> bool {
        if !self.is_usable(now)
            || !self.has_permit(now)
            || !self.requested_back_off.admits_request(now)
        {
            return false;
        }
        // After a rest one request at a time shows whether the upstream is back.
        let is_on_trial = self.failures_in_row >= FAILURES_BEFORE_BACK_OFF;
        let places = if is_on_trial { 1 } else { self.slots() };
        let foreign = if now < self.foreign_until {
            self.foreign_runs
        } else {
            0
        };
        self.runs.len() as u32 + foreign < places
    }

    /// Records that requests wait here, which only happens when others than this owner place some.
    pub(crate) fn note_load(&mut self, now: MonotonicTime, load: &UpstreamLoad) {
        if load.waiting == 0 {
            return;
        }
        let all = load.running + load.waiting;
        self.foreign_runs = all.saturating_sub(self.runs.len() as u32);
        self.foreign_until = now + FOREIGN_LOAD_MEMORY;
    }

    /// Whether it could run a request although it rests, for failures of its answers or because it refused another node.
    pub(crate) fn has_fallback_slot(&self, now: MonotonicTime) -> bool {
        if self.entry.phase != UpstreamPhase::Ready || !self.has_permit(now) {
            return false;
        }
        let is_tried = self.requested_back_off.may_be_tried(now) && self.runs.is_empty();
        let is_resting = now < self.requested_back_off.until();
        let has_place = (self.runs.len() as u32) < self.slots();
        is_tried || (!is_resting && self.is_suspended() && has_place)
    }

    /// When the prompts that are here now will be read.
    pub(crate) fn prefill_done_at(&self, now: MonotonicTime) -> MonotonicTime {
        let last = self
            .runs
            .values()
            .map(|run| run.first_event_expected_at)
            .max();
        last.unwrap_or(now).max(now)
    }

    /// Whether it is at rest, or on trial after a rest, because its answers fail.
    pub(crate) fn is_suspended(&self) -> bool {
        self.failures_in_row >= FAILURES_BEFORE_BACK_OFF && !self.is_unreachable
    }

    /// Notes how a run ended; for failed answers it rests only if `may_rest`.
    pub(crate) fn note_outcome(
        &mut self,
        now: MonotonicTime,
        outcome: RunOutcome,
        may_back_off: bool,
    ) {
        let failed = match outcome {
            RunOutcome::Completed => false,
            RunOutcome::Failed | RunOutcome::Broken | RunOutcome::Unreachable => true,
            RunOutcome::Misdirected => {
                // The address belongs to another upstream; the registry will say so shortly.
                self.back_off_until = now + MAX_BACK_OFF;
                return;
            }
            RunOutcome::Rejected => {
                self.back_off_until = self.back_off_until.max(now + REJECTION_BACK_OFF);
                return;
            }
            RunOutcome::Cancelled | RunOutcome::Withheld => return,
        };
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (sample - self.failure_rate) * MEAN_WEIGHT;
        if !failed {
            if self.is_suspended() {
                self.back_off_until = now;
            }
            self.failures_in_row = 0;
            self.back_off = INITIAL_BACK_OFF;
            return;
        }
        self.failures_in_row += 1;
        self.is_unreachable = outcome == RunOutcome::Unreachable;
        if !self.is_unreachable && !may_back_off {
            self.failures_in_row = self.failures_in_row.min(FAILURES_BEFORE_BACK_OFF - 1);
        }
        if self.is_unreachable || self.failures_in_row >= FAILURES_BEFORE_BACK_OFF {
            self.failures_in_row = self.failures_in_row.max(FAILURES_BEFORE_BACK_OFF);
            self.back_off_until = now + self.back_off;
            self.back_off = (self.back_off * 2).min(MAX_BACK_OFF);
        }
    }

    /// Drops runs whose end was never reported.
    pub(crate) fn forget_old_runs(&mut self, now: MonotonicTime) {
        self.runs
            .retain(|_, run| now < run.end_expected_at + run.request.time_left.min(LOST_RUN_GRACE));
    }
}
