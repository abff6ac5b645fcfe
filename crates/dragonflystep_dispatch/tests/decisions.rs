//! Single decisions of an owner: placement, queue order, retry budget, crash suspects and repeated requests.

mod support;

use {
    dragonflystep_dispatch::{
        ActiveRun, Event, RefusalReason, RunId, RunOutcome, SlotDecision, SlotRequest, Upstream,
        UpstreamLoad, UpstreamPhase, Visibility,
    },
    std::time::Duration,
    support::{
        SERVICE, dispatcher, plain_request,
        slot_requests::{START, granted_upstream, refusal, request_slot, run_ended},
        upstream,
    },
};

#[test]
fn slots_are_granted_up_to_the_limit_of_each_upstream() {
    let mut owner = dispatcher(3, 2);
    let mut upstreams = Vec::new();
    for run in 1..=6 {
        upstreams.push(granted_upstream(request_slot(
            &mut owner,
            START,
            plain_request(run, 0),
        )));
    }
    upstreams.sort();
    assert_eq!(
        upstreams,
        [
            "engine-0", "engine-0", "engine-1", "engine-1", "engine-2", "engine-2"
        ]
    );
    assert_eq!(request_slot(&mut owner, START, plain_request(7, 0)), None);
}

#[test]
fn a_freed_slot_goes_to_the_most_urgent_tier() {
    let mut owner = dispatcher(1, 1);
    granted_upstream(request_slot(&mut owner, START, plain_request(1, 0)));
    assert_eq!(request_slot(&mut owner, START, plain_request(2, 2)), None);
    assert_eq!(request_slot(&mut owner, START, plain_request(3, 1)), None);
    let later = START + Duration::from_millis(100);
    let effects = owner.reduce(later, run_ended(1, RunOutcome::Completed));
    assert_eq!(effects.len(), 1);
    assert_eq!(effects[0].run, 3);
}

#[test]
fn a_draining_or_removed_upstream_gets_no_requests() {
    let mut owner = dispatcher(2, 4);
    let mut entries = vec![upstream(0, 4), upstream(1, 4)];
    entries[0].phase = UpstreamPhase::Draining;
    owner.reduce(START, Event::UpstreamsChanged(entries));
    for run in 1..=4 {
        assert_eq!(
            granted_upstream(request_slot(&mut owner, START, plain_request(run, 0))),
            "engine-1"
        );
    }
    owner.reduce(START, Event::UpstreamsChanged(Vec::new()));
    let decisions = (5..8).map(|run| request_slot(&mut owner, START, plain_request(run, 0)));
    assert!(
        decisions
            .flatten()
            .all(|decision| matches!(decision, SlotDecision::Refused(_)))
    );
}

#[test]
fn a_failing_upstream_gets_no_requests_for_a_while() {
    let mut owner = dispatcher(2, 4);
    let mut at = START;
    let mut run = 0;
    let mut last_at_failing = START;
    for _ in 0..40 {
        run += 1;
        at += Duration::from_millis(20);
        if granted_upstream(request_slot(&mut owner, at, plain_request(run, 0))) == "engine-0" {
            last_at_failing = at;
            owner.reduce(at, run_ended(run, RunOutcome::Failed));
        } else {
            owner.reduce(at, run_ended(run, RunOutcome::Completed));
        }
    }
    assert!(at - last_at_failing > Duration::from_millis(300));
}

#[test]
fn the_only_upstream_is_used_when_it_fails_but_not_when_it_is_unreachable() {
    let mut owner = dispatcher(1, 4);
    for run in 1..=12 {
        let at = START + Duration::from_millis(run * 20);
        assert_eq!(
            granted_upstream(request_slot(&mut owner, at, plain_request(run, 0))),
            "engine-0"
        );
        owner.reduce(at, run_ended(run, RunOutcome::Failed));
    }
    let at = START + Duration::from_millis(300);
    granted_upstream(request_slot(&mut owner, at, plain_request(13, 0)));
    owner.reduce(at, run_ended(13, RunOutcome::Unreachable));
    assert_eq!(request_slot(&mut owner, at, plain_request(14, 0)), None);
}

