//! One node that holds every group by itself, to measure what a decision costs at a given size.

use {
    crate::world::table::Table,
    dragonflystep_core::{
        Effect, Event, NodeIdentity, State, Tuning,
        admin::AdminCommand,
        catalogue::{
            ClientAccount, Edit, Objective, OverloadPolicy, Service, ServiceKind, TierSettings,
            Upstream, UpstreamLimits, UpstreamState,
        },
        event::UpstreamEvent,
        ids::{BlockHash, RequestId, Tier},
        request::RequestFacts,
        timer::Timer,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Upstreams that one broker grants.
const GROUP_SIZE: usize = 4;

/// Requests that may run on one upstream.
const RUNNING_REQUESTS: u32 = 16;

/// Time of one step while the node settles.
const STEP: Duration = Duration::from_millis(50);

/// Longest time until the node holds all groups.
const LONGEST_SETTLING: Duration = Duration::from_secs(120);

/// Edits in one call of the operator.
const EDITS_PER_CALL: usize = 500;

/// Blocks of a prompt's prefix: 16 of 64 tokens.
const PREFIX_BLOCKS: u64 = 16;

/// Tokens of a prompt.
const PROMPT_TOKENS: u32 = 1100;

/// Longest answer.
const OUTPUT_TOKENS: u32 = 200;

/// How large a system is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Upstreams of the one service.
    pub upstreams: usize,
    /// Client accounts.
    pub accounts: usize,
}

/// A node with its table, and the events that it sent to itself.
#[derive(Debug)]
pub struct SingleNode {
    /// The node.
    pub state: State,
    size: Size,
    now: Duration,
    table: Table,
    inbox: VecDeque<Event>,
    timers: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    timers_started: u64,
    dispatched: Option<RequestId>,
    finished: u64,
    next_request: RequestId,
}

impl SingleNode {
    /// A node that holds all groups of a system of this size and has seen some requests.
    pub fn settled(size: Size) -> Self {
        let identity = NodeIdentity {
            id: "entry-1".into(),
            incarnation: 1,
            data_centre: "a".into(),
            mesh_address: "10.0.0.1:7000".into(),
            caller_address: "10.0.0.1:8000".into(),
            vm: None,
        };
        let mut node = Self {
            state: State::new(identity, Tuning::default(), 1),
            size,
            now: Duration::from_secs(1),
            table: Table::default(),
            inbox: VecDeque::from([Event::Started]),
            timers: BinaryHeap::new(),
            timers_started: 0,
            dispatched: None,
            finished: 0,
            next_request: 1,
        };
        node.run_until(node.now + Duration::from_secs(1));
        for (call, edits) in edits(size).chunks(EDITS_PER_CALL).enumerate() {
            node.change_catalogue(call as u64, edits.to_vec());
        }
        let groups = size.upstreams.div_ceil(GROUP_SIZE);
        let give_up_at = node.now + LONGEST_SETTLING;
        while node.state.view.held.len() < groups && node.now < give_up_at {
            node.run_until(node.now + STEP);
        }
        // Old grants of a group have to be dead before its new broker grants.
        node.run_until(node.now + Duration::from_secs(5));
        node
    }

    fn change_catalogue(&mut self, call: u64, edits: Vec<Edit>) {
        let command = AdminCommand::ChangeCatalogue {
            based_on: self.state.view.catalogue.version,
            author: "operator".into(),
            reason: "first catalogue".into(),
            token: format!("call-{call}").into(),
            edits,
        };
        self.inbox.push_back(Event::AdminCalled { call, command });
        self.run_until(self.now + Duration::from_secs(1));
    }

    /// Groups that the node holds.
    pub fn held_groups(&self) -> usize {
        self.state.view.held.len()
    }

    /// Whole answers so far.
    pub fn finished(&self) -> u64 {
        self.finished
    }

    /// One request from its receipt to its whole answer, with all messages between entry and broker.
    pub fn whole_request(&mut self) {
        let request = self.next_request;
        self.next_request += 1;
        self.now += Duration::from_millis(1);
        self.dispatched = None;
        let facts = facts(request, self.size);
        self.handle(Event::RequestReceived { request, facts });
        let Some(request) = self.dispatched.take() else {
            return;
        };
        let events = [
            UpstreamEvent::Dispatched { request },
            UpstreamEvent::FirstTokenArrived { request },
            UpstreamEvent::TokensArrived {
                request,
                tokens: OUTPUT_TOKENS / 2,
            },
            UpstreamEvent::AnswerCompleted {
                request,
                tokens: OUTPUT_TOKENS,
                cached_tokens: Some(0),
            },
        ];
        for event in events {
            self.now += Duration::from_millis(10);
            self.handle(Event::Upstream(event));
        }
    }

    /// Lets time pass with nothing but the node's own rounds.
    pub fn pass(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Fires all timers up to a time.
    pub fn run_until(&mut self, until: Duration) {
        self.drain();
        while let Some(Reverse((at, ..))) = self.timers.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, timer))) = self.timers.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle(Event::TimerFired(timer));
        }
        self.now = self.now.max(until);
    }

    /// Fires the timers that are due, so that leases do not lapse between two measurements.
    pub fn catch_up(&mut self) {
        self.run_until(self.now);
    }

    fn handle(&mut self, event: Event) {
        self.inbox.push_back(event);
        self.drain();
    }

    fn drain(&mut self) {
        while let Some(event) = self.inbox.pop_front() {
            for effect in self.state.reduce(self.now, event) {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::StartTimer { at, timer } => {
                self.timers_started += 1;
                self.timers.push(Reverse((at, self.timers_started, timer)));
            }
            Effect::Send { to, message } => {
                let from = self.state.view.node.id.clone();
                if to == from {
                    self.inbox
                        .push_back(Event::MessageReceived { from, message });
                }
            }
            Effect::CallTable { call, operation } => {
                let outcome = self.table.apply(&operation);
                self.inbox.push_back(Event::TableAnswered { call, outcome });
            }
            Effect::Dispatch { request, .. } => self.dispatched = Some(request),
            Effect::FinishAnswer { .. } => self.finished += 1,
            _ => {}
        }
    }
}

