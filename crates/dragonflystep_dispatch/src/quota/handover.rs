//! Usage reports that entry nodes send to a new owner, and the levels of the accounts' buckets that follow from them.

use {
    crate::{
        catalogue::AccountQuota,
        ids::{AccountName, MonotonicTime, NodeName},
        usage::UsageReport,
    },
    std::{collections::HashMap, time::Duration},
};

/// The accounts' usage that entry nodes reported before their first request to this owner.
#[derive(Debug, Default)]
pub(crate) struct ReportedUsage {
    entry_nodes: HashMap<NodeName, EntryCoverage>,
    accounts: HashMap<AccountName, Vec<ReportedSlice>>,
    /// Lengths of the list of nodes within the last window, each with the time up to which it was valid.
    listed: Vec<(usize, MonotonicTime)>,
    /// Number of accepted reports; shows buckets that a new one arrived.
    version: u64,
}

/// What this owner knows about the usage through one entry node.
#[derive(Clone, Copy, Debug)]
struct EntryCoverage {
    /// Time since which this owner knows all usage through the entry node, in seconds of this owner's clock; negative
    /// if that lies before the zero of the clock.
    since_s: f64,
    reported_at: MonotonicTime,
    /// Whether another owner may have granted it requests that it has not reported yet.
    is_outdated: bool,
}

#[derive(Clone, Copy, Debug)]
struct ReportedSlice {
    at_s: f64,
    units: f64,
}

/// Effect of a report on the usage that was known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportEffect {
    /// The report adds to the known usage, or confirms it.
    Added,
    /// Another owner granted requests in the meantime, so all earlier reports were dropped. Existing buckets do not
    /// include those requests and have to be rebuilt.
    Reset,
}

impl ReportedUsage {
    /// Returns a number that changes with each accepted report.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Records the length of the list of nodes from now on.
    pub(crate) fn set_node_count(&mut self, now: MonotonicTime, window: Duration, nodes: usize) {
        if let Some((_, until)) = self.listed.last_mut() {
            *until = now;
        }
        self.listed.retain(|(_, until)| *until + window > now);
        self.listed.push((nodes, MonotonicTime::MAX));
    }

    /// Applies an entry node's report.
    pub(crate) fn apply_report(
        &mut self,
        now: MonotonicTime,
        window: Duration,
        report: UsageReport,
    ) -> ReportEffect {
        let mut effect = ReportEffect::Added;
        if let Some(known) = self.entry_nodes.get_mut(&report.node)
            && !known.is_outdated
        {
            let latest = report.latest_grant_by_others();
            if latest.is_none_or(|age| age >= now.saturating_sub(known.reported_at)) {
                known.reported_at = now;
                return effect;
            }
            self.reset(now);
            effect = ReportEffect::Reset;
        }
        self.accept(now, window, report);
        effect
    }

    /// Drops all reports, since another node was the owner in between; all entry nodes will report again.
    fn reset(&mut self, now: MonotonicTime) {
        self.accounts.clear();
        for known in self.entry_nodes.values_mut() {
            known.since_s = now.as_secs_f64();
            known.is_outdated = true;
        }
    }

    fn accept(&mut self, now: MonotonicTime, window: Duration, report: UsageReport) {
        self.version += 1;
        let now_s = now.as_secs_f64();
        let covered_s = report.coverage.min(window).as_secs_f64();
        let known = EntryCoverage {
            since_s: now_s - covered_s,
            reported_at: now,
            is_outdated: false,
        };
        // This owner has already counted its own grants to the entry node after this time, which is the start of the
        // time that the previous report covered.
        let counted_since_s = self
            .entry_nodes
            .insert(report.node, known)
            .map_or(f64::INFINITY, |previous| previous.since_s);
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

    /// Returns the level of an account's bucket at `at` according to the reports.
    ///
    /// This is the level of a bucket that was full one window earlier. Entry nodes without a report are assumed to have
    /// used their part of all that the quota permitted, so the level is zero at an owner without reports.
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
        let coverage_ages_s = self.entry_nodes.values().map(|known| at_s - known.since_s);
        let mut checked_ages_s: Vec<f64> = ages_s.chain(coverage_ages_s).collect();
        checked_ages_s.extend([0.0, window_s]);
        checked_ages_s.retain(|age_s| (0.0..=window_s).contains(age_s));
        let nodes = self.node_count() as f64;
        let levels = checked_ages_s.into_iter().map(|age_s| {
            let used: f64 = slices
                .iter()
                .filter(|slice| at_s - slice.at_s <= age_s)
                .map(|slice| slice.units)
                .sum();
            let covering = self.entry_nodes.values().filter(|known| {
                let covered_s = at_s - known.since_s;
                covered_s > age_s || covered_s >= window_s
            });
            let known_share = covering.count() as f64 / nodes;
            (quota.burst_units + quota.units_per_s * age_s) * known_share - used
        });
        levels
            .fold(f64::INFINITY, f64::min)
            .clamp(0.0, quota.burst_units)
    }

    /// Returns the share of the nodes whose usage in the window before `at` is not completely known.
    pub(crate) fn unknown_share(&self, at: MonotonicTime, window: Duration) -> f64 {
        let known = self
            .entry_nodes
            .values()
            .filter(|known| at.as_secs_f64() - known.since_s >= window.as_secs_f64());
        1.0 - known.count() as f64 / self.node_count() as f64
    }

    fn node_count(&self) -> usize {
        let listed = self.listed.iter().map(|(nodes, _)| *nodes).max();
        listed.unwrap_or(0).max(self.entry_nodes.len()).max(1)
    }
}
