//! Plays an order of a roll-out in virtual time, before upstreams of two versions of which the new one may be bad.

use {
    super::{Random, SERVICE, catalogue, dispatcher, plain_ask, upstream},
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

/// Time that the operator gives an order.
pub const ORDER_LASTS_S: f64 = 12.0;

/// When the order becomes known.
pub const ORDERED_AT_S: f64 = 3.0;

/// What makes a version bad.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Share of its answers that fail.
    pub failing_share: f64,
    /// Share of its answers that take `slow_factor` times as long.
    pub slow_share: f64,
    pub slow_factor: f64,
    /// Seconds after the order from which on it shows.
    pub from_s: f64,
    /// Runs at an upstream from which on it shows.
    pub above_runs: usize,
    /// The only route on which it shows.
    pub route: Option<&'static str>,
}

pub const GOOD: Fault = Fault {
    failing_share: 0.0,
    slow_share: 0.0,
    slow_factor: 1.0,
    from_s: 0.0,
    above_runs: 0,
    route: None,
};

pub const fn failing(failing_share: f64) -> Fault {
    Fault {
        failing_share,
        ..GOOD
    }
}

pub const fn slow(slow_share: f64, slow_factor: f64) -> Fault {
    Fault {
        slow_share,
        slow_factor,
        ..GOOD
    }
}

/// A route: requests a second, tier, whether its answers are streams, milliseconds, share that fails at any version.
pub struct Route {
    pub name: &'static str,
    pub per_s: f64,
    pub tier: u16,
    pub is_stream: bool,
    pub failing_share: f64,
}

/// A service of the size of a pool of engines, or of a small application.
pub struct Site {
    pub upstreams: usize,
    pub slots: u32,
    /// Milliseconds of a plain call.
    pub plain_ms: f64,
    pub routes: Vec<Route>,
}

pub fn engines() -> Site {
    let route = |name, per_s, tier| Route {
        name,
        per_s,
        tier,
        is_stream: true,
        failing_share: 0.003,
    };
    Site {
        upstreams: 90,
        slots: 5,
        plain_ms: 15.0,
        routes: vec![
            route("quote", 164.0, 0),
            route("report", 196.0, 1),
            route("question", 174.0, 2),
        ],
    }
}

pub fn application() -> Site {
    let route = |name, per_s, failing_share| Route {
        name,
        per_s,
        tier: 2,
        is_stream: false,
        failing_share,
    };
    Site {
        upstreams: 3,
        slots: 6,
        plain_ms: 15.0,
        routes: vec![route("lookup", 195.0, 0.004), route("stock", 45.0, 0.14)],
    }
}

#[derive(Clone, Copy)]
pub struct Flying {
    pub route: usize,
    pub upstream: usize,
    pub is_new: bool,
    pub asked_at_s: f64,
    pub started_at_s: f64,
    pub will_fail: bool,
    pub is_bad: bool,
    pub events: u32,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub phase: Option<RolloutPhase>,
    pub decided_at_s: f64,
    pub requests: u64,
    /// Requests that reached the new version before the order's end.
    pub exposed: u64,
    pub bad_answers: u64,
    /// When the fiftieth bad answer came, and when the new version got its last request.
    pub fiftieth_bad_at_s: Option<f64>,
    pub last_exposed_at_s: f64,
    /// Runs at the old version when the order was completed.
    pub cut: usize,
    /// Requests placed at the old version after it was completed, or at the new one after it was rolled back.
    pub misplaced: u64,
    /// What the decision rests on.
    pub reason: String,
    /// The ends of all runs.
    pub ends: Vec<RunSample>,
}

/// The end of a run, for other ways to judge a version.
#[derive(Clone, Copy, Debug)]
pub struct RunSample {
    /// Seconds after the order.
    pub at_s: f64,
    pub route: usize,
    pub is_new: bool,
    pub has_failed: bool,
    pub took_s: f64,
    pub events: u32,
}

