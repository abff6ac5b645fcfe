//! Simple policies over the same engines, arrivals and delays, to compare the reducer with.
//!
//! They speak the reducer's own events and effects, so the world plays them in the same way. None of them
//! knows tiers, accounts or prefixes. All of them end a stream at the request's deadline, as a caller that
//! goes away would.

use {
    crate::{scenario::Plan, world::fleet::FleetMember},
    dragonflystep_core::{
        Effect, Event,
        catalogue::ServiceKind,
        event::UpstreamEvent,
        ids::RequestId,
        message::GrantName,
        request::{Ran, Refusal, RefusalCode},
        timer::Timer,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Which simple policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BaselineKind {
    /// Any upstream of the service.
    Random,
    /// One upstream after the other, at each entry for itself.
    RoundRobin,
    /// Two at random, then the one that last reported less load.
    TwoChoices,
    /// One queue for the service with exact counts: the oldest request goes to the least loaded upstream below its limit.
    Fifo,
}

#[derive(Debug)]
struct Target {
    id: Arc<str>,
    address: Arc<str>,
    kind: ServiceKind,
    limit: u32,
    running: u32,
}

#[derive(Debug)]
struct Open {
    service: Arc<str>,
    target: Option<usize>,
    sent: bool,
}

/// State of a simple policy, for all nodes of a run.
#[derive(Debug)]
pub struct Baseline {
    kind: BaselineKind,
    targets: Vec<Target>,
    of_service: HashMap<Arc<str>, Vec<usize>>,
    index: HashMap<Arc<str>, usize>,
    /// Load as last reported, by node and target; none when it did not answer.
    reports: HashMap<(usize, usize), Option<u32>>,
    turns: HashMap<(usize, Arc<str>), usize>,
    queues: HashMap<Arc<str>, VecDeque<(usize, RequestId)>>,
    open: HashMap<(usize, RequestId), Open>,
    granted: u64,
    random: Pcg64Mcg,
}

impl Baseline {
    /// The policy before anything happened.
    pub fn new(kind: BaselineKind, plan: &Plan, fleet: &[FleetMember], seed: u64) -> Self {
        let targets: Vec<Target> = fleet
            .iter()
            .map(|member| Target {
                id: member.entry.id.clone(),
                address: member.entry.address.clone(),
                kind: member.kind,
                limit: member.entry.limits.running_requests,
                running: 0,
            })
            .collect();
        let of_service = plan.site.services.iter().map(|service| {
            let name: Arc<str> = service.id.as_str().into();
            let members = fleet.iter().enumerate();
            let members = members.filter(|(_, it)| it.entry.service == name);
            (name.clone(), members.map(|(at, _)| at).collect())
        });
        Self {
            kind,
            of_service: of_service.collect(),
            index: targets
                .iter()
                .enumerate()
                .map(|(at, it)| (it.id.clone(), at))
                .collect(),
            targets,
            reports: HashMap::new(),
            turns: HashMap::new(),
            queues: HashMap::new(),
            open: HashMap::new(),
            granted: 0,
            random: Pcg64Mcg::seed_from_u64(seed ^ 0xba5e),
        }
    }

    /// Handles an event of a node; effects may be for other nodes, since the one queue is for all.
    pub fn handle(&mut self, node: usize, now: Duration, event: Event) -> Vec<(usize, Effect)> {
        let mut effects = Vec::new();
        match event {
            Event::Started => {
                let watched = self.targets.iter().map(|it| Effect::WatchUpstream {
                    upstream: it.id.clone(),
                    address: it.address.clone(),
                    kind: it.kind,
                });
                effects.extend(watched.map(|effect| (node, effect)));
            }
            Event::RequestReceived { request, facts } => {
                let open = Open {
                    service: facts.service.clone(),
                    target: None,
                    sent: false,
                };
                self.open.insert((node, request), open);
                let timer = Effect::StartTimer {
                    at: now + facts.deadline,
                    timer: Timer::RequestDeadline(request),
                };
                effects.push((node, timer));
                self.place(node, request, &mut effects);
            }
            Event::TimerFired(Timer::RequestDeadline(request)) => {
                self.deadline_passed(node, request, &mut effects);
            }
            Event::Upstream(event) => self.upstream_event(node, event, &mut effects),
            _ => {}
        }
        effects
    }

    fn upstream_event(
        &mut self,
        node: usize,
        event: UpstreamEvent,
        effects: &mut Vec<(usize, Effect)>,
    ) {
        match event {
            UpstreamEvent::LoadReported {
                upstream,
                running,
                queued,
                ..
            } => {
                let target = self.index[&upstream];
                self.reports.insert((node, target), Some(running + queued));
            }
            UpstreamEvent::WatchFailed { upstream } => {
                let target = self.index[&upstream];
                self.reports.insert((node, target), None);
            }
            UpstreamEvent::Dispatched { request } => {
                if let Some(open) = self.open.get_mut(&(node, request)) {
                    open.sent = true;
                }
            }
            UpstreamEvent::ConnectFailed { request } => {
                if let Some(target) = self.release(node, request) {
                    self.reports.insert((node, target), None);
                }
                self.place(node, request, effects);
            }
            UpstreamEvent::AnswerCompleted { request, .. } => {
                effects.push((node, Effect::FinishAnswer { request }));
                self.end(node, request, effects);
            }
            UpstreamEvent::StreamBroken { request, .. } => {
                let refusal = Refusal::with_ran(RefusalCode::UpstreamFailed, Ran::Unknown);
                effects.push((node, Effect::Refuse { request, refusal }));
                self.end(node, request, effects);
            }
            _ => {}
        }
    }

    fn deadline_passed(
        &mut self,
        node: usize,
        request: RequestId,
        effects: &mut Vec<(usize, Effect)>,
    ) {
        let Some(open) = self.open.get(&(node, request)) else {
            return;
        };
        let ran = if open.sent { Ran::Unknown } else { Ran::No };
        let refusal = Refusal::with_ran(RefusalCode::DeadlinePassed, ran);
        effects.push((node, Effect::CancelStream { request }));
        effects.push((node, Effect::Refuse { request, refusal }));
        self.end(node, request, effects);
    }

    fn end(&mut self, node: usize, request: RequestId, effects: &mut Vec<(usize, Effect)>) {
        self.release(node, request);
        effects.push((node, Effect::Release { request }));
        let Some(open) = self.open.remove(&(node, request)) else {
            return;
        };
        self.serve_queue(&open.service, effects);
    }

    fn release(&mut self, node: usize, request: RequestId) -> Option<usize> {
        let target = self.open.get_mut(&(node, request))?.target.take()?;
        self.targets[target].running = self.targets[target].running.saturating_sub(1);
        Some(target)
    }

    fn place(&mut self, node: usize, request: RequestId, effects: &mut Vec<(usize, Effect)>) {
        let Some(service) = self.open.get(&(node, request)).map(|it| it.service.clone()) else {
            return;
        };
        if self.kind == BaselineKind::Fifo {
            let queue = self.queues.entry(service.clone()).or_default();
            queue.push_back((node, request));
            self.serve_queue(&service, effects);
            return;
        }
        let target = self.choose(node, &service);
        self.dispatch(node, request, target, effects);
    }

    fn choose(&mut self, node: usize, service: &Arc<str>) -> usize {
        let members = &self.of_service[service];
        let answers = |target: &&usize| self.reports.get(&(node, **target)) != Some(&None);
        let mut live: Vec<usize> = members.iter().filter(answers).copied().collect();
        if live.is_empty() {
            live.clone_from(members);
        }
        match self.kind {
            BaselineKind::RoundRobin => {
                let turn = self.turns.entry((node, service.clone())).or_default();
                *turn += 1;
                live[*turn % live.len()]
            }
            BaselineKind::TwoChoices => {
                let one = live[self.random.random_range(0..live.len())];
                let other = live[self.random.random_range(0..live.len())];
                let load = |it: usize| {
                    self.reports
                        .get(&(node, it))
                        .copied()
                        .flatten()
                        .unwrap_or(0)
                };
                if load(other) < load(one) { other } else { one }
            }
            BaselineKind::Random | BaselineKind::Fifo => {
                live[self.random.random_range(0..live.len())]
            }
        }
    }

    fn serve_queue(&mut self, service: &Arc<str>, effects: &mut Vec<(usize, Effect)>) {
        if self.kind != BaselineKind::Fifo {
            return;
        }
        while let Some(&(node, request)) = self.queues.get(service).and_then(|it| it.front()) {
            if !self.open.contains_key(&(node, request)) {
                self.pop(service);
                continue;
            }
            let members = self.of_service[service].iter().copied();
            let free = members.filter(|it| {
                let answers = self.reports.get(&(node, *it)) != Some(&None);
                answers && self.targets[*it].running < self.targets[*it].limit
            });
            let Some(target) = free.min_by_key(|it| self.targets[*it].running) else {
                return;
            };
            self.pop(service);
            self.dispatch(node, request, target, effects);
        }
    }

    fn pop(&mut self, service: &Arc<str>) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.pop_front();
        }
    }

    fn dispatch(
        &mut self,
        node: usize,
        request: RequestId,
        target: usize,
        effects: &mut Vec<(usize, Effect)>,
    ) {
        if let Some(open) = self.open.get_mut(&(node, request)) {
            open.target = Some(target);
        }
        self.granted += 1;
        let chosen = &mut self.targets[target];
        chosen.running += 1;
        let dispatch = Effect::Dispatch {
            request,
            upstream: chosen.id.clone(),
            address: chosen.address.clone(),
            kind: chosen.kind,
            grant: GrantName {
                group: "baseline".into(),
                epoch: 1,
                grant: self.granted,
            },
            valid_until: Duration::MAX,
            progress_timeout: Duration::MAX / 4,
        };
        effects.push((node, dispatch));
    }
}
