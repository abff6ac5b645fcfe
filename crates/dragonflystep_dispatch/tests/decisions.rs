//! Single decisions of an owner: placement, queue, refusal, quotas, retries and crash suspects.

mod support;

use {
    dragonflystep_dispatch::{
        ActiveRun, Event, RefusalReason, RunId, RunOutcome, SlotDecision, SlotRequest, Upstream,
        UpstreamLoad, UpstreamPhase, Visibility,
    },
    std::time::Duration,
    support::{
        SERVICE, dispatcher, plain_ask, upstream,
        verdicts::{AT, ask, ended, granted_to, refusal},
    },
};

#[test]
fn places_are_given_up_to_the_limit_of_each_upstream() {
    let mut owner = dispatcher(3, 2);
    let mut places = Vec::new();
    for run in 1..=6 {
        places.push(granted_to(ask(&mut owner, AT, plain_ask(run, 0))));
    }
    places.sort();
    assert_eq!(
        places,
        [
            "engine-0", "engine-0", "engine-1", "engine-1", "engine-2", "engine-2"
        ]
    );
    assert_eq!(ask(&mut owner, AT, plain_ask(7, 0)), None);
}

#[test]
fn a_place_that_comes_free_goes_to_the_highest_tier() {
    let mut owner = dispatcher(1, 1);
    granted_to(ask(&mut owner, AT, plain_ask(1, 0)));
    assert_eq!(ask(&mut owner, AT, plain_ask(2, 2)), None);
    assert_eq!(ask(&mut owner, AT, plain_ask(3, 1)), None);
    let later = AT + Duration::from_millis(100);
    let effects = owner.reduce(later, ended(1, RunOutcome::Completed));
    assert_eq!(effects.len(), 1);
    assert_eq!(effects[0].run, 3);
}

#[test]
fn a_draining_upstream_gets_nothing_and_a_gone_one_is_forgotten() {
    let mut owner = dispatcher(2, 4);
    let mut entries = vec![upstream(0, 4), upstream(1, 4)];
    entries[0].phase = UpstreamPhase::Draining;
    owner.reduce(AT, Event::UpstreamsChanged(entries));
    for run in 1..=4 {
        assert_eq!(
            granted_to(ask(&mut owner, AT, plain_ask(run, 0))),
            "engine-1"
        );
    }
    owner.reduce(AT, Event::UpstreamsChanged(Vec::new()));
    let refused = (5..8).map(|run| ask(&mut owner, AT, plain_ask(run, 0)));
    assert!(
        refused
            .flatten()
            .all(|decision| matches!(decision, SlotDecision::Refused(_)))
    );
}

#[test]
fn a_failing_upstream_rests_and_is_tried_again_with_one_request() {
    let mut owner = dispatcher(2, 4);
    let mut at = AT;
    let mut run = 0;
    let mut last_of_failing = AT;
    for _ in 0..40 {
        run += 1;
        at += Duration::from_millis(20);
        if granted_to(ask(&mut owner, at, plain_ask(run, 0))) == "engine-0" {
            last_of_failing = at;
            owner.reduce(at, ended(run, RunOutcome::Failed));
        } else {
            owner.reduce(at, ended(run, RunOutcome::Completed));
        }
    }
    assert!(at - last_of_failing > Duration::from_millis(300));
}

#[test]
fn the_last_upstream_is_used_although_its_answers_fail() {
    let mut owner = dispatcher(1, 4);
    for run in 1..=12 {
        let at = AT + Duration::from_millis(run * 20);
        assert_eq!(
            granted_to(ask(&mut owner, at, plain_ask(run, 0))),
            "engine-0"
        );
        owner.reduce(at, ended(run, RunOutcome::Failed));
    }
    let at = AT + Duration::from_millis(300);
    granted_to(ask(&mut owner, at, plain_ask(13, 0)));
    owner.reduce(at, ended(13, RunOutcome::Unreachable));
    assert_eq!(ask(&mut owner, at, plain_ask(14, 0)), None);
}

