//! Decides which requests become canaries, and counts the requests that are exposed to the new version.

use {
    super::RolloutRules,
    crate::{
        ids::{MonotonicTime, RouteName},
        limits::{ROLLOUT_CANARY_USE, ROLLOUT_MAX_ROUTE_SHARE, ROLLOUT_SLACK_REQUESTS},
    },
    std::collections::HashMap,
};

/// Numbers of a service's requests, and of those exposed to the new version, since this owner learned of the order.
///
/// Each owner exposes a share of the requests that it handles itself. So any number of owners, one after the other or
/// at the same time, together stay within that share of all requests.
#[derive(Debug)]
pub(crate) struct Exposure {
    since: MonotonicTime,
    requests: u64,
    exposed: u64,
    routes: HashMap<RouteName, RouteExposure>,
    /// Number of canaries that are sent together.
    group_size: f64,
    /// Number of canaries left to send in the current group.
    left_in_group: f64,
}

/// Requests of one route, and its canary credit.
#[derive(Debug, Default)]
struct RouteExposure {
    requests: u64,
    /// Number of canaries that the route may send now; accrues with each request.
    credit: f64,
}

impl Exposure {
    /// Creates the counters of a roll-out whose canaries are sent in groups of `group_size`, so that they run on fully
    /// loaded upstreams.
    pub(crate) fn new(now: MonotonicTime, group_size: u32) -> Self {
        Self {
            since: now,
            requests: 0,
            exposed: 0,
            routes: HashMap::new(),
            group_size: f64::from(group_size.max(1)),
            left_in_group: 0.0,
        }
    }

    /// Counts a request; returns whether it becomes a canary, which only an eligible request can.
    ///
    /// Routes with few requests send a larger share of them as canaries, so that faults show there as early as on other
    /// routes.
    pub(crate) fn admit_canary(
        &mut self,
        route: &RouteName,
        rules: RolloutRules,
        is_eligible: bool,
    ) -> bool {
        self.requests += 1;
        let permitted = self.permitted_canaries(rules);
        let has_credit = self.add_credit(route, permitted);
        if !self.is_group_open() {
            return false;
        }
        let is_permitted = self.exposed as f64 + 1.0 <= permitted + self.group_size;
        let is_canary = is_eligible && is_permitted && has_credit;
        if is_canary {
            self.left_in_group -= 1.0;
            self.exposed += 1;
            self.routes.entry(route.clone()).or_default().credit -= 1.0;
        }
        is_canary
    }

    /// Returns the number of canaries that are permitted so far.
    fn permitted_canaries(&self, rules: RolloutRules) -> f64 {
        let requests = self.requests as f64;
        let slack = rules.exposed_slack * (requests / ROLLOUT_SLACK_REQUESTS).min(1.0);
        (rules.exposed_share * requests + slack) * ROLLOUT_CANARY_USE
    }

    /// Adds the share of one request to its route's canary credit; returns whether the credit suffices for a canary.
    ///
    /// The permitted canaries are divided equally among the routes.
    fn add_credit(&mut self, route: &RouteName, permitted: f64) -> bool {
        let max_credit = self.group_size + 1.0;
        self.routes.entry(route.clone()).or_default().requests += 1;
        let routes = self.routes.len() as f64;
        let known = self.routes.entry(route.clone()).or_default();
        let share = permitted / (routes * known.requests as f64);
        known.credit = (known.credit + share.min(ROLLOUT_MAX_ROUTE_SHARE)).min(max_credit);
        known.credit >= 1.0
    }

    /// Whether canaries may be sent now. A group begins when the routes' credit covers all of it.
    fn is_group_open(&mut self) -> bool {
        if self.left_in_group >= 1.0 {
            return true;
        }
        let credit: f64 = self.routes.values().map(|route| route.credit).sum();
        if credit >= self.group_size {
            self.left_in_group = self.group_size;
        }
        self.left_in_group >= 1.0
    }

    /// Counts a request during the switch, when all requests go to the new version.
    pub(crate) fn count_switch_request(&mut self, route: &RouteName) {
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

    /// Predicts the number of requests counted by `remaining_s` seconds from now.
    pub(crate) fn expected_requests(&self, now: MonotonicTime, remaining_s: f64) -> f64 {
        self.requests as f64 + self.requests_per_s(now) * remaining_s
    }
}
