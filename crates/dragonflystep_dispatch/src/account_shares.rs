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
        catalogue::{AccountQuota, QuotaUnit},
        ids::{AccountName, MonotonicTime, Tier},
        limits::{
            FORGOTTEN_WORK_MS, MAX_ACCOUNT_WEIGHT, MIN_ACCOUNT_WEIGHT, SHARE_INTERVAL,
            SHARE_TOLERANCE,
        },
        share_rules::ShareRules,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// The account of a request. Requests without an account share as those of one more account.
pub(crate) type Claimant = Option<AccountName>;

/// Weights of the accounts, by which they share a service that is full.
#[derive(Debug, Default)]
pub(crate) struct AccountWeights {
    /// The accounts' quotas as multiples of the usual one, within [`MIN_ACCOUNT_WEIGHT`] and [`MAX_ACCOUNT_WEIGHT`].
    weights: HashMap<AccountName, f64>,
}

impl AccountWeights {
    /// Returns weights that follow the accounts' quotas.
    ///
    /// Quotas are compared with the median of those in the same unit: units of different kinds can't be compared with one
    /// another, and a quota that stands for no limit would raise a mean.
    pub(crate) fn from_quotas(quotas: impl Iterator<Item = (AccountName, AccountQuota)>) -> Self {
        let mut by_unit: [Vec<(AccountName, f64)>; 2] = Default::default();
        for (account, quota) in quotas {
            let unit = match quota.unit {
                QuotaUnit::Requests => 0,
                QuotaUnit::Tokens { .. } => 1,
            };
            if quota.units_per_s.is_finite() && quota.units_per_s > 0.0 {
                by_unit[unit].push((account, quota.units_per_s));
            }
        }
        let mut weights = HashMap::new();
        for mut quotas in by_unit {
            quotas.sort_by(|(_, one), (_, other)| one.total_cmp(other));
            let Some((_, median)) = quotas.get(quotas.len() / 2) else {
                continue;
            };
            let median = *median;
            weights.extend(quotas.into_iter().map(|(account, units_per_s)| {
                let weight = units_per_s / median;
                let weight = weight.clamp(MIN_ACCOUNT_WEIGHT, MAX_ACCOUNT_WEIGHT);
                (account, weight)
            }));
        }
        Self { weights }
    }

    /// Returns the weight of an account; 1 without a quota.
    fn of(&self, claimant: &Claimant) -> f64 {
        let account = claimant.as_ref();
        let weight = account.and_then(|account| self.weights.get(account));
        weight.copied().unwrap_or(1.0)
    }
}

/// How a request stands to the share of its account; the smallest goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareClass {
    /// The account asks for less than its share, or no account has to wait.
    #[default]
    Below,
    /// The account asks for more than its share and has not received it yet.
    Within,
    /// The account received its share, or no other asks for more than its own.
    Above,
}

impl ShareClass {
    /// Returns its name in metrics.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::ShareClass;
    ///
    /// assert_eq!(ShareClass::Above.name(), "above");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Below => "below",
            Self::Within => "within",
            Self::Above => "above",
        }
    }
}

/// A change of whether an account is held back, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The account; absent for the requests without one.
    pub account: Option<AccountName>,
    /// Tier of its requests.
    pub tier: Tier,
    /// Whether some of its requests go behind those of other accounts from now on.
    pub is_held_back: bool,
    /// Work that it received lately, in milliseconds of one slot.
    pub received_ms: f64,
    /// Work that it waits for, in milliseconds of one slot.
    pub waiting_ms: f64,
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
    received: HashMap<Claimant, Received>,
    /// What the accounts that asked for more were owed at the last update, in milliseconds of one slot.
    owed_ms: HashMap<Claimant, f64>,
    /// The accounts that asked for more, some of whose requests go behind those of others.
    above: HashSet<Claimant>,
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
        if !rules.is_enabled {
            for (tier, shares) in std::mem::take(&mut self.tiers) {
                let released = shares.above.into_iter();
                self.changes
                    .extend(released.map(|account| ShareChange::released(account, tier)));
            }
        }
    }

    pub(crate) fn set_weights(&mut self, weights: Arc<AccountWeights>) {
        self.weights = weights;
    }

    /// Adds work that an account received; a negative amount takes back that of a run which did not run.
    pub(crate) fn record(
        &mut self,
        now: MonotonicTime,
        tier: Tier,
        account: &Claimant,
        work_ms: f64,
    ) {
        if !self.rules.is_enabled {
            return;
        }
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
        account: &Claimant,
        waiting_ms: f64,
    ) -> ShareClass {
        let Some(shares) = self.tiers.get(&tier) else {
            return ShareClass::Below;
        };
        let Some(owed_ms) = shares.owed_ms.get(account) else {
            return ShareClass::Below;
        };
        // Nobody else gets what it does not, so its own requests keep their order.
        if shares.owed_ms.len() == 1 {
            return ShareClass::Above;
        }
        let received = shares.received.get(account).copied().unwrap_or_default();
        let memory_s = self.rules.memory.as_secs_f64();
        if received.work_ms_at(now, memory_s) + waiting_ms > owed_ms * (1.0 + SHARE_TOLERANCE) {
            ShareClass::Above
        } else {
            ShareClass::Within
        }
    }

    /// Finds what the accounts are owed and who asks for more, at most once per [`SHARE_INTERVAL`]. `waiting` holds the tier, the
    /// account and the work of each waiting request. Returns whether it did.
    pub(crate) fn update<'a>(
        &mut self,
        now: MonotonicTime,
        waiting: impl Iterator<Item = (Tier, &'a Claimant, f64)>,
    ) -> bool {
        let is_recent = self.updated_at.is_some_and(|at| now < at + SHARE_INTERVAL);
        if !self.rules.is_enabled || is_recent {
            return false;
        }
        self.updated_at = Some(now);
        let mut demand_ms: BTreeMap<Tier, HashMap<Claimant, f64>> = BTreeMap::new();
        for (tier, account, work_ms) in waiting {
            let tier_demand = demand_ms.entry(tier).or_default();
            *tier_demand.entry(account.clone()).or_default() += work_ms;
        }
        let memory_s = self.rules.memory.as_secs_f64();
        for (&tier, shares) in &mut self.tiers {
            let waiting_ms = demand_ms.remove(&tier).unwrap_or_default();
            let changes = shares.update(now, memory_s, &self.weights, &waiting_ms, tier);
            self.changes.extend(changes);
        }
        self.tiers.retain(|_, shares| !shares.received.is_empty());
        true
    }

    /// Returns the number of accounts that are held back, counted in each tier.
    pub(crate) fn held_back_count(&self) -> usize {
        self.tiers.values().map(|shares| shares.above.len()).sum()
    }

    /// Returns what changed since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }
}

