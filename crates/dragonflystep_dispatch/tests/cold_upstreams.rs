//! Cold upstreams under a load of far more requests than they bear: one owner, two owners side by side, an owner that
//! takes over in the middle of the warm-up, and nodes that each decide alone.
//!
//! Guards against more requests within one second than the operator tolerates, which crashes a cold upstream.

mod support;

use {
    dragonflystep_dispatch::{
        ActiveRun, Catalogue, Dispatcher, Effect, Event, Grant, NoticeKind, RunId, RunOutcome,
        SlotDecision, UpstreamNotice, Visibility, WarmUp,
    },
    std::{sync::Arc, time::Duration},
    support::{
        Random, SERVICE, catalogue, limits, plain_request,
        slot_requests::{START, granted_upstream, request_slot, run_ended},
        upstream,
    },
};

const SLOTS: u32 = 4;

/// Requests per second that a cold upstream bears.
const COLD_PER_S: f64 = 6.9;

const WARM_UP: Duration = Duration::from_secs(3);

/// Duration of a run: short, so that the slots alone would permit twenty requests per second and owner.
const RUN_TIME: Duration = Duration::from_millis(200);

const STEP: Duration = Duration::from_millis(10);

/// Most requests within one second that the tests' shared limits tolerate at a cold upstream.
fn tolerated() -> usize {
    let rules = limits().warm_up;
    (COLD_PER_S * rules.tolerated_ratio + rules.tolerated_requests) as usize
}

fn catalogue_with_warm_up() -> Catalogue {
    let mut catalogue = catalogue(SLOTS);
    catalogue.services[0].warm_up = Some(WarmUp {
        duration: WARM_UP,
        requests_per_s: COLD_PER_S,
    });
    catalogue
}

/// An owner of `count` upstreams, all of them warm.
fn owner(count: usize) -> Dispatcher {
    let mut owner = Dispatcher::new(limits());
    let catalogue = Arc::new(catalogue_with_warm_up());
    owner.reduce(Duration::ZERO, Event::CatalogueChanged(catalogue));
    let upstreams = (0..count).map(|index| upstream(index, SLOTS)).collect();
    owner.reduce(Duration::ZERO, Event::UpstreamsChanged(upstreams));
    owner
}

fn cold(index: usize, left: Duration, age: Duration) -> Event {
    Event::NoticeReceived(UpstreamNotice {
        service: SERVICE.into(),
        upstream: upstream(index, SLOTS).id,
        kind: NoticeKind::WarmingUp { left },
        age,
    })
}

/// Owners that grant slots side by side, each under more load than the upstreams bear.
struct Load {
    owners: Vec<Dispatcher>,
    now: Duration,
    next_run: RunId,
    running: Vec<(Duration, usize, RunId, Grant)>,
    /// Time of each request, with the name of its upstream.
    sent: Vec<(Duration, String)>,
}

impl Load {
    fn new(owners: Vec<Dispatcher>) -> Self {
        Self {
            owners,
            now: START,
            next_run: 1,
            running: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn handle(&mut self, owner: usize, event: Event) {
        let effects = self.owners[owner].reduce(self.now, event);
        for Effect { run, decision } in effects {
            if let SlotDecision::Granted(grant) = decision {
                self.sent.push((self.now, grant.upstream.to_string()));
                self.running.push((self.now + RUN_TIME, owner, run, grant));
            }
        }
    }

    fn handle_all(&mut self, event: &Event) {
        for owner in 0..self.owners.len() {
            self.handle(owner, event.clone());
        }
    }

    fn run(&mut self, duration: Duration, requests_per_step: usize) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            let ended: Vec<_> = self
                .running
                .extract_if(.., |(end, ..)| *end <= now)
                .collect();
            for (_, owner, run, _) in ended {
                self.handle(owner, run_ended(run, RunOutcome::Completed));
            }
            for owner in 0..self.owners.len() {
                for _ in 0..requests_per_step {
                    self.next_run += 1;
                    let request = plain_request(self.next_run, 0);
                    self.handle(owner, Event::SlotRequested(request));
                }
                self.handle(owner, Event::Ticked);
            }
        }
    }

    /// Most requests at one upstream within one second from `from` on.
    fn max_in_second(&self, from: Duration) -> usize {
        let names: std::collections::BTreeSet<_> =
            self.sent.iter().map(|(_, name)| name.clone()).collect();
        let most = names.iter().map(|name| {
            let times: Vec<_> = self
                .sent
                .iter()
                .filter(|(at, other)| other == name && *at >= from)
                .map(|(at, _)| *at)
                .collect();
            let in_window = |first: &Duration| {
                let until = *first + Duration::from_secs(1);
                times
                    .iter()
                    .filter(|at| *at >= first && **at < until)
                    .count()
            };
            times.iter().map(in_window).max().unwrap_or(0)
        });
        most.max().unwrap_or(0)
    }
}

#[test]
fn a_cold_upstream_gets_half_of_what_is_tolerated_and_all_of_its_slots_once_it_is_warm() {
    let mut load = Load::new(vec![owner(1)]);
    load.handle_all(&cold(0, WARM_UP, Duration::ZERO));
    load.run(WARM_UP - STEP, 1);
    let most = load.max_in_second(START);
    assert!(most * 2 <= tolerated(), "{most} requests in one second");
    let during = load.sent.len() as f64;
    let borne = COLD_PER_S * WARM_UP.as_secs_f64();
    assert!(during >= borne * 0.7, "{during} of {borne} requests");
    let warm_from = load.now + Duration::from_millis(50);
    load.run(Duration::from_secs(2), 1);
    let most = load.max_in_second(warm_from);
    assert!(most >= 16, "{most} requests in one second");
}

