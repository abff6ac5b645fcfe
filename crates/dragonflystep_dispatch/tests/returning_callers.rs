//! Callers that come back after a refusal: whether they are served before they give up.
//!
//! Guards against refusing them for good because of a predicted wait: the prediction assumes that requests keep arriving
//! at the present rate, and most bursts end before a caller gives up. The same seed always gives the same results, and
//! the bounds are slightly looser than these.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Effect, Event, RunId, RunOutcome, RunReport, SlotDecision, SlotRequest,
    },
    std::time::Duration,
    support::{
        Load, Outcome, SERVICE, dispatcher, engine::SLOW_PREFILL, kinds::factory_kinds,
        plain_request, replay,
    },
};

const SLOTS: u32 = 2;

/// Requests of a less urgent tier that keep coming while the only engine is full.
const CROWD: RunId = 400;

fn late_request(run: RunId, fingerprint: u64) -> SlotRequest {
    SlotRequest {
        fingerprint,
        objective_left: Duration::from_millis(100),
        time_left: Duration::from_secs(8),
        ..plain_request(run, 1)
    }
}

fn request_slot(dispatcher: &mut Dispatcher, at: Duration, request: SlotRequest) -> Vec<Effect> {
    dispatcher.reduce(at, Event::SlotRequested(request))
}

fn is_refused(effects: &[Effect], run: RunId) -> bool {
    effects
        .iter()
        .any(|effect| effect.run == run && matches!(effect.decision, SlotDecision::Refused(_)))
}

fn end_run(dispatcher: &mut Dispatcher, at: Duration, run: RunId) -> Vec<Effect> {
    let report = RunReport {
        run,
        service: SERVICE.into(),
        outcome: RunOutcome::Completed,
        to_first_event: Some(Duration::from_millis(60)),
        to_end: at,
        events: 30,
    };
    dispatcher.reduce(at, Event::RunEnded(report))
}

#[test]
fn a_caller_that_comes_back_in_a_burst_waits_and_is_served_when_the_burst_is_over() {
    let mut dispatcher = dispatcher(1, SLOTS);
    for run in 1..=RunId::from(SLOTS) {
        request_slot(&mut dispatcher, Duration::ZERO, plain_request(run, 0));
    }
    let at = Duration::from_millis(10);
    for run in 10..10 + CROWD {
        request_slot(&mut dispatcher, at, late_request(run, run));
    }
    let (first, second) = (10 + CROWD, 11 + CROWD);
    let effects = request_slot(&mut dispatcher, at, late_request(first, 7_777));
    assert!(is_refused(&effects, first), "no overload: {effects:?}");

    let back_at = Duration::from_secs(2);
    let request = SlotRequest {
        time_left: Duration::from_secs(6),
        ..late_request(second, 7_777)
    };
    // Urgent requests arrive at many times the rate that the engine can serve.
    for run in 1_000..1_000 + CROWD {
        request_slot(&mut dispatcher, back_at, plain_request(run, 0));
    }
    let effects = request_slot(&mut dispatcher, back_at, request);
    assert!(!is_refused(&effects, second), "{effects:?}");

    // The burst is over: nobody else comes, and those who waited give up.
    let later = Duration::from_millis(5_500);
    let mut effects = dispatcher.reduce(later, Event::Ticked);
    for run in 1..=RunId::from(SLOTS) {
        effects.extend(end_run(&mut dispatcher, later, run));
    }
    effects.extend(dispatcher.reduce(later, Event::Ticked));
    let is_granted = effects
        .iter()
        .any(|effect| effect.run == second && matches!(effect.decision, SlotDecision::Granted(_)));
    assert!(is_granted, "{effects:?}");
}

/// Twelve engines of two speeds, and callers that come back once.
fn load(seed: u64, duration_s: f64, rate_factor: fn(f64) -> f64) -> Load {
    Load {
        kinds: factory_kinds(),
        engine: SLOW_PREFILL,
        slowness: [0.68, 0.68, 3.0].into_iter().cycle().take(12).collect(),
        slots: 5,
        duration_s,
        rate_factor,
        repeats_refused: true,
        seed,
    }
}

fn bursts(at_s: f64) -> f64 {
    match at_s {
        at if (3.0..8.0).contains(&at) => 2.4,
        at if (10.0..13.0).contains(&at) => 3.0,
        _ => 1.2,
    }
}

fn share_unserved(outcome: &Outcome) -> f64 {
    f64::from(outcome.refused + outcome.abandoned) / f64::from(outcome.requests)
}

#[test]
fn in_bursts_few_callers_are_never_served() {
    let mut unserved = 0.0;
    for seed in 1..=8 {
        let result = replay(&load(seed, 16.0, bursts));
        unserved += share_unserved(&result.kinds["question"]) / 8.0;
        // More urgent requests are not shed for the returning ones.
        assert_eq!(result.kinds["quote"].refused, 0, "seed {seed}");
        assert_eq!(result.kinds["report"].refused, 0, "seed {seed}");
        assert!(result.priority_inversions <= 3, "seed {seed}");
    }
    assert!(unserved < 0.17, "{unserved}");
}

#[test]
fn in_a_lasting_overload_waiting_callers_do_not_make_urgent_requests_late() {
    for seed in 1..=4 {
        let result = replay(&load(seed, 30.0, |_| 2.6));
        let quote = &result.kinds["quote"];
        assert!(quote.share_in_time() > 0.98, "seed {seed}: {quote:?}");
        let report = &result.kinds["report"];
        assert!(report.share_in_time() > 0.88, "seed {seed}: {report:?}");
        let question = &result.kinds["question"];
        assert!(share_unserved(question) < 0.72, "seed {seed}: {question:?}");
    }
}
