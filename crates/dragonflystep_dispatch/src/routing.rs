//! Finds the route, the account and the service of a request.

use {
    crate::{
        catalogue::{Account, Catalogue, Route, Service},
        ids::{RegionName, ServiceName, Tier},
    },
    std::{collections::HashMap, sync::Arc},
};

/// Why a request has no route or may not use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingError {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the key is missing or unknown.
    UnknownKey,
}

/// The route, account and service of a request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route that matches the request's host and path.
    pub route: Arc<Route>,
    /// The account that the key belongs to; absent if the route requires no key.
    pub account: Option<Arc<Account>>,
    /// The service to which the request is sent.
    pub service: ServiceName,
}

impl RouteMatch {
    /// Returns the priority of the request. The account's tier takes precedence; the route's tier decides among
    /// accounts of the same tier and stands in for an absent account tier.
    pub fn tier(&self) -> Tier {
        let account = self.account.as_ref().and_then(|account| account.tier);
        let account_tier = Tier::from(account.unwrap_or(self.route.tier));
        account_tier << 8 | Tier::from(self.route.tier)
    }

    /// Returns the regions in which the request may be processed, or `None` if it may be processed anywhere. If both
    /// the route and the account name regions, those that both name are returned; there may be none.
    pub fn allowed_regions(&self) -> Option<Vec<RegionName>> {
        let by_route = &self.route.allowed_regions;
        let by_account = self
            .account
            .as_ref()
            .map_or(&[][..], |account| &account.allowed_regions);
        match (by_route.is_empty(), by_account.is_empty()) {
            (true, true) => None,
            (false, true) => Some(by_route.clone()),
            (true, false) => Some(by_account.to_vec()),
            (false, false) => {
                let common = by_route.iter().filter(|region| by_account.contains(region));
                Some(common.cloned().collect())
            }
        }
    }
}

/// A catalogue with indexes for finding routes, accounts and services.
#[derive(Debug, Default)]
pub struct RoutingTable {
    catalogue: Arc<Catalogue>,
    hosts: HashMap<String, HostRoutes>,
    accounts: HashMap<String, Arc<Account>>,
    services: HashMap<ServiceName, Service>,
}

impl RoutingTable {
    /// Builds the indexes of `catalogue`.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::{Catalogue, RoutingError, RoutingTable};
    ///
    /// let table = RoutingTable::new(Catalogue::default());
    /// let found = table.find("a.example", "/x/", None, 0);
    /// assert_eq!(found.unwrap_err(), RoutingError::NoRoute);
    /// ```
    pub fn new(catalogue: impl Into<Arc<Catalogue>>) -> Self {
        let catalogue = catalogue.into();
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for route in &catalogue.routes {
            let host_routes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host_routes.add(route);
        }
        let mut accounts = HashMap::new();
        for account in &catalogue.accounts {
            let shared = Arc::new(account.clone());
            for key in &account.keys {
                accounts.insert(key.clone(), shared.clone());
            }
        }
        let services = catalogue
            .services
            .iter()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
        Self {
            catalogue,
            hosts,
            accounts,
            services,
        }
    }

    /// Returns the catalogue that the table was built from.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Returns the service of the catalogue with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Finds the route of a request by its host and path, and its account by its key.
    ///
    /// `draw` selects one of the route's services by weight; it should be a random number.
    ///
    /// # Errors
    /// Returns an error if no route matches, or if the route requires a key and the key is missing or unknown.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        draw: u64,
    ) -> Result<RouteMatch, RoutingError> {
        let route = self.route(host, path).ok_or(RoutingError::NoRoute)?;
        let account = self.account(route, key)?;
        let service = pick_target(route, draw).ok_or(RoutingError::NoRoute)?;
        Ok(RouteMatch {
            route: route.clone(),
            account,
            service,
        })
    }

    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        self.hosts.get(&name.to_ascii_lowercase())?.find(path)
    }

    fn account(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<Account>>, RoutingError> {
        if route.is_anonymous || self.catalogue.accounts.is_empty() {
            return Ok(None);
        }
        let account = key.and_then(|key| self.accounts.get(key));
        let account = account.ok_or(RoutingError::UnknownKey)?;
        Ok(Some(account.clone()))
    }
}

/// Routes of one host.
///
/// Nearly all prefixes end with a slash. So a route is found with at most one lookup per slash of the request's path,
/// however many routes the host has.
#[derive(Debug, Default)]
struct HostRoutes {
    /// Routes whose prefix ends with a slash, by prefix.
    by_folder: HashMap<String, Arc<Route>>,
    longest_folder_bytes: usize,
    /// All other routes, longest prefix first.
    others: Vec<Arc<Route>>,
}

impl HostRoutes {
    fn add(&mut self, route: &Route) {
        if route.prefix.ends_with('/') {
            self.longest_folder_bytes = self.longest_folder_bytes.max(route.prefix.len());
            self.by_folder
                .entry(route.prefix.clone())
                .or_insert_with(|| Arc::new(route.clone()));
            return;
        }
        let is_at_least_as_long = |other: &Arc<Route>| other.prefix.len() >= route.prefix.len();
        let index = self.others.partition_point(is_at_least_as_long);
        self.others.insert(index, Arc::new(route.clone()));
    }

    /// Returns the route with the longest prefix that matches the path.
    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let slashes = path.bytes().take(self.longest_folder_bytes).enumerate();
        let folders = slashes.rev().filter(|(_, byte)| *byte == b'/');
        let mut found = folders.filter_map(|(end, _)| self.by_folder.get(&path[..=end]));
        let folder = found.next();
        let mut others = self.others.iter();
        let other = others.find(|route| path.starts_with(&route.prefix));
        let length = |route: Option<&Arc<Route>>| route.map_or(0, |route| route.prefix.len());
        if length(other) > length(folder) {
            return other;
        }
        folder.or(other)
    }
}

/// Selects one of the route's services by weight; the first one if all weights are zero.
fn pick_target(route: &Route, draw: u64) -> Option<ServiceName> {
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    if total == 0 {
        return route.targets.first().map(|target| target.service.clone());
    }
    let mut remaining = draw % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if remaining < weight {
            return Some(target.service.clone());
        }
        remaining -= weight;
    }
    None
}
