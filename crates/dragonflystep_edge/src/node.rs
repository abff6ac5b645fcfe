//! One node put together.

mod digest;
mod liveness;
mod run;

pub use self::run::run_node;

use {
    crate::{
        catalogue_list::CatalogueEntry,
        dialect::Dialect,
        entry_runs::EntryRuns,
        limits::OWNERS_KEY,
        list_fetch::ListFetches,
        members::Members,
        metrics::Metrics,
        owner::Owner,
        rollouts::Rollouts,
        settings::{MemberRecord, NodeSettings},
        stop::StopSignal,
        upstream_connections::UpstreamConnections,
        upstream_health::UpstreamHealth,
        versioned_list::Changes,
        views::Views,
    },
    dragonflystep_dispatch::{
        Event, MonotonicTime, NodeIncarnation, NodeName, RunId, Upstream, UpstreamPhase,
        Visibility, run_id,
    },
    dragonflystep_peer::PeerNetwork,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        ops::Range,
        rc::Rc,
        time::Duration,
    },
};

/// Why a node can't run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An address can't be listened on.
    #[error("can't listen on {address} for {purpose}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// Signals can't be received.
    #[error("can't receive signals: {0}")]
    Signals(io::Error),
}

/// A node: its views, its links, and the owner's decisions.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) owner: Rc<Owner>,
    pub(crate) members: Members,
    pub(crate) entry_runs: EntryRuns,
    pub(crate) connections: UpstreamConnections,
    pub(crate) upstream_health: UpstreamHealth,
    pub(crate) metrics: Metrics,
    pub(crate) views: Views,
    pub(crate) list_fetches: ListFetches,
    pub(crate) rollouts: Rc<Rollouts>,
    pub(crate) stop: StopSignal,
    /// Settings that a reload may change.
    pub(crate) stop_grace: Cell<Duration>,
    pub(crate) address_lifetime: Cell<Duration>,
    random: RefCell<SmallRng>,
    incarnation: u64,
    runs_started: Cell<u32>,
    /// When another node last answered an exchange.
    exchanged_at: Cell<MonotonicTime>,
    /// When the platform last answered a call.
    platform_answered_at: Cell<MonotonicTime>,
    /// When the platform last answered this node or one of which it heard.
    platform_heard_at: Cell<MonotonicTime>,
    /// Since when the platform has been answering somebody without a longer gap, as far as this node heard.
    platform_up_since: Cell<MonotonicTime>,
    /// The node that was asked for a place last.
    last_owner: RefCell<Option<NodeName>>,
}

impl Node {
    fn new(
        settings: NodeSettings,
        dialect: Box<dyn Dialect>,
        network: Rc<dyn PeerNetwork>,
    ) -> Self {
        let seed = settings.seed.unwrap_or_else(rand::random);
        let mut random = SmallRng::seed_from_u64(seed);
        let incarnation = random.random();
        let own = MemberRecord {
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            ingress: settings.ingress.to_string(),
            peers: settings.peers_advertised.to_string(),
            cpu_share: settings.cpu_share,
        };
        let rollouts = Rc::new(Rollouts::default());
        Self {
            owner: Rc::new(Owner::new(settings.shared_limits, rollouts.clone())),
            members: Members::new(own, network),
            entry_runs: EntryRuns::new(
                settings.shared_limits.quota.window,
                settings.is_first_start,
            ),
            connections: UpstreamConnections::default(),
            upstream_health: UpstreamHealth::default(),
            metrics: Metrics::default(),
            views: Views::default(),
            list_fetches: ListFetches::default(),
            rollouts,
            stop: StopSignal::default(),
            stop_grace: Cell::new(settings.stop_grace),
            address_lifetime: Cell::new(settings.address_lifetime),
            random: RefCell::new(random),
            incarnation,
            runs_started: Cell::new(0),
            exchanged_at: Cell::new(Duration::ZERO),
            platform_answered_at: Cell::new(Duration::ZERO),
            platform_heard_at: Cell::new(Duration::ZERO),
            platform_up_since: Cell::new(Duration::ZERO),
            last_owner: RefCell::default(),
            settings,
            dialect,
        }
    }

