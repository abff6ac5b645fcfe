//! Upstreams that announce in their answers that they leave, before the registry lists them as draining.
//!
//! Guards against requests that are placed at an upstream between its announcement and the change of the registry.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, NoticeKind, RunOutcome, UpstreamId, UpstreamNotice,
    },
    std::time::Duration,
    support::{
        SERVICE, dispatcher, plain_request,
        slot_requests::{START, granted_upstream, request_slot, run_ended},
        upstream,
    },
};

const LEAVING: &str = "engine-0";

fn leaving(age: Duration) -> Event {
    Event::NoticeReceived(UpstreamNotice {
        service: SERVICE.into(),
        upstream: LEAVING.into(),
        kind: NoticeKind::Leaving,
        age,
    })
}

/// Checks that all of the next requests are placed at the other upstream.
fn check_not_placed_at_leaving(owner: &mut Dispatcher, at: Duration, runs: std::ops::Range<u64>) {
    for run in runs {
        assert_eq!(
            granted_upstream(request_slot(owner, at, plain_request(run, 0))),
            "engine-1"
        );
    }
}

#[test]
fn a_leaving_upstream_gets_no_requests_whatever_the_registry_says() {
    let mut owner = dispatcher(2, 4);
    owner.reduce(START, leaving(Duration::ZERO));
    check_not_placed_at_leaving(&mut owner, START, 1..3);
    let ready = vec![upstream(0, 4), upstream(1, 4)];
    owner.reduce(START, Event::UpstreamsChanged(ready.clone()));
    check_not_placed_at_leaving(&mut owner, START, 3..4);
    owner.reduce(START, Event::UpstreamsChanged(vec![upstream(1, 4)]));
    owner.reduce(START, Event::UpstreamsChanged(ready));
    check_not_placed_at_leaving(&mut owner, START, 4..5);
    assert!(owner.is_leaving(&UpstreamId::from(LEAVING)));
}

#[test]
fn a_waiting_request_is_not_placed_at_an_upstream_that_starts_to_leave() {
    let mut owner = dispatcher(1, 1);
    granted_upstream(request_slot(&mut owner, START, plain_request(1, 0)));
    assert_eq!(request_slot(&mut owner, START, plain_request(2, 0)), None);
    owner.reduce(START, leaving(Duration::ZERO));
    let effects = owner.reduce(START, run_ended(1, RunOutcome::Completed));
    assert!(effects.is_empty(), "{effects:?}");
}

#[test]
fn a_new_owner_accepts_leaving_notices_for_upstreams_that_it_does_not_know_yet() {
    let mut first = dispatcher(2, 4);
    first.reduce(START, leaving(Duration::from_millis(300)));
    let mut second = dispatcher(0, 4);
    for notice in first.notices(START) {
        second.reduce(START, Event::NoticeReceived(notice));
    }
    let entries = vec![upstream(0, 4), upstream(1, 4)];
    second.reduce(START, Event::UpstreamsChanged(entries));
    check_not_placed_at_leaving(&mut second, START, 1..4);
}

#[test]
fn a_restarted_upstream_is_used_again() {
    let mut owner = dispatcher(1, 4);
    owner.reduce(START, leaving(Duration::ZERO));
    let mut restarted = upstream(0, 4);
    restarted.id = "engine-0@2".into();
    owner.reduce(START, Event::UpstreamsChanged(vec![restarted]));
    granted_upstream(request_slot(&mut owner, START, plain_request(1, 0)));
}

#[test]
fn a_slot_returned_unused_does_not_count_against_its_upstream() {
    let mut owner = dispatcher(1, 4);
    for run in 1..=12 {
        granted_upstream(request_slot(&mut owner, START, plain_request(run, 0)));
        owner.reduce(START, run_ended(run, RunOutcome::Withheld));
    }
    granted_upstream(request_slot(&mut owner, START, plain_request(13, 0)));
}

#[test]
fn an_older_notice_that_arrives_late_does_not_move_the_time_of_leaving_back() {
    let s = Duration::from_secs;
    let mut owner = dispatcher(2, 4);
    owner.reduce(START, leaving(s(1)));
    owner.reduce(START, leaving(s(5)));
    assert_eq!(owner.notices(START)[0].age, s(1));
}
