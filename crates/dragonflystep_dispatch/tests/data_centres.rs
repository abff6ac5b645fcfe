//! Which data centres' upstreams get a request: none of an evacuated data centre, and only those of the regions in which
//! the request may be processed.

mod support;

use {
    dragonflystep_dispatch::{
        DataCentreName, Dispatcher, Event, RefusalReason, SlotDecision, SlotRequest, Upstream,
    },
    std::time::Duration,
    support::{
        dispatcher, plain_request,
        slot_requests::{START, granted_upstream, refusal, request_slot},
        upstream,
    },
};

const SLOTS: u32 = 2;

fn upstream_in(index: usize, data_centre: &str) -> Upstream {
    Upstream {
        data_centre: data_centre.into(),
        ..upstream(index, SLOTS)
    }
}

/// An owner of one upstream in each of the data centres `a` and `b`.
fn owner() -> Dispatcher {
    let mut owner = dispatcher(0, SLOTS);
    let upstreams = vec![upstream_in(0, "a"), upstream_in(1, "b")];
    owner.reduce(Duration::ZERO, Event::UpstreamsChanged(upstreams));
    owner
}

fn evacuated(data_centres: &[&str]) -> Event {
    let names = data_centres.iter().map(|name| DataCentreName::from(*name));
    Event::EvacuationsChanged(names.collect())
}

fn restricted(run: u64, data_centres: &[&str]) -> SlotRequest {
    let names = data_centres.iter().map(|name| DataCentreName::from(*name));
    SlotRequest {
        allowed_data_centres: Some(names.collect()),
        ..plain_request(run, 0)
    }
}

#[test]
fn an_evacuated_data_centre_gets_no_requests_until_the_evacuation_is_taken_back() {
    let mut owner = owner();
    owner.reduce(START, evacuated(&["a"]));
    for run in 1..=u64::from(SLOTS) {
        let decision = request_slot(&mut owner, START, plain_request(run, 0));
        assert_eq!(granted_upstream(decision), "engine-1");
    }
    assert_eq!(request_slot(&mut owner, START, plain_request(9, 0)), None);
    let effects = owner.reduce(START, evacuated(&[]));
    assert!(matches!(
        &effects[0].decision,
        SlotDecision::Granted(grant) if &*grant.upstream == "engine-0"
    ));
}

#[test]
fn an_upstream_that_is_listed_after_the_evacuation_gets_no_requests_either() {
    let mut owner = dispatcher(0, SLOTS);
    owner.reduce(START, evacuated(&["a"]));
    let upstreams = vec![upstream_in(0, "a"), upstream_in(1, "b")];
    owner.reduce(START, Event::UpstreamsChanged(upstreams));
    let decision = request_slot(&mut owner, START, plain_request(1, 0));
    assert_eq!(granted_upstream(decision), "engine-1");
}

#[test]
fn requests_are_refused_at_once_if_evacuations_leave_no_upstream() {
    let mut owner = owner();
    for run in 1..=2 * u64::from(SLOTS) {
        granted_upstream(request_slot(&mut owner, START, plain_request(run, 0)));
    }
    assert_eq!(request_slot(&mut owner, START, plain_request(8, 0)), None);
    let effects = owner.reduce(START, evacuated(&["a", "b"]));
    assert_eq!(effects.len(), 1, "the waiting request is refused");
    let decision = request_slot(&mut owner, START, plain_request(9, 0));
    for decision in [Some(effects[0].decision.clone()), decision] {
        assert_eq!(refusal(decision).reason, RefusalReason::NoUpstream);
    }
}

#[test]
fn a_restricted_request_gets_only_upstreams_of_its_regions() {
    let mut owner = owner();
    for run in 1..=u64::from(SLOTS) {
        let decision = request_slot(&mut owner, START, restricted(run, &["b"]));
        assert_eq!(granted_upstream(decision), "engine-1");
    }
    let waiting = request_slot(&mut owner, START, restricted(8, &["b"]));
    assert_eq!(waiting, None, "engine-0 has free slots that it may not use");
    let decision = request_slot(&mut owner, START, plain_request(9, 1));
    assert_eq!(granted_upstream(decision), "engine-0");
}

#[test]
fn a_restricted_request_is_refused_at_once_if_no_upstream_is_in_its_regions() {
    let mut owner = owner();
    for data_centres in [&["c"][..], &[]] {
        let decision = request_slot(&mut owner, START, restricted(1, data_centres));
        assert_eq!(refusal(decision).reason, RefusalReason::NoUpstream);
    }
    owner.reduce(START, evacuated(&["b"]));
    let decision = request_slot(&mut owner, START, restricted(2, &["b"]));
    assert_eq!(refusal(decision).reason, RefusalReason::NoUpstream);
}