#[test]
fn few_upstreams_rest_when_most_of_them_fail_part_of_their_answers() {
    let mut owner = dispatcher(5, 4);
    let mut granted = Vec::new();
    for run in 1..=20 {
        granted.push((run, granted_to(ask(&mut owner, AT, plain_ask(run, 0)))));
    }
    for (run, upstream) in granted {
        let outcome = match upstream.as_str() {
            "engine-0" => RunOutcome::Completed,
            _ => RunOutcome::Failed,
        };
        owner.reduce(AT, ended(run, outcome));
    }
    let places = (101..=120)
        .map(|run| ask(&mut owner, AT, plain_ask(run, 0)))
        .filter(|decision| matches!(decision, Some(SlotDecision::Granted(_))));
    // That all but one rest would lose most of the capacity, and the one would be full.
    assert_eq!(places.count(), 16);
}

#[test]
fn an_upstream_with_requests_of_others_waiting_gets_fewer() {
    let mut owner = dispatcher(2, 2);
    let load = UpstreamLoad {
        service: SERVICE.into(),
        upstream: "engine-0".into(),
        running: 2,
        waiting: 1,
    };
    owner.reduce(AT, Event::LoadObserved(load));
    for run in 1..=2 {
        assert_eq!(
            granted_to(ask(&mut owner, AT, plain_ask(run, 0))),
            "engine-1"
        );
    }
    assert_eq!(ask(&mut owner, AT, plain_ask(3, 0)), None);
}

#[test]
fn a_node_without_a_majority_keeps_to_its_part_of_the_places() {
    let mut owner = dispatcher(4, 4);
    owner.reduce(
        AT,
        Event::VisibilityChanged(Visibility {
            visible: 1,
            known: 8,
        }),
    );
    for run in 1..=2 {
        granted_to(ask(&mut owner, AT, plain_ask(run, 0)));
    }
    assert_eq!(ask(&mut owner, AT, plain_ask(3, 0)), None);
    owner.reduce(
        AT,
        Event::VisibilityChanged(Visibility {
            visible: 8,
            known: 8,
        }),
    );
    let effects = owner.reduce(AT, Event::Ticked);
    assert_eq!(effects.len(), 1);
}

#[test]
fn runs_that_another_owner_granted_take_places() {
    let mut owner = dispatcher(1, 1);
    owner.reduce(
        AT,
        Event::RunAdopted(ActiveRun {
            request: plain_ask(9, 0),
            upstream: "engine-0".into(),
            running_for: Duration::from_millis(100),
        }),
    );
    assert_eq!(ask(&mut owner, AT, plain_ask(1, 0)), None);
    let effects = owner.reduce(AT, ended(9, RunOutcome::Completed));
    assert_eq!(effects.len(), 1);
}

#[test]
fn a_withdrawn_request_gets_no_place() {
    let mut owner = dispatcher(1, 1);
    granted_to(ask(&mut owner, AT, plain_ask(1, 0)));
    assert_eq!(ask(&mut owner, AT, plain_ask(2, 0)), None);
    owner.reduce(AT, Event::RequestWithdrawn(SERVICE.into(), 2));
    assert!(owner.reduce(AT, ended(1, RunOutcome::Completed)).is_empty());
}

#[test]
fn retries_stop_when_their_budget_is_spent() {
    let mut owner = dispatcher(50, 4);
    let mut refused = 0;
    for run in 1..=100 {
        let retry = SlotRequest {
            attempt: 1,
            ..plain_ask(run, 0)
        };
        if let Some(SlotDecision::Refused(refusal)) = ask(&mut owner, AT, retry) {
            assert_eq!(refusal.reason, RefusalReason::RetryBudgetSpent);
            refused += 1;
        }
    }
    // Of a slack of 50 an owner gives out seven tenths.
    assert_eq!(refused, 65);
}

