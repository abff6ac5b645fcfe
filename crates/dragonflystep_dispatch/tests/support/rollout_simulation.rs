//! Simulates a roll-out in virtual time, on upstreams of two versions of which the new one may be faulty.

use {
    super::{Random, SERVICE, catalogue, dispatcher, plain_request, upstream},
    dragonflystep_dispatch::{
        Dispatcher, Event, RolloutOrder, RolloutPhase, RunId, RunOutcome, RunReport, SlotDecision,
        SlotRequest, Upstream, WorkSize,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        ops::Range,
        sync::Arc,
        time::Duration,
    },
};

/// Time from the order to its end, by which it has to be decided.
pub const ORDER_DURATION_S: f64 = 12.0;

/// When the owner learns of the order.
pub const ORDERED_AT_S: f64 = 3.0;

/// The way in which the new version is worse than the old one.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Share of its answers that fail because of the fault.
    pub failing_share: f64,
    /// Share of its answers that take `slow_factor` times as long.
    pub slow_share: f64,
    pub slow_factor: f64,
    /// Seconds after the order from which on the fault has an effect.
    pub from_s: f64,
    /// Number of runs at an upstream, the new one included, from which on the fault has an effect.
    pub min_runs: usize,
    /// The only route on which the fault has an effect; absent if it affects all routes.
    pub route: Option<&'static str>,
}

/// No fault: the new version behaves like the old one.
pub const GOOD: Fault = Fault {
    failing_share: 0.0,
    slow_share: 0.0,
    slow_factor: 1.0,
    from_s: 0.0,
    min_runs: 0,
    route: None,
};

/// A fault by which a share of the answers fails.
pub const fn failing(failing_share: f64) -> Fault {
    Fault {
        failing_share,
        ..GOOD
    }
}

/// A fault by which a share of the answers takes `slow_factor` times as long.
pub const fn slow(slow_share: f64, slow_factor: f64) -> Fault {
    Fault {
        slow_share,
        slow_factor,
        ..GOOD
    }
}

/// A route and its load.
pub struct Route {
    pub name: &'static str,
    /// Mean number of requests per second.
    pub rate_per_s: f64,
    pub tier: u16,
    /// Whether answers are streams of events, as those of an engine.
    pub is_stream: bool,
    /// Share of the answers that fails at either version.
    pub failing_share: f64,
}

/// A service and its load: either a large pool of engines or a small application.
pub struct Deployment {
    /// Upstreams of each version.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Mean duration of a call that is not a stream.
    pub mean_call_ms: f64,
    pub routes: Vec<Route>,
}

/// A pool of 90 engines with three streaming routes.
pub fn engines() -> Deployment {
    let route = |name, rate_per_s, tier| Route {
        name,
        rate_per_s,
        tier,
        is_stream: true,
        failing_share: 0.003,
    };
    Deployment {
        upstreams: 90,
        slots: 5,
        mean_call_ms: 15.0,
        routes: vec![
            route("quote", 164.0, 0),
            route("report", 196.0, 1),
            route("question", 174.0, 2),
        ],
    }
}

/// An application on three upstreams, of whose two routes `stock` fails often at either version.
pub fn application() -> Deployment {
    let route = |name, rate_per_s, failing_share| Route {
        name,
        rate_per_s,
        tier: 2,
        is_stream: false,
        failing_share,
    };
    Deployment {
        upstreams: 3,
        slots: 6,
        mean_call_ms: 15.0,
        routes: vec![route("lookup", 195.0, 0.004), route("stock", 45.0, 0.14)],
    }
}

/// A run that was granted and has not ended.
#[derive(Clone, Copy)]
pub struct InFlightRun {
    pub route: usize,
    pub upstream: usize,
    /// Whether it runs on the new version.
    pub is_new: bool,
    pub requested_at_s: f64,
    pub started_at_s: f64,
    pub will_fail: bool,
    /// Whether the fault of the version makes it fail or slows it down.
    pub is_affected: bool,
    pub events: u32,
}

