//! Where runs go on whose upstream broke off, and what an owner learns of upstreams from them.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, RefusalReason, RolloutOrder, RolloutPhase, RunId, RunOutcome, RunReport,
        SlotDecision, SlotRequest, Upstream, UpstreamPhase,
    },
    std::time::Duration,
    support::{
        SERVICE,
        copies::{COPY_ALL, continued, copied_to, copying_owner, ended, grant_for, owner_of},
        plain_request,
        slot_requests::{START, refusal, request_slot},
        upstream,
    },
};

const SLOTS: u32 = 2;

/// Begins runs at the only upstream until its slots are taken.
fn full_upstream() -> Dispatcher {
    let mut owner = copying_owner(1, SLOTS);
    for run in 0..u64::from(SLOTS) {
        grant_for(&mut owner, START, plain_request(run, 0));
    }
    owner
}

fn assert_refused(owner: &mut Dispatcher, request: SlotRequest) {
    let decision = request_slot(owner, START, request);
    assert_eq!(refusal(decision).reason, RefusalReason::NoUpstream);
}

#[test]
fn a_run_goes_on_at_once_at_a_full_upstream_and_is_not_copied_again() {
    let mut owner = copying_owner(2, SLOTS);
    for run in 0..2 * u64::from(SLOTS) {
        let grant = grant_for(&mut owner, START, plain_request(run, 0));
        assert!(copied_to(&grant).is_some());
    }
    assert_eq!(request_slot(&mut owner, START, plain_request(9, 0)), None);
    let grant = grant_for(&mut owner, START, continued(10, "engine-1"));
    assert_eq!(&*grant.upstream, "engine-1");
    assert_eq!(grant.copy, None);
}

#[test]
fn no_run_goes_on_beyond_twice_the_slots_of_an_upstream() {
    let mut owner = full_upstream();
    for run in 10..10 + u64::from(SLOTS) {
        grant_for(&mut owner, START, continued(run, "engine-0"));
    }
    assert_refused(&mut owner, continued(20, "engine-0"));
    owner.reduce(START, ended(10, RunOutcome::Completed));
    grant_for(&mut owner, START, continued(21, "engine-0"));
}

#[test]
fn no_run_goes_on_at_an_upstream_that_left_or_drains_or_may_not_run_the_request() {
    let mut owner = full_upstream();
    assert_refused(&mut owner, continued(10, "engine-9"));
    let elsewhere = SlotRequest {
        allowed_data_centres: Some(vec!["b".into()]),
        ..continued(11, "engine-0")
    };
    assert_refused(&mut owner, elsewhere);
    let draining = Upstream {
        phase: UpstreamPhase::Draining,
        ..upstream(0, SLOTS)
    };
    owner.reduce(START, Event::UpstreamsChanged(vec![draining]));
    assert_refused(&mut owner, continued(12, "engine-0"));
    owner.reduce(START, Event::UpstreamsChanged(Vec::new()));
    assert_refused(&mut owner, continued(13, "engine-0"));
}

#[test]
fn no_run_goes_on_in_an_evacuated_data_centre() {
    let mut owner = full_upstream();
    let evacuated = ["a".into()].into_iter().collect();
    owner.reduce(START, Event::EvacuationsChanged(evacuated));
    assert_refused(&mut owner, continued(10, "engine-0"));
}

#[test]
fn no_run_goes_on_at_a_version_that_was_replaced() {
    let versions = ["v1", "v2"].into_iter().enumerate();
    let upstreams = versions.map(|(index, version)| Upstream {
        version: version.into(),
        ..upstream(index, SLOTS)
    });
    let mut owner = owner_of(upstreams.collect(), SLOTS, COPY_ALL);
    let order = RolloutOrder {
        service: SERVICE.into(),
        target_version: "v2".into(),
        number: 1,
        ends_at: START + Duration::from_secs(60),
    };
    owner.reduce(START, Event::RolloutOrdered(order));
    grant_for(&mut owner, START, continued(1, "engine-0"));
    let completed = Event::RolloutSettled(SERVICE.into(), 1, RolloutPhase::Completed);
    owner.reduce(START, completed);
    assert_refused(&mut owner, continued(2, "engine-0"));
    grant_for(&mut owner, START, continued(3, "engine-1"));
}

/// A run that went on and brought its first event after 5 ms, since its prompt was not read again.
fn continued_run_ended(run: RunId) -> Event {
    Event::RunEnded(RunReport {
        run,
        service: SERVICE.into(),
        outcome: RunOutcome::Completed,
        to_first_event: Some(Duration::from_millis(5)),
        to_end: Duration::from_millis(15),
        events: 2,
    })
}

#[test]
fn an_upstream_does_not_count_as_fast_because_of_runs_that_went_on_there() {
    let mut owner = copying_owner(2, SLOTS);
    let before = grant_for(&mut owner, START, plain_request(1, 0)).upstream;
    assert_eq!(
        &*before, "engine-0",
        "equal upstreams are taken in their order"
    );
    owner.reduce(START, ended(1, RunOutcome::Cancelled));
    for run in 10..40 {
        grant_for(&mut owner, START, continued(run, "engine-1"));
        owner.reduce(START, continued_run_ended(run));
    }
    let after = grant_for(&mut owner, START, plain_request(2, 0)).upstream;
    assert_eq!(before, after);
}

#[test]
fn a_run_that_goes_on_does_not_count_as_a_prompt_to_be_read() {
    let mut owner = copying_owner(2, 8);
    for run in 0..2 {
        grant_for(&mut owner, START, continued(run, "engine-0"));
    }
    // A prompt at the other upstream would be read before this one if those of the continued runs had to be read.
    grant_for(
        &mut owner,
        START,
        SlotRequest {
            excluded_upstreams: vec!["engine-0".into()],
            ..plain_request(10, 0)
        },
    );
    let grant = grant_for(&mut owner, START, plain_request(11, 0));
    assert_eq!(&*grant.upstream, "engine-0");
}

#[test]
fn the_retry_budget_holds_for_runs_that_go_on() {
    let mut limits = support::limits();
    limits.copies = COPY_ALL;
    limits.retry_slack = 1.0;
    limits.retry_ratio = 0.0;
    let mut owner = copying_owner(1, 8);
    owner.reduce(START, Event::LimitsChanged(limits));
    let decisions = (0..8).map(|run| request_slot(&mut owner, START, continued(run, "engine-0")));
    let refused = decisions.filter_map(|decision| match decision {
        Some(SlotDecision::Refused(refusal)) => Some(refusal.reason),
        _ => None,
    });
    let refused: Vec<_> = refused.collect();
    assert!(!refused.is_empty());
    assert!(
        refused
            .iter()
            .all(|it| *it == RefusalReason::RetryBudgetSpent)
    );
}
