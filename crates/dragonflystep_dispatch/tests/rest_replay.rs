//! Replays a load on upstreams of which some turn away whatever reaches them and want rest, for two ways to give it.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, NodeIncarnation, NoticeKind, RunId, RunOutcome, SlotDecision,
        UpstreamId, UpstreamNotice, run_id,
    },
    std::{collections::HashMap, time::Duration},
    support::{Random, SERVICE, dispatcher, plain_ask, verdicts::ended},
};

const UPSTREAMS: usize = 18;
const SLOTS: u32 = 4;

/// Upstreams that turn requests away, and for how long.
const SHEDDING: [&str; 2] = ["engine-0", "engine-1"];
const SHED_FROM: Duration = Duration::from_secs(25);
const SHED_UNTIL: Duration = Duration::from_secs(35);
const REST: Duration = Duration::from_secs(3);

/// Two loads: one that the other upstreams take, and one that needs all of them.
const REQUESTS_PER_S: f64 = 80.0;
const FULL_REQUESTS_PER_S: f64 = 140.0;
const RUN: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(5);

/// Who leaves an upstream alone that refused a node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// That node only.
    RefusedNode,
    /// All nodes.
    AllNodes,
}

/// A load on upstreams that refuse.
#[derive(Clone, Copy, Debug)]
struct Load {
    nodes: u32,
    requests_per_s: f64,
    /// The only node that they refuse; none is all.
    refused_node: Option<NodeIncarnation>,
    seed: u64,
}

#[derive(Debug, Default, PartialEq)]
struct Counts {
    asked: u32,
    /// Requests that an upstream refused.
    refused: u32,
    /// The most that one node sent to an upstream within a rest that it had asked of it.
    most_in_a_rest: u32,
    served: u32,
}

struct Replay {
    way: Way,
    owner: Dispatcher,
    load: Load,
    counts: Counts,
    /// Until when a node leaves an upstream alone, and what it sent there meanwhile.
    rests: HashMap<(NodeIncarnation, UpstreamId), (Duration, u32)>,
    running: Vec<(Duration, RunId)>,
}

impl Replay {
    fn granted(&mut self, at: Duration, run: RunId, upstream: UpstreamId) {
        let node = (run >> 32) as NodeIncarnation;
        let refuses = self.load.refused_node.is_none_or(|refused| refused == node);
        let is_time = (SHED_FROM..SHED_UNTIL).contains(&at);
        let sheds = refuses && is_time && SHEDDING.contains(&&*upstream);
        if !sheds {
            self.counts.served += 1;
            self.running.push((at + RUN, run));
            return;
        }
        self.counts.refused += 1;
        let rest = self.rests.entry((node, upstream.clone())).or_default();
        if at < rest.0 {
            rest.1 += 1;
            self.counts.most_in_a_rest = self.counts.most_in_a_rest.max(rest.1);
        } else {
            *rest = (at + REST, 0);
        }
        if self.way == Way::AllNodes {
            self.owner.reduce(
                at,
                Event::NoticeReceived(UpstreamNotice {
                    service: SERVICE.into(),
                    upstream,
                    kind: NoticeKind::BackOff {
                        node,
                        duration: REST,
                    },
                    age: Duration::ZERO,
                }),
            );
        }
        let effects = self.owner.reduce(at, ended(run, RunOutcome::Rejected));
        self.apply(at, effects);
    }

    fn apply(&mut self, at: Duration, effects: Vec<dragonflystep_dispatch::Effect>) {
        for effect in effects {
            if let SlotDecision::Granted(grant) = effect.decision {
                self.granted(at, effect.run, grant.upstream);
            }
        }
    }

    fn ask(&mut self, at: Duration, node: NodeIncarnation, number: u32) {
        let mut ask = plain_ask(run_id(node, number), 0);
        let resting = self
            .rests
            .iter()
            .filter(|((of, _), (until, _))| *of == node && at < *until);
        ask.avoid = resting.map(|((_, upstream), _)| upstream.clone()).collect();
        self.counts.asked += 1;
        let effects = self.owner.reduce(at, Event::SlotRequested(ask));
        self.apply(at, effects);
    }
}

fn replay(way: Way, load: Load) -> Counts {
    let mut random = Random::new(load.seed);
    let mut replay = Replay {
        way,
        owner: dispatcher(UPSTREAMS, SLOTS),
        load,
        counts: Counts::default(),
        rests: HashMap::new(),
        running: Vec::new(),
    };
    let (mut at, mut number) = (Duration::from_secs(20), 0);
    let mut next = at;
    while at < Duration::from_secs(40) {
        at += STEP;
        let over: Vec<_> = replay.running.extract_if(.., |run| run.0 <= at).collect();
        for (_, run) in over {
            let effects = replay.owner.reduce(at, ended(run, RunOutcome::Completed));
            replay.apply(at, effects);
        }
        while next <= at {
            next += Duration::from_secs_f64(random.gap_s(load.requests_per_s));
            number += 1;
            let node = 1 + (random.fraction() * f64::from(load.nodes)) as NodeIncarnation;
            replay.ask(at, node, number);
        }
        let effects = replay.owner.reduce(at, Event::Ticked);
        replay.apply(at, effects);
    }
    replay.counts
}

/// What comes of a load in both ways, with the words for a failed check.
fn both(load: Load) -> (Counts, Counts, String) {
    let one = replay(Way::RefusedNode, load);
    let all = replay(Way::AllNodes, load);
    let label = format!("{load:?}: the refused node {one:?}; all nodes {all:?}");
    (one, all, label)
}

#[test]
fn fewer_requests_are_refused_where_all_nodes_leave_a_refusing_upstream_alone() {
    for nodes in [6, 72, 195] {
        for seed in 1..=3 {
            let (one, all, label) = both(Load {
                nodes,
                requests_per_s: REQUESTS_PER_S,
                refused_node: None,
                seed,
            });
            assert!(all.refused * 2 <= one.refused, "{label}");
            assert!(all.served >= one.served, "{label}");
            assert_eq!(all.most_in_a_rest, 0, "{label}");
        }
    }
}

#[test]
fn an_upstream_that_refuses_one_node_only_costs_the_others_little() {
    for nodes in [6, 72] {
        for seed in 1..=3 {
            let (one, all, label) = both(Load {
                nodes,
                requests_per_s: FULL_REQUESTS_PER_S,
                refused_node: Some(1),
                seed,
            });
            assert!(
                f64::from(all.served) >= 0.9 * f64::from(one.served),
                "{label}"
            );
            assert_eq!(all.most_in_a_rest, 0, "{label}");
        }
    }
}
