//! The nodes: what reaches them, and their effects carried out.

use {
    super::{Step, World, connections::Connection, heap::NodeInput},
    crate::{
        record::{CatalogueRecord, Final, GrantRecord},
        scenario::Plan,
    },
    dragonflystep_core::{
        Effect, Event, NodeIdentity, State,
        admin::AdminAnswer,
        effect::Record,
        ids::{NodeId, RequestId},
        message::{AskRefusal, AskRefused, Message},
        object::ObjectOutcome,
        request::RefusalCode,
    },
    rand::{Rng, RngCore},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// How long a node waits for a connection that nobody answers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two words that a node can't be reached.
const PEER_LOST_INTERVAL: Duration = Duration::from_secs(1);

/// What decides on a node.
#[derive(Debug)]
pub enum Mind {
    /// The process does not run.
    Off,
    /// The reducer.
    Reducer(Box<State>),
    /// The baseline of the world.
    Baseline,
}

/// One node.
#[derive(Debug)]
pub struct Node {
    /// Name.
    pub id: NodeId,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Incarnation.
    pub incarnation: u64,
    /// What decides.
    pub mind: Mind,
    /// What its clock shows more than the world's.
    pub clock_offset: Duration,
    /// When it goes on after a pause.
    pub paused_until: Option<Duration>,
    /// What reached it during a pause.
    pub backlog: VecDeque<NodeInput>,
    /// Its requests.
    pub calls: HashMap<RequestId, Call>,
    /// Upstreams whose reports it reads, with the last cache event that it has.
    pub watches: HashMap<usize, u64>,
    /// Number of its next request.
    pub next_request: RequestId,
    /// Number of its next connection.
    pub next_connection: u64,
}

impl Node {
    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        !matches!(self.mind, Mind::Off)
    }
}

/// A request at its entry.
#[derive(Debug)]
pub struct Call {
    /// Index of the request in the record.
    pub request: usize,
    /// The connection to the upstream.
    pub connection: Option<Connection>,
}

/// The nodes of a site, all of them off.
pub fn build(plan: &Plan) -> Vec<Node> {
    let centres = plan.site.data_centres.iter().enumerate();
    let places = centres.flat_map(|(index, centre)| (0..centre.nodes).map(move |_| index));
    places
        .enumerate()
        .map(|(number, data_centre)| Node {
            id: format!("entry-{}", number + 1).into(),
            data_centre,
            incarnation: 0,
            mind: Mind::Off,
            clock_offset: Duration::ZERO,
            paused_until: None,
            backlog: VecDeque::new(),
            calls: HashMap::new(),
            watches: HashMap::new(),
            next_request: 1,
            next_connection: 1,
        })
        .collect()
}

impl World {
    /// Starts a node's process anew.
    pub(super) fn start_node(&mut self, node: usize) {
        let incarnation = u64::from(self.random.next_u32()) + 1;
        let clock_offset = Duration::from_secs(self.random.random_range(1..100_000));
        let seed = self.random.next_u64();
        let is_baseline = self.baseline.is_some();
        let place = &mut self.nodes[node];
        place.incarnation = incarnation;
        place.clock_offset = clock_offset;
        place.paused_until = None;
        place.backlog.clear();
        place.calls.clear();
        place.watches.clear();
        place.mind = if is_baseline {
            Mind::Baseline
        } else {
            let identity = NodeIdentity {
                id: place.id.clone(),
                incarnation,
                data_centre: self.plan.site.data_centres[place.data_centre]
                    .id
                    .as_str()
                    .into(),
                mesh_address: format!("10.0.0.{}:7000", node + 1).into(),
                caller_address: format!("10.0.0.{}:8000", node + 1).into(),
                vm: Some(format!("vm-{}", place.id).into()),
            };
            Mind::Reducer(Box::new(State::new(identity, self.tuning.clone(), seed)))
        };
        self.push_node(
            self.now,
            node,
            incarnation,
            NodeInput::Event(Event::Started),
        );
    }

    pub(super) fn node_input(&mut self, node: usize, incarnation: u64, input: NodeInput) {
        let place = &mut self.nodes[node];
        if !place.is_up() || place.incarnation != incarnation {
            return;
        }
        if place.paused_until.is_some() {
            if let NodeInput::Call { request } = input {
                self.record.requests[request].entry_failed = true;
            }
            place.backlog.push_back(input);
            return;
        }
        match input {
            NodeInput::Event(event) => self.feed(node, event),
            NodeInput::Call { request } => self.receive_call(node, request),
            NodeInput::Connected { request } => self.send_request(node, request),
            NodeInput::Progress {
                request,
                connection,
                tokens,
                cached_tokens,
                finished,
            } => self.progress(node, request, connection, tokens, cached_tokens, finished),
            NodeInput::Broken {
                request,
                connection,
                silent,
            } => self.broken(node, request, connection, silent),
        }
    }

