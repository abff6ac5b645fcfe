//! What operators configure, in the product's own types.

use {
    crate::ids::{AccountName, RouteName, ServiceName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One version of everything that operators configure.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// Rises with each change.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// Services with their limits.
    pub services: Vec<Service>,
    /// Accounts with their keys and quotas; none when requests need no key.
    pub accounts: Vec<Account>,
    /// What a client may send.
    pub limits: ClientLimits,
}

/// Requests of one host below one path, and how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: RouteName,
    /// Host that clients name, without a port.
    pub host: String,
    /// Path that the request's path begins with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is of full use.
    pub objective: Duration,
    /// Rank of the requests; 0 goes first.
    pub tier: u8,
    /// Services by weight; one in the plain case.
    pub targets: Vec<Target>,
    /// Upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may go on after the last event that arrived.
        is_resumable: bool,
        /// Longest pause between two events.
        longest_pause: Duration,
    },
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, against the sum of all weights of the route.
    pub weight: u32,
}

/// A service and the limits of its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one upstream accepts from all nodes together.
    pub max_connections: u32,
    /// Path at which an upstream says whether it takes requests; empty when it does not say.
    #[serde(default)]
    pub health_path: String,
    /// What is known of its engines; none for a plain service.
    pub engine: Option<Engine>,
}

/// Properties of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and cached parts, in tokens.
    pub cache_tokens: u64,
    /// Output tokens in one event.
    pub tokens_per_event: u32,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its name, which upstreams are told.
    pub name: AccountName,
    /// Keys that clients send.
    pub keys: Vec<String>,
    /// Rank of its requests, which goes before that of the route; the route's decides among equals.
    pub tier: Option<u8>,
    /// What it may use.
    pub quota: Option<AccountQuota>,
}

/// What an account may use over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountQuota {
    /// What the other fields count.
    pub unit: QuotaUnit,
    /// Units a second.
    pub units_per_s: f64,
    /// Units at once.
    pub burst_units: f64,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Prompt tokens and the most output tokens.
    Tokens {
        /// Tokens of a request that names none.
        plain_request_tokens: u32,
    },
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Size of the head.
    pub max_header_bytes: usize,
    /// Size of the body.
    pub max_body_bytes: usize,
    /// Time to send the head.
    pub header_timeout: Duration,
    /// Time that a connection may stay unused.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Generous limits for the time before the first catalogue is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
