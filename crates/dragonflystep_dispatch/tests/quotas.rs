//! Quotas of accounts at an owner, across changes of owner, and for requests of different sizes.
//!
//! Guards against an account that gets more than the tolerated units in a window, which can happen when an owner
//! does not know what its predecessors granted, and against refusals of an account that keeps within its quota.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, RefusalReason, RunId, RunOutcome, SlotDecision, SlotRequest, UsageLedger,
    },
    std::{sync::Arc, time::Duration},
    support::{
        accounts::catalogue_with_quota,
        dispatcher, limits, plain_request,
        slot_requests::{START, request_slot, run_ended},
    },
};

fn owner_with_quota(units_per_s: f64, burst_units: f64) -> Dispatcher {
    let mut owner = dispatcher(60, 5);
    let catalogue = catalogue_with_quota(units_per_s, burst_units);
    owner.reduce(Duration::ZERO, Event::CatalogueChanged(Arc::new(catalogue)));
    owner
}

/// Returns the units granted to an account that requests `units` every 10 ms for `length`.
fn units_granted(owner: &mut Dispatcher, from: Duration, length: Duration, units: u32) -> f64 {
    let mut granted = 0.0;
    let mut at = from;
    let mut run = from.as_millis() as RunId * 1_000;
    while at < from + length {
        run += 1;
        let request = SlotRequest {
            account: Some("mill".into()),
            quota_units: units,
            ..plain_request(run, 0)
        };
        match request_slot(owner, at, request) {
            Some(SlotDecision::Granted(_)) => {
                granted += f64::from(units);
                owner.reduce(at, run_ended(run, RunOutcome::Completed));
            }
            Some(SlotDecision::Refused(refusal)) => {
                assert_eq!(refusal.reason, RefusalReason::QuotaExceeded);
                assert!(refusal.retry_after > Duration::ZERO);
            }
            None => panic!(
                "the request waits for a slot, although the test has more slots than requests"
            ),
        }
        at += Duration::from_millis(10);
    }
    granted
}

/// Most units that are tolerated in a window of 8 s.
fn tolerated(units_per_s: f64, burst_units: f64) -> f64 {
    (units_per_s * 8.0 + burst_units) * 1.1 + 190_000.0
}

#[test]
fn an_account_that_requests_six_times_its_quota_stays_within_the_tolerance() {
    let (rate, burst) = (100_000.0, 100_000.0);
    let mut owner = owner_with_quota(rate, burst);
    let granted = units_granted(&mut owner, START, Duration::from_secs(8), 6_000);
    assert!(granted <= tolerated(rate, burst), "{granted}");
    assert!(granted >= rate * 8.0, "{granted}");
}

