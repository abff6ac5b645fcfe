//! Roll-outs of good and bad versions, in virtual time: what is decided, when, and how many requests a bad version gets.
//!
//! `DRAGONFLYSTEP_SEEDS=0..200` plays others by hand and prints a table.

mod support;

use {
    dragonflystep_dispatch::{
        Ask, Dispatcher, Ended, Event, Reach, RolloutOrder, RolloutPhase, RunId, RunOutcome,
        Upstream, UpstreamPhase, Verdict, WorkSize,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        ops::Range,
        sync::Arc,
        time::Duration,
    },
    support::{Random, SERVICE, catalogue, dispatcher, limits, upstream},
};

/// Time that the operator gives an order.
const ORDER_LASTS_S: f64 = 12.0;

/// When the order becomes known.
const ORDERED_AT_S: f64 = 3.0;

/// What makes a version bad.
#[derive(Clone, Copy, Debug)]
struct Fault {
    /// Share of its answers that fail.
    failing_share: f64,
    /// Share of its answers that take `slow_factor` times as long.
    slow_share: f64,
    slow_factor: f64,
    /// Seconds after the order from which on it shows.
    from_s: f64,
    /// Runs at an upstream from which on it shows.
    above_runs: usize,
    /// The only route on which it shows.
    route: Option<&'static str>,
}

const GOOD: Fault = Fault {
    failing_share: 0.0,
    slow_share: 0.0,
    slow_factor: 1.0,
    from_s: 0.0,
    above_runs: 0,
    route: None,
};

const fn failing(failing_share: f64) -> Fault {
    Fault {
        failing_share,
        ..GOOD
    }
}

const fn slow(slow_share: f64, slow_factor: f64) -> Fault {
    Fault {
        slow_share,
        slow_factor,
        ..GOOD
    }
}

/// A route: requests a second, tier, whether its answers are streams, milliseconds, share that fails at any version.
struct Route {
    name: &'static str,
    per_s: f64,
    tier: u16,
    is_stream: bool,
    failing_share: f64,
}

/// A service of the size of a pool of engines, or of a small application.
struct Site {
    upstreams: usize,
    slots: u32,
    routes: Vec<Route>,
}

fn engines() -> Site {
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
        routes: vec![
            route("quote", 164.0, 0),
            route("report", 196.0, 1),
            route("question", 174.0, 2),
        ],
    }
}

fn application() -> Site {
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
        routes: vec![route("lookup", 195.0, 0.004), route("stock", 45.0, 0.14)],
    }
}

#[derive(Clone, Copy)]
struct Flying {
    route: usize,
    upstream: usize,
    is_new: bool,
    asked_at_s: f64,
    started_at_s: f64,
    will_fail: bool,
    is_bad: bool,
    events: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    phase: Option<RolloutPhase>,
    decided_at_s: f64,
    requests: u64,
    /// Requests that reached the new version before the order's end.
    exposed: u64,
    bad_answers: u64,
    /// When the fiftieth bad answer came, and when the new version got its last request.
    fiftieth_bad_at_s: Option<f64>,
    last_exposed_at_s: f64,
    /// Runs at the old version when the order was completed.
    cut: usize,
    /// Requests placed at the old version after it was completed, or at the new one after it was rolled back.
    misplaced: u64,
    /// What the decision rests on.
    reason: String,
}

