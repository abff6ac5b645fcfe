//! What accounts spent lately, as entry nodes saw it.
//!
//! An owner keeps what accounts spent in memory only. When another node becomes the owner, each entry tells
//! it what went through that entry within the last window, so that the new owner goes on where the one
//! before stopped, however many owners follow one another.

use {
    crate::ids::{AccountName, MonotonicTime, NodeName},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Parts of a window in which spending is added up; a report holds at most so many figures an account, and
/// takes spending for newer than it was by at most one part.
const SLICES: u32 = 16;

/// What an account spent within a short time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageSlice {
    /// How long ago that time ended.
    pub age: Duration,
    /// Units spent.
    pub units: f64,
    /// Those of them that the receiver of the report granted.
    pub units_granted_by_receiver: f64,
}

/// What an account spent through one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountName,
    /// Its spending, the latest first.
    pub slices: Vec<UsageSlice>,
}

/// What all accounts spent through one entry within the last window.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// The entry.
    pub node: NodeName,
    /// How far back the report reaches; an entry that has just started knows nothing of before.
    pub covers: Duration,
    /// Accounts that spent something.
    pub accounts: Vec<AccountUsage>,
}

/// What accounts spent through this entry.
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
    /// Whether nothing can have been spent before the zero of its clock.
    is_first_start: bool,
    accounts: HashMap<AccountName, VecDeque<Slice>>,
}

#[derive(Debug)]
struct Slice {
    index: u64,
    owner: NodeName,
    units: f64,
}

impl UsageLedger {
    /// A ledger that knows nothing before the zero of its clock, unless the whole system started then for the
    /// first time.
    pub fn new(window: Duration, is_first_start: bool) -> Self {
        Self {
            is_first_start,
            window: window.max(Duration::from_millis(u64::from(SLICES))),
            accounts: HashMap::new(),
        }
    }

    /// Notes that `owner` granted `units` to an account; less than zero takes back what did not run.
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

    /// What the entry `node` tells the owner `receiver`.
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
            covers: if self.is_first_start {
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
