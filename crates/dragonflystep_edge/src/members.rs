//! The list of nodes, and which of them are visible to this one.
//!
//! The platform's table lists the nodes. Whether a node is running is learned from gossip exchanges with it and
//! from the suspicions that the owners report (`members/reachability.rs`). A node that has not been tried yet
//! counts as visible.

mod reachability;

use {
    crate::{
        limits::{
            LARGE_SYSTEM_NEIGHBOURS, MIN_CALLS_FAILING, OWNER_WEIGHT_POWER, OWNERS_KEY,
            PREFERRED_OWNERS, SMALL_SYSTEM_NODES,
        },
        settings::MemberRecord,
        suspicion::Suspicions,
        upstream_dialer::Forwarder,
        versioned_list::{Changes, ListEntry, VersionedList},
    },
    dragonflystep_dispatch::{DataCentreName, Member, MonotonicTime, NodeName, rank_owners},
    dragonflystep_peer::{Network, PeerLink},
    rand::{Rng, seq::SliceRandom},
    std::{
        cell::{Cell, Ref, RefCell},
        collections::{BTreeMap, HashMap},
        rc::Rc,
        sync::Arc,
    },
    tokio::sync::Notify,
};

/// Another node: its record, the connection to it, and what is known of its state.
struct PeerState {
    record: MemberRecord,
    link: Rc<PeerLink>,
    /// When the current series of failed calls began; `None` if the last call was answered.
    failed_since: Option<MonotonicTime>,
    /// Whether a call to it was answered or failed since this node started.
    is_tried: bool,
    /// Whether the last call to it was refused: nothing listens there, or a network resets the connections to it.
    is_refusing: bool,
    is_leaving: bool,
    /// Whether its last answer listed this node as unavailable.
    answers_unavailable: bool,
    /// Since when each of its calls has stated that the one before it failed.
    calls_failing_since: Option<MonotonicTime>,
}

impl ListEntry for MemberRecord {
    fn key(&self) -> &Arc<str> {
        &self.node
    }
}

/// The nodes of the system from the point of view of this one.
pub(crate) struct Members {
    own_record: MemberRecord,
    network: Rc<dyn Network>,
    /// The list of nodes, from which `peers` is built.
    list: RefCell<VersionedList<MemberRecord>>,
    peers: RefCell<BTreeMap<NodeName, PeerState>>,
    /// All listed nodes by rank, for each ranking key; emptied when the list changes.
    rankings: RefCell<HashMap<&'static str, Rc<[NodeName]>>>,
    suspicions: RefCell<Suspicions>,
    list_known: Notify,
    has_discovered_peers: Cell<bool>,
}

impl Members {
    pub(crate) fn new(own_record: MemberRecord, network: Rc<dyn Network>) -> Self {
        Self {
            own_record,
            network,
            list: RefCell::default(),
            peers: RefCell::default(),
            rankings: RefCell::default(),
            suspicions: RefCell::default(),
            list_known: Notify::new(),
            has_discovered_peers: Cell::new(false),
        }
    }

    /// Waits until this node has a list of nodes.
    pub(crate) async fn wait_for_list(&self) {
        if self.version() == 0 {
            self.list_known.notified().await;
        }
    }

