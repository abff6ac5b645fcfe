//! Guards against an upstream that fails because it has to reject more requests in a second than it stated to bear.
//!
//! The upstreams of the model run a fixed number of requests, queue none and count what they reject. An owner can be
//! wrong about their free slots because others use them too, because an upstream goes on working on a request whose
//! caller left, or because another owner grants slots as well.

mod support;

use {
    dragonflystep_dispatch::{
        AccountUsage, ActiveRun, Dispatcher, Effect, Event, NoticeKind, RunId, RunOutcome,
        SlotDecision, UpstreamNotice, UsageReport, UsageSlice,
    },
    std::{collections::VecDeque, time::Duration},
    support::{
        Random, SERVICE, dispatcher, plain_request,
        slot_requests::{START, run_ended},
    },
};

const UPSTREAMS: usize = 3;
const SLOTS: u32 = 4;

/// Length of the window in which an upstream counts its rejections.
const WINDOW: Duration = Duration::from_secs(1);

/// Time between a decision and the arrival at the upstream, and between an end there and its report.
const TRANSIT: Duration = Duration::from_millis(3);

const RUN_TIME: Duration = Duration::from_millis(300);

/// Duration of a replay.
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Times for which the first of several owners in a row grants slots, and each of the others.
const FIRST_OWNERSHIP_TIME: Duration = Duration::from_secs(3);
const OWNERSHIP_TIME: Duration = Duration::from_millis(400);

/// What deceives the owners about free slots.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Deception {
    /// Others occupy all slots of the first upstream, for 2 s of every 4 s.
    OtherCallers,
    /// Callers leave after a third of their run, and the upstreams go on working.
    CallersLeave,
    /// A new owner grants slots for half of the requests, and the one before does not know yet that it was replaced.
    TwoOwners,
    /// New owners follow one another, and each knows nothing of the rejections of those before.
    OwnersInARow,
}

/// Something that happens at an upstream or is reported to an owner.
enum Step {
    Arrival { upstream: usize },
    End { upstream: usize },
    Report { outcome: RunOutcome },
}

struct Replay {
    owners: Vec<Dispatcher>,
    deception: Deception,
    /// Steps to come, with their times, owner and run.
    steps: Vec<(Duration, usize, RunId, Step)>,
    occupied: [u32; UPSTREAMS],
    rejected_at: [VecDeque<Duration>; UPSTREAMS],
    max_rejections: usize,
    completed: u32,
}

impl Replay {
    fn new(deception: Deception, owners: usize) -> Self {
        Self {
            owners: (0..owners).map(|_| dispatcher(UPSTREAMS, SLOTS)).collect(),
            deception,
            steps: Vec::new(),
            occupied: [0; UPSTREAMS],
            rejected_at: Default::default(),
            max_rejections: 0,
            completed: 0,
        }
    }

    fn run(deception: Deception, limit_per_s: Option<f64>, seed: u64) -> Self {
        let owners = if deception == Deception::TwoOwners {
            2
        } else {
            1
        };
        let mut replay = Self::new(deception, owners);
        if let Some(limit_per_s) = limit_per_s {
            for owner in 0..owners {
                replay.state_limit(START, owner, limit_per_s);
            }
        }
        let mut random = Random::new(seed);
        let (mut now, mut run) = (START, 0);
        while now < START + LOAD_TIME {
            // A little more than what the upstreams can run.
            now += Duration::from_secs_f64(random.gap_s(45.0));
            replay.advance(now);
            run += 1;
            let owner = run as usize % owners;
            replay.reduce(now, owner, Event::SlotRequested(plain_request(run, 1)));
            for owner in 0..owners {
                replay.reduce(now, owner, Event::Ticked);
            }
            if owners == 2 {
                // The entry nodes report the runs of the owner before, by which the new one knows of it.
                replay.report_run(now, 1);
            }
        }
        replay
    }

    fn state_limit(&mut self, now: Duration, owner: usize, rejections_per_s: f64) {
        for index in 0..UPSTREAMS {
            let notice = UpstreamNotice {
                service: SERVICE.into(),
                upstream: format!("engine-{index}").into(),
                kind: NoticeKind::RejectionsLimited { rejections_per_s },
                age: Duration::ZERO,
            };
            self.reduce(now, owner, Event::NoticeReceived(notice));
        }
    }

