//! Rate limits that upstreams name: far more requests than they take, at one owner and over several in a row.

mod support;

use {
    dragonflystep_dispatch::{
        ActiveRun, Dispatcher, Effect, Event, NoticeKind, RunId, RunOutcome, SlotDecision,
        UpstreamId, UpstreamNotice, Visibility,
    },
    proptest::prelude::{ProptestConfig, Strategy, prop, prop_assert, proptest},
    std::time::Duration,
    support::{
        SERVICE, dispatcher, plain_ask, upstream,
        verdicts::{AT, ask, ended, granted_to},
    },
};

const LIMITED: &str = "engine-0";

/// Length of the window in which requests count against a rate limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Time between two steps of a load, which brings a request in each.
const STEP: Duration = Duration::from_millis(20);

/// Steps that a run lasts.
const RUN_STEPS: usize = 20;

/// Requests in a window that a limit permits at most.
fn permitted_in_window(requests_per_s: f64) -> f64 {
    1.5 * WINDOW.as_secs_f64() * requests_per_s + 5.0
}

fn most_in_window(times: &[Duration]) -> usize {
    let in_window = |first: usize| {
        let until = times[first] + WINDOW;
        times[first..].partition_point(|at| *at < until)
    };
    (0..times.len()).map(in_window).max().unwrap_or(0)
}

fn notice(kind: NoticeKind, age: Duration) -> Event {
    Event::NoticeReceived(UpstreamNotice {
        service: SERVICE.into(),
        upstream: LIMITED.into(),
        kind,
        age,
    })
}

fn limited(requests_per_s: f64) -> Event {
    notice(NoticeKind::RateLimited { requests_per_s }, Duration::ZERO)
}

/// An owner under more load than its upstreams take.
struct Overload {
    owner: Dispatcher,
    at: Duration,
    next_run: RunId,
    running: Vec<(usize, RunId)>,
    step: usize,
    /// When the limited upstream got a request.
    sent: Vec<Duration>,
}

impl Overload {
    fn new(owner: Dispatcher, at: Duration, next_run: RunId) -> Self {
        Self {
            owner,
            at,
            next_run,
            running: Vec::new(),
            step: 0,
            sent: Vec::new(),
        }
    }

    fn note(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let SlotDecision::Granted(grant) = effect.decision {
                self.running.push((self.step + RUN_STEPS, effect.run));
                if &*grant.upstream == LIMITED {
                    self.sent.push(self.at);
                }
            }
        }
    }

    fn event(&mut self, event: Event) {
        let effects = self.owner.reduce(self.at, event);
        self.note(effects);
    }

    fn play(&mut self, lasts: Duration) {
        let until = self.at + lasts;
        while self.at < until {
            self.at += STEP;
            self.step += 1;
            let step = self.step;
            let over: Vec<_> = self.running.extract_if(.., |run| run.0 <= step).collect();
            for (_, run) in over {
                self.event(ended(run, RunOutcome::Completed));
            }
            let run = self.next_run;
            self.next_run += 1;
            self.event(Event::SlotRequested(plain_ask(run, 0)));
            self.event(Event::Ticked);
        }
    }
}

#[test]
fn a_limited_upstream_gets_what_it_takes_and_no_more() {
    for requests_per_s in [0.4, 1.2, 2.7, 9.0] {
        let mut load = Overload::new(dispatcher(2, 4), AT, 1);
        load.play(Duration::from_secs(2));
        load.event(limited(requests_per_s));
        load.sent.clear();
        load.play(Duration::from_secs(20));
        let taken = requests_per_s * 20.0;
        let sent = load.sent.len() as f64;
        assert!(sent <= taken + 1.0, "{requests_per_s}: {sent}");
        assert!(sent >= taken * 0.9 - 1.0, "{requests_per_s}: {sent}");
    }
}

#[test]
fn requests_that_wait_already_keep_to_a_limit_that_is_named_meanwhile() {
    let mut owner = dispatcher(1, 4);
    for run in 1..=4 {
        granted_to(ask(&mut owner, AT, plain_ask(run, 0)));
    }
    for run in 5..=8 {
        let mut waits = plain_ask(run, 0);
        waits.objective_left = Duration::from_secs(8);
        assert_eq!(ask(&mut owner, AT, waits), None);
    }
    owner.reduce(AT, limited(1.0));
    for run in 1..=4 {
        let effects = owner.reduce(AT, ended(run, RunOutcome::Completed));
        assert!(effects.is_empty(), "{effects:?}");
    }
    let effects = owner.reduce(AT + Duration::from_millis(1_000), Event::Ticked);
    let granted = |effect: &&Effect| matches!(effect.decision, SlotDecision::Granted(_));
    assert_eq!(effects.iter().filter(granted).count(), 1);
}

