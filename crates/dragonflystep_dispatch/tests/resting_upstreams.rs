//! Upstreams that refuse requests and want rest, which all that reaches them meanwhile is refused by.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, NodeIncarnation, NoticeKind, RefusalReason, RunOutcome, SlotRequest,
        UpstreamNotice, run_id,
    },
    std::time::Duration,
    support::{
        SERVICE, dispatcher, plain_ask,
        verdicts::{AT, ask, ended, granted_to, refusal},
    },
};

const REST: Duration = Duration::from_secs(3);

/// Two nodes.
const FIRST: NodeIncarnation = 1;
const SECOND: NodeIncarnation = 2;
const THIRD: NodeIncarnation = 3;

fn resting(upstream: &str, node: NodeIncarnation, age: Duration) -> Event {
    Event::NoticeReceived(UpstreamNotice {
        service: SERVICE.into(),
        upstream: upstream.into(),
        kind: NoticeKind::BackOff {
            node,
            duration: REST,
        },
        age,
    })
}

fn ask_of(node: NodeIncarnation, number: u32) -> SlotRequest {
    plain_ask(run_id(node, number), 0)
}

/// Takes a place for a node's request, which the upstream refuses with a rest.
fn refuse(owner: &mut Dispatcher, at: Duration, node: NodeIncarnation, number: u32) -> String {
    let upstream = granted_to(ask(owner, at, ask_of(node, number)));
    owner.reduce(at, resting(&upstream, node, Duration::ZERO));
    owner.reduce(at, ended(run_id(node, number), RunOutcome::Rejected));
    upstream
}

#[test]
fn no_node_sends_to_an_upstream_that_wants_rest_from_one_while_others_are_left() {
    let mut owner = dispatcher(2, 4);
    owner.reduce(AT, resting("engine-0", FIRST, Duration::ZERO));
    for number in 0..4 {
        let node = FIRST + number % 2;
        let place = ask(&mut owner, AT + REST / 2, ask_of(node, number));
        assert_eq!(granted_to(place), "engine-1");
    }
}

#[test]
fn one_request_at_a_time_shows_whether_an_upstream_accepts_again_after_its_rest() {
    let mut owner = dispatcher(1, 4);
    refuse(&mut owner, AT, FIRST, 1);
    refuse(&mut owner, AT, SECOND, 1);
    let later = AT + REST;
    granted_to(ask(&mut owner, later, ask_of(FIRST, 2)));
    assert_eq!(ask(&mut owner, later, ask_of(SECOND, 2)), None);
    // It was not refused, so that the others follow.
    let effects = owner.reduce(later + Duration::from_millis(300), Event::Ticked);
    assert_eq!(effects.len(), 1);
    for number in 3..5 {
        let place = ask(&mut owner, later + REST / 4, ask_of(SECOND, number));
        granted_to(place);
    }
}

#[test]
fn a_rest_binds_the_refused_node_also_where_no_other_upstream_is_left() {
    let mut owner = dispatcher(1, 4);
    refuse(&mut owner, AT, FIRST, 1);
    let meanwhile = AT + REST / 3;
    let told = refusal(ask(&mut owner, meanwhile, ask_of(FIRST, 2)));
    assert_eq!(told.reason, RefusalReason::Overloaded);
    // Told to come back when the rest is over.
    assert!(told.retry_after >= REST / 2, "{:?}", told.retry_after);
    // It has not refused the other node, which tries it; then it has refused both.
    refuse(&mut owner, meanwhile, SECOND, 1);
    for node in [FIRST, SECOND, THIRD] {
        refusal(ask(&mut owner, meanwhile, ask_of(node, 9)));
    }
}

#[test]
fn what_waits_is_not_placed_at_an_upstream_that_wants_rest_meanwhile() {
    let mut owner = dispatcher(1, 1);
    granted_to(ask(&mut owner, AT, ask_of(FIRST, 1)));
    assert_eq!(ask(&mut owner, AT, ask_of(FIRST, 2)), None);
    owner.reduce(AT, resting("engine-0", FIRST, Duration::ZERO));
    let effects = owner.reduce(AT, ended(run_id(FIRST, 1), RunOutcome::Rejected));
    assert!(effects.is_empty(), "{effects:?}");
}

#[test]
fn a_new_owner_knows_how_much_of_a_rest_is_left() {
    let mut first = dispatcher(2, 4);
    first.reduce(AT, resting("engine-0", FIRST, REST / 3));
    let mut second = dispatcher(2, 4);
    for notice in first.notices(AT) {
        second.reduce(AT, Event::NoticeReceived(notice));
    }
    let upstream = "engine-0".into();
    let is_resting = |at| second.wants_back_off_from(at, &upstream, FIRST);
    assert!(is_resting(AT + REST / 2));
    assert!(!is_resting(AT + REST));
}

#[test]
fn a_rest_without_end_is_no_fault() {
    let mut owner = dispatcher(2, 4);
    let kind = NoticeKind::BackOff {
        node: FIRST,
        duration: Duration::MAX,
    };
    owner.reduce(
        AT,
        Event::NoticeReceived(UpstreamNotice {
            service: SERVICE.into(),
            upstream: "engine-0".into(),
            kind,
            age: Duration::ZERO,
        }),
    );
    let place = ask(&mut owner, AT + REST, ask_of(SECOND, 1));
    assert_eq!(granted_to(place), "engine-1");
    assert_eq!(owner.notices(AT + REST).len(), 1);
}