struct Player<'a> {
    site: &'a Site,
    fault: Fault,
    random: Random,
    dispatcher: Dispatcher,
    flying: HashMap<RunId, Flying>,
    ends: BinaryHeap<Reverse<(u64, RunId)>>,
    running: Vec<usize>,
    speeds: Vec<f64>,
    outcome: Outcome,
    next_run: RunId,
    asked: HashMap<RunId, (usize, f64)>,
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn versions(site: &Site, with_new: bool) -> Vec<Upstream> {
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
    fn new(site: &'a Site, fault: Fault, seed: u64) -> Self {
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

    fn order(&self) -> RolloutOrder {
        RolloutOrder {
            service: SERVICE.into(),
            to: "v2".into(),
            number: 7,
            ends_at: at(ORDERED_AT_S + ORDER_LASTS_S),
        }
    }

    /// Plays the order, and a while beyond its end.
    fn play(mut self) -> Outcome {
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

    fn ask(&mut self, now: f64) {
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
        let ask = Ask {
            run,
            route: route.name.into(),
            longest_pause: route.is_stream.then_some(Duration::from_millis(250)),
            objective_left: at(0.8),
            time_left: at(5.0),
            size: if route.is_stream {
                WorkSize {
                    prompt_tokens: 2_500,
                    output_tokens: 100,
                    parts: Vec::new(),
                }
            } else {
                WorkSize::default()
            },
            ..support::plain_ask(run, route.tier)
        };
        if (ORDERED_AT_S..ORDERED_AT_S + ORDER_LASTS_S).contains(&now) {
            self.outcome.requests += 1;
        }
        self.asked.insert(run, (index, now));
        self.reduce(now, Event::Asked(ask));
    }

    fn reduce(&mut self, now: f64, event: Event) {
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
            if let Verdict::Granted(grant) = effect.verdict {
                let index = grant.address.rsplit(':').next().expect("a port");
                self.start(now, effect.run, index.parse().expect("a number"));
            }
        }
    }

    fn start(&mut self, now: f64, run: RunId, upstream: usize) {
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
            self.random.size(15.0, 0.5, 110.0)
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

    fn end(&mut self, now: f64, run: RunId) {
        let flying = self.flying.remove(&run).expect("it runs");
        self.running[flying.upstream] -= 1;
        if flying.is_bad {
            self.outcome.bad_answers += 1;
            if self.outcome.bad_answers == 50 {
                self.outcome.fiftieth_bad_at_s = Some(now - ORDERED_AT_S);
            }
        }
        let is_stream = self.site.routes[flying.route].is_stream;
        let to_end = at(now - flying.started_at_s);
        let ended = Ended {
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
        self.reduce(now, Event::Ended(ended));
    }
}

fn seeds(usual: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("DRAGONFLYSTEP_SEEDS") else {
        return usual;
    };
    let (from, to) = text.split_once("..").expect("seeds as FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Requests that a bad version may get.
fn permitted(outcome: &Outcome) -> f64 {
    outcome.requests as f64 * limits().rollout.exposed_share + limits().rollout.exposed_slack
}

fn check(name: &str, site: &Site, fault: Fault, expected: RolloutPhase, usual: Range<u64>) {
    let (mut worst, mut slowest, mut cut) = (0.0_f64, 0.0_f64, 0);
    let mut missed = Vec::new();
    let seeds = seeds(usual);
    for seed in seeds.clone() {
        let outcome = Player::new(site, fault, seed).play();
        let exposed = outcome.exposed as f64 / permitted(&outcome);
        worst = worst.max(exposed);
        slowest = slowest.max(outcome.decided_at_s);
        cut = cut.max(outcome.cut);
        assert!(exposed <= 1.0, "{name}, seed {seed}: {outcome:?}");
        assert_eq!(outcome.misplaced, 0, "{name}, seed {seed}: {outcome:?}");
        if let Some(fiftieth) = outcome
            .fiftieth_bad_at_s
            .filter(|_| expected == RolloutPhase::RolledBack)
        {
            let after_s = outcome.last_exposed_at_s - fiftieth;
            assert!(after_s <= 5.0, "{name}, seed {seed}: {outcome:?}");
        }
        if outcome.phase != Some(expected) {
            missed.push(format!("seed {seed}: {outcome:?}"));
        }
    }
    #[expect(clippy::print_stdout, reason = "the table of plays by hand")]
    {
        println!(
            "{name}: {} of {} wrong, exposed at most {worst:.2} of what is permitted, decided after {slowest:.1} s, {cut} old runs cut",
            missed.len(),
            seeds.end - seeds.start
        );
    }
    assert!(missed.is_empty(), "{name}: {missed:#?}");
}

#[test]
fn a_good_version_is_completed_in_time() {
    let usual = 0..4;
    check(
        "good engines",
        &engines(),
        GOOD,
        RolloutPhase::Completed,
        usual.clone(),
    );
    check(
        "good application",
        &application(),
        GOOD,
        RolloutPhase::Completed,
        usual,
    );
    let outcome = Player::new(&engines(), GOOD, 3).play();
    assert!(outcome.decided_at_s < ORDER_LASTS_S, "{outcome:?}");
}

#[test]
fn a_version_that_fails_is_rolled_back() {
    for share in [1.0, 0.5, 0.2] {
        let fault = failing(share);
        check(
            &format!("engines fail {share}"),
            &engines(),
            fault,
            RolloutPhase::RolledBack,
            0..2,
        );
        check(
            &format!("application fails {share}"),
            &application(),
            fault,
            RolloutPhase::RolledBack,
            0..2,
        );
    }
}

#[test]
fn a_version_that_is_slow_is_rolled_back() {
    for (share, factor) in [(1.0, 8.0), (1.0, 4.0), (0.4, 8.0), (0.4, 4.0)] {
        let fault = slow(share, factor);
        check(
            &format!("engines slow {share} x{factor}"),
            &engines(),
            fault,
            RolloutPhase::RolledBack,
            0..2,
        );
        check(
            &format!("application slow {share} x{factor}"),
            &application(),
            fault,
            RolloutPhase::RolledBack,
            0..2,
        );
    }
}

#[test]
fn a_version_that_turns_bad_later_is_rolled_back() {
    for fault in [failing(0.5), slow(1.0, 4.0)] {
        let fault = Fault {
            from_s: 6.0,
            ..fault
        };
        check(
            "engines later",
            &engines(),
            fault,
            RolloutPhase::RolledBack,
            0..2,
        );
        check(
            "application later",
            &application(),
            fault,
            RolloutPhase::RolledBack,
            0..2,
        );
    }
}

#[test]
fn a_version_that_is_bad_on_one_route_is_rolled_back() {
    for (site, route) in [(engines(), "report"), (application(), "stock")] {
        let fault = Fault {
            route: Some(route),
            ..failing(0.5)
        };
        check(
            &format!("{route} fails"),
            &site,
            fault,
            RolloutPhase::RolledBack,
            0..2,
        );
        let fault = Fault {
            route: Some(route),
            ..slow(1.0, 4.0)
        };
        check(
            &format!("{route} slow"),
            &site,
            fault,
            RolloutPhase::RolledBack,
            0..2,
        );
    }
}

#[test]
fn a_version_that_is_bad_under_load_is_rolled_back() {
    let fault = Fault {
        above_runs: 3,
        ..failing(0.5)
    };
    check(
        "engines fail under load",
        &engines(),
        fault,
        RolloutPhase::RolledBack,
        0..2,
    );
    let fault = Fault {
        above_runs: 2,
        ..failing(0.5)
    };
    check(
        "application fails under load",
        &application(),
        fault,
        RolloutPhase::RolledBack,
        0..2,
    );
}

#[test]
fn an_owner_that_sees_no_majority_decides_nothing_and_sends_no_canaries() {
    let site = engines();
    let mut player = Player::new(&site, GOOD, 1);
    let reach = Reach {
        visible: 3,
        known: 10,
    };
    player
        .dispatcher
        .reduce(Duration::ZERO, Event::ReachChanged(reach));
    let outcome = player.play();
    assert_eq!(outcome.phase, None);
    assert_eq!(outcome.exposed, 0);
}

#[test]
fn an_order_without_upstreams_of_its_version_is_rolled_back_at_its_end() {
    let site = Site {
        upstreams: 8,
        ..application()
    };
    let mut player = Player::new(&site, GOOD, 1);
    player.reduce(
        0.0,
        Event::RolloutOrdered(RolloutOrder {
            ends_at: at(4.0),
            ..player.order()
        }),
    );
    for index in 0..500 {
        player.ask(f64::from(index) * 0.01);
    }
    assert_eq!(player.outcome.phase, Some(RolloutPhase::RolledBack));
}

#[test]
fn what_was_decided_elsewhere_holds() {
    let site = application();
    for (phase, new_only) in [
        (RolloutPhase::Completed, true),
        (RolloutPhase::RolledBack, false),
    ] {
        let mut player = Player::new(&site, GOOD, 1);
        let all = versions(&site, true);
        player.reduce(0.0, Event::RolloutOrdered(player.order()));
        player.reduce(0.0, Event::UpstreamsChanged(all));
        player.reduce(0.0, Event::RolloutSettled(SERVICE.into(), 7, phase));
        for index in 0..30 {
            player.ask(f64::from(index) * 0.001);
        }
        assert!(!player.flying.is_empty());
        assert!(
            player.flying.values().all(|run| run.is_new == new_only),
            "{phase:?}"
        );
    }
}

#[test]
fn upstreams_of_a_version_that_nobody_ordered_yet_get_nothing_at_first() {
    let site = application();
    let mut player = Player::new(&site, GOOD, 1);
    let mut all = versions(&site, true);
    all[4].phase = UpstreamPhase::Draining;
    player.reduce(1.0, Event::UpstreamsChanged(all));
    for index in 0..30 {
        player.ask(1.0 + f64::from(index) * 0.001);
    }
    assert!(player.flying.values().all(|run| !run.is_new));
}

#[test]
fn a_version_that_comes_without_an_order_after_a_completed_one_is_used() {
    let site = application();
    let mut player = Player::new(&site, GOOD, 1);
    player.reduce(0.0, Event::RolloutOrdered(player.order()));
    player.reduce(0.0, Event::UpstreamsChanged(versions(&site, true)));
    let completed = Event::RolloutSettled(SERVICE.into(), 7, RolloutPhase::Completed);
    player.reduce(0.0, completed);
    let mut released = versions(&site, false);
    for one in &mut released {
        one.version = "v3".into();
    }
    player.reduce(1.0, Event::UpstreamsChanged(released));
    for index in 0..10 {
        player.ask(4.0 + f64::from(index) * 0.001);
    }
    assert!(!player.flying.is_empty());
}
