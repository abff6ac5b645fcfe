//! A small world in virtual time: nodes, engines, callers and a table before one heap of events.

pub mod catalogue;
pub mod connections;
pub mod faults;
pub mod fleet;
pub mod heap;
pub mod nodes;
pub mod platform;
pub mod table;
pub mod upstreams;

use {
    self::{
        connections::Listener,
        fleet::FleetMember,
        heap::{Happening, Heap, NodeInput},
        nodes::Node,
        table::Table,
    },
    crate::{
        baseline::{Baseline, BaselineKind},
        record::{LoadSample, RequestRecord, RunRecord},
        scenario::{Plan, ms},
        workload::Arrival,
    },
    dragonflystep_core::{Effect, Event, Tuning},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Time for nodes to find each other and take their groups before callers send anything.
pub const SETTLING_TIME: Duration = Duration::from_secs(10);

/// What may pass after the last deadline before the run ends.
pub const DRAIN_TIME: Duration = Duration::from_secs(10);

/// Longest time after which a caller sends a request a second time.
pub const REPEAT_WITHIN: Duration = Duration::from_secs(3);

/// Time between two samples of what the upstreams run.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Who decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Policy {
    /// The reducer of a node.
    Reducer(Box<Tuning>),
    /// A simple policy over the same engines.
    Baseline(BaselineKind),
}

/// What the network may do to messages between nodes and to orders that end a stream, for property tests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageFaults {
    /// Share of messages that are lost.
    pub lost: f64,
    /// Share of messages that arrive twice.
    pub doubled: f64,
    /// Share of messages that are late by up to [`MessageFaults::late_by`].
    pub late: f64,
    /// Longest lateness.
    pub late_by: Duration,
}

/// An event that a node handled and the effects that it answered with.
#[derive(Clone, Debug)]
pub struct Step {
    /// When, on the world's clock.
    pub at: Duration,
    /// Index of the node.
    pub node: usize,
    /// The event.
    pub event: Event,
    /// The effects.
    pub effects: Vec<Effect>,
}

/// A run under way.
#[derive(Debug)]
pub struct World {
    /// The scenario and its site.
    pub plan: Plan,
    /// Time of the world.
    pub now: Duration,
    /// What happened.
    pub record: RunRecord,
    /// Whether callers with a key send again when their entry dies.
    pub callers_retry: bool,
    /// Share of the requests with a key that callers send a second time through another entry.
    pub repeated: f64,
    /// What the network does to messages.
    pub message_faults: MessageFaults,
    /// Steps of the nodes, where they are wanted.
    pub steps: Option<Vec<Step>>,
    heap: Heap,
    random: Pcg64Mcg,
    nodes: Vec<Node>,
    fleet: Vec<FleetMember>,
    fleet_index: HashMap<Arc<str>, usize>,
    tuning: Tuning,
    baseline: Option<Baseline>,
    table: Table,
    table_out_until: Duration,
    answers_lost_until: Duration,
    cuts: Vec<(usize, usize, Duration)>,
    peer_lost_at: HashMap<(usize, usize), Duration>,
    listeners: Vec<Option<Listener>>,
    catalogue_accepted: bool,
    open_requests: usize,
    callers_done_at: Duration,
}

impl World {
    /// A world at its begin; `arrivals` are sent from [`SETTLING_TIME`] on.
    pub fn new(plan: &Plan, policy: &Policy, arrivals: Vec<Arrival>, seed: u64) -> Self {
        let (fleet, upstream_records) = fleet::build(plan);
        let fleet_index = fleet.iter().enumerate();
        let fleet_index = fleet_index
            .map(|(at, it)| (it.entry.id.clone(), at))
            .collect();
        let (tuning, baseline) = match policy {
            Policy::Reducer(tuning) => (tuning.as_ref().clone(), None),
            Policy::Baseline(kind) => (
                Tuning::default(),
                Some(Baseline::new(*kind, plan, &fleet, seed)),
            ),
        };
        let mut world = Self {
            plan: plan.clone(),
            now: Duration::ZERO,
            record: RunRecord {
                traffic_from: SETTLING_TIME,
                upstreams: upstream_records,
                ..RunRecord::default()
            },
            callers_retry: false,
            repeated: 0.0,
            message_faults: MessageFaults::default(),
            steps: None,
            heap: Heap::default(),
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            nodes: nodes::build(plan),
            fleet,
            fleet_index,
            tuning,
            baseline,
            table: Table::default(),
            table_out_until: Duration::ZERO,
            answers_lost_until: Duration::ZERO,
            cuts: Vec::new(),
            peer_lost_at: HashMap::new(),
            listeners: Vec::new(),
            catalogue_accepted: false,
            open_requests: 0,
            callers_done_at: SETTLING_TIME,
        };
        world.schedule_arrivals(arrivals);
        world.schedule_faults();
        world
    }

    /// Plays until every caller has its answer, or the last deadline is well past.
    pub fn run(mut self) -> RunRecord {
        self.play();
        self.record
    }

    /// Plays like [`World::run`] and hands back the steps of the nodes as well.
    pub fn run_with_steps(mut self) -> (RunRecord, Vec<Step>) {
        self.steps = Some(Vec::new());
        self.play();
        (self.record, self.steps.unwrap_or_default())
    }

    fn play(&mut self) {
        self.schedule_repeats();
        self.start();
        while let Some((at, happening)) = self.heap.pop() {
            self.now = at;
            let over = at > self.callers_done_at + DRAIN_TIME;
            let done = at > self.callers_done_at && self.open_requests == 0;
            if over || done {
                break;
            }
            self.handle(happening);
        }
        for (member, record) in self.fleet.iter().zip(&mut self.record.upstreams) {
            record.prefilled_tokens = member.model.prefilled_tokens();
        }
    }