    /// Adds an owner that an entry node tells of its change of owner.
    fn add_owner(&mut self, now: Duration, limit_per_s: f64, reports_runs: bool) {
        let owner = self.owners.len();
        self.owners.push(dispatcher(UPSTREAMS, SLOTS));
        self.state_limit(now, owner, limit_per_s);
        let report = UsageReport {
            node: "entry".into(),
            coverage: LOAD_TIME,
            accounts: Vec::new(),
        };
        self.reduce(now, owner, Event::UsageReported(report));
        if reports_runs {
            self.report_run(now, owner);
        }
    }

    /// Reports a run of the owner before, which ends at once.
    fn report_run(&mut self, now: Duration, owner: usize) {
        let active_run = ActiveRun {
            request: plain_request(0, 1),
            upstream: "engine-0".into(),
            running_for: Duration::ZERO,
        };
        self.reduce(now, owner, Event::ActiveRunReported(active_run));
        self.reduce(now, owner, run_ended(0, RunOutcome::Withheld));
    }

    fn reduce(&mut self, now: Duration, owner: usize, event: Event) {
        for Effect { run, decision } in self.owners[owner].reduce(now, event) {
            let SlotDecision::Granted(grant) = decision else {
                continue;
            };
            let index = grant.upstream.rsplit('-').next().expect("a number");
            let upstream = index.parse().expect("a number");
            self.steps
                .push((now + TRANSIT, owner, run, Step::Arrival { upstream }));
        }
    }

    /// Carries out all steps up to `until`, in the order of their times.
    fn advance(&mut self, until: Duration) {
        loop {
            let due = self.steps.iter().enumerate();
            let due = due.filter(|(_, step)| step.0 <= until);
            let Some(index) = due.min_by_key(|(_, step)| step.0).map(|(index, _)| index) else {
                return;
            };
            let (at, owner, run, step) = self.steps.remove(index);
            match step {
                Step::Arrival { upstream } => self.arrive(at, owner, run, upstream),
                Step::End { upstream } => self.occupied[upstream] -= 1,
                Step::Report { outcome } => {
                    self.completed += u32::from(outcome == RunOutcome::Completed);
                    self.reduce(at, owner, run_ended(run, outcome));
                }
            }
        }
    }

    fn arrive(&mut self, at: Duration, owner: usize, run: RunId, upstream: usize) {
        let others = self.deception == Deception::OtherCallers
            && upstream == 0
            && (at - START).as_secs() % 4 >= 2;
        if others || self.occupied[upstream] == SLOTS {
            self.reject(at, upstream);
            let outcome = RunOutcome::Rejected;
            self.steps
                .push((at + TRANSIT, owner, run, Step::Report { outcome }));
            return;
        }
        self.occupied[upstream] += 1;
        self.steps
            .push((at + RUN_TIME, owner, run, Step::End { upstream }));
        let (ends_at, outcome) = if self.deception == Deception::CallersLeave {
            (at + RUN_TIME / 3, RunOutcome::Cancelled)
        } else {
            (at + RUN_TIME, RunOutcome::Completed)
        };
        self.steps
            .push((ends_at + TRANSIT, owner, run, Step::Report { outcome }));
    }

    fn reject(&mut self, at: Duration, upstream: usize) {
        let rejected_at = &mut self.rejected_at[upstream];
        rejected_at.push_back(at);
        while rejected_at
            .front()
            .is_some_and(|first| at - *first >= WINDOW)
        {
            rejected_at.pop_front();
        }
        self.max_rejections = self.max_rejections.max(rejected_at.len());
    }
}

fn check(deception: Deception) {
    for seed in 0..40 {
        for limit_per_s in [2.0, 4.0, 8.0] {
            let unlimited = Replay::run(deception, None, seed);
            assert!(
                unlimited.max_rejections as f64 > limit_per_s,
                "the load does not exceed the limit without it: seed {seed}, {}",
                unlimited.max_rejections
            );
            let limited = Replay::run(deception, Some(limit_per_s), seed);
            assert!(
                limited.max_rejections as f64 <= limit_per_s,
                "seed {seed}, limit {limit_per_s}: {} rejections in a second",
                limited.max_rejections
            );
        }
    }
}

