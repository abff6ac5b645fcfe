//! Owners of the quotas that follow one another in quick succession, in virtual time.
//!
//! Nodes are killed, come back and are cut off, and each change of view makes another node the owner. An
//! account that asks for far more than its quota must not get more than is tolerated within any window,
//! however many owners there were; one that keeps within its quota is served on.

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
        dispatcher, limits, plain_ask,
        verdicts::{ask, ended},
    },
};

const NODES: usize = 4;
const WINDOW: Duration = Duration::from_secs(8);

/// What an account may use, and what is tolerated beyond it besides a tenth.
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

/// That of the soak.
const SMALL: Quota = Quota {
    units_per_s: 4_000.0,
    burst_units: 4_000.0,
    tolerated_units: 12_000.0,
};

impl Quota {
    /// What is tolerated in a window.
    fn tolerated(&self) -> f64 {
        (self.units_per_s * WINDOW.as_secs_f64() + self.burst_units) * 1.1 + self.tolerated_units
    }
}

/// Time between two looks at the load.
const STEP: Duration = Duration::from_millis(10);
const START: Duration = Duration::from_secs(20);

/// One node: what it decides as an owner, and what it saw as an entry since it started.
struct Node {
    name: NodeName,
    owner: Dispatcher,
    quota: Quota,
    ledger: UsageLedger,
    started: Duration,
    /// The owner that it asked last, with the number of that owner's starts.
    asked: Option<(usize, u32)>,
    starts: u32,
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
            asked: None,
            starts: 0,
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
        self.asked = None;
        self.starts += 1;
        self.is_up = true;
        // The list of nodes is the first that a node learns.
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

/// A system whose nodes each ask one owner of their own view.
struct System {
    nodes: Vec<Node>,
    /// The owner by each node's view.
    views: [usize; NODES],
    granted: VecDeque<(Duration, f64)>,
    runs: RunId,
    refused: u32,
    asked: u32,
    most_in_window: f64,
}

impl System {
    fn new(quota: Quota) -> Self {
        Self {
            nodes: (0..NODES).map(|index| Node::new(index, quota)).collect(),
            views: [0; NODES],
            granted: VecDeque::new(),
            runs: 0,
            refused: 0,
            asked: 0,
            most_in_window: 0.0,
        }
    }

    /// One request of the account through the entry, as a node sends it on: the first ask to an owner comes
    /// after the report.
    fn request(&mut self, at: Duration, entry: usize, units: u32) {
        let owner = self.views[entry];
        if !self.nodes[entry].is_up || !self.nodes[owner].is_up {
            return;
        }
        let told = Some((owner, self.nodes[owner].starts));
        if self.nodes[entry].asked != told {
            let receiver = self.nodes[owner].name.clone();
            let node = &mut self.nodes[entry];
            node.asked = told;
            let own_time = at - node.started;
            let report = node.ledger.report(own_time, node.name.clone(), &receiver);
            let owner_time = at - self.nodes[owner].started;
            self.nodes[owner]
                .owner
                .reduce(owner_time, Event::UsageReported(report));
        }
        self.runs += 1;
        self.asked += 1;
        let request = SlotRequest {
            account: Some("mill".into()),
            quota_units: units,
            ..plain_ask(self.runs, 0)
        };
        let owner_time = at - self.nodes[owner].started;
        let decision = ask(&mut self.nodes[owner].owner, owner_time, request);
        if !matches!(decision, Some(SlotDecision::Granted(_))) {
            self.refused += 1;
            return;
        }
        self.nodes[owner]
            .owner
            .reduce(owner_time, ended(self.runs, RunOutcome::Completed));
        let owner_name = self.nodes[owner].name.clone();
        let node = &mut self.nodes[entry];
        let own_time = at - node.started;
        node.ledger
            .record(own_time, &"mill".into(), &owner_name, f64::from(units));
        self.count(at, f64::from(units));
    }

    fn count(&mut self, at: Duration, units: f64) {
        self.granted.push_back((at, units));
        while self
            .granted
            .front()
            .is_some_and(|(from, _)| *from + WINDOW < at)
        {
            self.granted.pop_front();
        }
        let sum: f64 = self.granted.iter().map(|(_, units)| units).sum();
        self.most_in_window = self.most_in_window.max(sum);
    }

