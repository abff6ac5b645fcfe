//! The state of a node, which its tasks share, and the operations that apply new documents to it.

mod digest;
mod gauges;
mod liveness;
mod run;

pub use self::run::run_node;

use {
    crate::{
        catalogue_list::CatalogueEntry,
        dialect::Dialect,
        down_upstreams::DownUpstreams,
        entry_runs::EntryRuns,
        evacuations::KnownEvacuations,
        held_bytes::HeldBytes,
        limits::OWNERS_KEY,
        list_fetch::ListFetches,
        members::Members,
        metrics::Metrics,
        owner::Owner,
        rollouts::Rollouts,
        settings::{MemberRecord, NodeSettings},
        stop::StopSignal,
        tunnels::OpenTunnels,
        upstream_connections::UpstreamConnections,
        upstream_health::UpstreamHealth,
        upstream_paths::UpstreamPaths,
        versioned_list::Changes,
        views::Views,
    },
    dragonflystep_dispatch::{
        DataCentreName, Event, MonotonicTime, NodeIncarnation, NodeName, RegionName, RunId,
        Upstream, UpstreamId, UpstreamPhase, UpstreamVersion, Visibility, run_id,
    },
    dragonflystep_peer::Network,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        io,
        net::SocketAddr,
        ops::Range,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Mutex,
};

/// Why a node can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// Binding a listening socket failed.
    #[error("can't listen on {address} for {purpose}: {source}")]
    Listen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Use of the listener, for example "callers".
        purpose: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Installing a signal handler failed.
    #[error("can't receive signals: {0}")]
    Signals(io::Error),
}

/// The state of a node: its documents, its view of the other nodes, its connections, and the owner that grants
/// slots.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) owner: Rc<Owner>,
    pub(crate) members: Members,
    pub(crate) entry_runs: EntryRuns,
    pub(crate) network: Rc<dyn Network>,
    pub(crate) connections: UpstreamConnections,
    pub(crate) upstream_paths: RefCell<UpstreamPaths>,
    /// Held while the reason of a broken connection is found out.
    pub(crate) break_check: Mutex<()>,
    pub(crate) down_upstreams: DownUpstreams,
    /// Number of tunnels that this node serves for others.
    pub(crate) open_tunnels: RefCell<OpenTunnels>,
    pub(crate) upstream_health: UpstreamHealth,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) views: Views,
    pub(crate) list_fetches: ListFetches,
    pub(crate) rollouts: Rc<Rollouts>,
    pub(crate) evacuations: KnownEvacuations,
    pub(crate) held_bytes: HeldBytes,
    /// The region of each data centre; a reload of the settings may change it.
    pub(crate) regions: RefCell<BTreeMap<DataCentreName, RegionName>>,
    pub(crate) stop: StopSignal,
    /// Grace period of a stop. A reload of the settings may change this value and the next one.
    pub(crate) stop_grace: Cell<Duration>,
    pub(crate) address_lifetime: Cell<Duration>,
    pub(crate) random: RefCell<SmallRng>,
    incarnation: u64,
    runs_started: Cell<u32>,
    /// When another node last answered a gossip exchange.
    peer_answered_at: Cell<MonotonicTime>,
    /// Whether this node was cut off from all others and has not reached enough of its partners since.
    is_reconnecting: Cell<bool>,
    /// When the platform last answered a call of this node.
    platform_answered_at: Cell<MonotonicTime>,
    /// When the platform last answered this node, or another one that reported it in a gossip exchange.
    platform_heard_at: Cell<MonotonicTime>,
    /// Start of the current period in which the platform answered some node without a gap, as far as this
    /// node has learned.
    platform_up_since: Cell<MonotonicTime>,
    /// The nodes that were to have copies of what this node knows of streams when that was last checked.
    pub(crate) last_stream_keepers: RefCell<Vec<NodeName>>,
    /// Whether this node was the owner then.
    pub(crate) was_owner: Cell<bool>,
    /// The owner that this node used last; absent before the first request.
    last_owner: RefCell<Option<NodeName>>,
}

