//! Quotas while the owner of a service changes in quick succession, in virtual time.
//!
//! Nodes are killed, restart and lose sight of each other, and each change of membership can make another node the
//! owner. Guards against two failures: an account that requests far more than its quota gets more than is tolerated
//! within a window because a new owner does not know all that its predecessors granted, and an account within its
//! quota is refused after a change of owner.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, NodeName, QuotaRules, RunId, RunOutcome, SharedLimits, SlotDecision,
        SlotRequest, UsageLedger, Visibility,
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
    support::{
        Random,
        accounts::catalogue_with_quota,
        dispatcher, limits, plain_request,
        slot_requests::{request_slot, run_ended},
    },
};

const NODES: usize = 4;
const WINDOW: Duration = Duration::from_secs(8);

/// An account's quota, and the units that are tolerated beyond it in addition to a tenth of it.
#[derive(Clone, Copy)]
struct Quota {
    units_per_s: f64,
    burst_units: f64,
    tolerated_units: f64,
}

const LARGE: Quota = Quota {
    units_per_s: 145_900.0,
    burst_units: 145_900.0,
    tolerated_units: 140_000.0,
};

/// The quota that the soak uses.
const SMALL: Quota = Quota {
    units_per_s: 4_000.0,
    burst_units: 4_000.0,
    tolerated_units: 12_000.0,
};

impl Quota {
    /// Most units that are tolerated in a window.
    fn tolerated(&self) -> f64 {
        (self.units_per_s * WINDOW.as_secs_f64() + self.burst_units) * 1.1 + self.tolerated_units
    }
}

/// Time between two requests of the account.
const STEP: Duration = Duration::from_millis(10);
const START: Duration = Duration::from_secs(20);

/// A node: its state as an owner, and the usage that it recorded as an entry since it started.
struct Node {
    name: NodeName,
    owner: Dispatcher,
    quota: Quota,
    ledger: UsageLedger,
    started: Duration,
    /// The owner that it sent its last request to, with the number of that owner's restarts at the time.
    last_owner: Option<(usize, u32)>,
    /// How often this node was restarted.
    restarts: u32,
    is_up: bool,
}

impl Node {
    fn new(index: usize, quota: Quota) -> Self {
        let mut node = Self {
            name: format!("node-{index}").into(),
            owner: new_owner(quota),
            quota,
            ledger: UsageLedger::new(WINDOW, false),
            started: Duration::ZERO,
            last_owner: None,
            restarts: 0,
            is_up: true,
        };
        node.owner
            .reduce(Duration::ZERO, Event::NodeCountChanged(NODES));
        node
    }

    fn restart(&mut self, at: Duration) {
        self.owner = new_owner(self.quota);
        self.ledger = UsageLedger::new(WINDOW, false);
        self.started = at;
        self.last_owner = None;
        self.restarts += 1;
        self.is_up = true;
        // A node learns the list of nodes before anything else.
        self.owner
            .reduce(Duration::ZERO, Event::NodeCountChanged(NODES));
    }
}

fn new_owner(quota: Quota) -> Dispatcher {
    let mut owner = dispatcher(60, 5);
    let catalogue = catalogue_with_quota(quota.units_per_s, quota.burst_units);
    owner.reduce(Duration::ZERO, Event::CatalogueChanged(Arc::new(catalogue)));
    let rules = QuotaRules {
        window: WINDOW,
        tolerated_share: 0.1,
        tolerated_units: quota.tolerated_units,
    };
    let limits = SharedLimits {
        quota: rules,
        ..limits()
    };
    owner.reduce(Duration::ZERO, Event::LimitsChanged(limits));
    owner
}

/// The nodes of a system, each of which sends its requests to the node that it considers the owner.
struct Cluster {
    nodes: Vec<Node>,
    /// For each node, the node that it considers the owner.
    owner_views: [usize; NODES],
    /// Time and units of the grants within the last window.
    granted: VecDeque<(Duration, f64)>,
    runs: RunId,
    refused: u32,
    requests: u32,
    /// Most units granted within any window so far.
    max_units_in_window: f64,
}

