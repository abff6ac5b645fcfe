//! Rate limits that upstreams announce, under a load of far more requests than they accept.
//!
//! Guards against an upstream that gets more requests than its limit permits, from one owner or from several owners
//! that follow one another or grant side by side.

mod support;

use {
    dragonflystep_dispatch::{
        ActiveRun, Dispatcher, Effect, Event, NoticeKind, RunId, RunOutcome, SlotDecision,
        UpstreamId, UpstreamNotice, Visibility,
    },
    proptest::prelude::{ProptestConfig, Strategy, prop, prop_assert, proptest},
    std::time::Duration,
    support::{
        SERVICE, dispatcher, plain_request,
        slot_requests::{START, granted_upstream, request_slot, run_ended},
        upstream,
    },
};

const LIMITED: &str = "engine-0";

/// Length of the window in which requests count against a rate limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Time between two steps of the load; each step brings one request.
const STEP: Duration = Duration::from_millis(20);

/// Duration of a run, in steps.
const RUN_STEPS: usize = 20;

/// Most requests that a limit permits in a window.
fn permitted_in_window(requests_per_s: f64) -> f64 {
    1.5 * WINDOW.as_secs_f64() * requests_per_s + 5.0
}

fn max_in_window(times: &[Duration]) -> usize {
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

/// An owner under more load than its upstreams accept.
struct OverloadedOwner {
    owner: Dispatcher,
    at: Duration,
    next_run: RunId,
    /// Runs in flight, each with the step in which it ends.
    running: Vec<(usize, RunId)>,
    step: usize,
    /// Times of the requests to the limited upstream.
    sent: Vec<Duration>,
}

impl OverloadedOwner {
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

    fn record_grants(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let SlotDecision::Granted(grant) = effect.decision {
                self.running.push((self.step + RUN_STEPS, effect.run));
                if &*grant.upstream == LIMITED {
                    self.sent.push(self.at);
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let effects = self.owner.reduce(self.at, event);
        self.record_grants(effects);
    }

    fn run_load(&mut self, duration: Duration) {
        let until = self.at + duration;
        while self.at < until {
            self.at += STEP;
            self.step += 1;
            let step = self.step;
            let ended_runs: Vec<_> = self.running.extract_if(.., |run| run.0 <= step).collect();
            for (_, run) in ended_runs {
                self.handle(run_ended(run, RunOutcome::Completed));
            }
            let run = self.next_run;
            self.next_run += 1;
            self.handle(Event::SlotRequested(plain_request(run, 0)));
            self.handle(Event::Ticked);
        }
    }
}

#[test]
fn a_rate_limited_upstream_gets_requests_at_its_limit() {
    for requests_per_s in [0.4, 1.2, 2.7, 9.0] {
        let mut load = OverloadedOwner::new(dispatcher(2, 4), START, 1);
        load.run_load(Duration::from_secs(2));
        load.handle(limited(requests_per_s));
        load.sent.clear();
        load.run_load(Duration::from_secs(20));
        let accepted = requests_per_s * 20.0;
        let sent = load.sent.len() as f64;
        assert!(sent <= accepted + 1.0, "{requests_per_s}: {sent}");
        assert!(sent >= accepted * 0.9 - 1.0, "{requests_per_s}: {sent}");
    }
}

#[test]
fn waiting_requests_obey_a_limit_that_is_announced_later() {
    let mut owner = dispatcher(1, 4);
    for run in 1..=4 {
        granted_upstream(request_slot(&mut owner, START, plain_request(run, 0)));
    }
    for run in 5..=8 {
        let mut waiting = plain_request(run, 0);
        waiting.objective_left = Duration::from_secs(8);
        assert_eq!(request_slot(&mut owner, START, waiting), None);
    }
    owner.reduce(START, limited(1.0));
    for run in 1..=4 {
        let effects = owner.reduce(START, run_ended(run, RunOutcome::Completed));
        assert!(effects.is_empty(), "{effects:?}");
    }
    let effects = owner.reduce(START + Duration::from_millis(1_000), Event::Ticked);
    let granted = |effect: &&Effect| matches!(effect.decision, SlotDecision::Granted(_));
    assert_eq!(effects.iter().filter(granted).count(), 1);
}

#[test]
fn a_limit_ends_with_an_answer_to_a_request_sent_after_its_announcement() {
    let limited_id: UpstreamId = LIMITED.into();
    let mut owner = dispatcher(1, 4);
    owner.reduce(START, limited(1.0));
    let later = START + Duration::from_millis(300);
    // The request was sent before the limit was announced, so its answer may be older than the limit as well.
    let earlier = notice(NoticeKind::RateUnlimited, Duration::from_millis(400));
    owner.reduce(later, earlier);
    assert_eq!(owner.rate_limit(&limited_id), Some(1.0));
    let after = notice(NoticeKind::RateUnlimited, Duration::from_millis(200));
    owner.reduce(later, after);
    assert_eq!(owner.rate_limit(&limited_id), None);
    // A notice of the limit from before its end has no effect when it arrives late.
    let kind = NoticeKind::RateLimited {
        requests_per_s: 1.0,
    };
    owner.reduce(later, notice(kind, Duration::from_millis(250)));
    assert_eq!(owner.rate_limit(&limited_id), None);
    for run in 1..=4 {
        granted_upstream(request_slot(&mut owner, later, plain_request(run, 0)));
    }
}

#[test]
fn an_upstream_with_a_limit_of_zero_is_probed_occasionally() {
    let mut load = OverloadedOwner::new(dispatcher(1, 4), START, 1);
    load.handle(limited(0.0));
    load.run_load(Duration::from_secs(40));
    assert!((2..=4).contains(&load.sent.len()), "{}", load.sent.len());
}

#[test]
fn a_limit_survives_the_removal_and_return_of_its_upstream() {
    let mut load = OverloadedOwner::new(dispatcher(1, 4), START, 1);
    load.handle(limited(1.0));
    load.run_load(Duration::from_secs(2));
    load.handle(Event::UpstreamsChanged(Vec::new()));
    load.run_load(Duration::from_secs(3));
    load.handle(Event::UpstreamsChanged(vec![upstream(0, 4)]));
    load.run_load(Duration::from_secs(6));
    let max_requests = max_in_window(&load.sent);
    assert!(max_requests <= 5, "{max_requests}");
}

#[test]
fn a_restarted_upstream_has_no_limit() {
    let mut owner = dispatcher(1, 4);
    owner.reduce(START, limited(0.5));
    let mut restarted = upstream(0, 4);
    restarted.id = "engine-0@2".into();
    owner.reduce(START, Event::UpstreamsChanged(vec![restarted]));
    for run in 1..=4 {
        granted_upstream(request_slot(&mut owner, START, plain_request(run, 0)));
    }
}

#[test]
fn a_node_without_a_majority_keeps_to_its_share_of_a_limit() {
    let mut load = OverloadedOwner::new(dispatcher(2, 4), START, 1);
    load.handle(Event::VisibilityChanged(Visibility {
        visible: 2,
        known: 8,
        refusing: 0,
    }));
    load.handle(limited(8.0));
    load.run_load(Duration::from_secs(20));
    let share = 20.0 * 8.0 / 4.0;
    assert!((load.sent.len() as f64) <= share, "{}", load.sent.len());
}

/// Draws how long, in milliseconds, each of several successive owners gets the requests.
fn owner_durations_ms() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(100_u64..3_000, 2..10)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Each owner learns of the limit from the notices of its predecessor, as nodes do by gossip.
    #[test]
    fn successive_owners_together_stay_within_the_limit(
        duration_ms in owner_durations_ms(),
        requests_per_s in 0.1_f64..20.0,
    ) {
        let mut sent = Vec::new();
        let mut predecessor = dispatcher(2, 4);
        predecessor.reduce(START, limited(requests_per_s));
        let mut at = START;
        for (index, duration_ms) in duration_ms.into_iter().enumerate() {
            let mut owner = dispatcher(2, 4);
            for notice in predecessor.notices(at) {
                owner.reduce(at, Event::NoticeReceived(notice));
            }
            let mut load = OverloadedOwner::new(owner, at, 1 + index as u64 * 10_000);
            load.run_load(Duration::from_millis(duration_ms));
            at = load.at;
            sent.extend(load.sent);
            predecessor = load.owner;
        }
        let max_requests = max_in_window(&sent) as f64;
        prop_assert!(max_requests <= permitted_in_window(requests_per_s), "{max_requests}");
    }
}

/// Returns an owner that takes over from `first`, which still grants slots to entries that do not know the new
/// owner yet.
fn take_over_from(first: &Dispatcher, at: Duration) -> OverloadedOwner {
    let mut second = dispatcher(2, 4);
    for notice in first.notices(at) {
        second.reduce(at, Event::NoticeReceived(notice));
    }
    second.reduce(
        at,
        Event::ActiveRunReported(ActiveRun {
            request: plain_request(90_000, 0),
            upstream: "engine-1".into(),
            running_for: Duration::from_millis(100),
        }),
    );
    OverloadedOwner::new(second, at, 100_000)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn two_concurrent_owners_together_stay_within_the_limit(
        requests_per_s in 0.1_f64..20.0,
        overlap_ms in 500_u64..4_000,
    ) {
        let mut first = OverloadedOwner::new(dispatcher(2, 4), START, 1);
        first.handle(limited(requests_per_s));
        first.run_load(Duration::from_secs(4));
        let mut second = take_over_from(&first.owner, first.at);
        first.run_load(Duration::from_millis(overlap_ms));
        second.run_load(Duration::from_secs(8));
        let mut sent = first.sent;
        sent.extend(second.sent);
        sent.sort_unstable();
        let max_requests = max_in_window(&sent) as f64;
        prop_assert!(max_requests <= permitted_in_window(requests_per_s), "{max_requests}");
    }
}
