//! How many requests of a service get to its new version.

use {
    super::RolloutRules,
    crate::{
        ids::{MonotonicTime, RouteName},
        limits::{ROLLOUT_CANARY_USE, ROLLOUT_MAX_ROUTE_SHARE, ROLLOUT_SLACK_REQUESTS},
    },
    std::collections::HashMap,
};

/// Requests of a service since the order became known here, and those of them that were exposed.
///
/// Each owner spends a share of the requests that it sees itself, so that any number of owners one after the other, or
/// at once, stay within the same share of all.
#[derive(Debug)]
pub(crate) struct Exposure {
    since: MonotonicTime,
    requests: u64,
    exposed: u64,
    routes: HashMap<RouteName, RouteExposure>,
    /// Requests that are to be sent together, and those of them that are left.
    group: f64,
    group_left: f64,
}

#[derive(Debug, Default)]
struct RouteExposure {
    requests: u64,
    credit: f64,
}

impl Exposure {
    /// Canaries are sent in groups of `group`, so that they meet the load of an upstream that is full.
    pub(crate) fn new(now: MonotonicTime, group: u32) -> Self {
        Self {
            since: now,
            requests: 0,
            exposed: 0,
            routes: HashMap::new(),
            group: f64::from(group.max(1)),
            group_left: 0.0,
        }
    }

    /// Counts a request; says whether it is to be a canary. Routes with few requests send a larger share of them, so that
    /// a fault on one of those shows as soon.
    pub(crate) fn admit_canary(
        &mut self,
        route: &RouteName,
        rules: RolloutRules,
        may_be: bool,
    ) -> bool {
        self.requests += 1;
        let permitted = self.permitted_canaries(rules);
        let has_credit = self.add_credit(route, permitted);
        if !self.is_group_open() {
            return false;
        }
        let is_within = self.exposed as f64 + 1.0 <= permitted + self.group;
        let is_canary = may_be && is_within && has_credit;
        if is_canary {
            self.group_left -= 1.0;
            self.exposed += 1;
            self.routes.entry(route.clone()).or_default().credit -= 1.0;
        }
        is_canary
    }

    /// Canaries that are permitted by now.
    fn permitted_canaries(&self, rules: RolloutRules) -> f64 {
        let all = self.requests as f64;
        let slack = rules.exposed_slack * (all / ROLLOUT_SLACK_REQUESTS).min(1.0);
        (rules.exposed_share * all + slack) * ROLLOUT_CANARY_USE
    }

    /// Adds a request's part to what its route may send; says whether that is a whole request.
    fn add_credit(&mut self, route: &RouteName, permitted: f64) -> bool {
        let most = self.group + 1.0;
        self.routes.entry(route.clone()).or_default().requests += 1;
        let routes = self.routes.len() as f64;
        let known = self.routes.entry(route.clone()).or_default();
        let share = permitted / (routes * known.requests as f64);
        known.credit = (known.credit + share.min(ROLLOUT_MAX_ROUTE_SHARE)).min(most);
        known.credit >= 1.0
    }

    /// Whether canaries are sent now; a group begins when there is credit for all of it.
    fn is_group_open(&mut self) -> bool {
        if self.group_left >= 1.0 {
            return true;
        }
        let credit: f64 = self.routes.values().map(|route| route.credit).sum();
        if credit >= self.group {
            self.group_left = self.group;
        }
        self.group_left >= 1.0
    }

    /// Counts a request while all go to the new version.
    pub(crate) fn asked_in_switch(&mut self, route: &RouteName) {
        self.requests += 1;
        self.exposed += 1;
        self.routes.entry(route.clone()).or_default().requests += 1;
    }

    pub(crate) fn has_requests(&self) -> bool {
        self.requests > 0
    }

    pub(crate) fn exposed(&self) -> f64 {
        self.exposed as f64
    }

    pub(crate) fn requests_per_s(&self, now: MonotonicTime) -> f64 {
        let passed_s = now.saturating_sub(self.since).as_secs_f64();
        self.requests as f64 / passed_s.max(0.1)
    }

    /// Requests that there will have been after `left_s` seconds more.
    pub(crate) fn expected_requests(&self, now: MonotonicTime, left_s: f64) -> f64 {
        self.requests as f64 + self.requests_per_s(now) * left_s
    }
}
