//! Applies the documents of the platform: the catalogue and the registry of upstreams.

use {
    super::Dispatcher,
    crate::{
        account_shares::AccountWeights,
        catalogue::Catalogue,
        ids::{MonotonicTime, ServiceName, UpstreamId},
        limits::{MAX_FORMER_SERVICES, OVERLAP_RATE_SHARE, REJECTION_WINDOW},
        upstream::Upstream,
        usage::UsageReport,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

impl Dispatcher {
    /// Returns the share of the upstreams' rate limits that this owner may use.
    ///
    /// A node that most nodes have not called recently decides only for itself, even if it sees most of them. Many such
    /// nodes would otherwise each use the whole rate of an upstream.
    pub(super) fn rate_limit_share(&self) -> f64 {
        let overlap = self.overlap_ends_at.map_or(1.0, |_| OVERLAP_RATE_SHARE);
        self.limit_share.min(self.quota_share) * overlap
    }

    pub(super) fn apply_rate_limit_share(&mut self, now: MonotonicTime) {
        let share = self.rate_limit_share();
        for pool in self.pools.values_mut() {
            pool.set_rate_limit_share(now, share);
        }
    }

    /// Notes that an entry node changed to this owner. If it has used another owner lately, or nobody has requested slots
    /// here, the rejections of the requests that the other owner sent are not known here.
    pub(super) fn note_entry_node(&mut self, now: MonotonicTime, report: &UsageReport) {
        let is_recent = |age: &Duration| *age < REJECTION_WINDOW;
        let last_request = self.last_request_at.map(|at| now.saturating_sub(at));
        let other_granted = report.latest_grant_by_others();
        let unknown_until = match other_granted.filter(is_recent) {
            Some(age) => now + (REJECTION_WINDOW - age),
            None if last_request.is_none_or(|age| !is_recent(&age)) => now + REJECTION_WINDOW,
            None => return,
        };
        self.rejections_unknown_until = self.rejections_unknown_until.max(unknown_until);
        for pool in self.pools.values_mut() {
            pool.set_rejections_unknown_until(self.rejections_unknown_until);
        }
    }

    pub(super) fn set_catalogue(&mut self, now: MonotonicTime, catalogue: &Catalogue) {
        let quotas = catalogue.accounts.iter().filter_map(|account| {
            let quota = account.quota?;
            Some((account.name.clone(), quota))
        });
        self.account_weights = Arc::new(AccountWeights::from_quotas(quotas));
        for pool in self.pools.values_mut() {
            pool.set_account_weights(self.account_weights.clone());
        }
        for service in &catalogue.services {
            let pool = self.pools.entry(service.name.clone()).or_default();
            pool.set_engine(service.engine);
            pool.set_copy_rules(self.copy_rules);
            pool.set_share_rules(self.share_rules);
            pool.set_account_weights(self.account_weights.clone());
            pool.set_warm_up_rules(now, self.warm_up_rules);
            pool.set_warm_up(now, service.warm_up);
        }
        let limits = catalogue
            .accounts
            .iter()
            .filter_map(|account| Some((account.name.clone(), account.quota?)))
            .collect();
        self.quotas.set_limits(limits);
    }

    pub(super) fn set_upstreams(&mut self, now: MonotonicTime, upstreams: Vec<Upstream>) {
        let listed: HashSet<UpstreamId> = upstreams
            .iter()
            .map(|upstream| upstream.id.clone())
            .collect();
        self.notices
            .forget_old(now, |upstream| listed.contains(upstream));
        let mut by_service: HashMap<ServiceName, Vec<Upstream>> = HashMap::new();
        for upstream in upstreams {
            let service_upstreams = by_service.entry(upstream.service.clone()).or_default();
            service_upstreams.push(upstream);
        }
        for name in by_service.keys() {
            let pool = self.pools.entry(name.clone()).or_default();
            if let Some(former) = self.former_versions.remove(name) {
                pool.seen_versions.merge_former(former);
            }
        }
        let rate_limit_share = self.rate_limit_share();
        for (name, pool) in &mut self.pools {
            // The pool may be new, and what accounts receive is recorded only once it has upstreams.
            pool.set_share_rules(self.share_rules);
            pool.set_account_weights(self.account_weights.clone());
            pool.set_upstreams(now, by_service.remove(name).unwrap_or_default());
            pool.set_evacuated(now, &self.evacuated);
            pool.set_rate_limit_share(now, rate_limit_share);
            pool.set_rejections_unknown_until(self.rejections_unknown_until);
            pool.apply_notices(now, &self.notices);
        }
        self.registry_followed_since.get_or_insert(now);
        self.update_stream_sharing(now);
        // Registry entries may name any service; dropping unused pools keeps them from accumulating.
        let dropped = self.pools.extract_if(|_, pool| pool.is_unused());
        for (name, pool) in dropped {
            self.have_former_versions_changed |= pool.have_versions_changed;
            if pool.seen_versions.is_empty() {
                continue;
            }
            if self.former_versions.len() < MAX_FORMER_SERVICES {
                self.former_versions.insert(name, pool.seen_versions);
            } else {
                self.is_version_history_known = false;
                self.registry_followed_since = Some(now);
            }
        }
    }
}
