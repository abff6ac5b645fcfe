//! The active runs and the account usage of this node as an entry node, which is the node that receives a caller's
//! request. When the owner changes, both are reported to the new owner so that it can count them.

use {
    dragonflystep_dispatch::{
        ActiveRun, MonotonicTime, NodeName, RunId, SlotRequest, UpstreamId, UsageLedger,
        UsageReport,
    },
    std::{cell::RefCell, collections::HashMap, time::Duration},
};

/// An active run that this entry node started.
pub(crate) struct EntryRun {
    pub(crate) request: SlotRequest,
    pub(crate) upstream: UpstreamId,
    pub(crate) started_at: MonotonicTime,
    /// The owner that counts the run, with the generation of the connection over which it knows of it.
    pub(crate) owner: (NodeName, u64),
}

/// The active runs that this entry node started, and what accounts used through it.
pub(crate) struct EntryRuns {
    pub(crate) runs: RefCell<HashMap<RunId, EntryRun>>,
    usage: RefCell<UsageLedger>,
    /// The owner that the usage was last reported to, with the generation of the connection.
    usage_reported_to: RefCell<Option<(NodeName, u64)>>,
}

impl EntryRuns {
    pub(crate) fn new(quota_window: Duration, is_first_start: bool) -> Self {
        Self {
            runs: RefCell::default(),
            usage: RefCell::new(UsageLedger::new(quota_window, is_first_start)),
            usage_reported_to: RefCell::default(),
        }
    }

    /// The report to `owner` of what accounts used through this node. None if the last report went to the same owner
    /// over the same connection.
    pub(crate) fn usage_report_for(
        &self,
        now: MonotonicTime,
        own: &NodeName,
        owner: &(NodeName, u64),
    ) -> Option<UsageReport> {
        let mut reported_to = self.usage_reported_to.borrow_mut();
        if reported_to.as_ref() == Some(owner) {
            return None;
        }
        *reported_to = Some(owner.clone());
        let mut usage = self.usage.borrow_mut();
        Some(usage.report(now, own.clone(), &owner.0))
    }

    /// Records the quota units of a run, times `factor`, as usage of its account; a factor of -1 refunds them.
    pub(crate) fn record_usage(&self, now: MonotonicTime, run: &EntryRun, factor: f64) {
        let Some(account) = &run.request.account else {
            return;
        };
        let units = factor * f64::from(run.request.quota_units);
        let mut usage = self.usage.borrow_mut();
        usage.record(now, account, &run.owner.0, units);
    }

    /// Number of active runs.
    pub(crate) fn count(&self) -> usize {
        self.runs.borrow().len()
    }

    /// Reassigns all runs of `service` to `owner` and returns those that so far were counted by another owner or known
    /// over an earlier connection.
    pub(crate) fn reassign(
        &self,
        now: MonotonicTime,
        service: &str,
        owner: &(NodeName, u64),
    ) -> Vec<ActiveRun> {
        let mut runs = self.runs.borrow_mut();
        let reassigned = runs
            .values_mut()
            .filter(|run| &*run.request.service == service && run.owner != *owner);
        reassigned
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
