//! Replays a load against the dispatcher in virtual time, on a small model of engines.
//!
//! The engines differ in speed by a factor that the dispatcher is not told.

#![allow(dead_code, reason = "each test uses only part of this module")]

pub mod accounts;
pub mod copies;
pub mod engine;
pub mod kinds;
pub mod rollout_simulation;
pub mod slot_requests;

use {
    self::{
        engine::{EngineModel, EngineRun, EngineSpeed, TOKENS_PER_EVENT},
        kinds::RequestKind,
    },
    dragonflystep_dispatch::{
        Catalogue, CopyRules, Dispatcher, Engine, Event, QuotaRules, Refusal, RefusalReason,
        RolloutRules, RunId, RunOutcome, RunReport, Service, ShareRules, SharedLimits,
        SlotDecision, SlotRequest, Upstream, UpstreamPhase, WarmUpRules, WorkSize,
    },
    std::{
        collections::{BTreeMap, BinaryHeap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Time between two ticks, at which the dispatcher examines its queue.
const TICK_MS: f64 = 25.0;

/// Name of the only service in the test catalogue.
pub const SERVICE: &str = "engines";

/// A small pseudorandom generator (xorshift) with a fixed sequence for each seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns a number that is uniformly distributed from 0 up to but not including 1.
    pub fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns the time to the next event of a Poisson process with `rate_per_s` events per second.
    pub fn gap_s(&mut self, rate_per_s: f64) -> f64 {
        -(1.0 - self.fraction()).ln() / rate_per_s
    }

    /// Returns a log-normally distributed size, at least 1 and at most `max`.
    ///
    /// Before it is clamped the distribution has the given mean; a few sizes are several times larger.
    pub fn size(&mut self, mean: f64, sigma: f64, max: f64) -> f64 {
        let (a, b) = (1.0 - self.fraction(), self.fraction());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        (mean * (sigma * normal - sigma * sigma / 2.0).exp()).clamp(1.0, max)
    }
}

/// A load to replay, and the engines that serve it.
pub struct Load {
    pub kinds: Vec<RequestKind>,
    pub engine: EngineSpeed,
    /// One engine for each entry: the factor on the duration of its steps.
    pub slowness: Vec<f64>,
    /// Slots of each engine.
    pub slots: u32,
    /// Time over which requests arrive.
    pub duration_s: f64,
    /// Factor on the arrival rates, by the time in seconds.
    pub rate_factor: fn(f64) -> f64,
    /// Whether a refused caller repeats its request once: after the refusal's `retry_after`, or after a third of its
    /// remaining time if that is shorter.
    pub repeats_refused: bool,
    pub seed: u64,
}

/// Results for the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests without repetitions.
    pub requests: u32,
    /// Requests that met the objective for the first event and the limit on pauses.
    pub in_time: u32,
    /// Requests that were answered but not in time.
    pub late: u32,
    /// Requests that were refused for good.
    pub refused: u32,
    /// Longest time from the first try of a request to its final refusal.
    pub max_refused_after_ms: f64,
}

impl Outcome {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

/// Results of a replay.
#[derive(Debug, Default)]
pub struct Replay {
    pub kinds: BTreeMap<&'static str, Outcome>,
    /// For each engine, the share of its slots that was occupied, averaged over time.
    pub busy: Vec<f64>,
    /// Refusals at most 100 ms before or after a request of a lower-priority tier was granted a slot.
    pub priority_inversions: u32,
}

/// Shared limits for the dispatchers of most tests.
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
        warm_up: WarmUpRules {
            tolerated_ratio: 1.5,
            tolerated_requests: 5.0,
        },
        copies: CopyRules::default(),
        shares: ShareRules::default(),
    }
}

/// A ready upstream of version `v1` whose port is its index.
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

/// A catalogue with one service, which runs on engines.
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
                cache_transfer: None,
            }),
            warm_up: None,
        }],
        ..Catalogue::default()
    }
}

/// A dispatcher that knows `count` engines with `slots` slots each.
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

/// A request with a prompt of 2,000 tokens, 10 s left, no account and no earlier attempt.
pub fn plain_request(run: RunId, tier: u16) -> SlotRequest {
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
        previous_attempts: 0,
        excluded_upstreams: Vec::new(),
        fingerprint: run,
        shared_content: Vec::new(),
        data_centre: "a".into(),
        allowed_data_centres: None,
        stream: None,
        copy: None,
    }
}

/// A request of a caller.
#[derive(Clone, Copy)]
struct CallerRequest {
    /// Index into the kinds of the load.
    kind: usize,
    /// When the caller sent it first.
    at_ms: f64,
    /// How long the caller waits, counted from the first try.
    caller_timeout_ms: f64,
    /// Stays the same when the caller repeats the request, so that the dispatcher recognizes it.
    fingerprint: u64,
    is_repeated: bool,
    prompt_tokens: f64,
    output_tokens: f64,
}

