//! Load shedding by tier: a tier is refused only when no broker of the service serves a less urgent one.
//!
//! A broker that has to refuse a tier asks all brokers of the service to yield. Until the round of yields expires,
//! nothing less urgent than the tier is granted anywhere. One round covers all asks of the tier.

use {
    super::slots::{Slot, SlotKey, SlotTable},
    crate::{
        ids::{Epoch, GroupId, ServiceId, Tier, UpstreamId},
        message::{GroupYield, YieldState},
    },
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Assumed computed share of the prompt of a stream that has no token yet.
const PARTIAL_PREFILL_SHARE: f64 = 0.5;

/// Tier floors of each service: while a floor holds, no less urgent tier is granted.
#[derive(Debug, Default)]
pub struct TierFloors {
    until: BTreeMap<ServiceId, BTreeMap<Tier, Duration>>,
}

impl TierFloors {
    /// Forbids grants of tiers less urgent than `tier` until `until`.
    pub fn raise(&mut self, service: &ServiceId, tier: Tier, until: Duration) {
        let known = self
            .until
            .entry(service.clone())
            .or_default()
            .entry(tier)
            .or_default();
        *known = (*known).max(until);
    }

    /// The least urgent tier that may be granted now; `Tier::MAX` without a floor.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::broker::overload::TierFloors;
    /// use std::time::Duration;
    /// let mut floors = TierFloors::default();
    /// floors.raise(&"assistant".into(), 1, Duration::from_secs(2));
    /// assert_eq!(floors.floor("assistant", Duration::from_secs(1)), 1);
    /// assert_eq!(floors.floor("assistant", Duration::from_secs(2)), u8::MAX);
    /// ```
    pub fn floor(&self, service: &str, now: Duration) -> Tier {
        self.until
            .get(service)
            .and_then(|tiers| tiers.iter().find(|(_, until)| now < **until))
            .map_or(Tier::MAX, |(tier, _)| *tier)
    }

    /// When the next floor of a service ends; `None` without a floor.
    pub fn next_change(&self, service: &str, now: Duration) -> Option<Duration> {
        let tiers = self.until.get(service)?;
        tiers.values().filter(|until| now < **until).min().copied()
    }

    /// Whether floors ensure that nothing less urgent than `tier` is granted until `until`.
    pub fn holds(&self, service: &str, tier: Tier, until: Duration) -> bool {
        self.until.get(service).is_some_and(|tiers| {
            tiers
                .range(..=tier)
                .any(|(_, held_until)| *held_until >= until)
        })
    }

    /// Removes floors that have ended.
    pub fn remove_expired(&mut self, now: Duration) {
        for tiers in self.until.values_mut() {
            tiers.retain(|_, until| now < *until);
        }
        self.until.retain(|_, tiers| !tiers.is_empty());
    }
}

/// One round of yield requests for a tier of a service, with the answers so far.
#[derive(Debug)]
pub struct YieldRound {
    /// Number of the round, which the answers repeat, so that a late answer to an earlier round is ignored.
    pub number: u64,
    /// When the yield requests were sent.
    pub began_at: Duration,
    /// End of the time in which the answers are binding. It is counted from the start of the round, so it ends here
    /// before the floors of the other brokers do.
    pub binds_until: Duration,
    answers: BTreeMap<GroupId, (Epoch, YieldState)>,
}

impl YieldRound {
    /// Starts a round whose answers are binding for `lasts`.
    pub fn new(number: u64, began_at: Duration, lasts: Duration) -> Self {
        Self {
            number,
            began_at,
            binds_until: began_at + lasts,
            answers: BTreeMap::new(),
        }
    }

    /// Records the answer for a group.
    pub fn record_answer(&mut self, answer: &GroupYield) {
        let state = (answer.epoch, answer.answer);
        self.answers.insert(answer.group.clone(), state);
    }

    /// Whether a group of another broker serves nothing less urgent at `now`, according to an answer given in `epoch`.
    pub fn is_clear(&self, group: &str, epoch: Epoch, now: Duration) -> bool {
        now < self.binds_until
            && matches!(
                self.answers.get(group),
                Some((answered, YieldState::Clear)) if *answered == epoch
            )
    }

    /// Removes and returns a group that reported free slots, so that one ask is redirected to it.
    pub fn take_free_group(&mut self) -> Option<GroupId> {
        let group = self
            .answers
            .iter()
            .find(|(_, (_, state))| *state == YieldState::Room)
            .map(|(group, _)| group.clone())?;
        self.answers.remove(&group);
        Some(group)
    }
}

/// Latest yield round for each service and tier that this node started.
#[derive(Debug, Default)]
pub struct YieldRounds {
    rounds: BTreeMap<(ServiceId, Tier), YieldRound>,
}

impl YieldRounds {
    /// The latest round of a tier; `None` if none is remembered.
    pub fn get(&self, service: &ServiceId, tier: Tier) -> Option<&YieldRound> {
        self.rounds.get(&(service.clone(), tier))
    }

    /// Mutable access to the latest round of a tier.
    pub fn get_mut(&mut self, service: &ServiceId, tier: Tier) -> Option<&mut YieldRound> {
        self.rounds.get_mut(&(service.clone(), tier))
    }

    /// Replaces the latest round of a tier with a new one.
    pub fn begin(&mut self, service: &ServiceId, tier: Tier, round: YieldRound) {
        self.rounds.insert((service.clone(), tier), round);
    }

    /// Removes rounds whose answers are no longer binding.
    pub fn remove_expired(&mut self, now: Duration) {
        self.rounds.retain(|_, round| now < round.binds_until);
    }
}

/// Prompt tokens whose computation is wasted if the stream is cancelled.
fn wasted_prefill(slot: &Slot) -> u64 {
    let computed = u64::from(slot.prompt_tokens.saturating_sub(slot.cached_tokens));
    if slot.tokens > 0 {
        return computed;
    }
    (computed as f64 * PARTIAL_PREFILL_SHARE) as u64
}

/// Selects up to `count` streams less urgent than `tier` to cancel: the least urgent tiers first, and within a tier
/// those that waste the least prefill.
pub fn select_victims(
    slots: &SlotTable,
    tier: Tier,
    count: usize,
    accepts_work: impl Fn(&UpstreamId) -> bool,
) -> Vec<SlotKey> {
    let mut eligible: Vec<(Reverse<Tier>, u64, u32, SlotKey)> = slots
        .iter()
        .filter(|(_, slot)| slot.tier > tier && slot.cancellable && !slot.cancelled)
        .filter(|(_, slot)| slot.unattended_since().is_none() && accepts_work(&slot.upstream))
        .map(|(key, slot)| (Reverse(slot.tier), wasted_prefill(slot), slot.tokens, key))
        .collect();
    eligible.sort_unstable();
    eligible
        .into_iter()
        .take(count)
        .map(|each| each.3)
        .collect()
}

/// Number of streams less urgent than `tier` that were cancelled and still occupy a slot.
pub fn cancelled_count(slots: &SlotTable, tier: Tier) -> usize {
    slots
        .iter()
        .filter(|(_, slot)| slot.tier > tier && slot.cancelled)
        .count()
}