    /// Lets a node go on after a pause.
    pub(super) fn wake_node(&mut self, node: usize) {
        let now = self.now;
        let place = &mut self.nodes[node];
        if place.paused_until.is_none_or(|until| until > now) {
            return;
        }
        place.paused_until = None;
        let incarnation = place.incarnation;
        let backlog = std::mem::take(&mut place.backlog);
        // Nothing says whether a woken process sees its timers or its sockets first.
        let timers_last = self.random.random::<bool>();
        let (later, sooner): (Vec<NodeInput>, Vec<NodeInput>) = backlog
            .into_iter()
            .partition(|it| timers_last && matches!(it, NodeInput::Event(Event::TimerFired(_))));
        for input in sooner.into_iter().chain(later) {
            self.node_input(node, incarnation, input);
        }
    }

    /// Hands an event to a node and carries out what it answers.
    pub(super) fn feed(&mut self, node: usize, event: Event) {
        self.record.node_events += 1;
        let clock = self.now + self.nodes[node].clock_offset;
        let kept = self.steps.is_some().then(|| event.clone());
        let effects: Vec<(usize, Effect)> = match &mut self.nodes[node].mind {
            Mind::Off => return,
            Mind::Reducer(state) => {
                let effects = state.reduce(clock, event);
                effects.into_iter().map(|effect| (node, effect)).collect()
            }
            Mind::Baseline => match &mut self.baseline {
                Some(baseline) => baseline.handle(node, clock, event),
                None => return,
            },
        };
        if let (Some(steps), Some(event)) = (&mut self.steps, kept) {
            steps.push(Step {
                at: self.now,
                node,
                event,
                effects: effects.iter().map(|(_, effect)| effect.clone()).collect(),
            });
        }
        for (node, effect) in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        let incarnation = self.nodes[node].incarnation;
        match effect {
            Effect::StartTimer { at, timer } => {
                let at = at
                    .saturating_sub(self.nodes[node].clock_offset)
                    .max(self.now);
                let input = NodeInput::Event(Event::TimerFired(timer));
                self.push_node(at, node, incarnation, input);
            }
            Effect::Send { to, message } => self.send(node, &to, message),
            Effect::Dispatch {
                request,
                upstream,
                grant,
                valid_until,
                progress_timeout,
                ..
            } => self.connect(
                node,
                request,
                &upstream,
                grant,
                valid_until,
                progress_timeout,
            ),
            Effect::Resume { request, .. } => self.resume(node, request),
            Effect::CancelStream { request } => self.cancel_stream(node, request),
            Effect::CancelGrantAt {
                upstream, grant, ..
            } => self.send_cancel(node, self.fleet_index[&upstream], grant),
            Effect::FinishAnswer { request } => self.finish_answer(node, request),
            Effect::RelayRejection { request } => self.end(node, request, Final::Rejected),
            Effect::Refuse { request, refusal } => {
                self.end(node, request, Final::Refused(refusal));
            }
            Effect::Release { request } => drop(self.nodes[node].calls.remove(&request)),
            Effect::WatchUpstream { upstream, .. } => self.watch(node, &upstream),
            Effect::UnwatchUpstream { upstream } => {
                let index = self.fleet_index[&upstream];
                self.nodes[node].watches.remove(&index);
            }
            Effect::CallTable { call, operation } => self.call_table(node, call, operation),
            Effect::CallObjects { call, .. } => {
                let outcome = ObjectOutcome::Unavailable;
                let event = Event::ObjectAnswered { call, outcome };
                self.push_node(self.now, node, incarnation, NodeInput::Event(event));
            }
            Effect::AnswerAdmin { answer, .. } => {
                if matches!(answer, AdminAnswer::Accepted { .. }) {
                    self.catalogue_accepted = true;
                }
            }
            Effect::Record(Record::CatalogueApplied { version }) => {
                self.record.catalogue_versions.push(CatalogueRecord {
                    at: self.now,
                    node,
                    incarnation,
                    version,
                });
            }
            Effect::Record(_) | Effect::Log(_) => {}
            Effect::Exit => self.exit(node),
        }
    }