pub struct Player<'a> {
    pub site: &'a Site,
    pub fault: Fault,
    pub random: Random,
    pub dispatcher: Dispatcher,
    pub flying: HashMap<RunId, Flying>,
    pub ends: BinaryHeap<Reverse<(u64, RunId)>>,
    pub running: Vec<usize>,
    pub speeds: Vec<f64>,
    pub outcome: Outcome,
    pub next_run: RunId,
    pub asked: HashMap<RunId, (usize, f64)>,
}

/// The seeds to play: those named by hand, or the usual ones.
pub fn seeds(usual: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("DRAGONFLYSTEP_SEEDS") else {
        return usual;
    };
    let (from, to) = text.split_once("..").expect("seeds as FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

pub fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn versions(site: &Site, with_new: bool) -> Vec<Upstream> {
    let count = if with_new {
        site.upstreams * 2
    } else {
        site.upstreams
    };
    let one = |index: usize| {
        let mut one = upstream(index, site.slots);
        if index >= site.upstreams {
            one.version = "v2".into();
        }
        one
    };
    (0..count).map(one).collect()
}

impl<'a> Player<'a> {
    pub fn new(site: &'a Site, fault: Fault, seed: u64) -> Self {
        let mut random = Random::new(seed + 1);
        let speeds = (0..site.upstreams * 2)
            .map(|_| match (site.upstreams > 10, random.fraction() < 0.33) {
                (true, true) => 3.0,
                (true, false) => 0.68,
                (false, _) => 1.0,
            })
            .collect();
        let mut dispatcher = dispatcher(0, site.slots);
        if !site.routes[0].is_stream {
            let mut plain = catalogue(site.slots);
            plain.services[0].engine = None;
            let changed = Event::CatalogueChanged(Arc::new(plain));
            dispatcher.reduce(Duration::ZERO, changed);
        }
        dispatcher.reduce(
            Duration::ZERO,
            Event::UpstreamsChanged(versions(site, false)),
        );
        Self {
            site,
            fault,
            random,
            dispatcher,
            flying: HashMap::new(),
            ends: BinaryHeap::new(),
            running: vec![0; site.upstreams * 2],
            speeds,
            outcome: Outcome::default(),
            next_run: 0,
            asked: HashMap::new(),
        }
    }

    pub fn order(&self) -> RolloutOrder {
        RolloutOrder {
            service: SERVICE.into(),
            to: "v2".into(),
            number: 7,
            ends_at: at(ORDERED_AT_S + ORDER_LASTS_S),
        }
    }

    /// Plays the order, and a while beyond its end.
    pub fn play(mut self) -> Outcome {
        let rate: f64 = self.site.routes.iter().map(|route| route.per_s).sum();
        let end_s = ORDERED_AT_S + ORDER_LASTS_S + 4.0;
        let mut next_s = 0.0;
        let mut tick_s = 0.0;
        let mut is_ordered = false;
        while next_s < end_s {
            let end_next = self
                .ends
                .peek()
                .map_or(f64::INFINITY, |Reverse((us, _))| *us as f64 / 1e6);
            let now = next_s.min(end_next).min(tick_s);
            if !is_ordered && now >= ORDERED_AT_S {
                is_ordered = true;
                let all = versions(self.site, true);
                self.reduce(now, Event::RolloutOrdered(self.order()));
                self.reduce(now, Event::UpstreamsChanged(all));
            }
            if now == tick_s {
                tick_s += 0.1;
                self.reduce(now, Event::Ticked);
            } else if now == end_next {
                let Some(Reverse((_, run))) = self.ends.pop() else {
                    break;
                };
                self.end(now, run);
            } else {
                self.ask(now);
                next_s += self.random.gap_s(rate);
            }
        }
        self.outcome
    }

    pub fn ask(&mut self, now: f64) {
        let all: f64 = self.site.routes.iter().map(|route| route.per_s).sum();
        let mut draw = self.random.fraction() * all;
        let mut index = 0;
        while draw > self.site.routes[index].per_s && index + 1 < self.site.routes.len() {
            draw -= self.site.routes[index].per_s;
            index += 1;
        }
        let route = &self.site.routes[index];
        self.next_run += 1;
        let run = self.next_run;
        let ask = SlotRequest {
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
            ..plain_ask(run, route.tier)
        };
        if (ORDERED_AT_S..ORDERED_AT_S + ORDER_LASTS_S).contains(&now) {
            self.outcome.requests += 1;
        }
        self.asked.insert(run, (index, now));
        self.reduce(now, Event::SlotRequested(ask));
    }

    pub fn reduce(&mut self, now: f64, event: Event) {
        let effects = self.dispatcher.reduce(at(now), event);
        for step in self.dispatcher.take_rollout_steps() {
            if step.phase != RolloutPhase::Serving {
                self.outcome.reason = step.reason;
                self.outcome.phase = Some(step.phase);
                self.outcome.decided_at_s = now - ORDERED_AT_S;
                let old = self.flying.values().filter(|run| !run.is_new);
                self.outcome.cut = old.count();
            }
        }
        for effect in effects {
            if let SlotDecision::Granted(grant) = effect.decision {
                let index = grant.address.rsplit(':').next().expect("a port");
                self.start(now, effect.run, index.parse().expect("a number"));
            }
        }
    }

    pub fn start(&mut self, now: f64, run: RunId, upstream: usize) {
        let (route, asked_at_s) = self.asked.remove(&run).expect("it was asked");
        let is_new = upstream >= self.site.upstreams;
        let spec = &self.site.routes[route];
        let since_order = now - ORDERED_AT_S;
        if is_new {
            self.outcome.last_exposed_at_s = since_order;
            if since_order < ORDER_LASTS_S {
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
        let shows = is_new
            && since_order >= self.fault.from_s
            && self.running[upstream] >= self.fault.above_runs
            && self.fault.route.is_none_or(|route| route == spec.name);
        let fails = shows && self.random.fraction() < self.fault.failing_share;
        let is_slow = shows && self.random.fraction() < self.fault.slow_share;
        let fails_anyway = self.random.fraction() < spec.failing_share;
        let events = if spec.is_stream {
            self.random.size(20.0, 1.0, 200.0).ceil() as u32
        } else {
            0
        };
        let load = 1.0 + 0.08 * (self.running[upstream] - 1) as f64;
        let usual_ms = if spec.is_stream {
            (30.0 + 45.0 + 18.0 * f64::from(events)) * self.speeds[upstream]
        } else {
            self.random
                .size(self.site.plain_ms, 0.5, self.site.plain_ms * (110.0 / 15.0))
        };
        let factor = if is_slow { self.fault.slow_factor } else { 1.0 };
        let took_s = usual_ms * load * factor / 1e3;
        self.flying.insert(
            run,
            Flying {
                route,
                upstream,
                is_new,
                asked_at_s,
                started_at_s: now,
                will_fail: fails || fails_anyway,
                is_bad: fails || is_slow,
                events,
            },
        );
        let ends_us = ((now + took_s) * 1e6) as u64;
        self.ends.push(Reverse((ends_us, run)));
    }

    pub fn end(&mut self, now: f64, run: RunId) {
        let flying = self.flying.remove(&run).expect("it runs");
        self.running[flying.upstream] -= 1;
        if flying.is_bad {
            self.outcome.bad_answers += 1;
            if self.outcome.bad_answers == 50 {
                self.outcome.fiftieth_bad_at_s = Some(now - ORDERED_AT_S);
            }
        }
        self.outcome.ends.push(RunSample {
            at_s: now - ORDERED_AT_S,
            route: flying.route,
            is_new: flying.is_new,
            has_failed: flying.will_fail,
            took_s: now - flying.started_at_s,
            events: flying.events,
        });
        let is_stream = self.site.routes[flying.route].is_stream;
        let to_end = at(now - flying.started_at_s);
        let ended = RunReport {
            run,
            service: SERVICE.into(),
            outcome: if flying.will_fail {
                RunOutcome::Failed
            } else {
                RunOutcome::Completed
            },
            to_first_event: is_stream.then(|| to_end / 5),
            to_end,
            events: flying.events,
        };
        assert!(flying.asked_at_s <= now);
        self.reduce(now, Event::RunEnded(ended));
    }
}