/// Results of a simulated roll-out; times are in seconds after the order.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The owner's decision; absent while there is none.
    pub phase: Option<RolloutPhase>,
    pub decided_at_s: f64,
    /// Requests between the order and its end.
    pub requests: u64,
    /// Requests that were placed at the new version before the order's end.
    pub exposed: u64,
    /// Answers that failed or were slow because of the fault.
    pub affected_answers: u64,
    /// When the fiftieth affected answer ended; absent if there were fewer.
    pub fiftieth_affected_at_s: Option<f64>,
    /// When the new version got its last request.
    pub last_exposed_at_s: f64,
    /// Runs on the old version at the time of the decision.
    pub old_runs_at_decision: usize,
    /// Requests placed at the old version after the roll-out was completed, or at the new one after it was rolled back.
    pub misplaced: u64,
    /// The owner's explanation of its decision.
    pub reason: String,
    /// All runs that ended.
    pub samples: Vec<RunSample>,
}

/// A run that ended, as input for other methods of analysis.
#[derive(Clone, Copy, Debug)]
pub struct RunSample {
    /// When the run ended, in seconds after the order.
    pub at_s: f64,
    pub route: usize,
    pub is_new: bool,
    pub has_failed: bool,
    pub took_s: f64,
    pub events: u32,
}

/// A simulation of one roll-out.
pub struct RolloutSimulation<'a> {
    pub deployment: &'a Deployment,
    pub fault: Fault,
    pub random: Random,
    pub dispatcher: Dispatcher,
    pub in_flight: HashMap<RunId, InFlightRun>,
    /// Scheduled ends of the runs in flight, in microseconds.
    pub run_ends: BinaryHeap<Reverse<(u64, RunId)>>,
    /// Number of runs at each upstream.
    pub running: Vec<usize>,
    /// Factor on the duration of streams at each upstream.
    pub duration_factors: Vec<f64>,
    pub outcome: Outcome,
    pub next_run: RunId,
    /// Requests without a slot: index of the route, and time of the request in seconds.
    pub waiting: HashMap<RunId, (usize, f64)>,
}

/// Returns the seeds in `DRAGONFLYSTEP_SEEDS`, given as `FROM..TO`, or the usual ones if it is not set.
pub fn seeds(usual: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("DRAGONFLYSTEP_SEEDS") else {
        return usual;
    };
    let (from, to) = text
        .split_once("..")
        .expect("DRAGONFLYSTEP_SEEDS has the form FROM..TO");
    from.parse().expect("FROM is a number")..to.parse().expect("TO is a number")
}

/// The virtual time that is `seconds` after zero.
pub fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The registered upstreams: those of version `v1`, followed by as many of `v2` if `with_new` is set.
pub fn upstream_entries(deployment: &Deployment, with_new: bool) -> Vec<Upstream> {
    let count = if with_new {
        deployment.upstreams * 2
    } else {
        deployment.upstreams
    };
    let entry = |index: usize| {
        let mut entry = upstream(index, deployment.slots);
        if index >= deployment.upstreams {
            entry.version = "v2".into();
        }
        entry
    };
    (0..count).map(entry).collect()
}

impl<'a> RolloutSimulation<'a> {
    pub fn new(deployment: &'a Deployment, fault: Fault, seed: u64) -> Self {
        let mut random = Random::new(seed + 1);
        let duration_factors = (0..deployment.upstreams * 2)
            .map(
                |_| match (deployment.upstreams > 10, random.fraction() < 0.33) {
                    (true, true) => 3.0,
                    (true, false) => 0.68,
                    (false, _) => 1.0,
                },
            )
            .collect();
        let mut dispatcher = dispatcher(0, deployment.slots);
        if !deployment.routes[0].is_stream {
            let mut plain = catalogue(deployment.slots);
            plain.services[0].engine = None;
            let changed = Event::CatalogueChanged(Arc::new(plain));
            dispatcher.reduce(Duration::ZERO, changed);
        }
        dispatcher.reduce(
            Duration::ZERO,
            Event::UpstreamsChanged(upstream_entries(deployment, false)),
        );
        Self {
            deployment,
            fault,
            random,
            dispatcher,
            in_flight: HashMap::new(),
            run_ends: BinaryHeap::new(),
            running: vec![0; deployment.upstreams * 2],
            duration_factors,
            outcome: Outcome::default(),
            next_run: 0,
            waiting: HashMap::new(),
        }
    }

