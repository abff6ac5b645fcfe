//! Single decisions of an owner: placement, queue, refusal, quotas, retries and crash suspects.

mod support;

use {
    dragonflystep_dispatch::{
        Account, AccountQuota, Ask, Catalogue, Dispatcher, Ended, Event, QuotaUnit, Reach, Refusal,
        RefusalReason, RunId, RunOutcome, RunningRun, UpstreamLoad, UpstreamPhase, Verdict,
    },
    std::{sync::Arc, time::Duration},
    support::{SERVICE, catalogue, dispatcher, plain_ask, upstream},
};

const AT: Duration = Duration::from_secs(20);

fn ask(dispatcher: &mut Dispatcher, at: Duration, ask: Ask) -> Option<Verdict> {
    let run = ask.run;
    let effects = dispatcher.reduce(at, Event::Asked(ask));
    let own = effects.into_iter().find(|effect| effect.run == run);
    own.map(|effect| effect.verdict)
}

fn granted_to(verdict: Option<Verdict>) -> String {
    match verdict {
        Some(Verdict::Granted(grant)) => grant.upstream.to_string(),
        other => panic!("no place: {other:?}"),
    }
}

fn refusal(verdict: Option<Verdict>) -> Refusal {
    match verdict {
        Some(Verdict::Refused(refusal)) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn ended(run: RunId, outcome: RunOutcome) -> Event {
    Event::Ended(Ended {
        run,
        service: SERVICE.into(),
        outcome,
        to_first_event: Some(Duration::from_millis(60)),
        to_end: Duration::from_millis(500),
        events: 30,
    })
}

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
            .all(|verdict| matches!(verdict, Verdict::Refused(_)))
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
        .filter(|verdict| matches!(verdict, Some(Verdict::Granted(_))));
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
        Event::ReachChanged(Reach {
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
        Event::ReachChanged(Reach {
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
        Event::Adopted(RunningRun {
            ask: plain_ask(9, 0),
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
    owner.reduce(AT, Event::Withdrawn(SERVICE.into(), 2));
    assert!(owner.reduce(AT, ended(1, RunOutcome::Completed)).is_empty());
}

#[test]
fn retries_stop_when_their_budget_is_spent() {
    let mut owner = dispatcher(50, 4);
    let mut refused = 0;
    for run in 1..=100 {
        let retry = Ask {
            attempt: 1,
            ..plain_ask(run, 0)
        };
        if let Some(Verdict::Refused(refusal)) = ask(&mut owner, AT, retry) {
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
        let poison = Ask {
            fingerprint: 77,
            ..plain_ask(run, 0)
        };
        granted_to(ask(&mut owner, AT, poison));
        owner.reduce(AT, ended(run, RunOutcome::Broken));
    }
    let again = Ask {
        fingerprint: 77,
        ..plain_ask(4, 0)
    };
    let verdict = ask(&mut owner, AT, again);
    assert_eq!(refusal(verdict).reason, RefusalReason::CrashSuspect);
    granted_to(ask(&mut owner, AT, plain_ask(5, 0)));
}

fn with_quota(units_per_s: f64, burst_units: f64) -> Dispatcher {
    let mut owner = dispatcher(60, 5);
    let account = Account {
        name: "mill".into(),
        keys: vec!["key".to_owned()],
        tier: None,
        quota: Some(AccountQuota {
            unit: QuotaUnit::Tokens {
                plain_request_tokens: 200,
            },
            units_per_s,
            burst_units,
        }),
    };
    let catalogue = Catalogue {
        accounts: vec![account],
        ..catalogue(5)
    };
    owner.reduce(Duration::ZERO, Event::CatalogueChanged(Arc::new(catalogue)));
    owner
}

/// Units that an account gets which asks for `units` every 10 ms for `length`.
fn units_granted(owner: &mut Dispatcher, from: Duration, length: Duration, units: u32) -> f64 {
    let mut granted = 0.0;
    let mut at = from;
    let mut run = from.as_millis() as RunId * 1_000;
    while at < from + length {
        run += 1;
        let asked = Ask {
            account: Some("mill".into()),
            quota_units: units,
            ..plain_ask(run, 0)
        };
        match ask(owner, at, asked) {
            Some(Verdict::Granted(_)) => {
                granted += f64::from(units);
                owner.reduce(at, ended(run, RunOutcome::Completed));
            }
            Some(Verdict::Refused(refusal)) => {
                assert_eq!(refusal.reason, RefusalReason::QuotaExceeded);
                assert!(refusal.retry_after > Duration::ZERO);
            }
            None => panic!("no place for a quota test"),
        }
        at += Duration::from_millis(10);
    }
    granted
}

/// What the operator tolerates in a window of 8 s.
fn tolerated(units_per_s: f64, burst_units: f64) -> f64 {
    (units_per_s * 8.0 + burst_units) * 1.1 + 190_000.0
}

#[test]
fn an_account_that_asks_for_six_times_its_quota_stays_within_the_tolerance() {
    let (rate, burst) = (100_000.0, 100_000.0);
    let mut owner = with_quota(rate, burst);
    let granted = units_granted(&mut owner, AT, Duration::from_secs(8), 6_000);
    assert!(granted <= tolerated(rate, burst), "{granted}");
    assert!(granted >= rate * 8.0, "{granted}");
}

#[test]
fn two_changes_of_owner_within_a_window_stay_within_the_tolerance() {
    let (rate, burst) = (145_900.0, 145_900.0);
    let mut granted = 0.0;
    for (from_ms, length_ms) in [(20_000, 4_500), (24_500, 500), (25_000, 3_000)] {
        // Each owner knows nothing of what the one before gave out.
        let mut owner = with_quota(rate, burst);
        let from = Duration::from_millis(from_ms);
        granted += units_granted(&mut owner, from, Duration::from_millis(length_ms), 6_000);
    }
    assert!(
        granted <= tolerated(rate, burst),
        "{granted} of {}",
        tolerated(rate, burst)
    );
}

#[test]
fn an_owner_that_is_killed_and_back_beside_the_owner_of_another_service_stays_within_the_tolerance()
{
    let (rate, burst) = (145_900.0, 145_900.0);
    // The plain service has an owner of its own, which counts for itself.
    let mut granted = 200.0 * 30.0 * 8.0;
    // From the full bucket of the first owner, to the second one, and back to the first one, started anew.
    for (from_ms, length_ms) in [(20_000, 5_270), (25_270, 500), (25_770, 2_230)] {
        let mut owner = with_quota(rate, burst);
        let from = Duration::from_millis(from_ms);
        if from_ms == 20_000 {
            // Little use before, so that the bucket is full.
            units_granted(
                &mut owner,
                Duration::from_secs(1),
                Duration::from_millis(10),
                1,
            );
        }
        let length = Duration::from_millis(length_ms);
        granted += units_granted(&mut owner, from, length, 6_000);
    }
    let most = tolerated(rate, burst);
    assert!(granted <= most, "{granted} of {most}");
}

#[test]
fn requests_larger_than_the_burst_stay_within_the_tolerance_over_a_change_of_owner() {
    let (rate, burst) = (20_000.0, 20_000.0);
    let mut granted = 0.0;
    for (from_ms, length_ms) in [(20_000, 5_000), (25_000, 3_000)] {
        let mut owner = with_quota(rate, burst);
        if from_ms == 20_000 {
            let long_before = Duration::from_secs(1);
            units_granted(&mut owner, long_before, Duration::from_millis(10), 1);
        }
        let (from, length) = (
            Duration::from_millis(from_ms),
            Duration::from_millis(length_ms),
        );
        granted += units_granted(&mut owner, from, length, 60_000);
    }
    let most = tolerated(rate, burst);
    assert!(granted <= most, "{granted} of {most}");
    assert!(granted >= rate * 8.0, "{granted}");
}

#[test]
fn a_small_account_may_use_the_tolerance_for_most_of_a_window() {
    let (rate, burst) = (20_000.0, 20_000.0);
    let mut owner = with_quota(rate, burst);
    let granted = units_granted(&mut owner, AT, Duration::from_secs(8), 380);
    assert!(granted >= tolerated(rate, burst) * 0.75, "{granted}");
    assert!(granted <= tolerated(rate, burst), "{granted}");
}

#[test]
fn an_account_within_its_quota_is_never_refused() {
    let mut owner = with_quota(100_000.0, 100_000.0);
    let granted = units_granted(&mut owner, AT, Duration::from_secs(8), 950);
    assert_eq!(granted, 950.0 * 800.0);
}

#[test]
fn a_request_that_comes_back_counts_from_its_first_try() {
    let mut owner = dispatcher(1, 1);
    granted_to(ask(&mut owner, AT, plain_ask(1, 0)));
    // Its caller gives up before the place is free, so that it is refused at once.
    let hasty = Ask {
        objective_left: Duration::ZERO,
        time_left: Duration::from_millis(50),
        ..plain_ask(2, 0)
    };
    ask(&mut owner, AT, hasty);
    owner.reduce(AT + Duration::from_millis(40), Event::Ticked);
    let later = AT + Duration::from_millis(45);
    let returned = Ask {
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
    let hasty = Ask {
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
