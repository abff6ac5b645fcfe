//! Replays a load against the dispatcher in virtual time, with a small model of engines that differ in
//! speed by a factor which nobody tells the dispatcher.

#![allow(dead_code, reason = "each test uses a part of the support")]

pub mod accounts;
pub mod engine;
pub mod kinds;
pub mod rollout_player;
pub mod verdicts;

use {
    self::{
        engine::{EngineModel, EngineRun, EngineSpeed, TOKENS_PER_EVENT},
        kinds::Kind,
    },
    dragonflystep_dispatch::{
        Catalogue, Dispatcher, Engine, Event, QuotaRules, Refusal, RefusalReason, RolloutRules,
        RunId, RunOutcome, RunReport, Service, SharedLimits, SlotDecision, SlotRequest, Upstream,
        UpstreamPhase, WorkSize,
    },
    std::{
        collections::{BTreeMap, BinaryHeap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Time between two looks at the dispatcher's queue.
const TICK_MS: f64 = 25.0;

pub const SERVICE: &str = "engines";

/// A small generator with a fixed sequence for each seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Time to the next of events that come at random `per_s` times a second.
    pub fn gap_s(&mut self, per_s: f64) -> f64 {
        -(1.0 - self.fraction()).ln() / per_s
    }

    /// A size of the given mean, a few of them several times larger.
    pub fn size(&mut self, mean: f64, spread: f64, most: f64) -> f64 {
        let (a, b) = (1.0 - self.fraction(), self.fraction());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        (mean * (spread * normal - spread * spread / 2.0).exp()).clamp(1.0, most)
    }
}

/// A load: kinds, engines by slowness, and the factor on the arrivals over time.
pub struct Load {
    pub kinds: Vec<Kind>,
    pub engine: EngineSpeed,
    pub slowness: Vec<f64>,
    pub slots: u32,
    pub length_s: f64,
    pub factor: fn(f64) -> f64,
    /// Whether a caller that is refused comes back once, as it is told.
    pub comes_back: bool,
    pub seed: u64,
}

/// What came of the requests of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub refused_after_ms_most: f64,
}

impl Outcome {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Results of a replay.
#[derive(Debug, Default)]
pub struct Replay {
    pub kinds: BTreeMap<&'static str, Outcome>,
    /// Share of the time that the places of each engine were taken.
    pub busy: Vec<f64>,
    /// Refusals for load of a tier while a lower one got a place within the next or last 100 ms.
    pub refused_above_served: u32,
}

pub fn limits() -> SharedLimits {
    SharedLimits {
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window_s: 10,
        quota: QuotaRules {
            window: Duration::from_secs(8),
            tolerated_share: 0.1,
            tolerated_units: 190_000.0,
        },
        rollout: RolloutRules {
            exposed_share: 0.1,
            exposed_slack: 50.0,
        },
    }
}

pub fn upstream(index: usize, slots: u32) -> Upstream {
    Upstream {
        id: format!("engine-{index}").into(),
        service: SERVICE.into(),
        address: format!("127.0.0.1:{index}"),
        data_centre: "a".into(),
        slots: Some(slots),
        phase: UpstreamPhase::Ready,
        version: "v1".into(),
    }
}

pub fn catalogue(slots: u32) -> Catalogue {
    Catalogue {
        version: 1,
        services: vec![Service {
            name: SERVICE.into(),
            max_connections: 100,
            health_path: String::new(),
            engine: Some(Engine {
                slots,
                cache_tokens: 700_000,
                tokens_per_event: 4,
            }),
        }],
        ..Catalogue::default()
    }
}

/// A dispatcher that knows `count` engines with `slots` places each.
pub fn dispatcher(count: usize, slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(limits());
    dispatcher.reduce(
        Duration::ZERO,
        Event::CatalogueChanged(Arc::new(catalogue(slots))),
    );
    let upstreams = (0..count).map(|index| upstream(index, slots)).collect();
    dispatcher.reduce(Duration::ZERO, Event::UpstreamsChanged(upstreams));
    dispatcher
}

/// A request of usual size with everything else left at its default.
pub fn plain_ask(run: RunId, tier: u16) -> SlotRequest {
    SlotRequest {
        run,
        service: SERVICE.into(),
        route: "route".into(),
        account: None,
        quota_units: 0,
        tier,
        objective_left: Duration::from_millis(600),
        time_left: Duration::from_secs(10),
        longest_pause: Some(Duration::from_millis(250)),
        size: WorkSize {
            prompt_tokens: 2_000,
            output_tokens: 120,
            segments: Vec::new(),
        },
        attempt: 0,
        avoid: Vec::new(),
        fingerprint: run,
        data_centre: "a".into(),
    }
}

#[derive(Clone, Copy)]
struct Asked {
    kind: usize,
    /// When it was asked for first.
    at_ms: f64,
    /// How long its caller waits, from then on.
    patience_ms: f64,
    /// Recognizes it when it comes back.
    fingerprint: u64,
    has_returned: bool,
    prompt: f64,
    tokens: f64,
}

/// Plays a load and tells what came of it.
pub fn replay(load: &Load) -> Replay {
    Player::new(load).play()
}

struct Player<'a> {
    load: &'a Load,
    dispatcher: Dispatcher,
    engines: Vec<EngineModel>,
    asked: HashMap<RunId, Asked>,
    result: Replay,
    /// Refused requests that come back, with the time.
    returning: Vec<(f64, Asked)>,
    granted: Vec<(f64, u16)>,
    shed: Vec<(f64, u16)>,
}

impl<'a> Player<'a> {
    fn new(load: &'a Load) -> Self {
        let engines = load.slowness.iter().map(|slowness| EngineModel {
            speed: load.engine,
            slowness: *slowness,
            runs: Vec::new(),
            next_step_ms: f64::INFINITY,
            busy_ms: 0.0,
        });
        Self {
            load,
            dispatcher: dispatcher(load.slowness.len(), load.slots),
            engines: engines.collect(),
            asked: HashMap::new(),
            result: Replay::default(),
            returning: Vec::new(),
            granted: Vec::new(),
            shed: Vec::new(),
        }
    }

    fn play(mut self) -> Replay {
        let arrivals = self.arrivals();
        let mut arrivals = arrivals.into_iter().peekable();
        let mut next_tick_ms = TICK_MS;
        let end_ms = self.load.length_s * 1e3 + 15_000.0;
        loop {
            let next_arrival = arrivals.peek().map_or(f64::INFINITY, |(at, _)| *at);
            let next_return = self.next_return();
            let return_ms = next_return.map_or(f64::INFINITY, |index| self.returning[index].0);
            let engine = (0..self.engines.len())
                .min_by(|a, b| {
                    let (a, b) = (&self.engines[*a], &self.engines[*b]);
                    a.next_step_ms.total_cmp(&b.next_step_ms)
                })
                .expect("a load has engines");
            let next_step = self.engines[engine].next_step_ms;
            let now = next_arrival.min(next_step).min(next_tick_ms).min(return_ms);
            if now > end_ms {
                return self.finish(end_ms);
            }
            if now == next_step {
                self.step(engine, now);
            } else if now == next_arrival {
                let (at, asked) = arrivals.next().expect("an arrival is due");
                self.arrive(at, asked);
            } else if let Some(index) = next_return.filter(|_| now == return_ms) {
                let (at, asked) = self.returning.swap_remove(index);
                self.arrive(at, asked);
            } else {
                next_tick_ms += TICK_MS;
                self.reduce(now, Event::Ticked);
            }
        }
    }

    fn next_return(&self) -> Option<usize> {
        (0..self.returning.len())
            .min_by(|a, b| self.returning[*a].0.total_cmp(&self.returning[*b].0))
    }

    fn arrivals(&self) -> Vec<(f64, Asked)> {
        let mut patience = Random::new(self.load.seed + 1_000);
        let mut random = Random::new(self.load.seed);
        let mut heap = BinaryHeap::new();
        let mut list = Vec::new();
        for (kind, spec) in self.load.kinds.iter().enumerate() {
            let mut at_s = 0.0;
            loop {
                at_s += random.gap_s(spec.per_s * (self.load.factor)(at_s).max(0.01));
                if at_s >= self.load.length_s {
                    break;
                }
                let events = random.size(spec.events_mean, 1.0, spec.events_mean * 10.0);
                let asked = Asked {
                    kind,
                    at_ms: at_s * 1e3,
                    patience_ms: spec.deadline_ms * (0.85 + 0.15 * patience.fraction()),
                    fingerprint: list.len() as u64 + 1,
                    has_returned: false,
                    prompt: random.size(spec.prompt_mean, 1.0, spec.prompt_most),
                    tokens: (events * f64::from(TOKENS_PER_EVENT)).ceil(),
                };
                heap.push(std::cmp::Reverse((asked.at_ms as u64, list.len())));
                list.push(Some(asked));
            }
        }
        let mut ordered = Vec::new();
        while let Some(std::cmp::Reverse((_, index))) = heap.pop() {
            let asked = list[index].take().expect("each is taken once");
            ordered.push((asked.at_ms, asked));
        }
        ordered.sort_by(|a, b| a.0.total_cmp(&b.0));
        ordered
    }

    fn arrive(&mut self, at: f64, asked: Asked) {
        let spec = &self.load.kinds[asked.kind];
        let run = self.asked.len() as RunId + 1;
        let ask = SlotRequest {
            route: spec.name.into(),
            tier: spec.tier,
            objective_left: ms(spec.objective_ms),
            time_left: ms(asked.at_ms + asked.patience_ms - at),
            fingerprint: asked.fingerprint,
            longest_pause: Some(ms(spec.pause_ms)),
            size: WorkSize {
                prompt_tokens: asked.prompt as u32,
                // The caller's estimate is right at the median only.
                output_tokens: (spec.events_mean * 0.6) as u32 * TOKENS_PER_EVENT,
                segments: Vec::new(),
            },
            ..plain_ask(run, spec.tier)
        };
        let outcome = self.result.kinds.entry(spec.name).or_default();
        outcome.asked += u32::from(!asked.has_returned);
        self.asked.insert(run, asked);
        self.reduce(at, Event::SlotRequested(ask));
    }

    fn step(&mut self, engine: usize, now: f64) {
        let taken = self.engines[engine]
            .runs
            .len()
            .min(self.load.slots as usize);
        let before = now;
        let ended = self.engines[engine].step();
        let step_ms = self.engines[engine].next_step_ms - before;
        if step_ms.is_finite() {
            let share = taken as f64 / f64::from(self.load.slots);
            self.engines[engine].busy_ms += share * step_ms;
        }
        for run in ended {
            self.end(&run, now);
        }
    }

    fn end(&mut self, run: &EngineRun, now: f64) {
        let asked = &self.asked[&run.run];
        let spec = &self.load.kinds[asked.kind];
        let first_ms = run.first_ms.unwrap_or(now);
        let is_in_time =
            first_ms - asked.at_ms <= spec.objective_ms && run.longest_pause_ms <= spec.pause_ms;
        let outcome = self.result.kinds.entry(spec.name).or_default();
        if is_in_time {
            outcome.in_time += 1;
        } else {
            outcome.late += 1;
        }
        let ended = RunReport {
            run: run.run,
            service: SERVICE.into(),
            outcome: RunOutcome::Completed,
            to_first_event: Some(ms(first_ms - run.started_ms)),
            to_end: ms(now - run.started_ms),
            events: run.events,
        };
        self.reduce(now, Event::RunEnded(ended));
    }

    fn reduce(&mut self, now: f64, event: Event) {
        for effect in self.dispatcher.reduce(ms(now), event) {
            let asked = &self.asked[&effect.run];
            let spec = &self.load.kinds[asked.kind];
            match effect.decision {
                SlotDecision::Granted(grant) => {
                    self.granted.push((now, spec.tier));
                    let index = grant.address.rsplit(':').next().expect("a port");
                    let engine = &mut self.engines[index.parse::<usize>().expect("a number")];
                    engine.runs.push(EngineRun {
                        run: effect.run,
                        prompt_left: asked.prompt,
                        tokens_left: asked.tokens,
                        tokens: 0,
                        started_ms: now,
                        first_ms: None,
                        last_event_ms: now,
                        longest_pause_ms: 0.0,
                        events: 0,
                    });
                    if engine.next_step_ms.is_infinite() {
                        engine.plan(now);
                    }
                }
                SlotDecision::Refused(Refusal {
                    reason,
                    retry_after,
                }) => {
                    assert_eq!(reason, RefusalReason::Overloaded);
                    self.shed.push((now, spec.tier));
                    if self.load.comes_back && !asked.has_returned {
                        let left_ms = asked.at_ms + asked.patience_ms - now;
                        let back_ms = (retry_after.as_secs_f64() * 1e3).min(left_ms / 3.0);
                        let returned = Asked {
                            has_returned: true,
                            ..*asked
                        };
                        self.returning.push((now + back_ms, returned));
                        continue;
                    }
                    let outcome = self.result.kinds.entry(spec.name).or_default();
                    outcome.refused += 1;
                    let held = now - asked.at_ms;
                    outcome.refused_after_ms_most = outcome.refused_after_ms_most.max(held);
                }
            }
        }
    }

    fn finish(mut self, end_ms: f64) -> Replay {
        for (at, tier) in &self.shed {
            let is_below_served = self
                .granted
                .iter()
                .any(|(other, lower)| lower > tier && (at - other).abs() <= 100.0);
            self.result.refused_above_served += u32::from(is_below_served);
        }
        let played_ms = end_ms.min(self.load.length_s * 1e3);
        self.result.busy = self
            .engines
            .iter()
            .map(|engine| engine.busy_ms / played_ms)
            .collect();
        self.result
    }
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
