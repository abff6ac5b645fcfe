//! Records what accounts recently used through an entry node, to report it to new owners.
//!
//! An owner keeps the usage of accounts only in memory. When another node becomes the owner, each entry node reports
//! the usage that went through it within the last window. So the new owner continues where the previous one stopped,
//! however often the owner changes.

use {
    crate::ids::{AccountName, MonotonicTime, NodeName},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Number of slices into which a window is divided. Usage is summed per slice and owner, which bounds the size of a
/// report and makes usage appear newer than it is by at most one slice.
const SLICES: u32 = 16;

/// The units that an account used in one slice of the window, granted by one owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageSlice {
    /// Time since the end of the slice; zero if it has not ended.
    pub age: Duration,
    /// Units that the account used.
    pub units: f64,
    /// Part of the units that the receiver of the report granted itself.
    pub units_granted_by_receiver: f64,
}

/// The units that an account used through one entry node.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountUsage {
    /// The account that used them.
    pub account: AccountName,
    /// Usage by slice, the latest first.
    pub slices: Vec<UsageSlice>,
}

/// The units that all accounts used through one entry node within the last window.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// The entry node that reports.
    pub node: NodeName,
    /// How far back the report reaches. An entry node that has just started knows nothing about the time before its
    /// start.
    pub coverage: Duration,
    /// Usage of each account that used anything.
    pub accounts: Vec<AccountUsage>,
}

impl UsageReport {
    /// Time since an owner other than the receiver last granted units; absent if none did.
    pub(crate) fn latest_grant_by_others(&self) -> Option<Duration> {
        let slices = self.accounts.iter().flat_map(|usage| &usage.slices);
        let by_others = slices.filter(|slice| slice.units > slice.units_granted_by_receiver);
        by_others.map(|slice| slice.age).min()
    }
}

/// An entry node's record of the units that accounts used through it.
///
/// # Examples
/// ```
/// use dragonflystep_dispatch::UsageLedger;
/// use std::time::Duration;
///
/// let s = Duration::from_secs;
/// let mut ledger = UsageLedger::new(s(8), false);
/// ledger.record(s(10), &"mill".into(), &"node-1".into(), 300.0);
/// let report = ledger.report(s(11), "node-7".into(), "node-2");
/// assert_eq!(report.accounts[0].slices[0].units, 300.0);
/// assert_eq!(report.accounts[0].slices[0].units_granted_by_receiver, 0.0);
/// assert!(ledger.report(s(30), "node-7".into(), "node-2").accounts.is_empty());
/// ```
#[derive(Debug)]
pub struct UsageLedger {
    window: Duration,
    /// Whether nothing can have been used before the zero of the clock, because the whole system started then.
    is_first_start: bool,
    accounts: HashMap<AccountName, VecDeque<Slice>>,
}

/// The units that one owner granted in one slice of time; `index` counts slices since the zero of the clock.
#[derive(Debug)]
struct Slice {
    index: u64,
    owner: NodeName,
    units: f64,
}

impl UsageLedger {
    /// Creates an empty ledger.
    ///
    /// `is_first_start` states that the whole system started for the first time at the zero of the clock, so that
    /// reports cover a whole window from the beginning.
    pub fn new(window: Duration, is_first_start: bool) -> Self {
        Self {
            is_first_start,
            window: window.max(Duration::from_millis(u64::from(SLICES))),
            accounts: HashMap::new(),
        }
    }

    /// Records that `owner` granted `units` to an account. A negative number takes back the units of a request that did
    /// not run.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        account: &AccountName,
        owner: &NodeName,
        units: f64,
    ) {
        let index = self.index_of(now);
        let slices = self.accounts.entry(account.clone()).or_default();
        while slices
            .front()
            .is_some_and(|oldest| oldest.index + u64::from(SLICES) < index)
        {
            slices.pop_front();
        }
        let latest = slices
            .iter_mut()
            .rev()
            .take_while(|slice| slice.index == index);
        for slice in latest {
            if slice.owner == *owner {
                slice.units += units;
                return;
            }
        }
        slices.push_back(Slice {
            index,
            owner: owner.clone(),
            units,
        });
    }

    /// Builds the report of the entry node `node` to the owner `receiver`, and drops slices that are too old.
    pub fn report(&mut self, now: MonotonicTime, node: NodeName, receiver: &str) -> UsageReport {
        let oldest = self.index_of(now).saturating_sub(u64::from(SLICES));
        for slices in self.accounts.values_mut() {
            slices.retain(|slice| slice.index >= oldest);
        }
        self.accounts.retain(|_, slices| !slices.is_empty());
        let accounts = self.accounts.iter().map(|(account, slices)| AccountUsage {
            account: account.clone(),
            slices: slices
                .iter()
                .rev()
                .map(|slice| self.slice_for(now, slice, receiver))
                .collect(),
        });
        UsageReport {
            node,
            coverage: if self.is_first_start {
                self.window
            } else {
                now.min(self.window)
            },
            accounts: accounts.collect(),
        }
    }

    fn slice_for(&self, now: MonotonicTime, slice: &Slice, receiver: &str) -> UsageSlice {
        let ended_at = self.slice_length().mul_f64((slice.index + 1) as f64);
        let by_receiver = if &*slice.owner == receiver {
            slice.units
        } else {
            0.0
        };
        UsageSlice {
            age: now.saturating_sub(ended_at),
            units: slice.units,
            units_granted_by_receiver: by_receiver,
        }
    }

    fn index_of(&self, now: MonotonicTime) -> u64 {
        (now.as_secs_f64() / self.slice_length().as_secs_f64()) as u64
    }

    fn slice_length(&self) -> Duration {
        self.window / SLICES
    }
}