    fn see(&mut self, at: Duration, node: usize, visible: usize) {
        let owner_time = at - self.nodes[node].started;
        let visibility = Visibility {
            visible,
            known: NODES,
        };
        self.nodes[node]
            .owner
            .reduce(owner_time, Event::VisibilityChanged(visibility));
    }
}

/// Changes of owner drawn from a seed, up to eight in a window: all entries go to another node, which was
/// killed and started anew before in one of three cases; entries are killed too.
fn play_changes(seed: u64, quota: Quota, units: u32, is_within_quota: bool) -> System {
    let mut random = Random::new(seed);
    let mut system = System::new(quota);
    let mut next_change = START;
    let mut at = START;
    while at < START + Duration::from_secs(24) {
        if at >= next_change {
            next_change = at + Duration::from_secs_f64(0.9 + random.fraction() * 1.2);
            let owner = (random.fraction() * NODES as f64) as usize;
            if random.fraction() < 0.34 {
                system.nodes[owner].restart(at);
            }
            if random.fraction() < 0.2 {
                let entry = (random.fraction() * NODES as f64) as usize;
                system.nodes[entry].restart(at);
            }
            system.views = [owner; NODES];
        }
        let entry = (random.fraction() * NODES as f64) as usize;
        let is_asked = !is_within_quota || random.fraction() < 0.5;
        if is_asked {
            system.request(at, entry, units);
        }
        at += STEP;
    }
    system
}

#[test]
fn up_to_eight_owners_in_a_window_stay_within_the_tolerance() {
    for (quota, units) in [(LARGE, 9_000), (SMALL, 200)] {
        for seed in 1..=40 {
            let most = play_changes(seed, quota, units, false).most_in_window;
            let tolerated = quota.tolerated();
            assert!(most <= tolerated, "seed {seed}: {most} of {tolerated}");
            let plain = quota.units_per_s * WINDOW.as_secs_f64();
            assert!(most > plain * 0.8, "seed {seed}: {most} of {plain}");
        }
    }
}

#[test]
fn an_account_within_its_quota_is_hardly_refused_over_changes_of_owner() {
    let (mut refused, mut asked) = (0, 0);
    for seed in 1..=40 {
        // Half of the quota, in requests of a tenth of the burst at most.
        let system = play_changes(seed, LARGE, 1_450, true);
        refused += system.refused;
        asked += system.asked;
    }
    assert!(refused * 100 < asked, "{refused} of {asked}");
}

/// The series of owners of soak seed 7, by each node's log (seconds, node, owner): six owners within 5 s, of
/// which one was killed and came back, and a second one beside them for some 0.3 s at a time.
#[test]
fn the_owners_of_a_soak_that_exceeded_a_quota_stay_within_the_tolerance() {
    let views: [(u64, usize, usize); 27] = [
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
    // Kills and starts of node 1, and how many nodes each sees, as logged.
    let starts = [(5_330, 1), (9_839, 1)];
    let kills = [(4_900, 1), (9_424, 1)];
    let reaches = [
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
    let mut system = System::new(SMALL);
    for at_ms in (0..16_000).step_by(10) {
        let at = START + Duration::from_millis(at_ms);
        let is_due = |event_ms: u64| (at_ms..at_ms + 10).contains(&event_ms);
        for (_, node) in kills.iter().filter(|(event_ms, _)| is_due(*event_ms)) {
            system.nodes[*node].is_up = false;
        }
        for (_, node) in starts.iter().filter(|(event_ms, _)| is_due(*event_ms)) {
            system.nodes[*node].restart(at);
        }
        for (_, node, visible) in reaches.iter().filter(|(event_ms, ..)| is_due(*event_ms)) {
            system.see(at, *node, *visible);
        }
        for (_, node, owner) in views.iter().filter(|(event_ms, ..)| is_due(*event_ms)) {
            system.views[*node] = *owner;
        }
        system.request(at, (at_ms / 10) as usize % NODES, 200);
    }
    let (most, tolerated) = (system.most_in_window, SMALL.tolerated());
    assert!(most <= tolerated, "{most} of {tolerated}");
}
