//! Quotas of accounts at an owner, over changes of owners, and for requests of all sizes.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, RefusalReason, RunId, RunOutcome, SlotDecision, SlotRequest, UsageLedger,
    },
    std::{sync::Arc, time::Duration},
    support::{
        accounts::catalogue_with_quota,
        dispatcher, plain_ask,
        verdicts::{AT, ask, ended},
    },
};

fn with_quota(units_per_s: f64, burst_units: f64) -> Dispatcher {
    let mut owner = dispatcher(60, 5);
    let catalogue = catalogue_with_quota(units_per_s, burst_units);
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
        let asked = SlotRequest {
            account: Some("mill".into()),
            quota_units: units,
            ..plain_ask(run, 0)
        };
        match ask(owner, at, asked) {
            Some(SlotDecision::Granted(_)) => {
                granted += f64::from(units);
                owner.reduce(at, ended(run, RunOutcome::Completed));
            }
            Some(SlotDecision::Refused(refusal)) => {
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

/// Length of the window in which quotas are judged.
const WINDOW: Duration = Duration::from_secs(8);

/// Tells an owner of all that went through an entry which has been running for long.
fn tell(owner: &mut Dispatcher, at: Duration, ledger: &mut UsageLedger) {
    let report = ledger.report(at, "entry".into(), "another owner");
    owner.reduce(at, Event::UsageReported(report));
}

#[test]
fn an_account_within_its_quota_is_never_refused() {
    let mut owner = with_quota(100_000.0, 100_000.0);
    tell(&mut owner, AT, &mut UsageLedger::new(WINDOW, false));
    let granted = units_granted(&mut owner, AT, Duration::from_secs(8), 950);
    assert_eq!(granted, 950.0 * 800.0);
}

#[test]
fn eight_owners_in_a_row_that_were_told_nothing_stay_within_the_quota() {
    let (rate, burst) = (370_000.0, 370_000.0);
    let mut granted = 0.0;
    for index in 0..8 {
        let mut owner = with_quota(rate, burst);
        let from = AT + Duration::from_secs(index);
        granted += units_granted(&mut owner, from, Duration::from_secs(1), 22_000);
    }
    let most = (rate * 8.0 + burst) * 1.1 + 140_000.0;
    assert!(granted <= most, "{granted} of {most}");
}

#[test]
fn four_owners_in_a_row_that_were_told_nothing_keep_within_a_small_quota() {
    for (rate, slack) in [(4_000.0, 190_000.0), (36_000.0, 190_000.0)] {
        let mut granted = 0.0;
        for index in 0..4 {
            let mut owner = with_quota(rate, rate);
            let from = AT + Duration::from_secs(2 * index);
            granted += units_granted(&mut owner, from, Duration::from_secs(2), 500);
        }
        let most = rate * 9.0 * 1.1 + slack;
        assert!(granted <= most, "{granted} of {most}");
    }
}

#[test]
fn a_new_owner_gives_what_the_one_before_left() {
    for (spent_before, asked, is_granted) in [
        (0.0, 90_000, true),
        (50_000.0, 40_000, true),
        (100_000.0, 20_000, false),
        (400_000.0, 2_000, false),
    ] {
        let mut owner = with_quota(100_000.0, 100_000.0);
        let mut ledger = UsageLedger::new(WINDOW, false);
        ledger.record(AT, &"mill".into(), &"another owner".into(), spent_before);
        tell(&mut owner, AT, &mut ledger);
        let asked = SlotRequest {
            account: Some("mill".into()),
            quota_units: asked,
            ..plain_ask(1, 0)
        };
        let decision = ask(&mut owner, AT, asked);
        assert_eq!(
            matches!(decision, Some(SlotDecision::Granted(_))),
            is_granted,
            "{spent_before}: {decision:?}"
        );
    }
}
