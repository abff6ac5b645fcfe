//! Upstreams that say in their answers that they leave, before the registry tells.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, NoticeKind, RunOutcome, UpstreamId, UpstreamNotice,
    },
    std::time::Duration,
    support::{
        SERVICE, dispatcher, plain_ask, upstream,
        verdicts::{AT, ask, ended, granted_to},
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

/// Checks that all of the next places are at the other upstream.
fn check_unused(owner: &mut Dispatcher, at: Duration, runs: std::ops::Range<u64>) {
    for run in runs {
        assert_eq!(granted_to(ask(owner, at, plain_ask(run, 0))), "engine-1");
    }
}

#[test]
fn an_upstream_that_leaves_gets_nothing_whatever_the_registry_says() {
    let mut owner = dispatcher(2, 4);
    owner.reduce(AT, leaving(Duration::ZERO));
    check_unused(&mut owner, AT, 1..3);
    let ready = vec![upstream(0, 4), upstream(1, 4)];
    owner.reduce(AT, Event::UpstreamsChanged(ready.clone()));
    check_unused(&mut owner, AT, 3..4);
    owner.reduce(AT, Event::UpstreamsChanged(vec![upstream(1, 4)]));
    owner.reduce(AT, Event::UpstreamsChanged(ready));
    check_unused(&mut owner, AT, 4..5);
    assert!(owner.is_leaving(&UpstreamId::from(LEAVING)));
}

#[test]
fn what_waits_is_not_placed_at_an_upstream_that_leaves_meanwhile() {
    let mut owner = dispatcher(1, 1);
    granted_to(ask(&mut owner, AT, plain_ask(1, 0)));
    assert_eq!(ask(&mut owner, AT, plain_ask(2, 0)), None);
    owner.reduce(AT, leaving(Duration::ZERO));
    let effects = owner.reduce(AT, ended(1, RunOutcome::Completed));
    assert!(effects.is_empty(), "{effects:?}");
}

#[test]
fn a_new_owner_knows_from_the_others_who_leaves_also_before_it_knows_the_upstream() {
    let mut first = dispatcher(2, 4);
    first.reduce(AT, leaving(Duration::from_millis(300)));
    let mut second = dispatcher(0, 4);
    for notice in first.notices(AT) {
        second.reduce(AT, Event::NoticeReceived(notice));
    }
    let entries = vec![upstream(0, 4), upstream(1, 4)];
    second.reduce(AT, Event::UpstreamsChanged(entries));
    check_unused(&mut second, AT, 1..4);
}

#[test]
fn an_upstream_that_started_again_under_its_name_is_used() {
    let mut owner = dispatcher(1, 4);
    owner.reduce(AT, leaving(Duration::ZERO));
    let mut reborn = upstream(0, 4);
    reborn.id = "engine-0@2".into();
    owner.reduce(AT, Event::UpstreamsChanged(vec![reborn]));
    granted_to(ask(&mut owner, AT, plain_ask(1, 0)));
}

#[test]
fn a_place_that_the_entry_gave_back_unused_says_nothing_of_its_upstream() {
    let mut owner = dispatcher(1, 4);
    for run in 1..=12 {
        granted_to(ask(&mut owner, AT, plain_ask(run, 0)));
        owner.reduce(AT, ended(run, RunOutcome::Withheld));
    }
    granted_to(ask(&mut owner, AT, plain_ask(13, 0)));
}