impl Node {
    fn new(settings: NodeSettings, dialect: Box<dyn Dialect>, network: Rc<dyn Network>) -> Self {
        let seed = settings.seed.unwrap_or_else(rand::random);
        let mut random = SmallRng::seed_from_u64(seed);
        let incarnation = random.random();
        let own_record = MemberRecord {
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            ingress: settings.ingress.to_string(),
            peers: settings.peers_advertised.to_string(),
            cpu_share: settings.cpu_share,
        };
        let rollouts = Rc::new(Rollouts::default());
        let metrics = Rc::new(Metrics::default());
        Self {
            owner: Rc::new(Owner::new(
                settings.shared_limits,
                rollouts.clone(),
                metrics.clone(),
            )),
            members: Members::new(own_record, network.clone()),
            entry_runs: EntryRuns::new(
                settings.shared_limits.quota.window,
                settings.is_first_start,
            ),
            connections: UpstreamConnections::default(),
            upstream_paths: RefCell::default(),
            break_check: Mutex::default(),
            down_upstreams: DownUpstreams::default(),
            open_tunnels: RefCell::default(),
            upstream_health: UpstreamHealth::default(),
            metrics,
            views: Views::default(),
            list_fetches: ListFetches::default(),
            rollouts,
            evacuations: KnownEvacuations::default(),
            held_bytes: HeldBytes::new(settings.memory_bytes),
            regions: RefCell::new(settings.regions.clone()),
            stop: StopSignal::default(),
            stop_grace: Cell::new(settings.stop_grace),
            address_lifetime: Cell::new(settings.address_lifetime),
            random: RefCell::new(random),
            incarnation,
            runs_started: Cell::new(0),
            peer_answered_at: Cell::new(Duration::ZERO),
            is_reconnecting: Cell::new(false),
            platform_answered_at: Cell::new(Duration::ZERO),
            platform_heard_at: Cell::new(Duration::ZERO),
            platform_up_since: Cell::new(Duration::ZERO),
            last_stream_keepers: RefCell::default(),
            was_owner: Cell::new(false),
            last_owner: RefCell::default(),
            network,
            settings,
            dialect,
        }
    }

    /// Returns `wait` times a random factor from `factors`, so that nodes which started or failed together do not
    /// stay in step.
    pub fn jittered(&self, wait: Duration, factors: Range<f64>) -> Duration {
        wait.mul_f64(self.random.borrow_mut().random_range(factors))
    }

    /// Logs and counts a change of the owner from which this node requests slots.
    pub(crate) fn note_owner(&self, owner: Option<&NodeName>) {
        let mut last = self.last_owner.borrow_mut();
        if last.as_ref() == owner {
            return;
        }
        let name = |node: Option<&NodeName>| node.map_or(String::new(), ToString::to_string);
        log::info!(owner = name(owner), before = name(last.as_ref()), members = self.members.version(); "owner changed");
        self.metrics.count("owner_changes_total", "services");
        *last = owner.cloned();
    }

    /// Version of the catalogue in force; 0 if there is none.
    pub fn catalogue_version(&self) -> u64 {
        self.views.catalogue_version()
    }

    /// The number drawn at this start of the node.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the whole system starts for the first time.
    pub fn is_first_start(&self) -> bool {
        self.settings.is_first_start
    }

    /// How many of the nodes that may be running are visible to this one.
    pub fn visibility(&self) -> Visibility {
        self.owner.visibility()
    }

    /// The node from which this one requests slots.
    pub fn owner(&self) -> Option<NodeName> {
        self.ranked_owners(1).into_iter().next()
    }

    /// Whether more than half of the nodes that may be running are visible to this one.
    pub fn sees_majority(&self) -> bool {
        self.owner.visibility().is_majority()
    }

    /// Number of listed nodes, this one included.
    pub fn listed_nodes(&self) -> usize {
        self.members.listed_count()
    }

    /// Whether the list of nodes in force contains this node.
    pub fn is_listed(&self) -> bool {
        self.members.is_own_node_listed()
    }

    /// Version of the list of nodes in force; 0 if there is none.
    pub fn members_version(&self) -> u64 {
        self.members.version()
    }

    /// The entries of the list of nodes in force; this node's own is among them if it is listed.
    pub fn member_records(&self) -> Vec<MemberRecord> {
        self.members.list().entries().cloned().collect()
    }

    /// Version of the registry in force; 0 if there is none.
    pub fn registry_version(&self) -> u64 {
        self.views.registry().version
    }

    /// The upstreams in the registry in force.
    pub fn upstreams(&self) -> Rc<Vec<Upstream>> {
        self.views.registry().upstreams
    }

    /// This node's own entry in the list of nodes.
    pub fn member_record(&self) -> &MemberRecord {
        self.members.own_record()
    }

    /// Applies a catalogue document, unless the catalogue in force is as new. `source` names its origin in the log.
    pub fn apply_catalogue(&self, document: &[u8], source: &str) {
        let catalogue = match self.dialect.read_catalogue(document) {
            Ok(catalogue) => catalogue,
            Err(error) => {
                log::error!(source, error:%; "catalogue can't be decoded; the one in force stays");
                return;
            }
        };
        let before = self.views.catalogue_version();
        let has_changed = self.views.replace_catalogue(catalogue);
        self.activate_catalogue(has_changed, before, source);
    }

    /// Applies changes of the catalogue that another node sent.
    pub(crate) fn apply_catalogue_changes(&self, changes: Changes<CatalogueEntry>, source: &str) {
        let before = self.views.catalogue_version();
        let has_changed = self.views.apply_catalogue(changes);
        self.activate_catalogue(has_changed, before, source);
    }

    fn activate_catalogue(&self, has_changed: bool, before: u64, source: &str) {
        let Some(table) = self.views.catalogue().filter(|_| has_changed) else {
            return;
        };
        let catalogue = table.catalogue().clone();
        log::info!(source, version = catalogue.version, before, routes = catalogue.routes.len(); "catalogue in force");
        self.list_fetches.catalogue.note_in_force(catalogue.version);
        self.owner.apply(Event::CatalogueChanged(catalogue));
    }