#[test]
fn one_of_five_upstreams_backs_off_when_four_fail() {
    let mut owner = dispatcher(5, 4);
    let mut granted = Vec::new();
    for run in 1..=20 {
        granted.push((
            run,
            granted_upstream(request_slot(&mut owner, START, plain_request(run, 0))),
        ));
    }
    for (run, upstream) in granted {
        let outcome = match upstream.as_str() {
            "engine-0" => RunOutcome::Completed,
            _ => RunOutcome::Failed,
        };
        owner.reduce(START, run_ended(run, outcome));
    }
    let upstreams = (101..=120)
        .map(|run| request_slot(&mut owner, START, plain_request(run, 0)))
        .filter(|decision| matches!(decision, Some(SlotDecision::Granted(_))));
    // Only one of the failing upstreams backs off. Without the other three most of the capacity would be lost, and the
    // healthy upstream would be full.
    assert_eq!(upstreams.count(), 16);
}

#[test]
fn an_upstream_that_reports_waiting_requests_gets_no_more() {
    let mut owner = dispatcher(2, 2);
    let load = UpstreamLoad {
        service: SERVICE.into(),
        upstream: "engine-0".into(),
        running: 2,
        waiting: 1,
    };
    owner.reduce(START, Event::LoadObserved(load));
    for run in 1..=2 {
        assert_eq!(
            granted_upstream(request_slot(&mut owner, START, plain_request(run, 0))),
            "engine-1"
        );
    }
    assert_eq!(request_slot(&mut owner, START, plain_request(3, 0)), None);
}

#[test]
fn a_node_without_a_majority_keeps_to_its_share_of_the_slots() {
    let mut owner = dispatcher(4, 4);
    owner.reduce(
        START,
        Event::VisibilityChanged(Visibility {
            visible: 1,
            known: 8,
            refusing: 0,
        }),
    );
    for run in 1..=2 {
        granted_upstream(request_slot(&mut owner, START, plain_request(run, 0)));
    }
    assert_eq!(request_slot(&mut owner, START, plain_request(3, 0)), None);
    owner.reduce(
        START,
        Event::VisibilityChanged(Visibility {
            visible: 8,
            known: 8,
            refusing: 0,
        }),
    );
    let effects = owner.reduce(START, Event::Ticked);
    assert_eq!(effects.len(), 1);
}

#[test]
fn runs_granted_by_another_owner_occupy_slots() {
    let mut owner = dispatcher(1, 1);
    owner.reduce(
        START,
        Event::ActiveRunReported(ActiveRun {
            request: plain_request(9, 0),
            upstream: "engine-0".into(),
            running_for: Duration::from_millis(100),
        }),
    );
    assert_eq!(request_slot(&mut owner, START, plain_request(1, 0)), None);
    let effects = owner.reduce(START, run_ended(9, RunOutcome::Completed));
    assert_eq!(effects.len(), 1);
}

#[test]
fn a_withdrawn_request_gets_no_slot() {
    let mut owner = dispatcher(1, 1);
    granted_upstream(request_slot(&mut owner, START, plain_request(1, 0)));
    assert_eq!(request_slot(&mut owner, START, plain_request(2, 0)), None);
    owner.reduce(START, Event::RequestWithdrawn(SERVICE.into(), 2));
    assert!(
        owner
            .reduce(START, run_ended(1, RunOutcome::Completed))
            .is_empty()
    );
}

#[test]
fn retries_stop_when_their_budget_is_spent() {
    let mut owner = dispatcher(50, 4);
    let mut refused = 0;
    for run in 1..=100 {
        let retry = SlotRequest {
            previous_attempts: 1,
            ..plain_request(run, 0)
        };
        if let Some(SlotDecision::Refused(refusal)) = request_slot(&mut owner, START, retry) {
            assert_eq!(refusal.reason, RefusalReason::RetryBudgetSpent);
            refused += 1;
        }
    }
    // An owner uses seven tenths of the slack of 50, so it grants 35 of the 100 retries.
    assert_eq!(refused, 65);
}

#[test]
fn a_request_that_crashed_three_upstreams_is_refused() {
    let mut owner = dispatcher(4, 4);
    let mut crashed = Vec::new();
    for run in 1..=3 {
        let poison = SlotRequest {
            fingerprint: 77,
            excluded_upstreams: crashed.clone(),
            ..plain_request(run, 0)
        };
        let upstream = granted_upstream(request_slot(&mut owner, START, poison));
        crashed.push(upstream.into());
        owner.reduce(START, run_ended(run, RunOutcome::Broken));
    }
    let repeated = SlotRequest {
        fingerprint: 77,
        ..plain_request(4, 0)
    };
    let decision = request_slot(&mut owner, START, repeated);
    assert_eq!(refusal(decision).reason, RefusalReason::CrashSuspect);
    granted_upstream(request_slot(&mut owner, START, plain_request(5, 0)));
}