    fn start(&mut self) {
        for node in 0..self.nodes.len() {
            self.start_node(node);
        }
        self.heap.push(SAMPLE_INTERVAL, Happening::Sample);
        if self.baseline.is_none() {
            self.heap.push(ms(300.0), Happening::OfferCatalogue);
            self.heap.push(Duration::ZERO, Happening::VmList);
        }
    }

    fn handle(&mut self, happening: Happening) {
        match happening {
            Happening::Node {
                node,
                incarnation,
                input,
            } => self.node_input(node, incarnation, input),
            Happening::Wake { node } => self.wake_node(node),
            Happening::NodeStarts { node } => {
                if !self.nodes[node].is_up() {
                    self.start_node(node);
                }
            }
            Happening::CallerSends { request } => self.caller_sends(request),
            Happening::EngineDue { upstream } => self.engine_due(upstream),
            Happening::StreamArrives { upstream, stream } => self.stream_arrives(upstream, stream),
            Happening::CancelArrives {
                upstream,
                grant,
                node,
                incarnation,
            } => self.cancel_arrives(upstream, &grant, node, incarnation),
            Happening::ResumeArrives {
                upstream,
                stream,
                node,
                incarnation,
                request,
            } => self.resume_arrives(upstream, stream, node, incarnation, request),
            Happening::TableCalled {
                node,
                incarnation,
                call,
                operation,
            } => self.table_called(node, incarnation, call, &operation),
            Happening::WatchDue {
                node,
                incarnation,
                upstream,
            } => self.watch_due(node, incarnation, upstream),
            Happening::Sample => self.sample(),
            Happening::OfferCatalogue => self.offer_catalogue(),
            Happening::VmList => self.tell_vm_list(),
            Happening::Fault { fault } => self.fault(&fault),
        }
    }

    fn schedule_arrivals(&mut self, arrivals: Vec<Arrival>) {
        for arrival in arrivals {
            let sent_at = SETTLING_TIME + arrival.at;
            self.add_request(Arc::new(arrival), sent_at);
        }
    }

    fn schedule_repeats(&mut self) {
        for request in 0..self.record.requests.len() {
            let first = &self.record.requests[request];
            let has_key = first.arrival.facts.key.is_some();
            if !has_key || self.random.random::<f64>() >= self.repeated {
                continue;
            }
            let mut again = first.arrival.as_ref().clone();
            let sent_at = first.sent_at + REPEAT_WITHIN.mul_f64(self.random.random::<f64>());
            again.entry = (again.entry + 1) % self.nodes.len();
            self.add_request(Arc::new(again), sent_at);
        }
    }

    fn add_request(&mut self, arrival: Arc<Arrival>, sent_at: Duration) {
        let request = self.record.requests.len();
        let gone_at = sent_at + arrival.facts.deadline;
        self.callers_done_at = self.callers_done_at.max(gone_at);
        self.open_requests += 1;
        self.record.requests.push(RequestRecord {
            entry: arrival.entry,
            arrival,
            sent_at,
            received_at: None,
            entry_failed: false,
            load_refusal_sent_at: None,
            abandoned_at: None,
            streams: Vec::new(),
            first_token_at: None,
            last_progress: None,
            gaps: Vec::new(),
            finals: Vec::new(),
        });
        self.heap.push(sent_at, Happening::CallerSends { request });
    }

    fn schedule_faults(&mut self) {
        for fault in self.plan.scenario.faults.clone() {
            let at = SETTLING_TIME + Duration::from_secs_f64(fault.at_s);
            self.heap.push(at, Happening::Fault { fault: fault.kind });
        }
    }

    /// A caller connects to its entry, or to the next one that answers.
    fn caller_sends(&mut self, request: usize) {
        let wanted = self.record.requests[request].entry;
        let count = self.nodes.len();
        let candidates = (0..count).map(|step| (wanted + step) % count);
        let Some(entry) = candidates.into_iter().find(|it| self.nodes[*it].is_up()) else {
            self.open_requests -= 1;
            return;
        };
        self.record.requests[request].entry = entry;
        let caller = ms(self.plan.site.network.caller_ms) + self.jitter();
        let incarnation = self.nodes[entry].incarnation;
        let input = NodeInput::Call { request };
        self.push_node(self.now + caller, entry, incarnation, input);
    }

    fn sample(&mut self) {
        let running = self
            .fleet
            .iter()
            .map(|it| it.alive.then_some(it.running.len() as u32));
        let sample = LoadSample {
            at: self.now,
            running: running.collect(),
        };
        self.record.samples.push(sample);
        self.heap
            .push(self.now + SAMPLE_INTERVAL, Happening::Sample);
    }

    fn push_node(&mut self, at: Duration, node: usize, incarnation: u64, input: NodeInput) {
        let happening = Happening::Node {
            node,
            incarnation,
            input,
        };
        self.heap.push(at, happening);
    }

    fn jitter(&mut self) -> Duration {
        let largest_ms = self.plan.site.network.jitter_ms;
        ms(largest_ms * self.random.random::<f64>())
    }

    /// One-way delay between two data centres.
    fn delay(&mut self, one: usize, other: usize) -> Duration {
        let network = &self.plan.site.network;
        let base_ms = if one == other {
            network.within_ms
        } else {
            network.between_ms
        };
        ms(base_ms) + self.jitter()
    }
}