impl ShareChange {
    /// The change of an account whose share is no longer counted.
    fn released(account: Claimant, tier: Tier) -> Self {
        Self {
            account,
            tier,
            is_held_back: false,
            received_ms: 0.0,
            waiting_ms: 0.0,
            owed_ms: f64::INFINITY,
        }
    }
}

impl TierShares {
    fn update(
        &mut self,
        now: MonotonicTime,
        memory_s: f64,
        weights: &AccountWeights,
        waiting_ms: &HashMap<Claimant, f64>,
        tier: Tier,
    ) -> Vec<ShareChange> {
        let mut claims = Vec::with_capacity(self.received.len() + waiting_ms.len());
        self.received.retain(|account, received| {
            let received_ms = received.work_ms_at(now, memory_s);
            let is_kept = received_ms >= FORGOTTEN_WORK_MS;
            if is_kept && !waiting_ms.is_empty() {
                claims.push(Claim {
                    account: account.clone(),
                    received_ms,
                    waiting_ms: waiting_ms.get(account).copied().unwrap_or(0.0),
                    weight: weights.of(account),
                });
            }
            is_kept
        });
        // An account that waits and received nothing yet claims a share as well.
        let newcomers = waiting_ms
            .iter()
            .filter(|(account, _)| !self.received.contains_key(*account))
            .map(|(account, waiting_ms)| Claim {
                account: account.clone(),
                received_ms: 0.0,
                waiting_ms: *waiting_ms,
                weight: weights.of(account),
            });
        claims.extend(newcomers);
        self.owed_ms.clear();
        let mut before = std::mem::take(&mut self.above);
        let mut changes = Vec::new();
        let is_alone = claims.len() == 1;
        let level_ms = limit_claims(&mut claims);
        for claim in claims {
            let owed_ms = level_ms * claim.weight;
            let was_above = before.remove(&claim.account);
            // It is let go only once it asks for less than its share, so that the log does not tell of each request.
            let asks_more = claim.demand_ms() > owed_ms * (1.0 + SHARE_TOLERANCE);
            let is_above = !is_alone && (was_above || asks_more);
            if is_above != was_above {
                changes.push(ShareChange {
                    account: claim.account.clone(),
                    tier,
                    is_held_back: is_above,
                    received_ms: claim.received_ms,
                    waiting_ms: claim.waiting_ms,
                    owed_ms,
                });
            }
            if is_above {
                self.above.insert(claim.account.clone());
            }
            self.owed_ms.insert(claim.account, owed_ms);
        }
        // The others ask for less than their share, or were forgotten.
        let released = before.into_iter().map(|account| {
            let received = self.received.get(&account).copied().unwrap_or_default();
            ShareChange {
                received_ms: received.work_ms_at(now, memory_s),
                ..ShareChange::released(account, tier)
            }
        });
        changes.extend(released);
        changes
    }
}

/// What an account received and what it waits for.
struct Claim {
    account: Claimant,
    received_ms: f64,
    waiting_ms: f64,
    weight: f64,
}

impl Claim {
    fn demand_ms(&self) -> f64 {
        self.received_ms + self.waiting_ms
    }
}

/// Returns the work per weight at which the accounts' shares, none larger than its demand, add up to what all received.
/// Keeps the claims that ask for no less than their share; none if nobody waits.
fn limit_claims(claims: &mut Vec<Claim>) -> f64 {
    if claims.iter().all(|claim| claim.waiting_ms <= 0.0) {
        claims.clear();
    }
    let mut left_ms: f64 = claims.iter().map(|claim| claim.received_ms).sum();
    // The level rises with each pass, so a claim that asks for less than its share in one does so in all later ones.
    loop {
        let weight: f64 = claims.iter().map(|claim| claim.weight).sum();
        let level_ms = left_ms / weight;
        let count = claims.len();
        claims.retain(|claim| {
            let is_limited = claim.demand_ms() >= level_ms * claim.weight;
            if !is_limited {
                left_ms -= claim.demand_ms();
            }
            is_limited
        });
        if claims.len() == count {
            return level_ms;
        }
    }
}
