//! Finds the route and the account of a request.

use {
    crate::{
        catalogue::{Account, Catalogue, Route, Service},
        ids::{ServiceName, Tier},
    },
    std::{collections::HashMap, sync::Arc},
};

/// Why a request has no route or may not use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingError {
    /// No route fits the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// The route of a request, and who pays for it.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route.
    pub route: Arc<Route>,
    /// The account; none on routes without keys.
    pub account: Option<Arc<Account>>,
    /// The service that the request goes to.
    pub service: ServiceName,
}

impl RouteMatch {
    /// The request's rank: that of the account goes before that of the route, which decides among
    /// accounts of the same rank.
    pub fn tier(&self) -> Tier {
        let account = self.account.as_ref().and_then(|account| account.tier);
        let first = Tier::from(account.unwrap_or(self.route.tier));
        first << 8 | Tier::from(self.route.tier)
    }
}

/// A catalogue, prepared for lookups.
#[derive(Debug, Default)]
pub struct RoutingTable {
    catalogue: Arc<Catalogue>,
    hosts: HashMap<String, HostRoutes>,
    accounts: HashMap<String, Arc<Account>>,
    services: HashMap<ServiceName, Service>,
}

impl RoutingTable {
    /// Prepares `catalogue` for lookups.
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
            let of_host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            of_host.add(route);
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

    /// The catalogue that the table was made from.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// A service of the catalogue.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Finds the route of a request by its host and path, and its account by its key.
    ///
    /// `draw` picks among the services of a route by their weights; any number will do.
    ///
    /// # Errors
    /// When no route fits, or the key that the route asks for is missing or unknown.
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
/// Prefixes end with a slash almost always, so that a request's route is one of as many lookups as its path has
/// slashes, however many routes its host has.
#[derive(Debug, Default)]
struct HostRoutes {
    /// Routes whose prefix ends with a slash.
    by_folder: HashMap<String, Arc<Route>>,
    longest_folder_bytes: usize,
    /// The others, longest prefix first.
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
        let shorter = |other: &Arc<Route>| other.prefix.len() >= route.prefix.len();
        let index = self.others.partition_point(shorter);
        self.others.insert(index, Arc::new(route.clone()));
    }

    /// The route with the longest prefix that begins the path.
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

fn pick_target(route: &Route, draw: u64) -> Option<ServiceName> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    if total == 0 {
        return route.targets.first().map(|target| target.service.clone());
    }
    let mut left = draw % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(target.service.clone());
        }
        left -= weight;
    }
    None
}
