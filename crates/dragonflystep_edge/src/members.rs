//! Which nodes there are, and which of them this node sees.
//!
//! The platform's table lists the nodes; whether one is there is learned by exchanging views with it, and from what the
//! owners say (`members/reachability.rs`). A node that was not tried yet counts as there.

mod reachability;

use {
    crate::{
        limits::{
            LARGE_SYSTEM_NEIGHBOURS, OWNER_WEIGHT_POWER, OWNERS_KEY, PREFERRED_OWNERS,
            SMALL_SYSTEM_NODES,
        },
        settings::MemberRecord,
        suspicion::Suspicions,
        versioned_list::{Changes, ListEntry, VersionedList},
    },
    dragonflystep_dispatch::{DataCentreName, Member, MonotonicTime, NodeName, rank_owners},
    dragonflystep_peer::{PeerLink, PeerNetwork},
    std::{
        cell::{Cell, Ref, RefCell},
        collections::{BTreeMap, HashMap},
        rc::Rc,
        sync::Arc,
    },
    tokio::sync::Notify,
};

/// Another node.
struct Other {
    record: MemberRecord,
    link: Rc<PeerLink>,
    /// Since when it has not answered; none if it did when it was called last.
    failed_since: Option<MonotonicTime>,
    /// Whether it answered or failed since this node started.
    is_tried: bool,
    /// Whether its machine said that no process listens there; such a node runs nothing.
    is_down: bool,
    is_leaving: bool,
    /// Whether it said that this node is unavailable to it.
    misses_us: bool,
}

impl ListEntry for MemberRecord {
    fn key(&self) -> &Arc<str> {
        &self.node
    }
}

/// The nodes of the system as this one sees them.
pub(crate) struct Members {
    own: MemberRecord,
    network: Rc<dyn PeerNetwork>,
    /// The list of nodes, of which `others` is made.
    list: RefCell<VersionedList<MemberRecord>>,
    others: RefCell<BTreeMap<NodeName, Other>>,
    /// All listed nodes by rank, for each key; ranked again when the list changes.
    rankings: RefCell<HashMap<&'static str, Rc<[NodeName]>>>,
    suspicions: RefCell<Suspicions>,
    list_known: Notify,
    has_discovered_peers: Cell<bool>,
}

impl Members {
    pub(crate) fn new(own: MemberRecord, network: Rc<dyn PeerNetwork>) -> Self {
        Self {
            own,
            network,
            list: RefCell::default(),
            others: RefCell::default(),
            rankings: RefCell::default(),
            suspicions: RefCell::default(),
            list_known: Notify::new(),
            has_discovered_peers: Cell::new(false),
        }
    }

    /// Waits until a list of nodes is known.
    pub(crate) async fn first_listed(&self) {
        if self.version() == 0 {
            self.list_known.notified().await;
        }
    }

    pub(crate) fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Version of the list of nodes; 0 is none.
    pub(crate) fn version(&self) -> u64 {
        self.list.borrow().version()
    }

    /// Whether the list names this node.
    pub(crate) fn lists_own(&self) -> bool {
        self.list.borrow().contains(&self.own.node)
    }

