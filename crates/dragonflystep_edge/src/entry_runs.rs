//! What runs through this entry and what accounts spent through it, to tell a new owner.

use {
    dragonflystep_dispatch::{
        ActiveRun, MonotonicTime, NodeName, RunId, SlotRequest, UpstreamId, UsageLedger,
        UsageReport,
    },
    std::{cell::RefCell, collections::HashMap, time::Duration},
};

/// A run of this entry.
pub(crate) struct EntryRun {
    pub(crate) request: SlotRequest,
    pub(crate) upstream: UpstreamId,
    pub(crate) started_at: MonotonicTime,
    /// The owner that counts it, with the connection over which it was reported.
    pub(crate) owner: (NodeName, u64),
}

/// Runs of this entry and what accounts spent through it, to tell a new owner of them.
pub(crate) struct EntryRuns {
    pub(crate) runs: RefCell<HashMap<RunId, EntryRun>>,
    spending: RefCell<UsageLedger>,
    /// The owner that the spending was reported to last, with the connection.
    spending_reported_to: RefCell<Option<(NodeName, u64)>>,
}

impl EntryRuns {
    pub(crate) fn new(quota_window: Duration, is_first_start: bool) -> Self {
        Self {
            runs: RefCell::default(),
            spending: RefCell::new(UsageLedger::new(quota_window, is_first_start)),
            spending_reported_to: RefCell::default(),
        }
    }

    /// What accounts spent through this entry, unless it was reported to `owner`.
    pub(crate) fn spending_for(
        &self,
        now: MonotonicTime,
        own: &NodeName,
        owner: &(NodeName, u64),
    ) -> Option<UsageReport> {
        let mut reported_to = self.spending_reported_to.borrow_mut();
        if reported_to.as_ref() == Some(owner) {
            return None;
        }
        *reported_to = Some(owner.clone());
        let mut spending = self.spending.borrow_mut();
        Some(spending.report(now, own.clone(), &owner.0))
    }

    /// Notes what the account of a run spent, or, with a factor below zero, takes it back.
    pub(crate) fn note_spent(&self, now: MonotonicTime, run: &EntryRun, factor: f64) {
        let Some(account) = &run.request.account else {
            return;
        };
        let units = factor * f64::from(run.request.quota_units);
        let mut spending = self.spending.borrow_mut();
        spending.record(now, account, &run.owner.0, units);
    }

    pub(crate) fn count(&self) -> usize {
        self.runs.borrow().len()
    }

    /// Runs of `service` that another owner, or an earlier connection, counts; they are counted by
    /// `owner` from now on.
    pub(crate) fn move_to(
        &self,
        now: MonotonicTime,
        service: &str,
        owner: &(NodeName, u64),
    ) -> Vec<ActiveRun> {
        let mut runs = self.runs.borrow_mut();
        let moved = runs
            .values_mut()
            .filter(|run| &*run.request.service == service && run.owner != *owner);
        moved
            .map(|run| {
                run.owner = owner.clone();
                ActiveRun {
                    request: run.request.clone(),
                    upstream: run.upstream.clone(),
                    running_for: now.saturating_sub(run.started_at),
                }
            })
            .collect()
    }
}
