//! Which runs are copied after upstreams broke off, and what copies take of an upstream at most.

mod support;

use {
    dragonflystep_dispatch::{
        CopyRules, Dispatcher, Effect, Event, RunId, RunOutcome, SlotDecision, SlotRequest,
        StreamProgress, StreamTry, WorkSize,
    },
    proptest::prelude::*,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
    support::{
        copies::{
            COPY_ALL, LIFETIME, MEMORY_TOKENS, copying_catalogue, ended, grant_for, owner_of,
        },
        plain_request,
        slot_requests::START,
        upstream,
    },
};

const UPSTREAMS: usize = 140;
const SLOTS: u32 = 6;

/// Copies runs of which two in a thousand would be lost.
const RULES: CopyRules = CopyRules {
    min_break_probability: 0.002,
    max_memory_share: 0.25,
};

fn owner() -> Dispatcher {
    let upstreams = (0..UPSTREAMS).map(|index| upstream(index, SLOTS));
    let mut owner = owner_of(upstreams.collect(), SLOTS, RULES);
    let mut catalogue = copying_catalogue(SLOTS, true);
    let engine = catalogue.services[0].engine.as_mut();
    engine.expect("the service runs on engines").cache_tokens = 400_000;
    owner.reduce(Duration::ZERO, Event::CatalogueChanged(Arc::new(catalogue)));
    owner
}

/// A run with an answer of this many tokens; 120 take about half a second.
fn request(run: RunId, tier: u16, output_tokens: u32) -> SlotRequest {
    SlotRequest {
        size: WorkSize {
            output_tokens,
            ..plain_request(run, tier).size
        },
        ..plain_request(run, tier)
    }
}

/// Lets this many upstreams break off, with two runs each.
fn break_off(owner: &mut Dispatcher, at: Duration, upstreams: usize) {
    let placed = (0..3 * UPSTREAMS as u64).map(|run| {
        let run = 1_000_000 + run;
        (run, grant_for(owner, at, request(run, 0, 120)).upstream)
    });
    let placed: Vec<_> = placed.collect();
    let broken: HashSet<_> = placed
        .iter()
        .map(|(_, upstream)| upstream.clone())
        .collect();
    let broken: HashSet<_> = broken.into_iter().take(upstreams).collect();
    assert_eq!(broken.len(), upstreams);
    for (run, upstream) in placed {
        let outcome = if broken.contains(&upstream) {
            RunOutcome::Broken
        } else {
            RunOutcome::Completed
        };
        owner.reduce(at, ended(run, outcome));
    }
}

fn is_copied(owner: &mut Dispatcher, at: Duration, request: SlotRequest) -> bool {
    let run = request.run;
    let grant = grant_for(owner, at, request);
    owner.reduce(at, ended(run, RunOutcome::Completed));
    grant.copy.is_some()
}

#[test]
fn one_upstream_that_breaks_off_once_makes_only_long_runs_worth_a_copy() {
    let mut owner = owner();
    assert!(!is_copied(&mut owner, START, request(1, 0, 4_000)));
    break_off(&mut owner, START, 1);
    assert!(!is_copied(&mut owner, START, request(2, 0, 120)));
    assert!(is_copied(&mut owner, START, request(3, 0, 4_000)));
}

#[test]
fn many_upstreams_that_break_off_at_once_make_short_runs_of_high_tiers_worth_a_copy() {
    let mut owner = owner();
    break_off(&mut owner, START, 18);
    assert!(is_copied(&mut owner, START, request(1, 0, 120)));
    assert!(!is_copied(&mut owner, START, request(2, 3, 120)));
    assert!(is_copied(&mut owner, START, request(3, 3, 4_000)));
    let repeatable = |run, tier| SlotRequest {
        stream: Some(StreamTry {
            id: run,
            caller_time_left: LIFETIME,
            progress: StreamProgress::New,
        }),
        ..request(run, tier, 120)
    };
    assert!(is_copied(&mut owner, START, request(4, 1, 120)));
    assert!(!is_copied(&mut owner, START, repeatable(5, 1)));
}