#[test]
fn two_changes_of_owner_within_a_window_stay_within_the_tolerance() {
    let (rate, burst) = (145_900.0, 145_900.0);
    let mut granted = 0.0;
    for (from_ms, length_ms) in [(20_000, 4_500), (24_500, 500), (25_000, 3_000)] {
        // No owner knows what its predecessor granted.
        let mut owner = owner_with_quota(rate, burst);
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
fn a_restarted_owner_beside_the_owner_of_another_service_stays_within_the_tolerance() {
    let (rate, burst) = (145_900.0, 145_900.0);
    // The other service has an owner of its own with a bucket of its own: 30 requests of 200 units per second for 8 s.
    let mut granted = 200.0 * 30.0 * 8.0;
    // The first owner starts with a full bucket; a second one follows, and then the first one again, restarted.
    for (from_ms, length_ms) in [(20_000, 5_270), (25_270, 500), (25_770, 2_230)] {
        let mut owner = owner_with_quota(rate, burst);
        let from = Duration::from_millis(from_ms);
        if from_ms == 20_000 {
            // A small use at 1 s creates the bucket, so that it is full again at 20 s.
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
    let max_units = tolerated(rate, burst);
    assert!(granted <= max_units, "{granted} of {max_units}");
}

#[test]
fn requests_larger_than_the_burst_stay_within_the_tolerance_across_a_change_of_owner() {
    let (rate, burst) = (20_000.0, 20_000.0);
    let mut granted = 0.0;
    for (from_ms, length_ms) in [(20_000, 5_000), (25_000, 3_000)] {
        let mut owner = owner_with_quota(rate, burst);
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
    let max_units = tolerated(rate, burst);
    assert!(granted <= max_units, "{granted} of {max_units}");
    assert!(granted >= rate * 8.0, "{granted}");
}

#[test]
fn a_small_account_may_use_the_tolerance_for_most_of_a_window() {
    let (rate, burst) = (20_000.0, 20_000.0);
    let mut owner = owner_with_quota(rate, burst);
    let granted = units_granted(&mut owner, START, Duration::from_secs(8), 380);
    assert!(granted >= tolerated(rate, burst) * 0.75, "{granted}");
    assert!(granted <= tolerated(rate, burst), "{granted}");
}

/// Length of the window for which quotas are checked.
const WINDOW: Duration = Duration::from_secs(8);

/// Reports to an owner the usage recorded by an entry that has been running for longer than the window.
fn report_usage(owner: &mut Dispatcher, at: Duration, ledger: &mut UsageLedger) {
    let report = ledger.report(at, "entry".into(), "another owner");
    owner.reduce(at, Event::UsageReported(report));
}

#[test]
fn an_account_within_its_quota_is_never_refused() {
    let mut owner = owner_with_quota(100_000.0, 100_000.0);
    report_usage(&mut owner, START, &mut UsageLedger::new(WINDOW, false));
    let granted = units_granted(&mut owner, START, Duration::from_secs(8), 950);
    assert_eq!(granted, 950.0 * 800.0);
}

#[test]
fn eight_successive_owners_without_usage_reports_stay_within_the_tolerance() {
    let (rate, burst) = (370_000.0, 370_000.0);
    let mut granted = 0.0;
    for index in 0..8 {
        let mut owner = owner_with_quota(rate, burst);
        let from = START + Duration::from_secs(index);
        granted += units_granted(&mut owner, from, Duration::from_secs(1), 22_000);
    }
    let max_units = (rate * 8.0 + burst) * 1.1 + 140_000.0;
    assert!(granted <= max_units, "{granted} of {max_units}");
}

#[test]
fn four_successive_owners_without_usage_reports_stay_within_the_tolerance_of_a_small_quota() {
    for (rate, slack) in [(4_000.0, 190_000.0), (36_000.0, 190_000.0)] {
        let mut granted = 0.0;
        for index in 0..4 {
            let mut owner = owner_with_quota(rate, rate);
            let from = START + Duration::from_secs(2 * index);
            granted += units_granted(&mut owner, from, Duration::from_secs(2), 500);
        }
        let max_units = rate * 9.0 * 1.1 + slack;
        assert!(granted <= max_units, "{granted} of {max_units}");
    }
}

#[test]
fn a_new_owner_grants_what_its_predecessor_left() {
    for (spent_before, units, is_granted) in [
        (0.0, 90_000, true),
        (50_000.0, 40_000, true),
        (100_000.0, 20_000, false),
        (400_000.0, 2_000, false),
    ] {
        let mut owner = owner_with_quota(100_000.0, 100_000.0);
        let mut ledger = UsageLedger::new(WINDOW, false);
        ledger.record(START, &"mill".into(), &"another owner".into(), spent_before);
        report_usage(&mut owner, START, &mut ledger);
        let request = SlotRequest {
            account: Some("mill".into()),
            quota_units: units,
            ..plain_request(1, 0)
        };
        let decision = request_slot(&mut owner, START, request);
        assert_eq!(
            matches!(decision, Some(SlotDecision::Granted(_))),
            is_granted,
            "{spent_before}: {decision:?}"
        );
    }
}

#[test]
fn a_request_that_is_refused_after_waiting_gives_its_units_back() {
    let mut owner = dispatcher(1, 1);
    let mut limits = limits();
    limits.quota.tolerated_share = 0.0;
    limits.quota.tolerated_units = 0.0;
    owner.reduce(Duration::ZERO, Event::LimitsChanged(limits));
    let catalogue = catalogue_with_quota(1_000.0, 10_000.0);
    owner.reduce(Duration::ZERO, Event::CatalogueChanged(Arc::new(catalogue)));
    let request = |run: u64| SlotRequest {
        time_left: Duration::from_secs(2),
        account: Some("mill".into()),
        quota_units: 4_000,
        ..plain_request(run, 0)
    };
    let mut owner_accepts = |run: u64, at: Duration| {
        let effects = owner.reduce(at, Event::SlotRequested(request(run)));
        let decision = effects.iter().find(|effect| effect.run == run);
        !matches!(
            decision.map(|effect| &effect.decision),
            Some(SlotDecision::Refused(refusal)) if refusal.reason == RefusalReason::QuotaExceeded
        )
    };
    // The account begins with an empty bucket, which is full at `START`.
    assert!(!owner_accepts(100, Duration::ZERO));
    assert!(owner_accepts(1, START), "it runs");
    assert!(
        owner_accepts(2, START),
        "it waits, and uses the rest of the burst"
    );
    assert!(!owner_accepts(3, START), "the quota is used up");
    let expired = START + Duration::from_millis(1_100);
    owner.reduce(expired, Event::Ticked);
    let effects = owner.reduce(expired, Event::SlotRequested(request(4)));
    assert!(
        !effects.iter().any(|effect| matches!(
            &effect.decision,
            SlotDecision::Refused(refusal) if refusal.reason == RefusalReason::QuotaExceeded
        )),
        "the units of the request that waited in vain are available: {effects:?}"
    );
}
