//! Roll-outs of good and bad versions in virtual time.
//!
//! Guards against wrong or late decisions, against more requests to a bad version than permitted, and against
//! requests to a version that a decision has ruled out. `DRAGONFLYSTEP_SEEDS=0..200` selects other seeds,
//! and `--nocapture` shows the table of results.

mod support;

use {
    dragonflystep_dispatch::{Event, RolloutOrder, RolloutPhase, UpstreamPhase, Visibility},
    std::{ops::Range, time::Duration},
    support::{
        SERVICE, limits,
        rollout_simulation::{
            Deployment, Fault, GOOD, ORDER_DURATION_S, Outcome, RolloutSimulation, application, at,
            engines, failing, seeds, slow, upstream_entries,
        },
    },
};

/// Most requests that a bad version may get.
fn permitted(outcome: &Outcome) -> f64 {
    outcome.requests as f64 * limits().rollout.exposed_share + limits().rollout.exposed_slack
}

/// Simulates a roll-out for each seed and checks the decision and the exposure.
fn check(
    name: &str,
    deployment: &Deployment,
    fault: Fault,
    expected: RolloutPhase,
    usual: Range<u64>,
) {
    let (mut max_exposure, mut max_decision_s, mut old_runs_at_decision) = (0.0_f64, 0.0_f64, 0);
    let mut missed = Vec::new();
    let seeds = seeds(usual);
    for seed in seeds.clone() {
        let outcome = RolloutSimulation::new(deployment, fault, seed).run();
        let exposed = outcome.exposed as f64 / permitted(&outcome);
        max_exposure = max_exposure.max(exposed);
        max_decision_s = max_decision_s.max(outcome.decided_at_s);
        old_runs_at_decision = old_runs_at_decision.max(outcome.old_runs_at_decision);
        assert!(exposed <= 1.0, "{name}, seed {seed}: {outcome:?}");
        assert_eq!(outcome.misplaced, 0, "{name}, seed {seed}: {outcome:?}");
        if let Some(fiftieth) = outcome
            .fiftieth_affected_at_s
            .filter(|_| expected == RolloutPhase::RolledBack)
        {
            let after_s = outcome.last_exposed_at_s - fiftieth;
            assert!(after_s <= 5.0, "{name}, seed {seed}: {outcome:?}");
        }
        if outcome.phase != Some(expected) {
            missed.push(format!("seed {seed}: {outcome:?}"));
        }
    }
    #[expect(clippy::print_stdout, reason = "a table for runs with other seeds")]
    {
        println!(
            "{name}: {} of {} wrong, at most {max_exposure:.2} of the permitted exposure, decided after at most {max_decision_s:.1} s, at most {old_runs_at_decision} runs on the old version at the decision",
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
    let outcome = RolloutSimulation::new(&engines(), GOOD, 3).run();
    assert!(outcome.decided_at_s < ORDER_DURATION_S, "{outcome:?}");
}

#[test]
fn a_version_whose_short_calls_take_a_few_milliseconds_longer_is_completed() {
    let deployment = Deployment {
        mean_call_ms: 1.0,
        ..application()
    };
    check(
        "calls of 1 ms, 2.7 times slower",
        &deployment,
        slow(1.0, 2.7),
        RolloutPhase::Completed,
        0..4,
    );
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
    for (deployment, route) in [(engines(), "report"), (application(), "stock")] {
        let fault = Fault {
            route: Some(route),
            ..failing(0.5)
        };
        check(
            &format!("{route} fails"),
            &deployment,
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
            &deployment,
            fault,
            RolloutPhase::RolledBack,
            0..2,
        );
    }
}

#[test]
fn a_version_that_is_bad_under_load_is_rolled_back() {
    let fault = Fault {
        min_runs: 3,
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
        min_runs: 2,
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
fn an_owner_without_a_majority_makes_no_decision_and_sends_no_canaries() {
    let deployment = engines();
    let mut simulation = RolloutSimulation::new(&deployment, GOOD, 1);
    let visibility = Visibility {
        visible: 3,
        known: 10,
        refusing: 0,
    };
    simulation
        .dispatcher
        .reduce(Duration::ZERO, Event::VisibilityChanged(visibility));
    let outcome = simulation.run();
    assert_eq!(outcome.phase, None);
    assert_eq!(outcome.exposed, 0);
}

#[test]
fn an_order_without_upstreams_of_its_version_is_rolled_back_at_its_end() {
    let deployment = Deployment {
        upstreams: 8,
        ..application()
    };
    let mut simulation = RolloutSimulation::new(&deployment, GOOD, 1);
    simulation.reduce(
        0.0,
        Event::RolloutOrdered(RolloutOrder {
            ends_at: at(4.0),
            ..simulation.order()
        }),
    );
    for index in 0..500 {
        simulation.send_request(f64::from(index) * 0.01);
    }
    assert_eq!(simulation.outcome.phase, Some(RolloutPhase::RolledBack));
}

#[test]
fn a_decision_of_another_owner_is_followed() {
    let deployment = application();
    for (phase, new_only) in [
        (RolloutPhase::Completed, true),
        (RolloutPhase::RolledBack, false),
    ] {
        let mut simulation = RolloutSimulation::new(&deployment, GOOD, 1);
        let all = upstream_entries(&deployment, true);
        simulation.reduce(0.0, Event::RolloutOrdered(simulation.order()));
        simulation.reduce(0.0, Event::UpstreamsChanged(all));
        simulation.reduce(0.0, Event::RolloutSettled(SERVICE.into(), 7, phase));
        for index in 0..30 {
            simulation.send_request(f64::from(index) * 0.001);
        }
        assert!(!simulation.in_flight.is_empty());
        assert!(
            simulation
                .in_flight
                .values()
                .all(|run| run.is_new == new_only),
            "{phase:?}"
        );
    }
}

#[test]
fn upstreams_of_a_version_without_an_order_get_no_requests_at_first() {
    let deployment = application();
    let mut simulation = RolloutSimulation::new(&deployment, GOOD, 1);
    let mut all = upstream_entries(&deployment, true);
    all[4].phase = UpstreamPhase::Draining;
    simulation.reduce(1.0, Event::UpstreamsChanged(all));
    for index in 0..30 {
        simulation.send_request(1.0 + f64::from(index) * 0.001);
    }
    assert!(simulation.in_flight.values().all(|run| !run.is_new));
}

#[test]
fn a_version_without_an_order_that_replaces_a_completed_one_is_used() {
    let deployment = application();
    let mut simulation = RolloutSimulation::new(&deployment, GOOD, 1);
    simulation.reduce(0.0, Event::RolloutOrdered(simulation.order()));
    simulation.reduce(
        0.0,
        Event::UpstreamsChanged(upstream_entries(&deployment, true)),
    );
    let completed = Event::RolloutSettled(SERVICE.into(), 7, RolloutPhase::Completed);
    simulation.reduce(0.0, completed);
    let mut released = upstream_entries(&deployment, false);
    for upstream in &mut released {
        upstream.version = "v3".into();
    }
    simulation.reduce(1.0, Event::UpstreamsChanged(released));
    for index in 0..10 {
        simulation.send_request(4.0 + f64::from(index) * 0.001);
    }
    assert!(!simulation.in_flight.is_empty());
}
