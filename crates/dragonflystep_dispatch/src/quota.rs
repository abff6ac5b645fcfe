//! Enforces the accounts' quotas with one token bucket per account at each owner.

mod handover;

use {
    self::handover::{ReportEffect, ReportedUsage},
    crate::{
        catalogue::AccountQuota,
        ids::{AccountName, MonotonicTime},
        limits::{
            ALL_MINORITIES_QUOTA_SHARE, MINORITY_LIMIT_SHARE, QUOTA_TOLERANCE_USE,
            UNREPORTED_START_SHARE, UNREPORTED_STARTS_COVERED,
        },
        usage::UsageReport,
    },
    std::{collections::HashMap, time::Duration},
};

/// Window and tolerance by which the accounts' quotas are enforced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Length of the window. In any span of this length an account may use its rate times the length, plus its burst.
    pub window: Duration,
    /// Share of the units permitted in a window by which an account may exceed them.
    pub tolerated_share: f64,
    /// Units by which an account may exceed them in addition to that share.
    pub tolerated_units: f64,
}

/// The token buckets of all accounts, with the limits and usage reports that fill them.
#[derive(Debug)]
pub(crate) struct Quotas {
    rules: QuotaRules,
    limits: HashMap<AccountName, AccountQuota>,
    buckets: HashMap<AccountName, Bucket>,
    reported: ReportedUsage,
}

#[derive(Debug)]
struct Bucket {
    units: f64,
    /// Units of the largest request so far. A request larger than the bucket takes its level below zero.
    largest_units: f64,
    filled_at: MonotonicTime,
    created_at: MonotonicTime,
    /// Units that it began with, according to the usage reports up to `reports_version`.
    initial_units: f64,
    reports_version: Option<u64>,
}

impl Quotas {
    pub(crate) fn new(rules: QuotaRules) -> Self {
        Self {
            rules,
            limits: HashMap::new(),
            buckets: HashMap::new(),
            reported: ReportedUsage::default(),
        }
    }

    /// Changes the rules; the buckets keep their levels.
    pub(crate) fn set_rules(&mut self, rules: QuotaRules) {
        self.rules = rules;
    }

    /// Applies the limits of a catalogue. The buckets of accounts that still have a quota keep their levels.
    pub(crate) fn set_limits(&mut self, limits: HashMap<AccountName, AccountQuota>) {
        self.buckets
            .retain(|account, _| limits.contains_key(account));
        self.limits = limits;
    }

    /// Records the length of the list of nodes.
    pub(crate) fn set_node_count(&mut self, now: MonotonicTime, nodes: usize) {
        self.reported.set_node_count(now, self.rules.window, nodes);
    }

    /// Applies an entry node's report of usage from before its first request to this owner.
    pub(crate) fn apply_report(&mut self, now: MonotonicTime, report: UsageReport) {
        if self.reported.apply_report(now, self.rules.window, report) == ReportEffect::Reset {
            self.buckets.clear();
        }
    }

    /// Takes `units` from an account's bucket, or returns the time until the bucket would hold enough.
    ///
    /// `share` is the share of the common limits that this owner may use. An account without a quota is not limited.
    pub(crate) fn take(
        &mut self,
        now: MonotonicTime,
        account: &AccountName,
        units: f64,
        share: f64,
    ) -> Result<(), Duration> {
        let Some(quota) = self.limits.get(account) else {
            return Ok(());
        };
        let (reported, window) = (&self.reported, self.rules.window);
        let bucket = self
            .buckets
            .entry(account.clone())
            .or_insert_with(|| Bucket::new(now));
        let credit = unreported_credit(&self.rules, quota);
        bucket.apply_reports(reported, window, (account, quota), credit, share);
        bucket.largest_units = bucket.largest_units.max(units);
        let (rate, burst) = rate_and_burst(&self.rules, quota, share, bucket.largest_units);
        let passed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.units = (bucket.units + passed * rate).min(burst);
        bucket.filled_at = now;
        let needed = units.min(burst);
        if bucket.units >= needed {
            bucket.units -= units;
            return Ok(());
        }
        let missing = needed - bucket.units;
        Err(Duration::from_secs_f64(
            (missing / rate.max(1e-9)).min(3_600.0),
        ))
    }