#[test]
fn a_request_that_broke_three_upstreams_is_refused_until_it_is_answered() {
    let mut owner = dispatcher(4, 4);
    for run in 1..=3 {
        let poison = SlotRequest {
            fingerprint: 77,
            ..plain_ask(run, 0)
        };
        granted_to(ask(&mut owner, AT, poison));
        owner.reduce(AT, ended(run, RunOutcome::Broken));
    }
    let again = SlotRequest {
        fingerprint: 77,
        ..plain_ask(4, 0)
    };
    let decision = ask(&mut owner, AT, again);
    assert_eq!(refusal(decision).reason, RefusalReason::CrashSuspect);
    granted_to(ask(&mut owner, AT, plain_ask(5, 0)));
}

#[test]
fn a_request_that_comes_back_counts_from_its_first_try() {
    let mut owner = dispatcher(1, 1);
    granted_to(ask(&mut owner, AT, plain_ask(1, 0)));
    // Its caller gives up before the place is free, so that it is refused at once.
    let hasty = SlotRequest {
        objective_left: Duration::ZERO,
        time_left: Duration::from_millis(50),
        ..plain_ask(2, 0)
    };
    ask(&mut owner, AT, hasty);
    owner.reduce(AT + Duration::from_millis(40), Event::Ticked);
    let later = AT + Duration::from_millis(45);
    let returned = SlotRequest {
        fingerprint: 2,
        objective_left: Duration::from_millis(30),
        ..plain_ask(3, 0)
    };
    assert_eq!(ask(&mut owner, later, returned), None);
    // One that can still be in time goes before the one that is late by its first try.
    assert_eq!(ask(&mut owner, later, plain_ask(4, 0)), None);
    let effects = owner.reduce(later, ended(1, RunOutcome::Completed));
    let served: Vec<RunId> = effects.iter().map(|effect| effect.run).collect();
    assert_eq!(served, [4]);
}

#[test]
fn callers_of_unlike_patience_are_all_taken_for_first_tries() {
    let mut owner = dispatcher(6, 1);
    for run in 11..=16 {
        granted_to(ask(&mut owner, AT, plain_ask(run, 0)));
    }
    let patient = plain_ask(2, 0);
    let hasty = SlotRequest {
        time_left: Duration::from_millis(8_500),
        objective_left: Duration::from_millis(590),
        ..plain_ask(3, 0)
    };
    assert_eq!(ask(&mut owner, AT, patient), None);
    assert_eq!(ask(&mut owner, AT, hasty), None);
    let effects = owner.reduce(AT, ended(11, RunOutcome::Completed));
    // The one whose objective ends first goes first, whatever time its caller has.
    assert_eq!(
        effects.iter().map(|effect| effect.run).collect::<Vec<_>>(),
        [3]
    );
}

#[test]
fn an_upstream_that_starts_again_is_one_that_nothing_is_known_of() {
    let mut owner = dispatcher(1, 1);
    for run in 1..=4 {
        let at = AT + Duration::from_millis(run);
        granted_to(ask(&mut owner, at, plain_ask(run, 0)));
        owner.reduce(at, ended(run, RunOutcome::Failed));
    }
    let before = granted_to(ask(&mut owner, AT, plain_ask(5, 0)));
    assert_eq!(before, "engine-0");
    // The start after it has an id of its own; neither the run that is under way nor a rest is its own.
    let again = Upstream {
        id: "engine-0@2".into(),
        ..upstream(0, 1)
    };
    let at = AT + Duration::from_millis(10);
    owner.reduce(at, Event::UpstreamsChanged(vec![again]));
    let after = granted_to(ask(&mut owner, at, plain_ask(6, 0)));
    assert_eq!(after, "engine-0@2");
    // The end of the former run frees no place of the new start.
    owner.reduce(at, ended(5, RunOutcome::Completed));
    assert_eq!(ask(&mut owner, at, plain_ask(7, 0)), None);
}

#[test]
fn services_that_only_the_registry_names_leave_nothing_behind() {
    let mut owner = dispatcher(1, 1);
    for number in 0..100 {
        let stranger = Upstream {
            service: format!("service-{number}").into(),
            ..upstream(1, 4)
        };
        owner.reduce(AT, Event::UpstreamsChanged(vec![upstream(0, 1), stranger]));
    }
    assert!(owner.service_count() <= 2);
}