fn edits(size: Size) -> Vec<Edit> {
    let service = Edit::PutService(Arc::new(Service {
        id: "assistant".into(),
        kind: ServiceKind::Engine,
        overload_policy: OverloadPolicy::default(),
        model: None,
    }));
    let tiers = (0..4u8).map(|rank| {
        Edit::PutTier(Arc::new(TierSettings {
            id: format!("tier-{rank}").into(),
            rank: Tier::from(rank),
            default_deadline_ms: 30_000,
            objective: Objective {
                first_token_ms: 480,
                token_gap_ms: 45,
                good_share: 0.95,
            },
        }))
    });
    let accounts = (0..size.accounts).map(|number| {
        Edit::PutAccount(Arc::new(ClientAccount {
            id: account(number as u64),
            key_sha256: format!("{:064x}", number + 1).into(),
            weight: 1,
            tiers: Vec::new(),
        }))
    });
    let upstreams = (0..size.upstreams).map(upstream);
    [service]
        .into_iter()
        .chain(tiers)
        .chain(accounts)
        .chain(upstreams)
        .collect()
}

fn account(number: u64) -> Arc<str> {
    format!("account-{number}").into()
}

fn upstream(number: usize) -> Edit {
    Edit::PutUpstream(Arc::new(Upstream {
        id: format!("engine-{number}").into(),
        service: "assistant".into(),
        owner: "department".into(),
        class: if number.is_multiple_of(2) {
            "fast"
        } else {
            "slow"
        }
        .into(),
        address: format!("10.1.{}.{}:8000", number / 250, number % 250 + 1).into(),
        data_centre: "a".into(),
        group: format!("assistant-{}", number / GROUP_SIZE).into(),
        limits: UpstreamLimits {
            running_requests: RUNNING_REQUESTS,
            held_tokens: None,
        },
        state: UpstreamState::Active,
        checks_fencing: false,
        vm: None,
    }))
}

fn facts(request: RequestId, size: Size) -> Arc<RequestFacts> {
    let document = request % 97;
    let blocks = (0..PREFIX_BLOCKS).map(|block| document * PREFIX_BLOCKS + block + 1);
    let blocks: Vec<BlockHash> = blocks.collect();
    Arc::new(RequestFacts {
        service: "assistant".into(),
        account: account(request % size.accounts as u64),
        tier: (request % 4) as Tier,
        key: None,
        deadline: Duration::from_secs(30),
        idempotent: true,
        prefix_blocks: blocks.into(),
        prompt_tokens: PROMPT_TOKENS,
        output_tokens: OUTPUT_TOKENS,
        fingerprint: request,
    })
}