    /// A wait times a random factor, so that nodes which started or failed together do not stay in step.
    pub fn jittered(&self, wait: Duration, factors: Range<f64>) -> Duration {
        wait.mul_f64(self.random.borrow_mut().random_range(factors))
    }

    /// Notes which node is asked for places, if that changed.
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

    /// Version of the catalogue in force; 0 is none.
    pub fn catalogue_version(&self) -> u64 {
        self.views.catalogue_version()
    }

    /// How much of the system this node sees.
    pub fn visibility(&self) -> Visibility {
        self.owner.visibility()
    }

    /// The node that this one asks for places.
    pub fn owner(&self) -> Option<NodeName> {
        self.ranked_owners(1).into_iter().next()
    }

    /// Whether this node sees most of the nodes that may be running.
    pub fn sees_majority(&self) -> bool {
        self.owner.visibility().is_majority()
    }

    /// Nodes that are listed, this one included.
    pub fn listed_nodes(&self) -> usize {
        self.members.listed_count()
    }

    /// Whether the list of nodes in force names this node.
    pub fn is_listed(&self) -> bool {
        self.members.lists_own()
    }

    /// Version of the list of nodes in force; 0 is none.
    pub fn members_version(&self) -> u64 {
        self.members.version()
    }

    /// The list of nodes in force.
    pub fn member_records(&self) -> Vec<MemberRecord> {
        self.members.list().entries().cloned().collect()
    }

    /// Version of the registry in force; 0 is none.
    pub fn registry_version(&self) -> u64 {
        self.views.registry().version
    }

    /// The upstreams of the registry in force.
    pub fn upstreams(&self) -> Rc<Vec<Upstream>> {
        self.views.registry().upstreams
    }

    /// How other nodes find this one.
    pub fn member_record(&self) -> &MemberRecord {
        self.members.own()
    }

    /// Applies a catalogue document; older versions than the present one are left alone.
    pub fn learn_catalogue(&self, document: &[u8], source: &str) {
        let catalogue = match self.dialect.read_catalogue(document) {
            Ok(catalogue) => catalogue,
            Err(error) => {
                log::error!(source, error:%; "catalogue is not understood; the last good one stays in force");
                return;
            }
        };
        let before = self.views.catalogue_version();
        let is_news = self.views.replace_catalogue(catalogue);
        self.use_catalogue(is_news, before, source);
    }

    /// Applies what another node sent of the catalogue.
    pub(crate) fn learn_catalogue_changes(&self, changes: Changes<CatalogueEntry>, source: &str) {
        let before = self.views.catalogue_version();
        let is_news = self.views.apply_catalogue(changes);
        self.use_catalogue(is_news, before, source);
    }

    fn use_catalogue(&self, is_news: bool, before: u64, source: &str) {
        let Some(table) = self.views.catalogue().filter(|_| is_news) else {
            return;
        };
        let catalogue = table.catalogue().clone();
        log::info!(source, version = catalogue.version, before, routes = catalogue.routes.len(); "catalogue in force");
        self.list_fetches.catalogue.note_in_force(catalogue.version);
        self.owner.apply(Event::CatalogueChanged(catalogue));
    }

    /// Applies the registry of upstreams; older versions than the present one are left alone.
    pub fn learn_registry(&self, version: u64, upstreams: Vec<Upstream>, source: &str) {
        let before = self.views.registry().version;
        let is_news = self.views.replace_registry(version, upstreams);
        self.use_registry(is_news, before, source);
    }

    /// Applies what another node sent of the registry.
    pub(crate) fn learn_registry_changes(&self, changes: Changes<Upstream>, source: &str) {
        let before = self.views.registry().version;
        let is_news = self.views.apply_registry(changes);
        self.use_registry(is_news, before, source);
    }