    /// The list of nodes.
    pub(crate) fn list(&self) -> Ref<'_, VersionedList<MemberRecord>> {
        self.list.borrow()
    }

    /// Takes over a whole list of nodes; says whether it is news.
    pub(crate) fn replace_records(&self, version: u64, records: Vec<MemberRecord>) -> bool {
        let is_news = self.list.borrow_mut().replace(version, records);
        self.refresh_others(is_news)
    }

    /// Applies what another node sent of the list; says whether it is news.
    pub(crate) fn apply_records(&self, changes: Changes<MemberRecord>) -> bool {
        let is_news = self.list.borrow_mut().apply(changes);
        self.refresh_others(is_news)
    }

    fn refresh_others(&self, is_news: bool) -> bool {
        if is_news {
            let records = self.list.borrow().entries().cloned().collect();
            self.set_records(records);
            self.list_known.notify_waiters();
        }
        is_news
    }

    fn set_records(&self, records: Vec<MemberRecord>) {
        let mut others = self.others.borrow_mut();
        let mut before = std::mem::take(&mut *others);
        for record in records {
            if record.node == self.own.node {
                continue;
            }
            let other = match before.remove(&record.node) {
                Some(known) if known.record == record => known,
                _ => Other::new(record.clone(), self.network.clone()),
            };
            others.insert(record.node.clone(), other);
        }
        self.rankings.borrow_mut().clear();
        let mut suspicions = self.suspicions.borrow_mut();
        suspicions.keep_only(|node| others.contains_key(node));
    }

    /// Nodes that are listed, this one included.
    pub(crate) fn listed_count(&self) -> usize {
        self.others.borrow().len() + 1
    }

    /// Nodes that may be running, this one included.
    pub(crate) fn known_count(&self) -> usize {
        let others = self.others.borrow();
        others.values().filter(|other| !other.is_down).count() + 1
    }

    /// Nodes that are seen and see this one, itself included.
    ///
    /// Whoever can call others but can't be called would otherwise count itself to the majority, beside the nodes
    /// that go by another owner; both would give out an account's whole quota.
    pub(crate) fn mutual_count(&self, now: MonotonicTime) -> usize {
        let others = self.others.borrow();
        let suspicions = self.suspicions.borrow();
        let mutual = others
            .values()
            .filter(|other| other.is_visible(&suspicions, now) && !other.misses_us);
        mutual.count() + 1
    }

    /// Whether this node has tried enough others to know what it sees.
    ///
    /// A node that has just started knows a list of nodes and has heard none of them. Counting them as seen would make
    /// it an owner with the whole quota of each account, beside the owner that the others still ask.
    pub(crate) fn has_discovered_peers(&self) -> bool {
        if self.has_discovered_peers.get() || self.version() == 0 {
            return self.has_discovered_peers.get();
        }
        let partners = self.direct_partners();
        let others = self.others.borrow();
        let tried = partners
            .iter()
            .filter_map(|node| others.get(node))
            .filter(|other| other.is_tried);
        let is_enough = tried.count() * 2 >= partners.len();
        self.has_discovered_peers.set(is_enough);
        is_enough
    }

    pub(crate) fn link(&self, node: &str) -> Option<Rc<PeerLink>> {
        let others = self.others.borrow();
        others.get(node).map(|other| other.link.clone())
    }

    /// A link of its own for a transfer: an exchange of views that comes too late resets the usual link, and a
    /// transfer would break off with it.
    pub(crate) fn transfer_link(&self, node: &str) -> Option<PeerLink> {
        let others = self.others.borrow();
        let address = others.get(node).map(|other| other.record.peers.clone())?;
        Some(PeerLink::with_network(self.network.clone(), address))
    }

    /// The first `most` nodes by rank for `key`; nodes that are not seen or are leaving have no rank.
    pub(crate) fn ranked(
        &self,
        now: MonotonicTime,
        key: &'static str,
        is_leaving: bool,
        most: usize,
    ) -> Vec<NodeName> {
        let others = self.others.borrow();
        let suspicions = self.suspicions.borrow();
        let is_candidate = |node: &&NodeName| match others.get(&**node) {
            Some(other) => other.is_visible(&suspicions, now) && !other.is_leaving,
            None => !is_leaving,
        };
        let ranking = self.ranking(key);
        let ranked: Vec<NodeName> = ranking
            .iter()
            .filter(is_candidate)
            .take(most)
            .cloned()
            .collect();
        if ranked.is_empty() {
            return vec![self.own.node.clone()];
        }
        ranked
    }

    /// Nodes that own the services if all are there.
    pub(crate) fn first_owners(&self) -> Vec<NodeName> {
        let others = self.others.borrow();
        let is_leaving = |node: &str| others.get(node).is_some_and(|other| other.is_leaving);
        let ranking = self.ranking(OWNERS_KEY);
        let staying = ranking.iter().filter(|node| !is_leaving(node));
        staying.take(PREFERRED_OWNERS).cloned().collect()
    }

    /// All listed nodes by rank for `key`, this one included.
    fn ranking(&self, key: &'static str) -> Rc<[NodeName]> {
        let mut rankings = self.rankings.borrow_mut();
        let ranking = rankings.entry(key).or_insert_with(|| {
            let others = self.others.borrow();
            let records = others.values().map(|other| &other.record);
            let members: Vec<Member> = records.chain([&self.own]).map(member).collect();
            rank_owners(key, &members).into()
        });
        ranking.clone()
    }

    /// Addresses for callers of a data centre: the nodes there, and others where fewer than two are seen.
    pub(crate) fn caller_addresses(
        &self,
        now: MonotonicTime,
        data_centre: Option<&DataCentreName>,
        is_leaving: bool,
    ) -> Vec<String> {
        let others = self.others.borrow();
        let suspicions = self.suspicions.borrow();
        let mut records: Vec<&MemberRecord> = others
            .values()
            .filter(|other| other.is_visible(&suspicions, now) && !other.is_leaving)
            .map(|other| &other.record)
            .collect();
        if !is_leaving {
            records.push(&self.own);
        }
        let near: Vec<&MemberRecord> = records
            .iter()
            .filter(|record| Some(&record.data_centre) == data_centre)
            .copied()
            .collect();
        let chosen = if near.len() >= 2 { near } else { records };
        chosen.iter().map(|record| record.ingress.clone()).collect()
    }

    /// Nodes with which this one exchanges views whatever it believes of them: its neighbours, and in a
    /// large system the nodes that own the services if all are there.
    pub(crate) fn direct_partners(&self) -> Vec<NodeName> {
        let mut partners = self.neighbours();
        if self.listed_count() > SMALL_SYSTEM_NODES {
            partners.extend(self.first_owners());
        }
        partners
    }

    /// Nodes that this one checks: all in a small system, else the next ones by name.
    pub(crate) fn neighbours(&self) -> Vec<NodeName> {
        let others = self.others.borrow();
        if others.len() < SMALL_SYSTEM_NODES {
            return others.keys().cloned().collect();
        }
        let after = others.range::<NodeName, _>(self.own.node.clone()..);
        let before = others.range::<NodeName, _>(..self.own.node.clone());
        let ring = after.chain(before).map(|(node, _)| node.clone());
        ring.take(LARGE_SYSTEM_NEIGHBOURS).collect()
    }
}

impl Other {
    fn new(record: MemberRecord, network: Rc<dyn PeerNetwork>) -> Self {
        Self {
            link: Rc::new(PeerLink::with_network(network, record.peers.clone())),
            record,
            failed_since: None,
            is_tried: false,
            is_down: false,
            is_leaving: false,
            misses_us: false,
        }
    }

    fn has_failed(&self) -> bool {
        self.failed_since.is_some()
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
