//! The catalogue: routes, services, accounts and limits that operators configure.

use {
    crate::ids::{AccountName, RegionName, RouteName, ServiceName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One version of everything that operators configure.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Version number; increases with each change.
    pub version: u64,
    /// Routes, which map requests to services.
    pub routes: Vec<Route>,
    /// Services with the limits of their upstreams.
    pub services: Vec<Service>,
    /// Accounts with their keys and quotas; empty if requests need no key.
    pub accounts: Vec<Account>,
    /// Limits on what a client may send.
    pub limits: ClientLimits,
}

/// Maps the requests to one host below one path to services, with the rules for serving them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: RouteName,
    /// Host that clients request, without a port.
    pub host: String,
    /// Path prefix that a request's path has to begin with.
    pub prefix: String,
    /// Whether requests may be repeated, and whether they are answered with streams.
    pub kind: RouteKind,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Latency objective: the time within which an answer, or the first event of a stream, counts as on time.
    pub objective: Duration,
    /// Priority of the requests; 0 goes first.
    pub tier: u8,
    /// Services that receive the requests, by weight; usually one.
    pub targets: Vec<Target>,
    /// Largest number of upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_anonymous: bool,
    /// Regions in which the requests may be processed; empty if they may be processed anywhere.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<RegionName>,
}

/// Whether a route's requests may be repeated, and whether they are answered with streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once; it has a plain answer.
    Idempotent,
    /// A request must run at most once; it has a plain answer.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may continue the stream after the last event that arrived.
        is_resumable: bool,
        /// Longest permitted pause between two events.
        longest_pause: Duration,
    },
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service that receives the requests.
    pub service: ServiceName,
    /// Weight of the service, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A service and the limits of its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Largest number of connections that one upstream accepts from all nodes together.
    pub max_connections: u32,
    /// Path of the upstreams' health check; empty if they have none.
    #[serde(default)]
    pub health_path: String,
    /// Properties of the service's engines; absent for a plain service.
    pub engine: Option<Engine>,
    /// How upstreams warm up after a start; absent if they need not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<WarmUp>,
}

/// How the upstreams of a service warm up. An upstream that has just started, or that lost its caches, breaks under a
/// load that it bears later.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// How long an upstream stays cold.
    pub duration: Duration,
    /// Requests per second from all nodes together that a cold upstream bears.
    pub requests_per_s: f64,
}

/// Properties of the inference engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests that one engine runs at once.
    pub slots: u32,
    /// Size of the KV cache for prompts and cached prefixes, in tokens.
    pub cache_tokens: u64,
    /// Number of output tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// How engines send the KV caches of their runs to one another; absent if they can't.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cache_transfer: Option<CacheTransfer>,
}

/// How the engines of a service send the KV caches of their runs to one another, so that a run can go on elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheTransfer {
    /// Size of the KV cache, in bytes per token.
    pub token_bytes: u32,
    /// Rate of an engine's link for transfers, in megabits per second.
    pub link_mbit_per_s: f64,
    /// How long an engine keeps a copy after the last part of it arrived.
    pub copy_lifetime: Duration,
    /// Whether the cache of a run can be copied to another engine while it grows.
    pub has_backups: bool,
    /// Whether a run can be stopped and its cache moved to another engine.
    pub has_moves: bool,
}

/// A client account with its keys, priority and quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account, which is passed on to upstreams.
    pub name: AccountName,
    /// Keys by which clients identify as this account.
    pub keys: Vec<String>,
    /// Priority of the account's requests. It takes precedence over the route's tier, which decides among equal ones.
    /// If absent, the route's tier is used.
    pub tier: Option<u8>,
    /// Quota of the account; absent if it is not limited.
    pub quota: Option<AccountQuota>,
    /// Regions in which the account's requests may be processed; empty if they may be processed anywhere.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<RegionName>,
}

/// The rate and burst that an account may use over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// Unit of the other fields.
    pub unit: QuotaUnit,
    /// Units that the account may use per second.
    pub units_per_s: f64,
    /// Units that the account may use at once.
    pub burst_units: f64,
}

/// The unit in which a quota is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts as one unit.
    Requests,
    /// Each request counts as its prompt tokens plus the largest number of output tokens.
    Tokens {
        /// Number of tokens that is counted for a request that states none.
        plain_request_tokens: u32,
    },
}

/// Limits on the size of a client's requests and on the time that it may take to send them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a client may take to send the head.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns generous limits, which apply until the first catalogue is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