    pub(crate) fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Version of the list of nodes; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.list.borrow().version()
    }

    /// Whether the list contains this node.
    pub(crate) fn is_own_node_listed(&self) -> bool {
        self.list.borrow().contains(&self.own_record.node)
    }

    /// The versioned list of nodes, to be sent to other nodes.
    pub(crate) fn list(&self) -> Ref<'_, VersionedList<MemberRecord>> {
        self.list.borrow()
    }

    /// Replaces the list of nodes by a newer one. Returns whether it was replaced.
    pub(crate) fn replace_records(&self, version: u64, records: Vec<MemberRecord>) -> bool {
        let has_changed = self.list.borrow_mut().replace(version, records);
        self.refresh_peers(has_changed)
    }

    /// Applies changes of the list that another node sent. Returns whether the list changed.
    pub(crate) fn apply_records(&self, changes: Changes<MemberRecord>) -> bool {
        let has_changed = self.list.borrow_mut().apply(changes);
        self.refresh_peers(has_changed)
    }

    fn refresh_peers(&self, has_changed: bool) -> bool {
        if has_changed {
            let records = self.list.borrow().entries().cloned().collect();
            self.set_records(records);
            self.list_known.notify_waiters();
        }
        has_changed
    }

    fn set_records(&self, records: Vec<MemberRecord>) {
        let mut peers = self.peers.borrow_mut();
        let mut before = std::mem::take(&mut *peers);
        for record in records {
            if record.node == self.own_record.node {
                continue;
            }
            let peer = match before.remove(&record.node) {
                Some(known) if known.record == record => known,
                _ => PeerState::new(record.clone(), self.network.clone()),
            };
            peers.insert(record.node.clone(), peer);
        }
        self.rankings.borrow_mut().clear();
        let mut suspicions = self.suspicions.borrow_mut();
        suspicions.retain_listed(|node| peers.contains_key(node));
    }

    /// Number of listed nodes, this one included even if it is not listed yet.
    pub(crate) fn listed_count(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Number of nodes to which the last call was refused.
    pub(crate) fn refusing_count(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|peer| peer.is_refusing).count()
    }

    /// Number of nodes that are visible to this one and do not report it as unavailable, itself included.
    ///
    /// A node that can call others but can't be called would otherwise count itself to the majority, while the
    /// other nodes use another owner. Both owners would grant an account's whole quota.
    pub(crate) fn mutually_visible_count(&self, now: MonotonicTime) -> usize {
        let peers = self.peers.borrow();
        let suspicions = self.suspicions.borrow();
        let mutual = peers
            .values()
            .filter(|peer| peer.is_visible(&suspicions, now) && !peer.misses_us(now));
        mutual.count() + 1
    }

    /// Whether this node has tried at least half of its direct partners, so that its view of the system can be
    /// relied on.
    ///
    /// A node that has just started knows a list of nodes but has not heard from any of them. If it counted them as
    /// visible, it would become an owner with the whole quota of each account, while the others still use another
    /// owner.
    pub(crate) fn has_discovered_peers(&self) -> bool {
        if self.has_discovered_peers.get() || self.version() == 0 {
            return self.has_discovered_peers.get();
        }
        let partners = self.direct_partners();
        let peers = self.peers.borrow();
        let tried = partners
            .iter()
            .filter_map(|node| peers.get(node))
            .filter(|peer| peer.is_tried);
        let is_enough = tried.count() * 2 >= partners.len();
        self.has_discovered_peers.set(is_enough);
        is_enough
    }

    pub(crate) fn link(&self, node: &str) -> Option<Rc<PeerLink>> {
        let peers = self.peers.borrow();
        peers.get(node).map(|peer| peer.link.clone())
    }

    /// The data centre in which a node runs; `None` if the node is not listed.
    pub(crate) fn data_centre(&self, node: &str) -> Option<DataCentreName> {
        if *node == *self.own_record.node {
            return Some(self.own_record.data_centre.clone());
        }
        let peers = self.peers.borrow();
        peers.get(node).map(|peer| peer.record.data_centre.clone())
    }

    /// A separate connection for a transfer. A gossip exchange that times out resets the usual connection and would
    /// break off the transfer with it.
    pub(crate) fn transfer_link(&self, node: &str) -> Option<PeerLink> {
        let peers = self.peers.borrow();
        let address = peers.get(node).map(|peer| peer.record.peers.clone())?;
        Some(PeerLink::with_network(self.network.clone(), address))
    }

    /// The first `limit` nodes by rank for `key`, without nodes that are not visible or are leaving. If no node is
    /// left, this one is returned.
    pub(crate) fn ranked(
        &self,
        now: MonotonicTime,
        key: &'static str,
        is_leaving: bool,
        limit: usize,
    ) -> Vec<NodeName> {
        let peers = self.peers.borrow();
        let suspicions = self.suspicions.borrow();
        let is_candidate = |node: &&NodeName| match peers.get(&**node) {
            Some(peer) => peer.is_visible(&suspicions, now) && !peer.is_leaving,
            None => !is_leaving,
        };
        let ranking = self.ranking(key);
        let ranked: Vec<NodeName> = ranking
            .iter()
            .filter(is_candidate)
            .take(limit)
            .cloned()
            .collect();
        if ranked.is_empty() {
            return vec![self.own_record.node.clone()];
        }
        ranked
    }

    /// The first nodes by rank as owners, whether or not they are visible; nodes that are leaving are left out.
    pub(crate) fn preferred_owners(&self) -> Vec<NodeName> {
        let peers = self.peers.borrow();
        let is_leaving = |node: &str| peers.get(node).is_some_and(|peer| peer.is_leaving);
        let ranking = self.ranking(OWNERS_KEY);
        let staying = ranking.iter().filter(|node| !is_leaving(node));
        staying.take(PREFERRED_OWNERS).cloned().collect()
    }

    /// All listed nodes and this one, by rank for `key`.
    fn ranking(&self, key: &'static str) -> Rc<[NodeName]> {
        let mut rankings = self.rankings.borrow_mut();
        let ranking = rankings.entry(key).or_insert_with(|| {
            let peers = self.peers.borrow();
            let records = peers.values().map(|peer| &peer.record);
            let members: Vec<Member> = records.chain([&self.own_record]).map(member).collect();
            rank_owners(key, &members).into()
        });
        ranking.clone()
    }

    /// Addresses for the callers of a data centre: the visible nodes there, or those in `region_data_centres` if fewer
    /// than two are there, or all visible nodes if there are fewer than two as well.
    pub(crate) fn caller_addresses(
        &self,
        now: MonotonicTime,
        data_centre: Option<&DataCentreName>,
        region_data_centres: &[DataCentreName],
        is_leaving: bool,
    ) -> Vec<String> {
        let peers = self.peers.borrow();
        let suspicions = self.suspicions.borrow();
        let mut records: Vec<&MemberRecord> = peers
            .values()
            .filter(|peer| peer.is_visible(&suspicions, now) && !peer.is_leaving)
            .map(|peer| &peer.record)
            .collect();
        if !is_leaving {
            records.push(&self.own_record);
        }
        let select = |is_near: &dyn Fn(&DataCentreName) -> bool| -> Vec<&MemberRecord> {
            let near = records.iter().filter(|record| is_near(&record.data_centre));
            near.copied().collect()
        };
        let near = select(&|other| Some(other) == data_centre);
        let in_region = select(&|other| region_data_centres.contains(other));
        let chosen = [near, in_region].into_iter().find(|near| near.len() >= 2);
        let chosen = chosen.unwrap_or(records);
        chosen.iter().map(|record| record.ingress.clone()).collect()
    }

    /// Returns up to `limit` visible nodes for which `is_candidate` is true, drawn at random: those of this data centre
    /// and others in turn, because a whole data centre may lose its upstreams.
    pub(crate) fn choose_forwarders(
        &self,
        now: MonotonicTime,
        limit: usize,
        random: &mut impl Rng,
        is_candidate: impl Fn(&MemberRecord) -> bool,
    ) -> Vec<Forwarder> {
        let peers = self.peers.borrow();
        let suspicions = self.suspicions.borrow();
        let (mut near, mut far): (Vec<_>, Vec<_>) = peers
            .values()
            .filter(|peer| peer.is_visible(&suspicions, now) && !peer.is_leaving)
            .map(|peer| &peer.record)
            .filter(|record| is_candidate(record))
            .partition(|record| record.data_centre == self.own_record.data_centre);
        let (near, _) = near.partial_shuffle(random, limit);
        let (far, _) = far.partial_shuffle(random, limit);
        let in_turn = (0..limit).flat_map(|index| [near.get(index), far.get(index)]);
        let chosen = in_turn.flatten().take(limit);
        chosen
            .map(|record| Forwarder {
                node: record.node.clone(),
                data_centre: record.data_centre.clone(),
                address: record.peers.clone(),
            })
            .collect()
    }

    /// Whether the last call to a node failed, or it reports that it is stopping, or it is no longer listed.
    pub(crate) fn is_failed_or_leaving(&self, node: &str) -> bool {
        let peers = self.peers.borrow();
        peers
            .get(node)
            .is_none_or(|peer| peer.has_failed() || peer.is_leaving)
    }

    /// Nodes with which this one exchanges digests whether or not they are visible: its neighbours, and in a large
    /// system the preferred owners.
    pub(crate) fn direct_partners(&self) -> Vec<NodeName> {
        let mut partners = self.neighbours();
        if self.listed_count() > SMALL_SYSTEM_NODES {
            partners.extend(self.preferred_owners());
        }
        partners
    }

    /// Nodes that this one probes: all others in a small system, otherwise those that follow it in the order of
    /// names, as on a ring.
    pub(crate) fn neighbours(&self) -> Vec<NodeName> {
        let peers = self.peers.borrow();
        if peers.len() < SMALL_SYSTEM_NODES {
            return peers.keys().cloned().collect();
        }
        let after = peers.range::<NodeName, _>(self.own_record.node.clone()..);
        let before = peers.range::<NodeName, _>(..self.own_record.node.clone());
        let ring = after.chain(before).map(|(node, _)| node.clone());
        ring.take(LARGE_SYSTEM_NEIGHBOURS).collect()
    }
}

impl PeerState {
    fn new(record: MemberRecord, network: Rc<dyn Network>) -> Self {
        Self {
            link: Rc::new(PeerLink::with_network(network, record.peers.clone())),
            record,
            failed_since: None,
            is_tried: false,
            is_refusing: false,
            is_leaving: false,
            answers_unavailable: false,
            calls_failing_since: None,
        }
    }

    fn has_failed(&self) -> bool {
        self.failed_since.is_some()
    }

    /// Whether it can't call this node, according to its digests.
    fn misses_us(&self, now: MonotonicTime) -> bool {
        let are_calls_failing = self
            .calls_failing_since
            .is_some_and(|since| now.saturating_sub(since) >= MIN_CALLS_FAILING);
        self.answers_unavailable || are_calls_failing
    }

    fn is_visible(&self, suspicions: &Suspicions, now: MonotonicTime) -> bool {
        !self.has_failed() && !suspicions.is_suspected(now, &self.record.node)
    }
}

fn member(record: &MemberRecord) -> Member {
    Member {
        node: record.node.clone(),
        weight: record.cpu_share.powi(OWNER_WEIGHT_POWER),
    }
}