impl Cluster {
    fn new(quota: Quota) -> Self {
        Self {
            nodes: (0..NODES).map(|index| Node::new(index, quota)).collect(),
            owner_views: [0; NODES],
            granted: VecDeque::new(),
            runs: 0,
            refused: 0,
            requests: 0,
            max_units_in_window: 0.0,
        }
    }

    /// Sends a request of the account to the owner that the entry knows.
    ///
    /// As in a real node, the entry reports its recorded usage before its first request to an owner.
    fn request(&mut self, at: Duration, entry: usize, units: u32) {
        let owner = self.owner_views[entry];
        if !self.nodes[entry].is_up || !self.nodes[owner].is_up {
            return;
        }
        let current = Some((owner, self.nodes[owner].restarts));
        if self.nodes[entry].last_owner != current {
            let receiver = self.nodes[owner].name.clone();
            let node = &mut self.nodes[entry];
            node.last_owner = current;
            let own_time = at - node.started;
            let report = node.ledger.report(own_time, node.name.clone(), &receiver);
            let owner_time = at - self.nodes[owner].started;
            self.nodes[owner]
                .owner
                .reduce(owner_time, Event::UsageReported(report));
        }
        self.runs += 1;
        self.requests += 1;
        let request = SlotRequest {
            account: Some("mill".into()),
            quota_units: units,
            ..plain_request(self.runs, 0)
        };
        let owner_time = at - self.nodes[owner].started;
        let decision = request_slot(&mut self.nodes[owner].owner, owner_time, request);
        if !matches!(decision, Some(SlotDecision::Granted(_))) {
            self.refused += 1;
            return;
        }
        self.nodes[owner]
            .owner
            .reduce(owner_time, run_ended(self.runs, RunOutcome::Completed));
        let owner_name = self.nodes[owner].name.clone();
        let node = &mut self.nodes[entry];
        let own_time = at - node.started;
        node.ledger
            .record(own_time, &"mill".into(), &owner_name, f64::from(units));
        self.record_grant(at, f64::from(units));
    }

    /// Adds a grant to the window and updates the maximum.
    fn record_grant(&mut self, at: Duration, units: f64) {
        self.granted.push_back((at, units));
        while self
            .granted
            .front()
            .is_some_and(|(from, _)| *from + WINDOW < at)
        {
            self.granted.pop_front();
        }
        let sum: f64 = self.granted.iter().map(|(_, units)| units).sum();
        self.max_units_in_window = self.max_units_in_window.max(sum);
    }

    /// Sets how many nodes a node sees.
    fn set_visible(&mut self, at: Duration, node: usize, visible: usize) {
        let owner_time = at - self.nodes[node].started;
        let visibility = Visibility {
            visible,
            known: NODES,
            refusing: 0,
        };
        self.nodes[node]
            .owner
            .reduce(owner_time, Event::VisibilityChanged(visibility));
    }
}

/// Simulates 24 s with changes of owner drawn from a seed, up to eight in a window.
///
/// At each change all entries switch to another owner. In about one of three cases this node has just been restarted;
/// in one of five another random node is restarted too, which loses the usage that it recorded as an entry.
fn simulate_owner_changes(seed: u64, quota: Quota, units: u32, is_within_quota: bool) -> Cluster {
    let mut random = Random::new(seed);
    let mut cluster = Cluster::new(quota);
    let mut next_change = START;
    let mut at = START;
    while at < START + Duration::from_secs(24) {
        if at >= next_change {
            next_change = at + Duration::from_secs_f64(0.9 + random.fraction() * 1.2);
            let owner = (random.fraction() * NODES as f64) as usize;
            if random.fraction() < 0.34 {
                cluster.nodes[owner].restart(at);
            }
            if random.fraction() < 0.2 {
                let entry = (random.fraction() * NODES as f64) as usize;
                cluster.nodes[entry].restart(at);
            }
            cluster.owner_views = [owner; NODES];
        }
        let entry = (random.fraction() * NODES as f64) as usize;
        let sends_request = !is_within_quota || random.fraction() < 0.5;
        if sends_request {
            cluster.request(at, entry, units);
        }
        at += STEP;
    }
    cluster
}

