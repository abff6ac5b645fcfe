//! The items of the catalogue.

use {
    crate::ids::{AccountId, CatalogueVersion, DataCentreId, GroupId, ServiceId, Tier, UpstreamId},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// An item together with the version that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revised<T> {
    /// Version that last changed the item.
    pub revision: CatalogueVersion,
    /// The current content.
    pub item: Arc<T>,
}

/// Kind of upstream that answers requests for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine: batches continuously, caches prefixes, streams tokens.
    Engine,
    /// A plain application: one request, one answer.
    Plain,
}

/// How a service treats requests of lower tiers when a higher tier lacks capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OverloadPolicy {
    /// Lower idempotent streams are cancelled only when waiting would miss the higher tier's deadline.
    #[default]
    CancelWhenLate,
    /// Lower idempotent streams are cancelled as soon as a higher request waits.
    CancelAtOnce,
}

/// A service that callers can address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name; callers reach the service under `/services/<id>/`.
    pub id: ServiceId,
    /// Kind of upstream that answers its requests.
    pub kind: ServiceKind,
    /// How requests of lower tiers make room for higher ones.
    #[serde(default)]
    pub overload_policy: OverloadPolicy,
    /// Model that the engines serve; none for a plain service.
    #[serde(default)]
    pub model: Option<Arc<str>>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Takes work.
    #[default]
    Active,
    /// Finishes what it runs and takes nothing new.
    Leaving,
}

/// Limits that must not be exceeded on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamLimits {
    /// Most requests that may run at one time.
    pub running_requests: u32,
    /// Most tokens, of prompt and answer together, that may be held at one time; no limit if absent.
    #[serde(default)]
    pub held_tokens: Option<u64>,
}

/// An upstream: one server of a service, owned by a department.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name.
    pub id: UpstreamId,
    /// Name of the service that it belongs to.
    pub service: ServiceId,
    /// Department that owns it.
    pub owner: Arc<str>,
    /// Class of its hardware and engine.
    pub class: Arc<str>,
    /// IP number and port.
    pub address: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Group whose broker grants its slots; an upstream never changes its group.
    pub group: GroupId,
    /// Limits on concurrent requests and tokens.
    pub limits: UpstreamLimits,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: UpstreamState,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Name of its VM in the platform's VM list, if it has one.
    #[serde(default)]
    pub vm: Option<Arc<str>>,
}

/// Service-level objective of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Longest time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Longest mean time between tokens, in milliseconds.
    pub token_gap_ms: u64,
    /// Share of requests that must be good, between 0 and 1.
    pub good_share: f64,
}

/// Settings of a tier, the priority class of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSettings {
    /// Name that callers use in the `X-Tier` header.
    pub id: Arc<str>,
    /// Rank; 0 is the most urgent.
    pub rank: Tier,
    /// Deadline of a request that sets none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Service-level objective of the tier.
    pub objective: Objective,
}

impl TierSettings {
    /// Returns the deadline of a request that sets none.
    pub fn default_deadline(&self) -> Duration {
        Duration::from_millis(self.default_deadline_ms)
    }
}

/// One client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Unique name.
    pub id: AccountId,
    /// SHA-256 of the account's key, in hexadecimal.
    pub key_sha256: Arc<str>,
    /// Weight of the account's share of a tier, relative to other accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Names of the tiers that the account may use; empty for all.
    #[serde(default)]
    pub tiers: Vec<Arc<str>>,
}

fn default_weight() -> u32 {
    1
}

/// One version of the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Number of this version; 0 is the empty catalogue.
    pub version: CatalogueVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Revised<Service>>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamId, Revised<Upstream>>,
    /// Tiers by name.
    pub tiers: BTreeMap<Arc<str>, Revised<TierSettings>>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountId, Revised<ClientAccount>>,
}

impl Catalogue {
    /// Upstream of this name.
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id).map(|entry| entry.item.as_ref())
    }

    /// Service of this name.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.get(id).map(|entry| entry.item.as_ref())
    }

    /// Tier of this name.
    pub fn tier(&self, id: &str) -> Option<&TierSettings> {
        self.tiers.get(id).map(|entry| entry.item.as_ref())
    }

    /// Client account of this name.
    pub fn account(&self, id: &str) -> Option<&ClientAccount> {
        self.accounts.get(id).map(|entry| entry.item.as_ref())
    }

    /// All upstreams.
    pub fn all_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().map(|entry| entry.item.as_ref())
    }
}
