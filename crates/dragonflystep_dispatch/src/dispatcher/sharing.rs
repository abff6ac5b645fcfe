//! What the owner tells of the shares of accounts.

use {
    super::Dispatcher,
    crate::{
        account_shares::{ShareChange, ShareClass},
        ids::ServiceName,
        pool::ServicePool,
    },
};

impl Dispatcher {
    /// Returns which accounts are held back, or no longer are, since the last call, by service; to be logged.
    pub fn take_share_changes(&mut self) -> Vec<(ServiceName, ShareChange)> {
        let pools = self.pools.iter_mut();
        let changes = pools.flat_map(|(service, pool)| {
            let changes = pool.take_share_changes().into_iter();
            changes.map(|change| (service.clone(), change))
        });
        changes.collect()
    }

    /// Returns how the requests that were refused for overload since the last call stood to the shares of their accounts,
    /// one entry each.
    ///
    /// # Examples
    /// ```
    /// # use dragonflystep_dispatch::*;
    /// # use std::time::Duration;
    /// # let quota = QuotaRules {
    /// #     window: Duration::from_secs(8), tolerated_share: 0.1, tolerated_units: 0.0,
    /// # };
    /// # let rollout = RolloutRules { exposed_share: 0.1, exposed_slack: 50.0 };
    /// # let warm_up = WarmUpRules { tolerated_ratio: 1.5, tolerated_requests: 5.0 };
    /// # let limits = SharedLimits {
    /// #     retry_ratio: 0.2, retry_slack: 50.0, retry_window_s: 10, quota, rollout, warm_up,
    /// #     copies: CopyRules::default(), shares: ShareRules::default(),
    /// # };
    /// let mut dispatcher = Dispatcher::new(limits);
    /// assert!(dispatcher.take_share_refusals().is_empty());
    /// assert_eq!(dispatcher.held_back_accounts(), 0);
    /// ```
    pub fn take_share_refusals(&mut self) -> Vec<ShareClass> {
        let pools = self.pools.values_mut();
        pools.flat_map(ServicePool::take_share_refusals).collect()
    }

    /// Returns the number of accounts whose requests go behind those of others, counted in each service and tier.
    pub fn held_back_accounts(&self) -> usize {
        self.pools.values().map(ServicePool::held_back_count).sum()
    }
}
