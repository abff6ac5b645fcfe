//! The work of an owner for each request, by the number of upstreams.
//!
//! Guards against an owner whose decisions take longer the more upstreams there are, until it answers late and other
//! nodes take it for failed.

mod support;

use {
    dragonflystep_dispatch::{Dispatcher, Event, RunId, RunOutcome, SlotDecision, SlotRequest},
    std::{collections::VecDeque, time::Duration},
    support::{
        Random, dispatcher, plain_request,
        slot_requests::{START, granted_upstream, request_slot, run_ended},
    },
};

const SLOTS: u32 = 4;

/// Requests per second and upstream.
const RATE_PER_UPSTREAM: f64 = 1.0;

const RUN_TIME: Duration = Duration::from_millis(500);

/// An owner with a steady load, and the runs that it granted.
struct LoadedOwner {
    owner: Dispatcher,
    now: Duration,
    next_run: RunId,
    running: VecDeque<(Duration, RunId)>,
    granted: u64,
}

impl LoadedOwner {
    fn new(upstreams: usize) -> Self {
        Self {
            owner: dispatcher(upstreams, SLOTS),
            now: START,
            next_run: 1,
            running: VecDeque::new(),
            granted: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        for effect in self.owner.reduce(self.now, event) {
            if matches!(effect.decision, SlotDecision::Granted(_)) {
                self.granted += 1;
                self.running.push_back((self.now + RUN_TIME, effect.run));
            }
        }
    }

    /// Runs `count` requests with a mean time of `gap` between two of them.
    fn run(&mut self, count: u32, gap: Duration) {
        let mut random = Random::new(7);
        for _ in 0..count {
            self.now += gap.mul_f64(random.fraction() * 2.0);
            while let Some((end, run)) = self.running.front().copied()
                && end <= self.now
            {
                self.running.pop_front();
                self.handle(run_ended(run, RunOutcome::Completed));
            }
            self.next_run += 1;
            self.handle(Event::SlotRequested(plain_request(self.next_run, 0)));
        }
    }

    fn examined_per_request(&mut self, requests: u32) -> f64 {
        let summaries = self.owner.summaries(self.now);
        let examined: u64 = summaries.iter().map(|summary| summary.examined).sum();
        examined as f64 / f64::from(requests)
    }
}

/// Mean number of upstreams that an owner of `upstreams` examines for a request.
fn examined(upstreams: usize, load_factor: f64) -> f64 {
    let mut loaded = LoadedOwner::new(upstreams);
    let rate_per_s = RATE_PER_UPSTREAM * upstreams as f64 * load_factor;
    let gap = Duration::from_secs_f64(1.0 / rate_per_s);
    let warm_up = (rate_per_s * 2.0) as u32;
    loaded.run(warm_up, gap);
    loaded.examined_per_request(1);
    loaded.run(2_000, gap);
    loaded.examined_per_request(2_000)
}

#[test]
fn the_work_for_a_request_does_not_grow_with_the_number_of_upstreams() {
    for load_factor in [0.1, 1.0, 7.0] {
        let (small, large) = (examined(1_000, load_factor), examined(4_000, load_factor));
        assert!(
            large <= small * 1.1,
            "load {load_factor}: {small} of 1000 upstreams, {large} of 4000"
        );
    }
}

#[test]
fn a_slot_that_becomes_free_is_found_while_all_others_are_taken() {
    let upstreams = 2_000;
    let mut loaded = LoadedOwner::new(upstreams);
    let slots = upstreams as u32 * SLOTS;
    loaded.run(slots, Duration::from_micros(20));
    assert_eq!(loaded.granted, u64::from(slots), "all slots are found");
    let waiting = loaded.next_run + 1;
    loaded.handle(Event::SlotRequested(plain_request(waiting, 0)));
    assert_eq!(loaded.granted, u64::from(slots));
    loaded.examined_per_request(1);
    let (_, run) = loaded.running.pop_front().expect("a run");
    loaded.handle(run_ended(run, RunOutcome::Completed));
    assert_eq!(loaded.granted, u64::from(slots) + 1);
    // The waiting request takes the slot, and the search for a further one goes through all upstreams.
    let examined = loaded.examined_per_request(1);
    assert!(examined <= upstreams as f64 + 1_100.0, "{examined}");
}

#[test]
fn the_sampled_upstreams_are_among_the_fastest() {
    // Every tenth upstream is fast. Once each has had some runs, nearly all requests go to fast ones.
    let upstreams = 1_000;
    let mut loaded = LoadedOwner::new(upstreams);
    let mut to_fast = 0;
    let total = 30_000;
    for count in 0..total {
        loaded.now += Duration::from_millis(2);
        loaded.next_run += 1;
        let run = loaded.next_run;
        let request = Event::SlotRequested(plain_request(run, 0));
        let effects = loaded.owner.reduce(loaded.now, request);
        let SlotDecision::Granted(grant) = &effects[0].decision else {
            panic!("the owner has free slots");
        };
        let index: usize = grant.upstream["engine-".len()..].parse().expect("a number");
        let is_fast = index.is_multiple_of(10);
        if count >= total / 2 {
            to_fast += u32::from(is_fast);
        }
        let Event::RunEnded(mut report) = run_ended(run, RunOutcome::Completed) else {
            unreachable!("the helper returns a report");
        };
        let factor = if is_fast { 1 } else { 4 };
        report.to_first_event = Some(Duration::from_millis(60) * factor);
        report.to_end = Duration::from_millis(500) * factor;
        loaded.owner.reduce(loaded.now, Event::RunEnded(report));
    }
    let share = f64::from(to_fast) / f64::from(total / 2);
    assert!(share > 0.9, "{share}");
}

/// Name of the upstream that an otherwise idle owner chooses for a request with a long answer.
///
/// Of its two upstreams, `engine-0` sends the first event soon and takes ten times as long as `engine-1` for the rest.
fn choice_for_a_long_answer() -> String {
    let mut owner = dispatcher(2, 40);
    let mut run = 0;
    for (index, first_ms, end_ms) in [(0, 40, 6_000), (1, 500, 920)] {
        for _ in 0..40 {
            run += 1;
            let other = support::upstream(1 - index, SLOTS).id;
            let request = SlotRequest {
                excluded_upstreams: vec![other],
                ..plain_request(run, 0)
            };
            granted_upstream(request_slot(&mut owner, START, request));
            let Event::RunEnded(mut report) = run_ended(run, RunOutcome::Completed) else {
                unreachable!("the helper returns a report");
            };
            report.to_first_event = Some(Duration::from_millis(first_ms));
            report.to_end = Duration::from_millis(end_ms);
            owner.reduce(START, Event::RunEnded(report));
        }
    }
    let later = START + Duration::from_millis(700);
    granted_upstream(request_slot(&mut owner, later, plain_request(run + 1, 0)))
}

#[test]
fn a_long_answer_goes_to_the_upstream_that_ends_it_sooner_while_slots_are_plentiful() {
    assert_eq!(choice_for_a_long_answer(), "engine-1");
}
