//! Upstreams that refuse requests and ask for back-off.
//!
//! Guards against requests that are placed at such an upstream during the back-off, where they would be refused too.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, NodeIncarnation, NoticeKind, RefusalReason, RunOutcome, SlotRequest,
        UpstreamNotice, run_id,
    },
    std::time::Duration,
    support::{
        SERVICE, dispatcher, plain_request,
        slot_requests::{START, granted_upstream, refusal, request_slot, run_ended},
    },
};

const BACK_OFF: Duration = Duration::from_secs(3);

/// Incarnations of three nodes that send requests.
const FIRST: NodeIncarnation = 1;
const SECOND: NodeIncarnation = 2;
const THIRD: NodeIncarnation = 3;

fn back_off_notice(upstream: &str, node: NodeIncarnation, age: Duration) -> Event {
    Event::NoticeReceived(UpstreamNotice {
        service: SERVICE.into(),
        upstream: upstream.into(),
        kind: NoticeKind::BackOff {
            node,
            duration: BACK_OFF,
        },
        age,
    })
}

fn request_of(node: NodeIncarnation, number: u32) -> SlotRequest {
    plain_request(run_id(node, number), 0)
}

/// Requests a slot for a node; the granted upstream refuses the request and asks for back-off. Returns that upstream.
fn refuse(owner: &mut Dispatcher, at: Duration, node: NodeIncarnation, number: u32) -> String {
    let upstream = granted_upstream(request_slot(owner, at, request_of(node, number)));
    owner.reduce(at, back_off_notice(&upstream, node, Duration::ZERO));
    owner.reduce(at, run_ended(run_id(node, number), RunOutcome::Rejected));
    upstream
}

#[test]
fn no_node_uses_an_upstream_that_asked_one_node_to_back_off_while_others_are_available() {
    let mut owner = dispatcher(2, 4);
    owner.reduce(START, back_off_notice("engine-0", FIRST, Duration::ZERO));
    for number in 0..4 {
        let node = FIRST + number % 2;
        let decision = request_slot(&mut owner, START + BACK_OFF / 2, request_of(node, number));
        assert_eq!(granted_upstream(decision), "engine-1");
    }
}

#[test]
fn after_a_back_off_one_request_probes_whether_the_upstream_accepts_again() {
    let mut owner = dispatcher(1, 4);
    refuse(&mut owner, START, FIRST, 1);
    refuse(&mut owner, START, SECOND, 1);
    let later = START + BACK_OFF;
    granted_upstream(request_slot(&mut owner, later, request_of(FIRST, 2)));
    assert_eq!(request_slot(&mut owner, later, request_of(SECOND, 2)), None);
    // The upstream has not refused the first request within 300 ms, so the waiting one follows.
    let effects = owner.reduce(later + Duration::from_millis(300), Event::Ticked);
    assert_eq!(effects.len(), 1);
    for number in 3..5 {
        let decision = request_slot(&mut owner, later + BACK_OFF / 4, request_of(SECOND, number));
        granted_upstream(decision);
    }
}

#[test]
fn a_back_off_applies_to_the_refused_node_even_when_no_other_upstream_is_available() {
    let mut owner = dispatcher(1, 4);
    refuse(&mut owner, START, FIRST, 1);
    let meanwhile = START + BACK_OFF / 3;
    let refused = refusal(request_slot(&mut owner, meanwhile, request_of(FIRST, 2)));
    assert_eq!(refused.reason, RefusalReason::Overloaded);
    // The caller is told to retry after the back-off.
    assert!(
        refused.retry_after >= BACK_OFF / 2,
        "{:?}",
        refused.retry_after
    );
    // The upstream has not refused the second node yet, so this node may try it. An upstream that has refused two nodes
    // counts as refusing all.
    refuse(&mut owner, meanwhile, SECOND, 1);
    for node in [FIRST, SECOND, THIRD] {
        refusal(request_slot(&mut owner, meanwhile, request_of(node, 9)));
    }
}

#[test]
fn a_waiting_request_is_not_placed_at_an_upstream_that_asks_for_back_off() {
    let mut owner = dispatcher(1, 1);
    granted_upstream(request_slot(&mut owner, START, request_of(FIRST, 1)));
    assert_eq!(request_slot(&mut owner, START, request_of(FIRST, 2)), None);
    owner.reduce(START, back_off_notice("engine-0", FIRST, Duration::ZERO));
    let effects = owner.reduce(START, run_ended(run_id(FIRST, 1), RunOutcome::Rejected));
    assert!(effects.is_empty(), "{effects:?}");
}

#[test]
fn a_new_owner_knows_how_much_of_a_back_off_is_left() {
    let mut first = dispatcher(2, 4);
    first.reduce(START, back_off_notice("engine-0", FIRST, BACK_OFF / 3));
    let mut second = dispatcher(2, 4);
    for notice in first.notices(START) {
        second.reduce(START, Event::NoticeReceived(notice));
    }
    let upstream = "engine-0".into();
    let is_backing_off = |at| second.is_backed_off(at, &upstream, FIRST);
    assert!(is_backing_off(START + BACK_OFF / 2));
    assert!(!is_backing_off(START + BACK_OFF));
}

#[test]
fn an_endless_back_off_is_handled() {
    let mut owner = dispatcher(2, 4);
    let kind = NoticeKind::BackOff {
        node: FIRST,
        duration: Duration::MAX,
    };
    owner.reduce(
        START,
        Event::NoticeReceived(UpstreamNotice {
            service: SERVICE.into(),
            upstream: "engine-0".into(),
            kind,
            age: Duration::ZERO,
        }),
    );
    let decision = request_slot(&mut owner, START + BACK_OFF, request_of(SECOND, 1));
    assert_eq!(granted_upstream(decision), "engine-1");
    assert_eq!(owner.notices(START + BACK_OFF).len(), 1);
}