#[test]
fn two_owners_together_stay_within_what_is_tolerated() {
    let mut load = Load::new(vec![owner(2), owner(2)]);
    load.handle_all(&cold(0, WARM_UP, Duration::ZERO));
    load.handle_all(&cold(1, WARM_UP, Duration::ZERO));
    load.run(WARM_UP - STEP, 1);
    let most = load.max_in_second(START);
    assert!(most <= tolerated(), "{most} requests in one second");
}

#[test]
fn an_owner_that_takes_over_during_the_warm_up_continues_at_its_rate() {
    for seed in 0..20 {
        let mut random = Random::new(seed);
        let mut load = Load::new(vec![owner(2)]);
        load.handle_all(&cold(0, WARM_UP, Duration::ZERO));
        for _ in 0..3 {
            let turn = Duration::from_millis(200 + (random.fraction() * 600.0) as u64);
            load.run(turn, 1);
            // The notices and the runs of the owner that failed reach the next one.
            let mut next = owner(2);
            for notice in load.owners[0].notices(load.now) {
                next.reduce(load.now, Event::NoticeReceived(notice));
            }
            for (end, _, run, grant) in &load.running {
                let active_run = ActiveRun {
                    request: plain_request(*run, 0),
                    upstream: grant.upstream.clone(),
                    running_for: RUN_TIME.saturating_sub(end.saturating_sub(load.now)),
                };
                next.reduce(load.now, Event::ActiveRunReported(active_run));
            }
            load.owners[0] = next;
        }
        load.sent.retain(|(_, name)| name == "engine-0");
        let most = load.max_in_second(START);
        assert!(most <= tolerated(), "seed {seed}: {most} in one second");
    }
}

#[test]
fn nodes_that_each_decide_alone_stay_within_what_is_tolerated_together() {
    const NODES: usize = 86;
    let mut load = Load::new((0..NODES).map(|_| owner(1)).collect());
    load.handle_all(&cold(0, WARM_UP * 10, Duration::ZERO));
    // Each node has permits from the time in which it saw all others.
    load.run(Duration::from_secs(1), 0);
    let alone = Visibility {
        visible: 1,
        known: NODES,
        refusing: 0,
    };
    load.handle_all(&Event::VisibilityChanged(alone));
    load.run(WARM_UP, 1);
    let most = load.max_in_second(START);
    assert!(most <= tolerated(), "{most} requests in one second");
}

#[test]
fn nodes_that_are_hardly_called_use_only_a_small_part_of_what_is_tolerated() {
    const NODES: usize = 86;
    let mut load = Load::new((0..NODES).map(|_| owner(1)).collect());
    let contacts = Visibility {
        visible: 6,
        known: NODES,
        refusing: 0,
    };
    load.handle_all(&Event::RecentContactsChanged(contacts));
    load.handle_all(&cold(0, WARM_UP * 10, Duration::ZERO));
    load.run(WARM_UP, 1);
    let most = load.max_in_second(START);
    assert!(most <= tolerated(), "{most} requests in one second");
}

#[test]
fn a_data_centre_that_returns_cold_is_not_overloaded_by_a_burst() {
    let mut load = Load::new(vec![owner(20)]);
    for index in 0..20 {
        load.handle_all(&cold(index, WARM_UP, Duration::ZERO));
    }
    load.run(WARM_UP - STEP, 8);
    let most = load.max_in_second(START);
    assert!(most * 2 <= tolerated(), "{most} requests in one second");
}

#[test]
fn a_started_upstream_counts_as_cold_until_it_states_otherwise() {
    let sent_in_a_second = |statement: Option<Event>| {
        let mut load = Load::new(vec![owner(1)]);
        let started = vec![upstream(7, SLOTS)];
        load.handle_all(&Event::UpstreamsChanged(started));
        if let Some(statement) = statement {
            load.handle_all(&statement);
        }
        load.run(Duration::from_secs(1), 1);
        load.sent.len()
    };
    let unstated = sent_in_a_second(None);
    assert!(unstated as f64 <= COLD_PER_S, "{unstated}");
    let warm = sent_in_a_second(Some(cold(7, Duration::ZERO, Duration::ZERO)));
    assert!(warm >= 16, "{warm}");
}

#[test]
fn a_later_statement_replaces_an_earlier_one_in_whatever_order_they_arrive() {
    let s = Duration::from_secs;
    let is_cold = |events: [Event; 2]| {
        let mut owner = owner(1);
        for event in events {
            owner.reduce(START, event);
        }
        owner.is_stated_cold(START, &upstream(0, SLOTS).id)
    };
    let earlier = || cold(0, s(30), s(5));
    let later = || cold(0, Duration::ZERO, s(1));
    assert!(!is_cold([earlier(), later()]));
    assert!(!is_cold([later(), earlier()]));
}

#[test]
fn an_unreachable_upstream_counts_as_cold_when_it_is_reached_again() {
    let mut load = Load::new(vec![owner(1)]);
    load.next_run += 1;
    let run = load.next_run;
    let decision = request_slot(&mut load.owners[0], START, plain_request(run, 0));
    granted_upstream(decision);
    load.handle(0, run_ended(run, RunOutcome::Unreachable));
    load.run(Duration::from_secs(2), 1);
    let most = load.max_in_second(START);
    assert!(most * 2 <= tolerated(), "{most} requests in one second");
}

#[test]
fn a_service_without_a_warm_up_ignores_statements_about_it() {
    let mut owner = support::dispatcher(1, SLOTS);
    owner.reduce(START, cold(0, WARM_UP, Duration::ZERO));
    for run in 1..=u64::from(SLOTS) {
        granted_upstream(request_slot(&mut owner, START, plain_request(run, 0)));
    }
}