/// Replays a load until 15 s after its last arrivals and returns the results.
pub fn replay(load: &Load) -> Replay {
    Replayer::new(load).run()
}

/// State of a replay.
struct Replayer<'a> {
    load: &'a Load,
    dispatcher: Dispatcher,
    engines: Vec<EngineModel>,
    /// All requests so far, repetitions included.
    requests: HashMap<RunId, CallerRequest>,
    result: Replay,
    /// Refused requests that are to be repeated, each with the time of its repetition.
    repetitions: Vec<(f64, CallerRequest)>,
    /// Time and tier of each grant.
    granted: Vec<(f64, u16)>,
    /// Time and tier of each refusal.
    shed: Vec<(f64, u16)>,
}

impl<'a> Replayer<'a> {
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
            requests: HashMap::new(),
            result: Replay::default(),
            repetitions: Vec::new(),
            granted: Vec::new(),
            shed: Vec::new(),
        }
    }

    fn run(mut self) -> Replay {
        let arrivals = self.arrivals();
        let mut arrivals = arrivals.into_iter().peekable();
        let mut next_tick_ms = TICK_MS;
        let end_ms = self.load.duration_s * 1e3 + 15_000.0;
        loop {
            let next_arrival = arrivals.peek().map_or(f64::INFINITY, |(at, _)| *at);
            let next_repetition = self.next_repetition();
            let repetition_ms =
                next_repetition.map_or(f64::INFINITY, |index| self.repetitions[index].0);
            let engine = (0..self.engines.len())
                .min_by(|a, b| {
                    let (a, b) = (&self.engines[*a], &self.engines[*b]);
                    a.next_step_ms.total_cmp(&b.next_step_ms)
                })
                .expect("a load has at least one engine");
            let next_step = self.engines[engine].next_step_ms;
            let now = next_arrival
                .min(next_step)
                .min(next_tick_ms)
                .min(repetition_ms);
            if now > end_ms {
                return self.finish(end_ms);
            }
            if now == next_step {
                self.step(engine, now);
            } else if now == next_arrival {
                let (at, request) = arrivals.next().expect("an arrival is due");
                self.arrive(at, request);
            } else if let Some(index) = next_repetition.filter(|_| now == repetition_ms) {
                let (at, request) = self.repetitions.swap_remove(index);
                self.arrive(at, request);
            } else {
                next_tick_ms += TICK_MS;
                self.reduce(now, Event::Ticked);
            }
        }
    }

    fn next_repetition(&self) -> Option<usize> {
        (0..self.repetitions.len())
            .min_by(|a, b| self.repetitions[*a].0.total_cmp(&self.repetitions[*b].0))
    }

    fn arrivals(&self) -> Vec<(f64, CallerRequest)> {
        let mut timeout_random = Random::new(self.load.seed + 1_000);
        let mut random = Random::new(self.load.seed);
        let mut heap = BinaryHeap::new();
        let mut list = Vec::new();
        for (kind, spec) in self.load.kinds.iter().enumerate() {
            let mut at_s = 0.0;
            loop {
                at_s += random.gap_s(spec.rate_per_s * (self.load.rate_factor)(at_s).max(0.01));
                if at_s >= self.load.duration_s {
                    break;
                }
                let events = random.size(spec.mean_events, 1.0, spec.mean_events * 10.0);
                let request = CallerRequest {
                    kind,
                    at_ms: at_s * 1e3,
                    caller_timeout_ms: spec.deadline_ms * (0.85 + 0.15 * timeout_random.fraction()),
                    fingerprint: list.len() as u64 + 1,
                    is_repeated: false,
                    prompt_tokens: random.size(
                        spec.mean_prompt_tokens,
                        1.0,
                        spec.max_prompt_tokens,
                    ),
                    output_tokens: (events * f64::from(TOKENS_PER_EVENT)).ceil(),
                };
                heap.push(std::cmp::Reverse((request.at_ms as u64, list.len())));
                list.push(Some(request));
            }
        }
        let mut ordered = Vec::new();
        while let Some(std::cmp::Reverse((_, index))) = heap.pop() {
            let request = list[index].take().expect("each request is taken once");
            ordered.push((request.at_ms, request));
        }
        ordered.sort_by(|a, b| a.0.total_cmp(&b.0));
        ordered
    }

    fn arrive(&mut self, at: f64, request: CallerRequest) {
        let spec = &self.load.kinds[request.kind];
        let run = self.requests.len() as RunId + 1;
        let slot_request = SlotRequest {
            route: spec.name.into(),
            tier: spec.tier,
            objective_left: ms(spec.objective_ms),
            time_left: ms(request.at_ms + request.caller_timeout_ms - at),
            fingerprint: request.fingerprint,
            shared_content: Vec::new(),
            longest_pause: Some(ms(spec.max_pause_ms)),
            size: WorkSize {
                prompt_tokens: request.prompt_tokens as u32,
                // The caller's estimate is close to the median of the real lengths.
                output_tokens: (spec.mean_events * 0.6) as u32 * TOKENS_PER_EVENT,
                segments: Vec::new(),
            },
            ..plain_request(run, spec.tier)
        };
        let outcome = self.result.kinds.entry(spec.name).or_default();
        outcome.requests += u32::from(!request.is_repeated);
        self.requests.insert(run, request);
        self.reduce(at, Event::SlotRequested(slot_request));
    }

    fn step(&mut self, engine: usize, now: f64) {
        let busy_slots = self.engines[engine]
            .runs
            .len()
            .min(self.load.slots as usize);
        let before = now;
        let ended = self.engines[engine].step();
        let step_ms = self.engines[engine].next_step_ms - before;
        if step_ms.is_finite() {
            let share = busy_slots as f64 / f64::from(self.load.slots);
            self.engines[engine].busy_ms += share * step_ms;
        }
        for run in ended {
            self.end(&run, now);
        }
    }

    fn end(&mut self, run: &EngineRun, now: f64) {
        let request = &self.requests[&run.run];
        let spec = &self.load.kinds[request.kind];
        let first_event_ms = run.first_event_ms.unwrap_or(now);
        let is_in_time = first_event_ms - request.at_ms <= spec.objective_ms
            && run.longest_pause_ms <= spec.max_pause_ms;
        let outcome = self.result.kinds.entry(spec.name).or_default();
        if is_in_time {
            outcome.in_time += 1;
        } else {
            outcome.late += 1;
        }
        let report = RunReport {
            run: run.run,
            service: SERVICE.into(),
            outcome: RunOutcome::Completed,
            to_first_event: Some(ms(first_event_ms - run.started_ms)),
            to_end: ms(now - run.started_ms),
            events: run.events,
        };
        self.reduce(now, Event::RunEnded(report));
    }

    fn reduce(&mut self, now: f64, event: Event) {
        for effect in self.dispatcher.reduce(ms(now), event) {
            let request = &self.requests[&effect.run];
            let spec = &self.load.kinds[request.kind];
            match effect.decision {
                SlotDecision::Granted(grant) => {
                    self.granted.push((now, spec.tier));
                    let index = grant
                        .address
                        .rsplit(':')
                        .next()
                        .expect("the address ends in a port");
                    let engine =
                        &mut self.engines[index.parse::<usize>().expect("the port is a number")];
                    engine.runs.push(EngineRun {
                        run: effect.run,
                        prompt_tokens_left: request.prompt_tokens,
                        output_tokens_left: request.output_tokens,
                        output_tokens: 0,
                        started_ms: now,
                        first_event_ms: None,
                        last_event_ms: now,
                        longest_pause_ms: 0.0,
                        events: 0,
                    });
                    if engine.next_step_ms.is_infinite() {
                        engine.schedule_step(now);
                    }
                }
                SlotDecision::Refused(Refusal {
                    reason,
                    retry_after,
                }) => {
                    assert_eq!(reason, RefusalReason::Overloaded);
                    self.shed.push((now, spec.tier));
                    if self.load.repeats_refused && !request.is_repeated {
                        let left_ms = request.at_ms + request.caller_timeout_ms - now;
                        let repeat_ms = (retry_after.as_secs_f64() * 1e3).min(left_ms / 3.0);
                        let repeated = CallerRequest {
                            is_repeated: true,
                            ..*request
                        };
                        self.repetitions.push((now + repeat_ms, repeated));
                        continue;
                    }
                    let outcome = self.result.kinds.entry(spec.name).or_default();
                    outcome.refused += 1;
                    let waited_ms = now - request.at_ms;
                    outcome.max_refused_after_ms = outcome.max_refused_after_ms.max(waited_ms);
                }
            }
        }
    }

    fn finish(mut self, end_ms: f64) -> Replay {
        for (at, tier) in &self.shed {
            let is_inversion = self
                .granted
                .iter()
                .any(|(other, lower)| lower > tier && (at - other).abs() <= 100.0);
            self.result.priority_inversions += u32::from(is_inversion);
        }
        let replayed_ms = end_ms.min(self.load.duration_s * 1e3);
        self.result.busy = self
            .engines
            .iter()
            .map(|engine| engine.busy_ms / replayed_ms)
            .collect();
        self.result
    }
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