    fn send(&mut self, node: usize, to: &NodeId, message: Message) {
        if let Message::Granted(granted) = &message {
            self.record.grants.push(GrantRecord {
                at: self.now,
                node: self.nodes[node].id.clone(),
                group: granted.grant.group.clone(),
                epoch: granted.grant.epoch,
                grant: granted.grant.grant,
            });
        }
        let Some(target) = self.nodes.iter().position(|it| it.id == *to) else {
            return;
        };
        if let Message::AskRefused(refused) = &message {
            self.note_load_refusal(target, refused);
        }
        let event = Event::MessageReceived {
            from: self.nodes[node].id.clone(),
            message,
        };
        let (here, there) = (&self.nodes[node], &self.nodes[target]);
        let (from_centre, to_centre) = (here.data_centre, there.data_centre);
        let (is_up, incarnation) = (there.is_up(), there.incarnation);
        if target == node {
            self.push_node(self.now, node, incarnation, NodeInput::Event(event));
            return;
        }
        if !is_up || self.is_cut(node, target) {
            self.tell_peer_lost(node, target, is_up);
            return;
        }
        let faults = self.message_faults;
        if self.random.random::<f64>() < faults.lost {
            return;
        }
        let copies = 1 + usize::from(self.random.random::<f64>() < faults.doubled);
        for _ in 0..copies {
            let mut delay = self.delay(from_centre, to_centre);
            if self.random.random::<f64>() < faults.late {
                delay += faults.late_by.mul_f64(self.random.random::<f64>());
            }
            let input = NodeInput::Event(event.clone());
            self.push_node(self.now + delay, target, incarnation, input);
        }
    }

    fn note_load_refusal(&mut self, entry: usize, refused: &AskRefused) {
        let code = RefusalCode::Overloaded;
        if refused.reason != (AskRefusal::Final { code }) {
            return;
        }
        if let Some(call) = self.nodes[entry].calls.get(&refused.ask.request) {
            self.record.requests[call.request].load_refusal_sent_at = Some(self.now);
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cuts.iter().any(|(left, right, until)| {
            *until > self.now
                && ((*left, *right) == (one, other) || (*left, *right) == (other, one))
        })
    }

    fn tell_peer_lost(&mut self, node: usize, target: usize, is_up: bool) {
        let last = self.peer_lost_at.get(&(node, target));
        if last.is_some_and(|at| *at + PEER_LOST_INTERVAL > self.now) {
            return;
        }
        self.peer_lost_at.insert((node, target), self.now);
        let centres = (self.nodes[node].data_centre, self.nodes[target].data_centre);
        let after = if is_up {
            CONNECT_TIMEOUT
        } else {
            self.delay(centres.0, centres.1) * 2
        };
        let event = Event::PeerLost {
            node: self.nodes[target].id.clone(),
        };
        let incarnation = self.nodes[node].incarnation;
        self.push_node(self.now + after, node, incarnation, NodeInput::Event(event));
    }

    fn receive_call(&mut self, node: usize, request: usize) {
        let place = &mut self.nodes[node];
        let id = place.next_request;
        place.next_request += 1;
        place.calls.insert(
            id,
            Call {
                request,
                connection: None,
            },
        );
        let record = &mut self.record.requests[request];
        record.received_at = Some(self.now);
        let facts = record.arrival.facts.clone();
        self.feed(node, Event::RequestReceived { request: id, facts });
    }

    fn finish_answer(&mut self, node: usize, request: RequestId) {
        let call = self.nodes[node].calls.get(&request);
        let connection = call.and_then(|it| it.connection.as_ref());
        let tokens = connection.map_or(0, |it| it.tokens);
        self.end(node, request, Final::Answered { tokens });
    }

    fn end(&mut self, node: usize, request: RequestId, last: Final) {
        let Some(call) = self.nodes[node].calls.get(&request) else {
            return;
        };
        let record = &mut self.record.requests[call.request];
        if record.finals.is_empty() {
            self.open_requests = self.open_requests.saturating_sub(1);
        }
        record.finals.push((self.now, last));
    }

    fn exit(&mut self, node: usize) {
        let open: Vec<usize> = self.open_calls(node);
        self.record.cut_off_by_stop.extend(open);
        self.turn_off(node);
    }

    /// Requests of a node that have no final answer yet.
    pub(super) fn open_calls(&self, node: usize) -> Vec<usize> {
        let calls = self.nodes[node].calls.values();
        let open = calls.filter(|it| self.record.requests[it.request].finals.is_empty());
        let mut open: Vec<usize> = open.map(|it| it.request).collect();
        // The order of a hash map must not reach the run.
        open.sort_unstable();
        open
    }

    /// Ends a node's process; its callers see their connections close.
    pub(super) fn turn_off(&mut self, node: usize) {
        let open = self.open_calls(node);
        self.nodes[node].mind = Mind::Off;
        for listener in &mut self.listeners {
            listener.take_if(|it| it.node == node);
        }
        for request in open {
            let record = &mut self.record.requests[request];
            record.entry_failed = true;
            record.abandoned_at = Some(self.now);
            self.open_requests = self.open_requests.saturating_sub(1);
            if self.callers_retry && record.arrival.facts.key.is_some() {
                let arrival = record.arrival.clone();
                self.add_request(arrival, self.now + CONNECT_TIMEOUT);
            }
        }
    }
}
