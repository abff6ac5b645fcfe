//! Quotas of accounts: one token bucket an account, at the owner of a service.

mod handover;

use {
    self::handover::{ReportEffect, ReportedUsage},
    crate::{
        catalogue::AccountQuota,
        ids::{AccountName, MonotonicTime},
        limits::{
            MINORITIES_QUOTA_SHARE, MINORITY_QUOTA_SHARE, QUOTA_TOLERANCE_USE,
            UNREPORTED_START_SHARE, UNREPORTED_STARTS_COVERED,
        },
        usage::UsageReport,
    },
    std::{collections::HashMap, time::Duration},
};

/// How the use of accounts is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Length of the window: an account may use its rate times this, and its burst, in any such span.
    pub window: Duration,
    /// Share of that by which an account may go over before its use counts as too much.
    pub tolerated_share: f64,
    /// Units by which it may go over besides.
    pub tolerated_units: f64,
}

/// Buckets of all accounts.
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
    /// The largest request so far; one that is larger than the bucket takes it below zero.
    largest_units: f64,
    filled_at: MonotonicTime,
    began_at: MonotonicTime,
    /// What it began with, by the entries' reports up to `reports_version`.
    began_with: f64,
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

    /// Judges by other rules from now on; what was used stays used.
    pub(crate) fn set_rules(&mut self, rules: QuotaRules) {
        self.rules = rules;
    }

    /// Takes over the limits of a catalogue; what was used stays used.
    pub(crate) fn set_limits(&mut self, limits: HashMap<AccountName, AccountQuota>) {
        self.buckets
            .retain(|account, _| limits.contains_key(account));
        self.limits = limits;
    }

    /// Records how many nodes are listed.
    pub(crate) fn set_node_count(&mut self, now: MonotonicTime, nodes: usize) {
        self.reported.set_node_count(now, self.rules.window, nodes);
    }

    /// Applies an entry's report of the time before it asked this owner.
    pub(crate) fn apply_report(&mut self, now: MonotonicTime, report: UsageReport) {
        if self.reported.apply_report(now, self.rules.window, report) == ReportEffect::Reset {
            self.buckets.clear();
        }
    }

    /// Takes `units` of an account; tells how long until they would be there if they are not.
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
        let (rate, burst) = bucket_of(&self.rules, quota, share, bucket.largest_units);
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

    /// Gives back what was taken for a request that did not run.
    pub(crate) fn refund(&mut self, account: &AccountName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.units += units;
        }
    }
}

impl Bucket {
    /// One that holds nothing until it is known what its account spent before.
    fn new(now: MonotonicTime) -> Self {
        Self {
            units: 0.0,
            largest_units: 0.0,
            filled_at: now,
            began_at: now,
            began_with: 0.0,
            reports_version: None,
        }
    }

    /// Corrects what it began with by what entries have reported since.
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
        let level = reported.level_at(self.began_at, window, account, quota)
            + credit * reported.unknown_share(self.began_at, window);
        let level = level.min(quota.burst_units) * share.min(1.0);
        self.units += level - self.began_with;
        self.began_with = level;
    }
}

/// Rate and size of the bucket of an account, at a node with `share` of the common limits.
///
/// What the tolerance leaves beside parts of the nodes that do not see each other, and owners without
/// reports, goes into the rate, so that an account that keeps within its quota is hardly ever refused. A node
/// that sees no majority keeps clear of the tolerance.
fn bucket_of(
    rules: &QuotaRules,
    quota: &AccountQuota,
    share: f64,
    largest_units: f64,
) -> (f64, f64) {
    // A request larger than the burst must still be possible when the bucket is full.
    let burst = (quota.burst_units * share).max(1.0);
    if share <= MINORITY_QUOTA_SHARE {
        return (quota.units_per_s * share, burst);
    }
    let window_s = rules.window.as_secs_f64().max(1.0);
    let rate = quota.units_per_s + usable_tolerance(rules, quota, largest_units) / window_s;
    (rate, burst)
}

/// Units that the quota allows within a window.
fn plain_use(rules: &QuotaRules, quota: &AccountQuota) -> f64 {
    quota.units_per_s * rules.window.as_secs_f64().max(1.0) + quota.burst_units
}

/// Units beyond it that are tolerated.
fn tolerance(rules: &QuotaRules, quota: &AccountQuota) -> f64 {
    plain_use(rules, quota) * rules.tolerated_share + rules.tolerated_units
}

/// Units with which an account begins at an owner without reports.
fn unreported_credit(rules: &QuotaRules, quota: &AccountQuota) -> f64 {
    (tolerance(rules, quota) * UNREPORTED_START_SHARE).min(quota.burst_units)
}

/// Units beyond the plain quota that an owner may give out within a window.
fn usable_tolerance(rules: &QuotaRules, quota: &AccountQuota, largest_units: f64) -> f64 {
    let tolerance = tolerance(rules, quota);
    let for_minorities = plain_use(rules, quota) * MINORITIES_QUOTA_SHARE;
    let for_largest = (largest_units - quota.burst_units).max(0.0);
    let for_starts = UNREPORTED_STARTS_COVERED * unreported_credit(rules, quota);
    let left = tolerance - for_minorities - for_starts - for_largest;
    left.max(tolerance * QUOTA_TOLERANCE_USE)
}
