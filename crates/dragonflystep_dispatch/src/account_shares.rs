//! Shares of the accounts of a tier in a service that is full.
//!
//! It is designed for a few accounts that send many times their usual while the others send what they always send. In one
//! line for all, whoever sends most gets most, and the others' requests are refused. Here each account is owed a share by
//! its weight (max-min fairness). Requests of accounts that ask for less than that go first. The others get what is left, and
//! among them a request goes last if its account received more than its share, together with its requests that wait before
//! it. What counts is work and not the number of requests, as in fair queueing.
//!
//! The service received decays, so that an account that was silent for a while is owed no more than one memory's worth.

use {
    crate::{
        ids::{AccountName, MonotonicTime, Tier},
        limits::{FORGOTTEN_WORK_MS, SHARE_INTERVAL, SHARE_TOLERANCE},
        share_rules::ShareRules,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Weights of the accounts, by which they share a service that is full.
#[derive(Debug, Default)]
pub(crate) struct AccountWeights {
    weights: HashMap<AccountName, f64>,
    /// Weight of an account without a quota: the mean of the others.
    default_weight: f64,
}

impl AccountWeights {
    /// Returns weights that follow the accounts' quotas, in units per second.
    pub(crate) fn from_quotas(quotas: impl Iterator<Item = (AccountName, f64)>) -> Self {
        let positive =
            quotas.filter(|(_, units_per_s)| units_per_s.is_finite() && *units_per_s > 0.0);
        let weights: HashMap<_, _> = positive.collect();
        let sum: f64 = weights.values().sum();
        let default_weight = if weights.is_empty() {
            1.0
        } else {
            sum / weights.len() as f64
        };
        Self {
            weights,
            default_weight,
        }
    }

    fn of(&self, account: &AccountName) -> f64 {
        let weight = self.weights.get(account).copied();
        weight.unwrap_or(self.default_weight).max(f64::MIN_POSITIVE)
    }
}

/// How a request stands to the share of its account; the smallest goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShareClass {
    /// The account asks for less than its share, or no account has to wait.
    #[default]
    Below,
    /// The account asks for more than its share and has not received it yet.
    Within,
    /// The account received its share.
    Above,
}

/// A change of whether an account is held back, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The account.
    pub account: AccountName,
    /// Tier of its requests.
    pub tier: Tier,
    /// Whether its requests go behind those of other accounts from now on.
    pub is_held_back: bool,
    /// Work that it received lately, in milliseconds of one slot.
    pub received_ms: f64,
    /// Work that it was owed in the same time, in milliseconds of one slot.
    pub owed_ms: f64,
}

/// Work that an account received lately, in milliseconds of one slot.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    work_ms: f64,
    /// Time up to which `work_ms` has decayed.
    at: MonotonicTime,
}

impl Received {
    fn work_ms_at(&self, now: MonotonicTime, memory_s: f64) -> f64 {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        self.work_ms * (-passed_s / memory_s).exp()
    }
}

/// What the accounts of one tier received, and which are above their share.
#[derive(Debug, Default)]
struct TierShares {
    received: HashMap<AccountName, Received>,
    /// What the accounts that asked for more were owed at the last update, in milliseconds of one slot.
    owed_ms: HashMap<AccountName, f64>,
    /// The accounts that had received more.
    above: HashSet<AccountName>,
}

/// What the accounts received from one service.
#[derive(Debug, Default)]
pub(crate) struct AccountShares {
    rules: ShareRules,
    weights: Arc<AccountWeights>,
    tiers: BTreeMap<Tier, TierShares>,
    updated_at: Option<MonotonicTime>,
    changes: Vec<ShareChange>,
}

impl AccountShares {
    pub(crate) fn set_rules(&mut self, rules: ShareRules) {
        self.rules = rules;
    }

    pub(crate) fn set_weights(&mut self, weights: Arc<AccountWeights>) {
        self.weights = weights;
    }

    /// Adds work that an account received; a negative amount takes back that of a run which did not run.
    pub(crate) fn record(
        &mut self,
        now: MonotonicTime,
        tier: Tier,
        account: Option<&AccountName>,
        work_ms: f64,
    ) {
        let Some(account) = account.filter(|_| self.rules.is_enabled) else {
            return;
        };
        let memory_s = self.rules.memory.as_secs_f64();
        let shares = self.tiers.entry(tier).or_default();
        let received = shares.received.entry(account.clone()).or_default();
        received.work_ms = (received.work_ms_at(now, memory_s) + work_ms).max(0.0);
        received.at = now;
    }

    /// Returns how a request stands to the share of its account, of which work of `waiting_ms` waits before it.
    pub(crate) fn class_of(
        &self,
        now: MonotonicTime,
        tier: Tier,
        account: Option<&AccountName>,
        waiting_ms: f64,
    ) -> ShareClass {
        let shares = self.tiers.get(&tier).zip(account);
        let Some((shares, account)) = shares else {
            return ShareClass::Below;
        };
        let Some(owed_ms) = shares.owed_ms.get(account) else {
            return ShareClass::Below;
        };
        let received = shares.received.get(account).copied().unwrap_or_default();
        let memory_s = self.rules.memory.as_secs_f64();
        if received.work_ms_at(now, memory_s) + waiting_ms > owed_ms * (1.0 + SHARE_TOLERANCE) {
            ShareClass::Above
        } else {
            ShareClass::Within
        }
    }