    /// The order to roll out version `v2`.
    pub fn order(&self) -> RolloutOrder {
        RolloutOrder {
            service: SERVICE.into(),
            target_version: "v2".into(),
            number: 7,
            ends_at: at(ORDERED_AT_S + ORDER_DURATION_S),
        }
    }

    /// Simulates the roll-out until 4 s after the end of the order and returns the results.
    pub fn run(mut self) -> Outcome {
        let rate: f64 = self
            .deployment
            .routes
            .iter()
            .map(|route| route.rate_per_s)
            .sum();
        let end_s = ORDERED_AT_S + ORDER_DURATION_S + 4.0;
        let mut next_s = 0.0;
        let mut tick_s = 0.0;
        let mut is_ordered = false;
        while next_s < end_s {
            let end_next = self
                .run_ends
                .peek()
                .map_or(f64::INFINITY, |Reverse((us, _))| *us as f64 / 1e6);
            let now = next_s.min(end_next).min(tick_s);
            if !is_ordered && now >= ORDERED_AT_S {
                is_ordered = true;
                let all = upstream_entries(self.deployment, true);
                self.reduce(now, Event::RolloutOrdered(self.order()));
                self.reduce(now, Event::UpstreamsChanged(all));
            }
            if now == tick_s {
                tick_s += 0.1;
                self.reduce(now, Event::Ticked);
            } else if now == end_next {
                let Some(Reverse((_, run))) = self.run_ends.pop() else {
                    break;
                };
                self.end(now, run);
            } else {
                self.send_request(now);
                next_s += self.random.gap_s(rate);
            }
        }
        self.outcome
    }

    /// Sends a request on a route drawn by the rates of the routes.
    pub fn send_request(&mut self, now: f64) {
        let total_per_s: f64 = self
            .deployment
            .routes
            .iter()
            .map(|route| route.rate_per_s)
            .sum();
        let mut draw = self.random.fraction() * total_per_s;
        let mut index = 0;
        while draw > self.deployment.routes[index].rate_per_s
            && index + 1 < self.deployment.routes.len()
        {
            draw -= self.deployment.routes[index].rate_per_s;
            index += 1;
        }
        let route = &self.deployment.routes[index];
        self.next_run += 1;
        let run = self.next_run;
        let request = SlotRequest {
            run,
            route: route.name.into(),
            longest_pause: route.is_stream.then_some(Duration::from_millis(250)),
            objective_left: at(0.8),
            time_left: at(5.0),
            size: if route.is_stream {
                WorkSize {
                    prompt_tokens: 2_500,
                    output_tokens: 100,
                    segments: Vec::new(),
                }
            } else {
                WorkSize::default()
            },
            ..plain_request(run, route.tier)
        };
        if (ORDERED_AT_S..ORDERED_AT_S + ORDER_DURATION_S).contains(&now) {
            self.outcome.requests += 1;
        }
        self.waiting.insert(run, (index, now));
        self.reduce(now, Event::SlotRequested(request));
    }

    /// Passes an event to the owner, records its decision on the roll-out and starts the runs that it grants.
    pub fn reduce(&mut self, now: f64, event: Event) {
        let effects = self.dispatcher.reduce(at(now), event);
        for step in self.dispatcher.take_rollout_steps() {
            if step.phase != RolloutPhase::Serving {
                self.outcome.reason = step.reason;
                self.outcome.phase = Some(step.phase);
                self.outcome.decided_at_s = now - ORDERED_AT_S;
                let old = self.in_flight.values().filter(|run| !run.is_new);
                self.outcome.old_runs_at_decision = old.count();
            }
        }
        for effect in effects {
            if let SlotDecision::Granted(grant) = effect.decision {
                let index = grant
                    .address
                    .rsplit(':')
                    .next()
                    .expect("the address ends in a port");
                self.start(
                    now,
                    effect.run,
                    index.parse().expect("the port is a number"),
                );
            }
        }
    }