#[test]
fn up_to_eight_owners_in_a_window_stay_within_the_tolerance() {
    for (quota, units) in [(LARGE, 9_000), (SMALL, 200)] {
        for seed in 1..=40 {
            let max_units = simulate_owner_changes(seed, quota, units, false).max_units_in_window;
            let tolerated = quota.tolerated();
            assert!(
                max_units <= tolerated,
                "seed {seed}: {max_units} of {tolerated}"
            );
            let unit_rate_only = quota.units_per_s * WINDOW.as_secs_f64();
            assert!(
                max_units > unit_rate_only * 0.8,
                "seed {seed}: {max_units} of {unit_rate_only}"
            );
        }
    }
}

#[test]
fn an_account_within_its_quota_is_rarely_refused_across_owner_changes() {
    let (mut refused, mut requested) = (0, 0);
    for seed in 1..=40 {
        // About half of the quota, in requests of a hundredth of the burst.
        let cluster = simulate_owner_changes(seed, LARGE, 1_450, true);
        refused += cluster.refused;
        requested += cluster.requests;
    }
    assert!(refused * 100 < requested, "{refused} of {requested}");
}

/// Replays the changes of owner in the soak of seed 7, which exceeded a quota.
///
/// There are six owners in turn within 5 s. One of them is killed and restarts, and at times a second owner grants
/// beside the first one for some 0.3 s. `owner_views` lists the time in milliseconds, the node, and its owner from
/// then on.
#[test]
fn the_owner_changes_of_soak_seed_7_stay_within_the_tolerance() {
    let owner_views: [(u64, usize, usize); 27] = [
        (0, 0, 1),
        (0, 1, 1),
        (0, 2, 1),
        (0, 3, 1),
        (4_944, 3, 0),
        (4_972, 2, 0),
        (5_010, 0, 0),
        (5_491, 0, 1),
        (5_519, 3, 1),
        (5_633, 2, 1),
        (6_268, 1, 1),
        (6_573, 0, 0),
        (6_583, 2, 0),
        (6_591, 3, 0),
        (6_654, 1, 0),
        (7_484, 2, 2),
        (7_524, 3, 3),
        (7_939, 2, 3),
        (9_200, 2, 0),
        (9_232, 3, 0),
        (9_843, 0, 1),
        (9_854, 2, 1),
        (9_882, 3, 1),
        (9_900, 1, 1),
        (20_000, 0, 1),
        (20_000, 1, 1),
        (20_000, 2, 1),
    ];
    // Restarts and kills of node 1 (milliseconds, node), and how many nodes a node sees from then on (milliseconds,
    // node, visible nodes).
    let restarts = [(5_330, 1), (9_839, 1)];
    let kills = [(4_900, 1), (9_424, 1)];
    let visibility_changes = [
        (6_572, 1, 1),
        (6_572, 2, 2),
        (6_573, 0, 2),
        (6_573, 3, 1),
        (7_697, 1, 3),
        (7_712, 2, 1),
        (7_930, 0, 1),
        (8_129, 2, 2),
        (8_136, 1, 2),
        (8_264, 3, 2),
        (8_542, 1, 3),
        (9_386, 2, 3),
        (9_471, 3, 3),
        (9_561, 0, 3),
    ];
    let mut cluster = Cluster::new(SMALL);
    for at_ms in (0..16_000).step_by(10) {
        let at = START + Duration::from_millis(at_ms);
        let is_due = |event_ms: u64| (at_ms..at_ms + 10).contains(&event_ms);
        for (_, node) in kills.iter().filter(|(event_ms, _)| is_due(*event_ms)) {
            cluster.nodes[*node].is_up = false;
        }
        for (_, node) in restarts.iter().filter(|(event_ms, _)| is_due(*event_ms)) {
            cluster.nodes[*node].restart(at);
        }
        for (_, node, visible) in visibility_changes
            .iter()
            .filter(|(event_ms, ..)| is_due(*event_ms))
        {
            cluster.set_visible(at, *node, *visible);
        }
        for (_, node, owner) in owner_views
            .iter()
            .filter(|(event_ms, ..)| is_due(*event_ms))
        {
            cluster.owner_views[*node] = *owner;
        }
        cluster.request(at, (at_ms / 10) as usize % NODES, 200);
    }
    let (max_units, tolerated) = (cluster.max_units_in_window, SMALL.tolerated());
    assert!(max_units <= tolerated, "{max_units} of {tolerated}");
}