    /// Finds the accounts that are above their shares, at most once per [`SHARE_INTERVAL`]. `waiting` holds the tier, the
    /// account and the work of each waiting request. Returns whether it did.
    pub(crate) fn update<'a>(
        &mut self,
        now: MonotonicTime,
        waiting: impl Iterator<Item = (Tier, Option<&'a AccountName>, f64)>,
    ) -> bool {
        let is_recent = self.updated_at.is_some_and(|at| now < at + SHARE_INTERVAL);
        if !self.rules.is_enabled || is_recent {
            return false;
        }
        self.updated_at = Some(now);
        let mut demand_ms: BTreeMap<Tier, HashMap<AccountName, f64>> = BTreeMap::new();
        for (tier, account, work_ms) in waiting {
            if let Some(account) = account {
                let tier_demand = demand_ms.entry(tier).or_default();
                *tier_demand.entry(account.clone()).or_default() += work_ms;
            }
        }
        let memory_s = self.rules.memory.as_secs_f64();
        for (&tier, shares) in &mut self.tiers {
            let waiting_ms = demand_ms.remove(&tier).unwrap_or_default();
            let changes = shares.update(now, memory_s, &self.weights, &waiting_ms);
            self.changes.extend(
                changes
                    .into_iter()
                    .map(|change| ShareChange { tier, ..change }),
            );
        }
        self.tiers.retain(|_, shares| !shares.received.is_empty());
        true
    }

    /// Returns what changed since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }
}

impl TierShares {
    fn update(
        &mut self,
        now: MonotonicTime,
        memory_s: f64,
        weights: &AccountWeights,
        waiting_ms: &HashMap<AccountName, f64>,
    ) -> Vec<ShareChange> {
        self.received
            .retain(|_, received| received.work_ms_at(now, memory_s) >= FORGOTTEN_WORK_MS);
        let claims: Vec<Claim<'_>> = self
            .received
            .iter()
            .map(|(account, received)| Claim {
                account,
                received_ms: received.work_ms_at(now, memory_s),
                waiting_ms: waiting_ms.get(account).copied().unwrap_or(0.0),
                weight: weights.of(account),
            })
            .collect();
        // An account that waits and received nothing yet claims a share as well.
        let newcomers = waiting_ms
            .iter()
            .filter(|(account, _)| !self.received.contains_key(*account))
            .map(|(account, waiting_ms)| Claim {
                account,
                received_ms: 0.0,
                waiting_ms: *waiting_ms,
                weight: weights.of(account),
            });
        let claims: Vec<Claim<'_>> = claims.into_iter().chain(newcomers).collect();
        let level_ms = water_level(&claims);
        self.owed_ms.clear();
        let mut above = HashSet::new();
        let mut changes = Vec::new();
        for claim in &claims {
            let owed_ms = level_ms * claim.weight;
            if claim.demand_ms() >= owed_ms {
                self.owed_ms.insert(claim.account.clone(), owed_ms);
            }
            let is_above = claim.received_ms > owed_ms * (1.0 + SHARE_TOLERANCE);
            if is_above {
                above.insert(claim.account.clone());
            }
            if is_above != self.above.contains(claim.account) {
                changes.push(ShareChange {
                    account: claim.account.clone(),
                    tier: 0,
                    is_held_back: is_above,
                    received_ms: claim.received_ms,
                    owed_ms,
                });
            }
        }
        self.above = above;
        changes
    }
}

/// What an account received and what it waits for.
struct Claim<'a> {
    account: &'a AccountName,
    received_ms: f64,
    waiting_ms: f64,
    weight: f64,
}

impl Claim<'_> {
    fn demand_ms(&self) -> f64 {
        self.received_ms + self.waiting_ms
    }
}

/// Returns the work per weight at which the accounts' shares, none larger than its demand, add up to what all received.
/// Infinite if nobody waits.
fn water_level(claims: &[Claim<'_>]) -> f64 {
    if claims.iter().all(|claim| claim.waiting_ms <= 0.0) {
        return f64::INFINITY;
    }
    let mut by_level: Vec<&Claim<'_>> = claims.iter().collect();
    by_level.sort_by(|one, other| {
        let level = |claim: &Claim<'_>| claim.demand_ms() / claim.weight;
        level(one).total_cmp(&level(other))
    });
    let mut left_ms: f64 = claims.iter().map(|claim| claim.received_ms).sum();
    let mut weight_left: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in by_level {
        let level_ms = left_ms / weight_left;
        if claim.demand_ms() >= level_ms * claim.weight {
            return level_ms;
        }
        left_ms -= claim.demand_ms();
        weight_left -= claim.weight;
    }
    f64::INFINITY
}