#[test]
fn the_objective_of_a_repeated_request_counts_from_its_first_try() {
    let mut owner = dispatcher(1, 1);
    granted_upstream(request_slot(&mut owner, START, plain_request(1, 0)));
    // The caller gives up before a slot is free, so the request is refused early.
    let impatient = SlotRequest {
        objective_left: Duration::ZERO,
        time_left: Duration::from_millis(50),
        ..plain_request(2, 0)
    };
    request_slot(&mut owner, START, impatient);
    owner.reduce(START + Duration::from_millis(40), Event::Ticked);
    let later = START + Duration::from_millis(45);
    let repeated = SlotRequest {
        fingerprint: 2,
        objective_left: Duration::from_millis(30),
        ..plain_request(3, 0)
    };
    assert_eq!(request_slot(&mut owner, later, repeated), None);
    // A request that can still be in time precedes one that is late, counted from its first try.
    assert_eq!(request_slot(&mut owner, later, plain_request(4, 0)), None);
    let effects = owner.reduce(later, run_ended(1, RunOutcome::Completed));
    let served: Vec<RunId> = effects.iter().map(|effect| effect.run).collect();
    assert_eq!(served, [4]);
}

#[test]
fn requests_with_different_time_left_all_count_as_first_tries() {
    let mut owner = dispatcher(6, 1);
    for run in 11..=16 {
        granted_upstream(request_slot(&mut owner, START, plain_request(run, 0)));
    }
    let patient = plain_request(2, 0);
    let impatient = SlotRequest {
        time_left: Duration::from_millis(8_500),
        objective_left: Duration::from_millis(590),
        ..plain_request(3, 0)
    };
    assert_eq!(request_slot(&mut owner, START, patient), None);
    assert_eq!(request_slot(&mut owner, START, impatient), None);
    let effects = owner.reduce(START, run_ended(11, RunOutcome::Completed));
    // The request whose objective ends first precedes the other, whatever time its caller has left.
    assert_eq!(
        effects.iter().map(|effect| effect.run).collect::<Vec<_>>(),
        [3]
    );
}

#[test]
fn a_restarted_upstream_begins_without_history() {
    let mut owner = dispatcher(1, 1);
    for run in 1..=4 {
        let at = START + Duration::from_millis(run);
        granted_upstream(request_slot(&mut owner, at, plain_request(run, 0)));
        owner.reduce(at, run_ended(run, RunOutcome::Failed));
    }
    let before = granted_upstream(request_slot(&mut owner, START, plain_request(5, 0)));
    assert_eq!(before, "engine-0");
    // The restarted upstream has a new id, so neither the run in flight nor the back-off of the old id applies to it.
    let restarted = Upstream {
        id: "engine-0@2".into(),
        ..upstream(0, 1)
    };
    let at = START + Duration::from_millis(10);
    owner.reduce(at, Event::UpstreamsChanged(vec![restarted]));
    let after = granted_upstream(request_slot(&mut owner, at, plain_request(6, 0)));
    assert_eq!(after, "engine-0@2");
    // The end of a run on the old id frees no slot of the new one.
    owner.reduce(at, run_ended(5, RunOutcome::Completed));
    assert_eq!(request_slot(&mut owner, at, plain_request(7, 0)), None);
}

#[test]
fn services_known_only_from_the_registry_leave_no_state_behind() {
    let mut owner = dispatcher(1, 1);
    for number in 0..100 {
        let uncatalogued = Upstream {
            service: format!("service-{number}").into(),
            ..upstream(1, 4)
        };
        owner.reduce(
            START,
            Event::UpstreamsChanged(vec![upstream(0, 1), uncatalogued]),
        );
    }
    assert!(owner.service_count() <= 2);
}

#[test]
fn requests_that_together_exceed_an_engines_memory_do_not_run_there_at_once() {
    // The engines of the test catalogue hold 700,000 tokens.
    let mut owner = dispatcher(2, 4);
    let long_request = |run| {
        let mut request = plain_request(run, 0);
        request.size.prompt_tokens = 400_000;
        request.objective_left = Duration::from_secs(60);
        request.time_left = Duration::from_secs(120);
        request
    };
    let first = granted_upstream(request_slot(&mut owner, START, long_request(1)));
    let second = granted_upstream(request_slot(&mut owner, START, long_request(2)));
    assert_ne!(first, second);
    assert_eq!(request_slot(&mut owner, START, long_request(3)), None);
    granted_upstream(request_slot(&mut owner, START, plain_request(4, 0)));
}