    fn use_registry(&self, is_news: bool, before: u64, source: &str) {
        if !is_news {
            return;
        }
        let registry = self.views.registry();
        log::info!(source, version = registry.version, before, upstreams = registry.upstreams.len(); "registry in force");
        let upstreams = registry.upstreams.as_ref().clone();
        self.owner.apply(Event::UpstreamsChanged(upstreams));
    }

    /// Whether an upstream takes requests, as far as this node knows from the platform and other nodes.
    pub fn believes_ready(&self, id: &str) -> bool {
        let registry = self.views.registry();
        let mut upstreams = registry.upstreams.iter();
        upstreams.any(|upstream| {
            &*upstream.id == id
                && upstream.phase == UpstreamPhase::Ready
                && !self.owner.is_leaving(&upstream.id)
        })
    }

    /// Applies a changed settings file; addresses and names stay until a restart.
    pub fn reload(&self, settings: &NodeSettings) {
        self.owner
            .apply(Event::LimitsChanged(settings.shared_limits));
        self.stop_grace.set(settings.stop_grace);
        self.address_lifetime.set(settings.address_lifetime);
        log::info!(limits:? = settings.shared_limits; "settings reloaded");
    }

    /// Applies the list of nodes; older versions than the present one are left alone.
    pub fn learn_members(&self, version: u64, records: Vec<MemberRecord>, source: &str) {
        let before = self.members.version();
        let is_news = self.members.replace_records(version, records);
        self.use_members(is_news, before, source);
    }

    /// Applies what another node sent of the list of nodes.
    pub(crate) fn learn_member_changes(&self, changes: Changes<MemberRecord>, source: &str) {
        let before = self.members.version();
        let is_news = self.members.apply_records(changes);
        self.use_members(is_news, before, source);
    }

    fn use_members(&self, is_news: bool, before: u64, source: &str) {
        if is_news {
            let (version, nodes) = (self.members.version(), self.members.listed_count());
            log::info!(source, version, before, nodes; "list of nodes in force");
            self.owner.apply(Event::NodeCountChanged(nodes));
            self.update_reach();
        }
    }

    /// Whether the node serves: it knows a catalogue and the upstreams, and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.views.catalogue().is_some()
            && self.views.registry().version > 0
            && !self.stop.is_stopping()
    }

    /// An id that no other run of this start of the node has.
    pub fn next_run(&self) -> RunId {
        let number = self.runs_started.get().wrapping_add(1);
        self.runs_started.set(number);
        run_id(self.node_incarnation(), number)
    }

    /// This start of the node, as its runs name it.
    pub(crate) fn node_incarnation(&self) -> NodeIncarnation {
        self.incarnation as NodeIncarnation
    }

    /// The first `most` nodes in the order in which they own the services.
    ///
    /// All services have the same owner: accounts pay for the requests of all of them from one quota, and
    /// two owners that count apart give out more than the quota.
    pub(crate) fn ranked_owners(&self, most: usize) -> Vec<NodeName> {
        self.ranked(OWNERS_KEY, most)
    }

    fn ranked(&self, key: &'static str, most: usize) -> Vec<NodeName> {
        let now = self.owner.now();
        let is_leaving = self.stop.is_stopping();
        self.members.ranked(now, key, is_leaving, most)
    }

    /// Figures of the moment for the metrics page.
    pub(crate) fn gauges(&self) -> Vec<(&'static str, f64)> {
        let now = self.owner.now();
        vec![
            (
                "platform_silent_s",
                now.saturating_sub(self.platform_answered_at.get())
                    .as_secs_f64(),
            ),
            ("catalogue_version", self.views.catalogue_version() as f64),
            (
                "catalogue_behind_s",
                self.list_fetches.catalogue.waits_for(now).as_secs_f64(),
            ),
            ("registry_version", self.views.registry().version as f64),
            ("members_known", self.members.known_count() as f64),
            ("members_visible", self.members.mutual_count(now) as f64),
            ("runs_of_this_entry", self.entry_runs.count() as f64),
            ("requests_waiting_here", self.owner.waiting_count() as f64),
            ("services_known", self.owner.service_count() as f64),
        ]
    }
}