#[test]
fn a_limit_ends_with_an_answer_to_a_request_that_was_sent_after_it_was_named() {
    let limited_id: UpstreamId = LIMITED.into();
    let mut owner = dispatcher(1, 4);
    owner.reduce(AT, limited(1.0));
    let later = AT + Duration::from_millis(300);
    // Sent before the limit was named: the upstream may have made the answer before as well.
    let earlier = notice(NoticeKind::RateUnlimited, Duration::from_millis(400));
    owner.reduce(later, earlier);
    assert_eq!(owner.rate_limit(&limited_id), Some(1.0));
    let after = notice(NoticeKind::RateUnlimited, Duration::from_millis(200));
    owner.reduce(later, after);
    assert_eq!(owner.rate_limit(&limited_id), None);
    // A late report of the limit changes nothing any more.
    let kind = NoticeKind::RateLimited {
        requests_per_s: 1.0,
    };
    owner.reduce(later, notice(kind, Duration::from_millis(250)));
    assert_eq!(owner.rate_limit(&limited_id), None);
    for run in 1..=4 {
        granted_to(ask(&mut owner, later, plain_ask(run, 0)));
    }
}

#[test]
fn an_upstream_that_takes_none_is_tried_now_and_then() {
    let mut load = Overload::new(dispatcher(1, 4), AT, 1);
    load.event(limited(0.0));
    load.play(Duration::from_secs(40));
    assert!((2..=4).contains(&load.sent.len()), "{}", load.sent.len());
}

#[test]
fn an_upstream_whose_entry_lapses_and_returns_is_still_limited() {
    let mut load = Overload::new(dispatcher(1, 4), AT, 1);
    load.event(limited(1.0));
    load.play(Duration::from_secs(2));
    load.event(Event::UpstreamsChanged(Vec::new()));
    load.play(Duration::from_secs(3));
    load.event(Event::UpstreamsChanged(vec![upstream(0, 4)]));
    load.play(Duration::from_secs(6));
    let most = most_in_window(&load.sent);
    assert!(most <= 5, "{most}");
}

#[test]
fn an_upstream_that_started_again_has_no_limit() {
    let mut owner = dispatcher(1, 4);
    owner.reduce(AT, limited(0.5));
    let mut reborn = upstream(0, 4);
    reborn.id = "engine-0@2".into();
    owner.reduce(AT, Event::UpstreamsChanged(vec![reborn]));
    for run in 1..=4 {
        granted_to(ask(&mut owner, AT, plain_ask(run, 0)));
    }
}

#[test]
fn a_node_without_a_majority_keeps_to_its_part_of_a_limit() {
    let mut load = Overload::new(dispatcher(2, 4), AT, 1);
    load.event(Event::VisibilityChanged(Visibility {
        visible: 2,
        known: 8,
    }));
    load.event(limited(8.0));
    load.play(Duration::from_secs(20));
    let share = 20.0 * 8.0 / 4.0;
    assert!((load.sent.len() as f64) <= share, "{}", load.sent.len());
}

/// Times for which owners are asked one after the other.
fn successions() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(100_u64..3_000, 2..10)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Each owner learns of the limit from the one before it, as nodes do that exchange views.
    #[test]
    fn owners_in_a_row_stay_within_the_limit_together(
        lasts_ms in successions(),
        requests_per_s in 0.1_f64..20.0,
    ) {
        let mut sent = Vec::new();
        let mut before = dispatcher(2, 4);
        before.reduce(AT, limited(requests_per_s));
        let mut at = AT;
        for (index, lasts_ms) in lasts_ms.into_iter().enumerate() {
            let mut owner = dispatcher(2, 4);
            for notice in before.notices(at) {
                owner.reduce(at, Event::NoticeReceived(notice));
            }
            let mut load = Overload::new(owner, at, 1 + index as u64 * 10_000);
            load.play(Duration::from_millis(lasts_ms));
            at = load.at;
            sent.extend(load.sent);
            before = load.owner;
        }
        let most = most_in_window(&sent) as f64;
        prop_assert!(most <= permitted_in_window(requests_per_s), "{most}");
    }
}

/// An owner that took over from another one, which goes on giving out places to entries that do not know it yet.
fn beside(first: &Dispatcher, at: Duration) -> Overload {
    let mut second = dispatcher(2, 4);
    for notice in first.notices(at) {
        second.reduce(at, Event::NoticeReceived(notice));
    }
    second.reduce(
        at,
        Event::RunAdopted(ActiveRun {
            request: plain_ask(90_000, 0),
            upstream: "engine-1".into(),
            running_for: Duration::from_millis(100),
        }),
    );
    Overload::new(second, at, 100_000)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn two_owners_at_once_stay_within_the_limit_together(
        requests_per_s in 0.1_f64..20.0,
        overlap_ms in 500_u64..4_000,
    ) {
        let mut first = Overload::new(dispatcher(2, 4), AT, 1);
        first.event(limited(requests_per_s));
        first.play(Duration::from_secs(4));
        let mut second = beside(&first.owner, first.at);
        first.play(Duration::from_millis(overlap_ms));
        second.play(Duration::from_secs(8));
        let mut sent = first.sent;
        sent.extend(second.sent);
        sent.sort_unstable();
        let most = most_in_window(&sent) as f64;
        prop_assert!(most <= permitted_in_window(requests_per_s), "{most}");
    }
}