    /// Puts the units of a request that did not run back into the account's bucket.
    pub(crate) fn refund(&mut self, account: &AccountName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.units += units;
        }
    }
}

impl Bucket {
    /// Creates an empty bucket; [`apply_reports`](Self::apply_reports) fills it by what the account used before.
    fn new(now: MonotonicTime) -> Self {
        Self {
            units: 0.0,
            largest_units: 0.0,
            filled_at: now,
            created_at: now,
            initial_units: 0.0,
            reports_version: None,
        }
    }

    /// Corrects the initial level by the usage reports that arrived since the last correction.
    fn apply_reports(
        &mut self,
        reported: &ReportedUsage,
        window: Duration,
        (account, quota): (&AccountName, &AccountQuota),
        credit: f64,
        share: f64,
    ) {
        if self.reports_version == Some(reported.version()) {
            return;
        }
        self.reports_version = Some(reported.version());
        let level = reported.level_at(self.created_at, window, account, quota)
            + credit * reported.unknown_share(self.created_at, window);
        let level = level.min(quota.burst_units) * share.min(1.0);
        self.units += level - self.initial_units;
        self.initial_units = level;
    }
}

/// Returns the refill rate and the size of an account's bucket, at a node with `share` of the common limits.
///
/// A part of the tolerance is reserved for partitions without a majority and for owners without usage reports. The rest
/// raises the refill rate, so that an account that stays within its quota is hardly ever refused. A small partition does
/// not use the tolerance.
fn rate_and_burst(
    rules: &QuotaRules,
    quota: &AccountQuota,
    share: f64,
    largest_units: f64,
) -> (f64, f64) {
    // A request larger than the bucket is still granted when the bucket is full, since `take` requires at most this
    // many units.
    let burst = (quota.burst_units * share).max(1.0);
    if share <= MINORITY_LIMIT_SHARE {
        return (quota.units_per_s * share, burst);
    }
    let window_s = rules.window.as_secs_f64().max(1.0);
    let rate = quota.units_per_s + usable_tolerance(rules, quota, largest_units) / window_s;
    (rate * share, burst)
}

/// Returns the units that the quota permits within a window, without the tolerance.
fn permitted_units(rules: &QuotaRules, quota: &AccountQuota) -> f64 {
    quota.units_per_s * rules.window.as_secs_f64().max(1.0) + quota.burst_units
}

/// Returns the units beyond [`permitted_units`] that are tolerated within a window.
fn tolerance(rules: &QuotaRules, quota: &AccountQuota) -> f64 {
    permitted_units(rules, quota) * rules.tolerated_share + rules.tolerated_units
}

/// Returns the units with which an account begins at an owner that has no usage reports.
fn unreported_credit(rules: &QuotaRules, quota: &AccountQuota) -> f64 {
    (tolerance(rules, quota) * UNREPORTED_START_SHARE).min(quota.burst_units)
}

/// Returns the units beyond [`permitted_units`] that an owner may grant within a window.
fn usable_tolerance(rules: &QuotaRules, quota: &AccountQuota, largest_units: f64) -> f64 {
    let tolerance = tolerance(rules, quota);
    let minorities_reserve = permitted_units(rules, quota) * ALL_MINORITIES_QUOTA_SHARE;
    let largest_request_reserve = (largest_units - quota.burst_units).max(0.0);
    let unreported_starts_reserve = UNREPORTED_STARTS_COVERED * unreported_credit(rules, quota);
    let left = tolerance - minorities_reserve - unreported_starts_reserve - largest_request_reserve;
    left.max(tolerance * QUOTA_TOLERANCE_USE)
}