#[test]
fn an_upstream_that_others_occupy_rejects_no_more_than_it_bears() {
    check(Deception::OtherCallers);
}

#[test]
fn an_upstream_that_works_on_after_callers_left_rejects_no_more_than_it_bears() {
    check(Deception::CallersLeave);
}

#[test]
fn an_upstream_of_two_owners_rejects_no_more_than_it_bears() {
    check(Deception::TwoOwners);
}

/// Returns the most rejections of an upstream in a second while owners follow one another and the upstreams reject all
/// requests. `reports_runs` says whether entry nodes report active runs to a new owner.
fn max_rejections_of_owners_in_a_row(limit_per_s: f64, reports_runs: bool, seed: u64) -> usize {
    let mut replay = Replay::new(Deception::OwnersInARow, 0);
    replay.occupied = [SLOTS; UPSTREAMS];
    let mut random = Random::new(seed);
    let (mut now, mut run) = (START, 0);
    while now < START + LOAD_TIME {
        now += Duration::from_secs_f64(random.gap_s(45.0));
        replay.advance(now);
        let since_first = now.saturating_sub(START + FIRST_OWNERSHIP_TIME);
        let owner = (since_first.as_millis() / OWNERSHIP_TIME.as_millis()) as usize;
        while replay.owners.len() <= owner {
            replay.add_owner(now, limit_per_s, reports_runs);
        }
        run += 1;
        replay.reduce(now, owner, Event::SlotRequested(plain_request(run, 1)));
        replay.reduce(now, owner, Event::Ticked);
    }
    replay.max_rejections
}

#[test]
fn an_upstream_of_owners_in_a_row_rejects_no_more_than_it_bears() {
    for seed in 0..40 {
        let limits = [2.0, 4.0, 8.0].into_iter();
        for (limit_per_s, reports_runs) in limits.flat_map(|limit| [(limit, false), (limit, true)])
        {
            let rejections = max_rejections_of_owners_in_a_row(limit_per_s, reports_runs, seed);
            assert!(
                rejections as f64 <= limit_per_s,
                "seed {seed}, limit {limit_per_s}, runs reported {reports_runs}: {rejections} rejections in a second"
            );
        }
    }
}

#[test]
fn an_owner_sends_nothing_while_rejections_count_that_another_owner_caused() {
    let is_granted_at_once = |units_granted_by_receiver| {
        let mut replay = Replay::new(Deception::OwnersInARow, 1);
        replay.state_limit(START, 0, 2.0);
        let granted = replay.owners[0].reduce(START, Event::SlotRequested(plain_request(1, 1)));
        assert_eq!(granted.len(), 1, "the owner grants slots");
        replay.reduce(START + TRANSIT, 0, run_ended(1, RunOutcome::Completed));
        let returned_at = START + WINDOW / 2;
        let usage = AccountUsage {
            account: "account".into(),
            slices: vec![UsageSlice {
                age: WINDOW / 4,
                units: 100.0,
                units_granted_by_receiver,
            }],
        };
        let report = UsageReport {
            node: "entry".into(),
            coverage: LOAD_TIME,
            accounts: vec![usage],
        };
        replay.reduce(returned_at, 0, Event::UsageReported(report));
        let request = Event::SlotRequested(plain_request(2, 1));
        let effects = replay.owners[0].reduce(returned_at, request);
        !effects.is_empty()
    };
    assert!(is_granted_at_once(100.0));
    assert!(!is_granted_at_once(0.0));
}

#[test]
fn an_upstream_serves_as_before_while_it_rejects_nothing() {
    let served = |limit| {
        let mut completed = 0;
        for seed in 0..10 {
            completed += Replay::run(Deception::OtherCallers, limit, seed).completed;
        }
        f64::from(completed)
    };
    assert!(served(Some(2.0)) >= 0.9 * served(None));
}
