//! Fair sharing of one tier among client accounts, measured by cost instead of request count.
//!
//! Start-time fair queueing: each account has a virtual-time tag, which grows by cost divided by weight whenever the
//! account is served; the account with the smallest tag is next. Only accounts with queued asks are kept in order,
//! so a decision costs the same with five accounts as with twenty thousand known ones.

use {
    crate::ids::AccountId,
    std::collections::{BTreeMap, BTreeSet},
};

/// Maximum number of accounts without queued asks whose tag is kept.
const MAX_IDLE_ACCOUNTS: usize = 1024;
/// Units of virtual time per second of cost at weight 1.
const UNITS_PER_SECOND: f64 = 1e6;

/// Virtual time; one unit is a microsecond of cost at weight 1.
type VirtualTime = u64;

/// Order in which the accounts of one tier are served.
#[derive(Debug, Default)]
pub struct FairOrder {
    now: VirtualTime,
    waiting: BTreeSet<(VirtualTime, AccountId)>,
    tags: BTreeMap<AccountId, VirtualTime>,
    idle: BTreeSet<(VirtualTime, AccountId)>,
}

impl FairOrder {
    /// Adds an account that now has queued asks; its tag is raised to the current virtual time.
    pub fn join(&mut self, account: &AccountId) {
        let tag = self.tag(account);
        self.idle.remove(&(tag, account.clone()));
        let start = tag.max(self.now);
        self.tags.insert(account.clone(), start);
        self.waiting.insert((start, account.clone()));
    }

    /// Removes an account that has no queued asks any more; its tag is kept for a while.
    pub fn leave(&mut self, account: &AccountId) {
        let tag = self.tag(account);
        if !self.waiting.remove(&(tag, account.clone())) {
            return;
        }
        self.idle.insert((tag, account.clone()));
        self.evict_idle();
    }

    /// Iterates over the accounts with queued asks, starting with the next one to serve.
    pub fn iter(&self) -> impl Iterator<Item = &AccountId> {
        self.waiting.iter().map(|(_, account)| account)
    }

    /// The next account to serve.
    pub fn next(&self) -> Option<&AccountId> {
        self.iter().next()
    }

    /// Charges an account with queued asks for the slot time that it is served, in seconds.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::broker::fairness::FairOrder;
    /// let mut order = FairOrder::default();
    /// order.join(&"a".into());
    /// order.join(&"b".into());
    /// order.charge(&"a".into(), 2.0, 1);
    /// assert_eq!(order.next().map(|account| account.as_ref()), Some("b"));
    /// ```
    pub fn charge(&mut self, account: &AccountId, cost_seconds: f64, weight: u32) {
        let tag = self.tag(account);
        if !self.waiting.remove(&(tag, account.clone())) {
            return;
        }
        self.now = self.now.max(tag);
        let units = cost_seconds * UNITS_PER_SECOND / f64::from(weight.max(1));
        let next = tag + units.max(1.0) as VirtualTime;
        self.tags.insert(account.clone(), next);
        self.waiting.insert((next, account.clone()));
    }

    fn tag(&self, account: &AccountId) -> VirtualTime {
        self.tags.get(account).copied().unwrap_or(0)
    }

    fn evict_idle(&mut self) {
        while let Some((tag, _)) = self.idle.first() {
            if *tag > self.now && self.idle.len() <= MAX_IDLE_ACCOUNTS {
                return;
            }
            let Some((_, account)) = self.idle.pop_first() else {
                return;
            };
            self.tags.remove(&account);
        }
    }
}
