//! What entries report to a new owner of the quotas of the time before it, and what accounts have left by that.

use {
    crate::{
        catalogue::AccountQuota,
        ids::{AccountName, MonotonicTime, NodeName},
        usage::UsageReport,
    },
    std::{collections::HashMap, time::Duration},
};

/// Accounts' spending that entries reported before they asked this owner.
#[derive(Debug, Default)]
pub(crate) struct ReportedUsage {
    entries: HashMap<NodeName, KnownEntry>,
    accounts: HashMap<AccountName, Vec<ReportedSlice>>,
    /// Nodes that were listed, with the time up to which they were.
    listed: Vec<(usize, MonotonicTime)>,
    /// Counts the reports, to notice a new one.
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct KnownEntry {
    /// Since when this owner knows all that went through it, in seconds of its clock; may lie before the
    /// clock's zero.
    since_s: f64,
    reported_at: MonotonicTime,
    /// Whether another owner may have granted it something that it has not reported.
    is_outdated: bool,
}

#[derive(Clone, Copy, Debug)]
struct ReportedSlice {
    at_s: f64,
    units: f64,
}

/// What a report means for what was known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportEffect {
    /// It adds to it.
    Added,
    /// Another owner granted meanwhile; buckets that were counted without it are wrong.
    Reset,
}

impl ReportedUsage {
    /// Changes with each report.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Notes how many nodes are listed from now on.
    pub(crate) fn set_node_count(&mut self, now: MonotonicTime, window: Duration, nodes: usize) {
        if let Some((_, until)) = self.listed.last_mut() {
            *until = now;
        }
        self.listed.retain(|(_, until)| *until + window > now);
        self.listed.push((nodes, MonotonicTime::MAX));
    }

    /// Applies an entry's report.
    pub(crate) fn apply_report(
        &mut self,
        now: MonotonicTime,
        window: Duration,
        report: UsageReport,
    ) -> ReportEffect {
        let mut effect = ReportEffect::Added;
        if let Some(known) = self.entries.get_mut(&report.node)
            && !known.is_outdated
        {
            if !granted_by_others(&report, now.saturating_sub(known.reported_at)) {
                known.reported_at = now;
                return effect;
            }
            self.reset(now);
            effect = ReportEffect::Reset;
        }
        self.accept(now, window, report);
        effect
    }

    /// Forgets the reports: another node was the owner in between, and all entries report again.
    fn reset(&mut self, now: MonotonicTime) {
        self.accounts.clear();
        for known in self.entries.values_mut() {
            known.since_s = now.as_secs_f64();
            known.is_outdated = true;
        }
    }

    fn accept(&mut self, now: MonotonicTime, window: Duration, report: UsageReport) {
        self.version += 1;
        let now_s = now.as_secs_f64();
        let reach_s = report.covers.min(window).as_secs_f64();
        let known = KnownEntry {
            since_s: now_s - reach_s,
            reported_at: now,
            is_outdated: false,
        };
        // What this owner granted after that moment it has counted itself.
        let counted_since_s = self
            .entries
            .insert(report.node, known)
            .map_or(f64::INFINITY, |before| before.since_s);
        for usage in report.accounts {
            let slices = self.accounts.entry(usage.account).or_default();
            slices.retain(|slice| slice.at_s + window.as_secs_f64() > now_s);
            slices.extend(usage.slices.iter().map(|slice| {
                let at_s = now_s - slice.age.as_secs_f64();
                let counted = if at_s > counted_since_s {
                    slice.units_granted_by_receiver
                } else {
                    0.0
                };
                ReportedSlice {
                    at_s,
                    units: slice.units - counted,
                }
            }));
        }
    }

    /// What an account had left of its burst at `at`, by the entries' reports.
    ///
    /// That is the level of a bucket which was full a window before. Entries that have not reported are assumed to
    /// have spent their part of all that the quota allowed, so that an owner without reports begins
    /// with nothing.
    pub(crate) fn level_at(
        &self,
        at: MonotonicTime,
        window: Duration,
        account: &AccountName,
        quota: &AccountQuota,
    ) -> f64 {
        let (at_s, window_s) = (at.as_secs_f64(), window.as_secs_f64());
        let slices = self.accounts.get(account).map_or(&[][..], Vec::as_slice);
        let ages_s = slices.iter().map(|slice| (at_s - slice.at_s).max(0.0));
        let reaches_s = self.entries.values().map(|known| at_s - known.since_s);
        let mut looks_s: Vec<f64> = ages_s.chain(reaches_s).collect();
        looks_s.extend([0.0, window_s]);
        looks_s.retain(|age_s| (0.0..=window_s).contains(age_s));
        let nodes = self.node_count() as f64;
        let levels = looks_s.into_iter().map(|age_s| {
            let spent: f64 = slices
                .iter()
                .filter(|slice| at_s - slice.at_s <= age_s)
                .map(|slice| slice.units)
                .sum();
            let knowing = self.entries.values().filter(|known| {
                let reach_s = at_s - known.since_s;
                reach_s > age_s || reach_s >= window_s
            });
            let known_share = knowing.count() as f64 / nodes;
            (quota.burst_units + quota.units_per_s * age_s) * known_share - spent
        });
        levels
            .fold(f64::INFINITY, f64::min)
            .clamp(0.0, quota.burst_units)
    }

    /// Share of the nodes of which the window before `at` is not known whole.
    pub(crate) fn unknown_share(&self, at: MonotonicTime, window: Duration) -> f64 {
        let known = self
            .entries
            .values()
            .filter(|known| at.as_secs_f64() - known.since_s >= window.as_secs_f64());
        1.0 - known.count() as f64 / self.node_count() as f64
    }

    fn node_count(&self) -> usize {
        let listed = self.listed.iter().map(|(nodes, _)| *nodes).max();
        listed.unwrap_or(0).max(self.entries.len()).max(1)
    }
}

/// Whether owners other than the receiver granted something within the time `since`.
fn granted_by_others(report: &UsageReport, since: Duration) -> bool {
    let slices = report.accounts.iter().flat_map(|usage| &usage.slices);
    let mut recent = slices.filter(|slice| slice.age < since);
    recent.any(|slice| slice.units > slice.units_granted_by_receiver)
}