#[test]
fn upstreams_count_as_broken_off_also_if_they_left_the_registry_before() {
    let mut owner = owner();
    let placed = (0..2 * UPSTREAMS as u64).map(|run| {
        let run = 1_000 + run;
        (
            run,
            grant_for(&mut owner, START, request(run, 0, 120)).upstream,
        )
    });
    let placed: Vec<_> = placed.collect();
    let left = (18..UPSTREAMS).map(|index| upstream(index, SLOTS));
    owner.reduce(START, Event::UpstreamsChanged(left.collect()));
    for (run, upstream) in placed {
        let index: usize = upstream["engine-".len()..].parse().expect("an index");
        let outcome = if index < 18 {
            RunOutcome::Broken
        } else {
            RunOutcome::Completed
        };
        owner.reduce(START, ended(run, outcome));
    }
    assert!(is_copied(&mut owner, START, request(1, 0, 120)));
    // It would be copied if each upstream had counted twice, once for each of its runs.
    assert!(
        !is_copied(&mut owner, START, request(2, 3, 72)),
        "each counts once"
    );
}

#[test]
fn runs_are_no_longer_copied_when_upstreams_have_been_well_for_a_while() {
    let mut owner = owner();
    break_off(&mut owner, START, 18);
    let copied_until = (0..60).take_while(|second| {
        let at = START + Duration::from_secs(*second);
        is_copied(&mut owner, at, request(*second, 0, 120))
    });
    let seconds = copied_until.count();
    assert!((5..30).contains(&seconds), "copied for {seconds} s");
}

/// A run of the replay.
struct ReplayedRun {
    upstream: String,
    ends_at: Duration,
    is_copied: bool,
}

/// A full service, at which many upstreams break off at once and more of them follow.
struct Replay {
    owner: Dispatcher,
    now: Duration,
    next_run: RunId,
    active: BTreeMap<RunId, ReplayedRun>,
    /// Runs granted, and those of them with a copy, since the last look.
    granted: usize,
    copied: usize,
}

impl Replay {
    /// Duration of a run.
    const RUN_TIME: Duration = Duration::from_millis(3_600);

    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let SlotDecision::Granted(grant) = effect.decision else {
                continue;
            };
            self.granted += 1;
            self.copied += usize::from(grant.copy.is_some());
            let run = ReplayedRun {
                upstream: grant.upstream.to_string(),
                ends_at: self.now + Self::RUN_TIME,
                is_copied: grant.copy.is_some(),
            };
            assert!(self.active.insert(effect.run, run).is_none());
        }
    }

    fn reduce(&mut self, event: Event) {
        let effects = self.owner.reduce(self.now, event);
        self.take(effects);
    }

    /// Sends 40 requests each 100 ms, which is more than the upstreams finish.
    fn play(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += Duration::from_millis(100);
            let over = self
                .active
                .iter()
                .filter(|(_, run)| run.ends_at <= self.now);
            let over: Vec<_> = over.map(|(run, _)| *run).collect();
            for run in over {
                self.active.remove(&run);
                self.reduce(ended(run, RunOutcome::Completed));
            }
            for _ in 0..40 {
                self.next_run += 1;
                self.reduce(Event::SlotRequested(request(self.next_run, 0, 800)));
            }
            self.reduce(Event::Ticked);
        }
    }

    /// Lets all runs at some upstreams break off; returns their number, and that of those with a copy.
    fn break_off(&mut self, upstreams: std::ops::Range<usize>) -> (usize, usize) {
        let names: HashSet<_> = upstreams.map(|index| format!("engine-{index}")).collect();
        let runs = self.active.iter();
        let broken = runs.filter(|(_, run)| names.contains(&run.upstream));
        let broken: Vec<_> = broken.map(|(run, it)| (*run, it.is_copied)).collect();
        for (run, _) in &broken {
            self.active.remove(run);
            self.reduce(ended(*run, RunOutcome::Broken));
        }
        (
            broken.len(),
            broken.iter().filter(|(_, is_copied)| *is_copied).count(),
        )
    }
}

#[test]
fn runs_that_begin_after_many_upstreams_broke_off_have_copies_when_more_of_them_follow() {
    let mut replay = Replay {
        owner: owner(),
        now: START,
        next_run: 0,
        active: BTreeMap::new(),
        granted: 0,
        copied: 0,
    };
    replay.play(Duration::from_secs(8));
    assert_eq!(replay.copied, 0, "nothing broke off");
    let (first, _) = replay.break_off(0..18);
    assert!(first > 18 * 3, "{first} runs at 18 upstreams");
    (replay.granted, replay.copied) = (0, 0);
    replay.play(Duration::from_secs(2));
    let copied_share = replay.copied as f64 / replay.granted as f64;
    assert!(
        copied_share > 0.95,
        "{copied_share} of {} runs",
        replay.granted
    );
    replay.play(Duration::from_secs(2));
    // All runs that began before the first upstreams broke off have ended.
    let (second, with_copy) = replay.break_off(20..38);
    assert!(second > 18 * 3, "{second} runs at 18 upstreams");
    assert!(
        with_copy as f64 > 0.95 * second as f64,
        "{with_copy} of {second}"
    );
}