    /// Applies a version of the registry of upstreams, unless the one in force is as new.
    pub fn apply_registry(&self, version: u64, upstreams: Vec<Upstream>, source: &str) {
        let before = self.views.registry().version;
        let has_changed = self.views.replace_registry(version, upstreams);
        self.activate_registry(has_changed, before, source);
    }

    /// Records what this node itself read of an upstream in the platform's table: whether it takes requests, or leaves.
    pub fn record_upstream_reading(&self, upstream: &UpstreamId, takes_requests: bool) {
        let left = self.views.left_upstreams();
        if takes_requests {
            left.record_ready(upstream);
        } else {
            left.record(upstream.clone());
        }
    }

    /// Applies changes of the registry that another node sent.
    pub(crate) fn apply_registry_changes(&self, changes: Changes<Upstream>, source: &str) {
        let before = self.views.registry().version;
        let has_changed = self.views.apply_registry(changes);
        self.activate_registry(has_changed, before, source);
    }

    fn activate_registry(&self, has_changed: bool, before: u64, source: &str) {
        if !has_changed {
            return;
        }
        let registry = self.views.registry();
        log::info!(source, version = registry.version, before, upstreams = registry.upstreams.len(); "registry in force");
        let upstreams = registry.upstreams.as_ref().clone();
        self.owner.apply(Event::UpstreamsChanged(upstreams));
    }

    /// Whether an upstream takes requests, according to the registry in force and the notices that this node knows.
    pub fn is_upstream_ready(&self, id: &str) -> bool {
        let registry = self.views.registry();
        let mut upstreams = registry.upstreams.iter();
        upstreams.any(|upstream| {
            &*upstream.id == id
                && upstream.phase == UpstreamPhase::Ready
                && !self.owner.is_leaving(&upstream.id)
        })
    }

    /// Version of an upstream's software, according to the registry in force; none if the upstream is not listed.
    pub(crate) fn upstream_version(&self, id: &str) -> Option<UpstreamVersion> {
        let upstreams = self.views.registry().upstreams;
        let upstream = upstreams.iter().find(|upstream| &*upstream.id == id)?;
        Some(upstream.version.clone())
    }

    /// Applies changed settings. Addresses and names take effect only after a restart.
    pub fn reload(&self, settings: &NodeSettings) {
        self.owner
            .apply(Event::LimitsChanged(settings.shared_limits));
        self.stop_grace.set(settings.stop_grace);
        self.address_lifetime.set(settings.address_lifetime);
        self.regions.replace(settings.regions.clone());
        log::info!(limits:? = settings.shared_limits; "settings reloaded");
    }

    /// Applies a version of the list of nodes, unless the one in force is as new.
    pub fn apply_members(&self, version: u64, records: Vec<MemberRecord>, source: &str) {
        let before = self.members.version();
        let has_changed = self.members.replace_records(version, records);
        self.activate_members(has_changed, before, source);
    }

    /// Applies changes of the list of nodes that another node sent.
    pub(crate) fn apply_member_changes(&self, changes: Changes<MemberRecord>, source: &str) {
        let before = self.members.version();
        let has_changed = self.members.apply_records(changes);
        self.activate_members(has_changed, before, source);
    }

    fn activate_members(&self, has_changed: bool, before: u64, source: &str) {
        if has_changed {
            let (version, nodes) = (self.members.version(), self.members.listed_count());
            log::info!(source, version, before, nodes; "list of nodes in force");
            self.owner.apply(Event::NodeCountChanged(nodes));
            self.update_visibility();
        }
    }

    /// Whether the node can serve requests: it has a catalogue and a registry, and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.views.catalogue().is_some()
            && self.views.registry().version > 0
            && !self.stop.is_stopping()
    }

    /// Returns a new run id, unique within this incarnation of the node.
    pub fn next_run(&self) -> RunId {
        let number = self.runs_started.get().wrapping_add(1);
        self.runs_started.set(number);
        run_id(self.node_incarnation(), number)
    }

    /// This node's incarnation as it appears in run ids: the low bits of the number drawn at the start.
    pub(crate) fn node_incarnation(&self) -> NodeIncarnation {
        self.incarnation as NodeIncarnation
    }

    /// The first `limit` nodes in the order in which they own the services.
    ///
    /// All services have the same owner, because an account pays for requests of all services from one quota. Two
    /// owners that count separately would grant more than the quota.
    pub(crate) fn ranked_owners(&self, limit: usize) -> Vec<NodeName> {
        self.ranked(OWNERS_KEY, limit)
    }

    fn ranked(&self, key: &'static str, limit: usize) -> Vec<NodeName> {
        let now = self.owner.now();
        let is_leaving = self.stop.is_stopping();
        self.members.ranked(now, key, is_leaving, limit)
    }
}
