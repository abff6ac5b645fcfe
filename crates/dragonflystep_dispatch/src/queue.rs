//! The queue of a service: requests that wait for a slot, in the order in which they get one.
//!
//! It is designed for bursts of requests of all tiers while the upstreams are full. Higher tiers always go first.
//! Within a tier, streams that broke off after their callers had received events go first: a refusal would end an answer
//! that has begun. Then requests that can still be on time go before those that cannot. In order of arrival, an overload
//! of a few seconds would make every request a little late, and no request would meet its objective.

use {
    crate::{
        account_shares::ShareClass,
        ids::{AccountName, MonotonicTime, RunId, Tier},
        limits::QUEUE_SORT_INTERVAL,
        messages::SlotRequest,
    },
    std::{collections::HashMap, time::Duration},
};

/// A request in the queue, with its deadlines and predicted durations.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: SlotRequest,
    /// When its slot was first requested; earlier than its arrival in the queue if it was refused before.
    pub(crate) first_requested_at: MonotonicTime,
    /// Whether it was refused before and has come back.
    pub(crate) was_refused: bool,
    /// How it stands to the share of its account.
    pub(crate) share_class: ShareClass,
    /// Whether it goes to the new version of its service to test that version.
    pub(crate) is_canary: bool,
    /// Time after which its answer or first event is late.
    pub(crate) objective_at: MonotonicTime,
    /// Time at which it is refused if it still waits.
    pub(crate) expires_at: MonotonicTime,
    /// Predicted duration of the run at an upstream of mean speed, in milliseconds.
    pub(crate) run_ms: f64,
    /// Predicted time to the first event at an upstream of mean speed without other prompts to prefill.
    pub(crate) time_to_first_event: Duration,
}

impl QueuedRequest {
    /// Whether it would be late even if it got a slot now.
    pub(crate) fn is_late(&self, now: MonotonicTime) -> bool {
        now + self.time_to_first_event > self.objective_at
    }

    /// Time left until it is late.
    pub(crate) fn objective_left(&self, now: MonotonicTime) -> Duration {
        self.objective_at.saturating_sub(now)
    }
}

/// The waiting requests of a service, sorted by [`priority_key`].
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    waiting: Vec<QueuedRequest>,
    sorted_at: MonotonicTime,
}

/// Sort key of the queue: by tier, then answers that have begun, then requests of accounts that received less of their
/// shares, then requests that can be on time, then late ones that were refused before, then the other late ones; ties go by
/// the time at which they are late.
fn priority_key(
    queued: &QueuedRequest,
    now: MonotonicTime,
) -> (Tier, bool, ShareClass, bool, bool, MonotonicTime) {
    let is_late = queued.is_late(now);
    let is_late_first_try = is_late && !queued.was_refused;
    (
        queued.request.tier,
        !queued.request.has_begun(),
        queued.share_class,
        is_late,
        is_late_first_try,
        queued.objective_at,
    )
}

impl WaitQueue {
    /// Inserts a request at its position in the order.
    pub(crate) fn push(&mut self, now: MonotonicTime, queued: QueuedRequest) {
        let key = priority_key(&queued, now);
        let index = self
            .waiting
            .partition_point(|other| priority_key(other, now) <= key);
        self.waiting.insert(index, queued);
    }

    /// Whether a request waits that only upstreams of one software version may run.
    pub(crate) fn has_bound_to_version(&self) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|queued| queued.request.required_version().is_some())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn find(&self, run: RunId) -> Option<&QueuedRequest> {
        self.iter().find(|queued| queued.request.run == run)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.waiting.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn get(&self, index: usize) -> &QueuedRequest {
        &self.waiting[index]
    }

    /// Removes and returns the request at `index`; the order of the others stays.
    pub(crate) fn take(&mut self, index: usize) -> QueuedRequest {
        self.waiting.remove(index)
    }

    pub(crate) fn remove(&mut self, run: RunId) -> Option<QueuedRequest> {
        let index = self
            .waiting
            .iter()
            .position(|queued| queued.request.run == run)?;
        Some(self.waiting.remove(index))
    }

    /// Removes and returns all requests that have waited as long as they may.
    pub(crate) fn take_expired(&mut self, now: MonotonicTime) -> Vec<QueuedRequest> {
        let (expired, waiting) = self
            .waiting
            .drain(..)
            .partition(|queued| queued.expires_at <= now);
        self.waiting = waiting;
        expired
    }

    /// Changes how the requests stand to the shares of their accounts. `class_of` gets each request with the work of its
    /// account and tier that waits before it, in milliseconds of one slot.
    pub(crate) fn classify(&mut self, class_of: impl Fn(&SlotRequest, f64) -> ShareClass) {
        let mut ahead_ms: HashMap<(Tier, Option<AccountName>), f64> = HashMap::new();
        for queued in &mut self.waiting {
            let request = &queued.request;
            let key = (request.tier, request.account.clone());
            let account_ahead_ms = ahead_ms.entry(key).or_default();
            queued.share_class = class_of(request, *account_ahead_ms);
            *account_ahead_ms += queued.run_ms;
        }
    }

    /// Returns the work of the account and tier of a new request that is served before it, in milliseconds of one slot.
    pub(crate) fn account_work_ahead_ms(
        &self,
        now: MonotonicTime,
        request: &SlotRequest,
        is_late: bool,
    ) -> f64 {
        let own = self.waiting.iter().filter(|queued| {
            queued.request.tier == request.tier && queued.request.account == request.account
        });
        let before = own.filter(
            |queued| match (queued.request.has_begun(), request.has_begun()) {
                (true, false) => true,
                (false, true) => false,
                _ => is_late || !queued.is_late(now),
            },
        );
        before.map(|queued| queued.run_ms).sum()
    }

    /// Sorts the requests into the order in which they get slots, at most once per [`QUEUE_SORT_INTERVAL`].
    pub(crate) fn sort(&mut self, now: MonotonicTime) {
        if now < self.sorted_at + QUEUE_SORT_INTERVAL && self.sorted_at > MonotonicTime::ZERO {
            return;
        }
        self.sorted_at = now;
        self.waiting
            .sort_by_cached_key(|queued| priority_key(queued, now));
    }

    /// Returns the work that is served before a new request, in milliseconds of one slot.
    ///
    /// Late requests of the same tier are not served before a request that can be on time, so they do not count for it.
    /// Counting them would refuse requests that could be served on time, and those would then come back late. Neither do
    /// new requests count for an answer that has begun, nor those of accounts that received more of their share.
    pub(crate) fn work_ahead_ms(
        &self,
        now: MonotonicTime,
        request: &SlotRequest,
        share_class: ShareClass,
        is_late: bool,
    ) -> f64 {
        let is_before = |queued: &QueuedRequest| {
            if queued.request.tier != request.tier {
                return queued.request.tier < request.tier;
            }
            match (queued.request.has_begun(), request.has_begun()) {
                (true, false) => true,
                (false, true) => false,
                _ if queued.share_class != share_class => queued.share_class < share_class,
                _ => is_late || !queued.is_late(now),
            }
        };
        let before = self.waiting.iter().filter(|queued| is_before(queued));
        before.map(|queued| queued.run_ms).sum()
    }
}