    /// Starts a run and schedules its end, with the effects of the fault and of the load at the upstream.
    pub fn start(&mut self, now: f64, run: RunId, upstream: usize) {
        let (route, requested_at_s) = self.waiting.remove(&run).expect("the run was requested");
        let is_new = upstream >= self.deployment.upstreams;
        let spec = &self.deployment.routes[route];
        let since_order = now - ORDERED_AT_S;
        if is_new {
            self.outcome.last_exposed_at_s = since_order;
            if since_order < ORDER_DURATION_S {
                self.outcome.exposed += 1;
            }
        }
        let is_misplaced = match self.outcome.phase {
            Some(RolloutPhase::Completed) => !is_new,
            Some(RolloutPhase::RolledBack) => is_new,
            Some(RolloutPhase::Serving) | None => false,
        };
        self.outcome.misplaced += u64::from(is_misplaced);
        self.running[upstream] += 1;
        let has_effect = is_new
            && since_order >= self.fault.from_s
            && self.running[upstream] >= self.fault.min_runs
            && self.fault.route.is_none_or(|route| route == spec.name);
        let fails = has_effect && self.random.fraction() < self.fault.failing_share;
        let is_slow = has_effect && self.random.fraction() < self.fault.slow_share;
        let fails_at_any_version = self.random.fraction() < spec.failing_share;
        let events = if spec.is_stream {
            self.random.size(20.0, 1.0, 200.0).ceil() as u32
        } else {
            0
        };
        let load_factor = 1.0 + 0.08 * (self.running[upstream] - 1) as f64;
        let unloaded_ms = if spec.is_stream {
            (30.0 + 45.0 + 18.0 * f64::from(events)) * self.duration_factors[upstream]
        } else {
            self.random.size(
                self.deployment.mean_call_ms,
                0.5,
                self.deployment.mean_call_ms * (110.0 / 15.0),
            )
        };
        let fault_factor = if is_slow { self.fault.slow_factor } else { 1.0 };
        let took_s = unloaded_ms * load_factor * fault_factor / 1e3;
        self.in_flight.insert(
            run,
            InFlightRun {
                route,
                upstream,
                is_new,
                requested_at_s,
                started_at_s: now,
                will_fail: fails || fails_at_any_version,
                is_affected: fails || is_slow,
                events,
            },
        );
        let ends_us = ((now + took_s) * 1e6) as u64;
        self.run_ends.push(Reverse((ends_us, run)));
    }

    /// Ends a run, records it, and reports it to the owner.
    pub fn end(&mut self, now: f64, run: RunId) {
        let in_flight = self.in_flight.remove(&run).expect("the run is in flight");
        self.running[in_flight.upstream] -= 1;
        if in_flight.is_affected {
            self.outcome.affected_answers += 1;
            if self.outcome.affected_answers == 50 {
                self.outcome.fiftieth_affected_at_s = Some(now - ORDERED_AT_S);
            }
        }
        self.outcome.samples.push(RunSample {
            at_s: now - ORDERED_AT_S,
            route: in_flight.route,
            is_new: in_flight.is_new,
            has_failed: in_flight.will_fail,
            took_s: now - in_flight.started_at_s,
            events: in_flight.events,
        });
        let is_stream = self.deployment.routes[in_flight.route].is_stream;
        let to_end = at(now - in_flight.started_at_s);
        let report = RunReport {
            run,
            service: SERVICE.into(),
            outcome: if in_flight.will_fail {
                RunOutcome::Failed
            } else {
                RunOutcome::Completed
            },
            to_first_event: is_stream.then(|| to_end / 5),
            to_end,
            events: in_flight.events,
        };
        assert!(in_flight.requested_at_s <= now);
        self.reduce(now, Event::RunEnded(report));
    }
}
