//! Queue of one group: strict priority between tiers, fair sharing among the accounts of a tier, and earliest
//! deadline first within an account.

use {
    super::{fairness::FairOrder, slots::AskKey},
    crate::{
        ids::{AccountId, Tier},
        message::Ask,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// An ask that waits for a grant.
#[derive(Clone, Debug)]
pub struct QueuedAsk {
    /// The entry node, its request and its time stamp, which identify the ask.
    pub key: AskKey,
    /// The message of the entry node.
    pub ask: Ask,
    /// When the broker received it.
    pub received_at: Duration,
    /// Time after which an answer is useless.
    pub deadline: Duration,
    /// Latest start that can still meet the deadline.
    pub latest_start: Duration,
    /// Predicted slot time.
    pub cost_seconds: f64,
    /// Weight of its account in the fair sharing of the tier.
    pub weight: u32,
    /// Whether its predicted start is too late for the deadline, or the queue is too long.
    pub late: bool,
    /// When its entry node is next told how long it will wait.
    pub next_update_at: Duration,
}

#[derive(Debug, Default)]
struct AccountQueue {
    by_deadline: BTreeSet<(Duration, AskKey)>,
    cost_seconds: f64,
    weight: u32,
}

#[derive(Debug, Default)]
struct TierQueue {
    accounts: BTreeMap<AccountId, AccountQueue>,
    order: FairOrder,
    by_latest_start: BTreeSet<(Duration, AskKey)>,
    late: BTreeSet<AskKey>,
    cost_seconds: f64,
    weights: u64,
    asks: usize,
}

impl TierQueue {
    /// The next ask: the one with the earliest deadline of the account that is next, skipping those passed over.
    fn next(&self, passed_over: &BTreeSet<AskKey>) -> Option<&AskKey> {
        let account_queues = self.order.iter().filter_map(|id| self.accounts.get(id));
        account_queues
            .flat_map(|account_queue| &account_queue.by_deadline)
            .map(|(_, key)| key)
            .find(|key| !passed_over.contains(*key))
    }

    /// Slot time that the tier serves before an ask starts, if `own_before` of its own account's slot time comes first.
    fn cost_before_turn(&self, own_before: f64, weights: u64, weight: u64) -> f64 {
        let mean = self.cost_seconds / self.asks.max(1) as f64;
        let share = weights as f64 / weight.max(1) as f64;
        ((own_before + mean) * share - mean).max(0.0)
    }
}

/// All asks that wait for one group, except isolated ones.
#[derive(Debug, Default)]
pub struct Queue {
    asks: BTreeMap<AskKey, QueuedAsk>,
    tiers: BTreeMap<Tier, TierQueue>,
    by_deadline: BTreeSet<(Duration, AskKey)>,
    by_next_update: BTreeSet<(Duration, AskKey)>,
    fair: bool,
}

/// Account in whose line an ask waits; without fairness, all asks of a tier share one line.
fn account_of(ask: &Ask, fair: bool) -> AccountId {
    if fair { ask.account.clone() } else { "".into() }
}

impl Queue {
    /// Creates an empty queue; without `fair`, all accounts of a tier share one line.
    pub fn new(fair: bool) -> Self {
        Self {
            fair,
            ..Self::default()
        }
    }

    /// Adds an ask to the line of its account.
    pub fn push(&mut self, queued: QueuedAsk) {
        let account = account_of(&queued.ask, self.fair);
        let tier = self.tiers.entry(queued.ask.tier).or_default();
        if !tier.accounts.contains_key(&account) {
            tier.order.join(&account);
            tier.weights += u64::from(queued.weight.max(1));
        }
        let account_queue = tier.accounts.entry(account).or_insert(AccountQueue {
            weight: queued.weight.max(1),
            ..AccountQueue::default()
        });
        account_queue
            .by_deadline
            .insert((queued.deadline, queued.key.clone()));
        account_queue.cost_seconds += queued.cost_seconds;
        tier.cost_seconds += queued.cost_seconds;
        tier.asks += 1;
        tier.by_latest_start
            .insert((queued.latest_start, queued.key.clone()));
        if queued.late {
            tier.late.insert(queued.key.clone());
        }
        self.by_deadline
            .insert((queued.deadline, queued.key.clone()));
        self.by_next_update
            .insert((queued.next_update_at, queued.key.clone()));
        self.asks.insert(queued.key.clone(), queued);
    }

    /// Removes an ask without charging its account.
    pub fn remove(&mut self, key: &AskKey) -> Option<QueuedAsk> {
        let queued = self.asks.remove(key)?;
        self.by_deadline.remove(&(queued.deadline, key.clone()));
        self.by_next_update
            .remove(&(queued.next_update_at, key.clone()));
        let account = account_of(&queued.ask, self.fair);
        let tier = self.tiers.get_mut(&queued.ask.tier)?;
        tier.by_latest_start
            .remove(&(queued.latest_start, key.clone()));
        tier.late.remove(key);
        tier.asks -= 1;
        tier.cost_seconds -= queued.cost_seconds;
        let account_queue = tier.accounts.get_mut(&account)?;
        account_queue
            .by_deadline
            .remove(&(queued.deadline, key.clone()));
        account_queue.cost_seconds -= queued.cost_seconds;
        if tier.asks == 0 {
            // Drops the rounding error that many additions and subtractions leave behind.
            tier.cost_seconds = 0.0;
        }
        if account_queue.by_deadline.is_empty() {
            tier.weights -= u64::from(account_queue.weight);
            tier.accounts.remove(&account);
            tier.order.leave(&account);
        }
        Some(queued)
    }

    /// Removes an ask that is granted, and charges its account.
    pub fn serve(&mut self, key: &AskKey) -> Option<QueuedAsk> {
        let queued = self.asks.get(key)?;
        let account = account_of(&queued.ask, self.fair);
        let tier = self.tiers.get_mut(&queued.ask.tier)?;
        tier.order
            .charge(&account, queued.cost_seconds, queued.weight);
        self.remove(key)
    }

    /// The next ask of the tier `floor` or of a more urgent one, skipping those in `passed_over`.
    pub fn next(&self, floor: Tier, passed_over: &BTreeSet<AskKey>) -> Option<&QueuedAsk> {
        let key = self
            .tiers
            .range(..=floor)
            .filter(|(_, tier)| tier.asks > 0)
            .find_map(|(_, tier)| tier.next(passed_over))?;
        self.asks.get(key)
    }

    /// Looks up a queued ask.
    pub fn get(&self, key: &AskKey) -> Option<&QueuedAsk> {
        self.asks.get(key)
    }

    /// Sets or clears the late mark of an ask.
    pub fn set_late(&mut self, key: &AskKey, late: bool) {
        let Some(queued) = self.asks.get_mut(key) else {
            return;
        };
        queued.late = late;
        let Some(tier) = self.tiers.get_mut(&queued.ask.tier) else {
            return;
        };
        if late {
            tier.late.insert(key.clone());
        } else {
            tier.late.remove(key);
        }
    }

    /// Marks all asks whose latest start is before `at` as late.
    pub fn mark_late_before(&mut self, at: Duration) {
        for tier in self.tiers.values_mut() {
            for (latest_start, key) in &tier.by_latest_start {
                if *latest_start >= at {
                    break;
                }
                if tier.late.insert(key.clone())
                    && let Some(queued) = self.asks.get_mut(key)
                {
                    queued.late = true;
                }
            }
        }
    }

    /// Keys of a tier's asks that are marked late.
    pub fn late(&self, tier: Tier) -> Vec<AskKey> {
        self.tiers
            .get(&tier)
            .map(|each| each.late.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Number of a tier's asks that are marked late.
    pub fn late_count(&self, tier: Tier) -> usize {
        self.tiers.get(&tier).map_or(0, |each| each.late.len())
    }

    /// Tiers with asks, most urgent first.
    pub fn tiers(&self) -> impl Iterator<Item = Tier> {
        self.tiers
            .iter()
            .filter(|(_, each)| each.asks > 0)
            .map(|(tier, _)| *tier)
    }

    /// Number of asks of a tier.
    pub fn asks_of(&self, tier: Tier) -> usize {
        self.tiers.get(&tier).map_or(0, |each| each.asks)
    }

    /// Number of asks of a tier and all more urgent ones.
    pub fn asks_up_to(&self, tier: Tier) -> usize {
        self.tiers.range(..=tier).map(|(_, each)| each.asks).sum()
    }

    /// Predicted slot time that is served before a waiting ask: that of all more urgent tiers, and in its own tier that
    /// of the asks whose turn comes first under fair sharing.
    pub fn cost_before(&self, queued: &QueuedAsk) -> f64 {
        let tier = queued.ask.tier;
        let above = self.cost_above(tier);
        let Some(own) = self.tiers.get(&tier) else {
            return above;
        };
        let others = (own.cost_seconds - queued.cost_seconds).max(0.0);
        let account = account_of(&queued.ask, self.fair);
        let Some(account_queue) = own.accounts.get(&account) else {
            return above + others;
        };
        let weight = u64::from(account_queue.weight);
        let own_before = account_queue.cost_seconds - queued.cost_seconds;
        above
            + own
                .cost_before_turn(own_before, own.weights, weight)
                .min(others)
    }

    /// Predicted slot time that is served before an ask whose account has no other asks waiting.
    pub fn cost_before_new(&self, tier: Tier) -> f64 {
        let above = self.cost_above(tier);
        let Some(own) = self.tiers.get(&tier) else {
            return above;
        };
        let cost_before_turn = own.cost_before_turn(0.0, own.weights + 1, 1);
        above + cost_before_turn.min(own.cost_seconds.max(0.0))
    }

    fn cost_above(&self, tier: Tier) -> f64 {
        let above = self.tiers.range(..tier);
        above.map(|(_, each)| each.cost_seconds.max(0.0)).sum()
    }

    /// Keys of the asks whose deadline is at or before `now`.
    pub fn expired(&self, now: Duration) -> Vec<AskKey> {
        self.by_deadline
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, key)| key.clone())
            .collect()
    }

    /// Sets when the entry node of an ask is next told how long it will wait.
    pub fn set_next_update_at(&mut self, key: &AskKey, next_update_at: Duration) {
        if let Some(queued) = self.asks.get_mut(key) {
            self.by_next_update
                .remove(&(queued.next_update_at, key.clone()));
            queued.next_update_at = next_update_at;
            self.by_next_update.insert((next_update_at, key.clone()));
        }
    }

    /// Keys of the asks whose entry nodes are due to be told how long they will wait.
    pub fn updates_due(&self, now: Duration) -> Vec<AskKey> {
        let due = self.by_next_update.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, key)| key.clone()).collect()
    }

    /// The earliest deadline of any queued ask.
    pub fn earliest_deadline(&self) -> Option<Duration> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Iterates over all asks by key, not in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedAsk> {
        self.asks.values()
    }

    /// Number of queued asks.
    pub fn len(&self) -> usize {
        self.asks.len()
    }

    /// Whether no ask is queued.
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }
}
