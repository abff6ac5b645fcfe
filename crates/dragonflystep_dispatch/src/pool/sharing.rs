//! The shares of the accounts in one service: how its waiting requests stand to them.

use {
    super::ServicePool,
    crate::{
        account_shares::{AccountWeights, ShareChange, ShareClass},
        ids::MonotonicTime,
        share_rules::ShareRules,
    },
    std::sync::Arc,
};

impl ServicePool {
    /// Finds what the accounts are owed, and how their requests stand to it.
    pub(super) fn update_shares(&mut self, now: MonotonicTime) {
        let waiting = self.queue.iter().map(|queued| {
            let request = &queued.request;
            (request.tier, &request.account, queued.run_ms)
        });
        if self.shares.update(now, waiting) {
            let shares = &self.shares;
            self.queue.classify(|request, ahead_ms| {
                shares.class_of(now, request.tier, &request.account, ahead_ms)
            });
        }
    }

    pub(crate) fn set_share_rules(&mut self, rules: ShareRules) {
        self.shares.set_rules(rules);
        if !rules.is_enabled {
            self.queue.classify(|_, _| ShareClass::Below);
        }
    }

    /// Lets go of accounts that are held back although nobody asks any more.
    pub(crate) fn release_shares(&mut self, now: MonotonicTime) {
        if self.queue.is_empty() && self.shares.held_back_count() > 0 {
            self.update_shares(now);
        }
    }

    /// Returns the number of accounts that are held back, counted in each tier.
    pub(crate) fn held_back_count(&self) -> usize {
        self.shares.held_back_count()
    }

    /// Returns how the requests that were refused for overload since the last call stood to the shares of their accounts.
    pub(crate) fn take_share_refusals(&mut self) -> Vec<ShareClass> {
        std::mem::take(&mut self.share_refusals)
    }

    pub(crate) fn set_account_weights(&mut self, weights: Arc<AccountWeights>) {
        self.shares.set_weights(weights);
    }

    /// Returns the accounts whose requests go behind others, or no longer do, since the last call.
    pub(crate) fn take_share_changes(&mut self) -> Vec<ShareChange> {
        self.shares.take_changes()
    }
}
