//! Replays a load on 18 upstreams, two of which refuse every request for 10 s and ask for back-off.
//!
//! Compares two scopes of the back-off: only the refused node leaves the upstream alone, or all nodes do. Checks
//! that the back-off of all nodes at least halves the refused requests, and that it costs little when an upstream
//! refuses one node only.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, NodeIncarnation, NoticeKind, RunId, RunOutcome, SlotDecision,
        UpstreamId, UpstreamNotice, run_id,
    },
    std::{collections::HashMap, time::Duration},
    support::{Random, SERVICE, dispatcher, plain_request, slot_requests::run_ended},
};

const UPSTREAMS: usize = 18;
const SLOTS: u32 = 4;

/// Upstreams that refuse requests, the time in which they do, and the back-off that they ask for.
const SHEDDING: [&str; 2] = ["engine-0", "engine-1"];
const SHED_FROM: Duration = Duration::from_secs(25);
const SHED_UNTIL: Duration = Duration::from_secs(35);
const BACK_OFF: Duration = Duration::from_secs(3);

/// Two loads: one that the other upstreams can serve, and one that needs all upstreams.
const REQUESTS_PER_S: f64 = 80.0;
const FULL_REQUESTS_PER_S: f64 = 140.0;
const RUN_DURATION: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(5);

/// Which nodes back off from an upstream that has refused a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BackOffScope {
    /// Only the node whose request was refused.
    RefusedNode,
    /// All nodes.
    AllNodes,
}

/// Parameters of a replay.
#[derive(Clone, Copy, Debug)]
struct Load {
    nodes: u32,
    requests_per_s: f64,
    /// The only node whose requests the refusing upstreams refuse; absent if they refuse those of all nodes.
    refused_node: Option<NodeIncarnation>,
    seed: u64,
}

/// Results of a replay.
#[derive(Debug, Default, PartialEq)]
struct Counts {
    requests: u32,
    /// Requests that an upstream refused.
    refused: u32,
    /// Largest number of refused requests that one node sent to one upstream during a back-off requested of that node.
    max_refused_in_back_off: u32,
    served: u32,
}

/// State of a replay.
struct Replay {
    scope: BackOffScope,
    owner: Dispatcher,
    load: Load,
    counts: Counts,
    /// For each node and upstream, the end of the back-off and the refused requests within it.
    back_offs: HashMap<(NodeIncarnation, UpstreamId), (Duration, u32)>,
    /// Runs in flight, each with its end.
    running: Vec<(Duration, RunId)>,
}

impl Replay {
    fn handle_grant(&mut self, at: Duration, run: RunId, upstream: UpstreamId) {
        let node = (run >> 32) as NodeIncarnation;
        let refuses_node = self.load.refused_node.is_none_or(|refused| refused == node);
        let is_shedding_time = (SHED_FROM..SHED_UNTIL).contains(&at);
        let sheds = refuses_node && is_shedding_time && SHEDDING.contains(&&*upstream);
        if !sheds {
            self.counts.served += 1;
            self.running.push((at + RUN_DURATION, run));
            return;
        }
        self.counts.refused += 1;
        let back_off = self.back_offs.entry((node, upstream.clone())).or_default();
        if at < back_off.0 {
            back_off.1 += 1;
            self.counts.max_refused_in_back_off =
                self.counts.max_refused_in_back_off.max(back_off.1);
        } else {
            *back_off = (at + BACK_OFF, 0);
        }
        if self.scope == BackOffScope::AllNodes {
            self.owner.reduce(
                at,
                Event::NoticeReceived(UpstreamNotice {
                    service: SERVICE.into(),
                    upstream,
                    kind: NoticeKind::BackOff {
                        node,
                        duration: BACK_OFF,
                    },
                    age: Duration::ZERO,
                }),
            );
        }
        let effects = self.owner.reduce(at, run_ended(run, RunOutcome::Rejected));
        self.apply(at, effects);
    }

    fn apply(&mut self, at: Duration, effects: Vec<dragonflystep_dispatch::Effect>) {
        for effect in effects {
            if let SlotDecision::Granted(grant) = effect.decision {
                self.handle_grant(at, effect.run, grant.upstream);
            }
        }
    }

    /// Sends a request of a node.
    fn send_request(&mut self, at: Duration, node: NodeIncarnation, number: u32) {
        let mut request = plain_request(run_id(node, number), 0);
        let backing_off = self
            .back_offs
            .iter()
            .filter(|((of, _), (until, _))| *of == node && at < *until);
        request.excluded_upstreams = backing_off
            .map(|((_, upstream), _)| upstream.clone())
            .collect();
        self.counts.requests += 1;
        let effects = self.owner.reduce(at, Event::SlotRequested(request));
        self.apply(at, effects);
    }
}

fn replay(scope: BackOffScope, load: Load) -> Counts {
    let mut random = Random::new(load.seed);
    let mut replay = Replay {
        scope,
        owner: dispatcher(UPSTREAMS, SLOTS),
        load,
        counts: Counts::default(),
        back_offs: HashMap::new(),
        running: Vec::new(),
    };
    let (mut at, mut number) = (Duration::from_secs(20), 0);
    let mut next = at;
    while at < Duration::from_secs(40) {
        at += STEP;
        let ended_runs: Vec<_> = replay.running.extract_if(.., |run| run.0 <= at).collect();
        for (_, run) in ended_runs {
            let effects = replay
                .owner
                .reduce(at, run_ended(run, RunOutcome::Completed));
            replay.apply(at, effects);
        }
        while next <= at {
            next += Duration::from_secs_f64(random.gap_s(load.requests_per_s));
            number += 1;
            let node = 1 + (random.fraction() * f64::from(load.nodes)) as NodeIncarnation;
            replay.send_request(at, node, number);
        }
        let effects = replay.owner.reduce(at, Event::Ticked);
        replay.apply(at, effects);
    }
    replay.counts
}

/// Replays a load with both scopes; returns their results and the message of a failed assertion.
fn replay_both(load: Load) -> (Counts, Counts, String) {
    let one = replay(BackOffScope::RefusedNode, load);
    let all = replay(BackOffScope::AllNodes, load);
    let message =
        format!("{load:?}: only the refused node backs off: {one:?}; all nodes back off: {all:?}");
    (one, all, message)
}

#[test]
fn fewer_requests_are_refused_when_all_nodes_back_off() {
    for nodes in [6, 72, 195] {
        for seed in 1..=3 {
            let (one, all, message) = replay_both(Load {
                nodes,
                requests_per_s: REQUESTS_PER_S,
                refused_node: None,
                seed,
            });
            assert!(all.refused * 2 <= one.refused, "{message}");
            assert!(all.served >= one.served, "{message}");
            assert_eq!(all.max_refused_in_back_off, 0, "{message}");
        }
    }
}

#[test]
fn back_off_of_all_nodes_costs_little_when_an_upstream_refuses_one_node_only() {
    for nodes in [6, 72] {
        for seed in 1..=3 {
            let (one, all, message) = replay_both(Load {
                nodes,
                requests_per_s: FULL_REQUESTS_PER_S,
                refused_node: Some(1),
                seed,
            });
            assert!(
                f64::from(all.served) >= 0.9 * f64::from(one.served),
                "{message}"
            );
            assert_eq!(all.max_refused_in_back_off, 0, "{message}");
        }
    }
}