/// Time for which the caller of a [`plain_request`] waits, and after which its run may be forgotten.
const RUN_MEMORY: Duration = Duration::from_secs(10);

/// What a proptest does to an owner.
#[derive(Clone, Debug)]
enum Step {
    /// Requests a slot for a run of this size.
    Request(u32),
    /// Ends one of the active runs.
    End(usize, RunOutcome),
    /// Lets one upstream leave and another one come.
    Replace(usize),
    /// Lets this many milliseconds pass.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop::sample::select(vec![
        RunOutcome::Completed,
        RunOutcome::Cancelled,
        RunOutcome::Broken,
        RunOutcome::Rejected,
    ]);
    let step = prop_oneof![
        6 => (100..6_000_u32).prop_map(Step::Request),
        3 => (any::<usize>(), outcome).prop_map(|(run, outcome)| Step::End(run, outcome)),
        1 => (0..5_usize).prop_map(Step::Replace),
        2 => (1..2_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// The copies of active runs, and of those that broke off lately, never take more than their share of any upstream, and
    /// no run is granted twice or copied to the upstream that runs it.
    #[test]
    fn copies_never_exceed_their_share_of_the_memory(steps in steps()) {
        let mut names: Vec<usize> = (0..5).collect();
        let listed = |names: &[usize]| names.iter().map(|it| upstream(*it, SLOTS)).collect();
        let mut owner = owner_of(listed(&names), SLOTS, COPY_ALL);
        let mut now = START;
        let mut sizes: HashMap<RunId, u64> = HashMap::new();
        let mut granted: HashSet<RunId> = HashSet::new();
        let mut active: Vec<RunId> = Vec::new();
        // Upstream, tokens, and the time until which the copy is kept. A run whose end is not reported is forgotten.
        let mut copies: HashMap<RunId, (String, u64, Duration)> = HashMap::new();
        for (number, step) in steps.into_iter().enumerate() {
            let event = match step {
                Step::Request(prompt_tokens) => {
                    let run = number as RunId;
                    let mut request = plain_request(run, 0);
                    request.size.prompt_tokens = prompt_tokens;
                    let size = prompt_tokens + request.size.output_tokens;
                    sizes.insert(run, u64::from(size));
                    Event::SlotRequested(request)
                }
                Step::End(index, outcome) if !active.is_empty() => {
                    let run = active.swap_remove(index % active.len());
                    let is_kept = matches!(outcome, RunOutcome::Cancelled | RunOutcome::Broken);
                    if !is_kept {
                        copies.remove(&run);
                    } else if let Some(copy) = copies.get_mut(&run) {
                        copy.2 = copy.2.min(now + LIFETIME);
                    }
                    ended(run, outcome)
                }
                Step::Replace(index) => {
                    let gone = format!("engine-{}", names[index]);
                    copies.retain(|_, copy| copy.0 != gone);
                    names[index] = 100 + number;
                    Event::UpstreamsChanged(listed(&names))
                }
                Step::Wait(ms) => {
                    now += Duration::from_millis(ms);
                    Event::Ticked
                }
                Step::End(..) => Event::Ticked,
            };
            for effect in owner.reduce(now, event) {
                let SlotDecision::Granted(grant) = effect.decision else {
                    continue;
                };
                prop_assert!(granted.insert(effect.run), "run {} was granted twice", effect.run);
                active.push(effect.run);
                if let Some(copy) = grant.copy {
                    prop_assert_ne!(&copy.upstream, &grant.upstream);
                    let copy = (copy.upstream.to_string(), sizes[&effect.run], now + RUN_MEMORY + LIFETIME);
                    copies.insert(effect.run, copy);
                }
            }
            copies.retain(|_, copy| now < copy.2);
            for name in &names {
                let name = format!("engine-{name}");
                let held = copies.values().filter(|copy| copy.0 == name);
                let tokens: u64 = held.map(|copy| copy.1).sum();
                prop_assert!(tokens <= MEMORY_TOKENS / 4, "{tokens} tokens at {name}");
            }
        }
    }
}
