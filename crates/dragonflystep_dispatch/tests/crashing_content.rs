//! Content that crashes upstreams: which content an owner concludes to be the cause, and what it does with requests that hold it.

mod support;

use {
    dragonflystep_dispatch::{
        ContentKey, CrashEvidence, Dispatcher, Event, RefusalReason, RunId, RunOutcome, RunReport,
        SlotDecision, SlotRequest, SoundContent, UpstreamCrash,
    },
    proptest::prelude::*,
    std::time::Duration,
    support::{
        SERVICE, dispatcher, plain_request,
        slot_requests::{START, granted_upstream, refusal, request_slot},
    },
};

/// Upstreams of the service.
const UPSTREAMS: usize = 12;

/// Time between two crashes that one segment causes.
const GAP: Duration = Duration::from_millis(400);

/// Time after which a crash counts as evidence.
const SETTLED: Duration = Duration::from_millis(500);

const BAD: ContentKey = 7;
const OTHER: ContentKey = 8;

fn owner() -> Dispatcher {
    dispatcher(UPSTREAMS, 6)
}

/// A crash of the upstream at an address, with the segments of runs that had not begun to answer.
fn crash(number: usize, address: usize, age: Duration, segments: &[ContentKey]) -> UpstreamCrash {
    UpstreamCrash {
        service: SERVICE.into(),
        upstream: format!("crashed-{number}").into(),
        address: format!("127.0.0.1:{address}"),
        age,
        segments: segments.to_vec(),
        requests: vec![1_000 + number as u64],
    }
}

fn observe(owner: &mut Dispatcher, at: Duration, crash: UpstreamCrash) {
    owner.reduce(at, Event::CrashesObserved(CrashEvidence::from(crash)));
}

fn observe_sound(owner: &mut Dispatcher, at: Duration, content: ContentKey, age: Duration) {
    let evidence = CrashEvidence {
        crashes: Vec::new(),
        sound: vec![SoundContent { content, age }],
    };
    owner.reduce(at, Event::CrashesObserved(evidence));
}

/// Lets upstreams crash one after the other with these segments, and returns when that is evidence.
fn crash_in_a_row(
    owner: &mut Dispatcher,
    from: Duration,
    count: usize,
    segments: &[ContentKey],
) -> Duration {
    for number in 0..count {
        let at = from + GAP * number as u32;
        observe(owner, at, crash(number, number, Duration::ZERO, segments));
    }
    let settled_at = from + GAP * count as u32 + SETTLED;
    owner.reduce(settled_at, Event::Ticked);
    settled_at
}

fn request(run: RunId, segments: &[ContentKey]) -> SlotRequest {
    SlotRequest {
        shared_content: segments.to_vec(),
        ..plain_request(run, 0)
    }
}

fn is_refused(owner: &mut Dispatcher, at: Duration, run: RunId, segments: &[ContentKey]) -> bool {
    match request_slot(owner, at, request(run, segments)) {
        Some(SlotDecision::Refused(refusal)) => {
            assert_eq!(refusal.reason, RefusalReason::CrashSuspect);
            true
        }
        _ => false,
    }
}

#[test]
fn a_segment_on_board_of_four_crashes_in_a_row_is_refused_and_no_other() {
    let mut owner = owner();
    let at = crash_in_a_row(&mut owner, START, 3, &[OTHER, BAD]);
    assert!(!is_refused(&mut owner, at, 1, &[BAD]));
    observe(&mut owner, at, crash(3, 3, Duration::ZERO, &[BAD]));
    let at = at + SETTLED;
    assert!(is_refused(&mut owner, at, 2, &[OTHER, BAD]));
    assert!(is_refused(&mut owner, at, 3, &[BAD]));
    assert!(!is_refused(&mut owner, at, 4, &[OTHER]));
}

#[test]
fn waiting_requests_are_refused_when_their_content_proves_to_crash_upstreams() {
    let mut owner = owner();
    for number in 0..4 {
        let at = START + GAP * number;
        let crashed = crash(number as usize, number as usize, Duration::ZERO, &[BAD]);
        observe(&mut owner, at, crashed);
    }
    let last = START + GAP * 3;
    // Sent one at a time, and the last crash is too recent.
    assert!(request_slot(&mut owner, last, request(1, &[BAD])).is_none());
    let effects = owner.reduce(last + SETTLED, Event::Ticked);
    let decision = effects.into_iter().find(|effect| effect.run == 1);
    let refusal = refusal(decision.map(|effect| effect.decision));
    assert_eq!(refusal.reason, RefusalReason::CrashSuspect);
}

#[test]
fn an_outage_of_many_upstreams_at_once_is_no_evidence() {
    for crashed in [4, 6, UPSTREAMS] {
        let mut owner = owner();
        for number in 0..crashed {
            observe(
                &mut owner,
                START,
                crash(number, number, Duration::ZERO, &[BAD]),
            );
        }
        assert!(!is_refused(&mut owner, START + SETTLED, 1, &[BAD]));
    }
}

#[test]
fn an_upstream_that_crashes_again_and_again_is_no_evidence() {
    let mut owner = owner();
    for number in 0..6 {
        let at = START + Duration::from_secs(3) * number;
        observe(
            &mut owner,
            at,
            crash(number as usize, 1, Duration::ZERO, &[BAD]),
        );
    }
    let at = START + Duration::from_secs(18);
    assert!(!is_refused(&mut owner, at, 1, &[BAD]));
}

#[test]
fn content_that_an_upstream_began_to_answer_after_the_crashes_is_sound() {
    let mut owner = owner();
    let at = crash_in_a_row(&mut owner, START, 5, &[BAD, OTHER]);
    observe_sound(&mut owner, at, OTHER, Duration::ZERO);
    // A run that began before the crashes says nothing about them.
    observe_sound(&mut owner, at, BAD, at - START + GAP);
    let at = at + SETTLED;
    assert!(is_refused(&mut owner, at, 1, &[BAD]));
    assert!(!is_refused(&mut owner, at, 2, &[OTHER]));
}

#[test]
fn of_two_segments_that_crashed_together_each_alone_is_served_until_one_crashes_alone() {
    let mut owner = owner();
    let at = crash_in_a_row(&mut owner, START, 4, &[BAD, OTHER]);
    assert!(is_refused(&mut owner, at, 1, &[BAD, OTHER]));
    assert!(!is_refused(&mut owner, at, 2, &[OTHER]));
    observe(&mut owner, at, crash(4, 4, Duration::ZERO, &[BAD]));
    let at = at + SETTLED;
    assert!(is_refused(&mut owner, at, 3, &[BAD]));
    assert!(!is_refused(&mut owner, at, 4, &[OTHER]));
}

#[test]
fn two_bad_segments_are_both_refused_and_what_they_share_is_not() {
    let mut owner = owner();
    for number in 0..10 {
        let at = START + GAP * number;
        let bad = BAD + 10 * u64::from(number % 2);
        let number = number as usize;
        observe(
            &mut owner,
            at,
            crash(number, number, Duration::ZERO, &[OTHER, bad]),
        );
        observe_sound(&mut owner, at + GAP / 2, OTHER, Duration::ZERO);
    }
    let at = START + GAP * 10 + SETTLED;
    assert!(is_refused(&mut owner, at, 1, &[BAD]));
    assert!(is_refused(&mut owner, at, 2, &[BAD + 10]));
    assert!(!is_refused(&mut owner, at, 3, &[OTHER]));
}

#[test]
fn requests_with_repeatedly_suspected_content_are_sent_one_at_a_time() {
    let mut owner = owner();
    let at = crash_in_a_row(&mut owner, START, 2, &[BAD]);
    granted_upstream(request_slot(&mut owner, at, request(1, &[BAD])));
    assert!(request_slot(&mut owner, at, request(2, &[BAD])).is_none());
    granted_upstream(request_slot(&mut owner, at, request(3, &[OTHER])));
    observe_sound(&mut owner, at, BAD, Duration::ZERO);
    granted_upstream(request_slot(&mut owner, at, request(4, &[BAD])));
}

#[test]
fn one_request_is_let_through_after_a_while_and_later_after_each_crash() {
    let mut owner = owner();
    let at = crash_in_a_row(&mut owner, START, 5, &[BAD]);
    let just_before = at + Duration::from_secs(13);
    assert!(is_refused(&mut owner, just_before, 1, &[BAD]));
    let trial_at = at + Duration::from_secs(16);
    granted_upstream(request_slot(&mut owner, trial_at, request(2, &[BAD])));
    assert!(request_slot(&mut owner, trial_at, request(3, &[BAD])).is_none());
    observe(&mut owner, trial_at, crash(9, 9, Duration::ZERO, &[BAD]));
    assert!(is_refused(
        &mut owner,
        trial_at + Duration::from_secs(110),
        4,
        &[BAD]
    ));
    let next_trial_at = trial_at + Duration::from_secs(140);
    granted_upstream(request_slot(&mut owner, next_trial_at, request(5, &[BAD])));
    observe_sound(&mut owner, next_trial_at, BAD, Duration::ZERO);
    granted_upstream(request_slot(&mut owner, next_trial_at, request(6, &[BAD])));
    granted_upstream(request_slot(&mut owner, next_trial_at, request(7, &[BAD])));
}

/// The end of a run that brought its events from `to_first_event` on.
fn run_ended(
    run: RunId,
    outcome: RunOutcome,
    events: u32,
    to_first_event: Duration,
    to_end: Duration,
) -> Event {
    Event::RunEnded(RunReport {
        run,
        service: SERVICE.into(),
        outcome,
        to_first_event: (events > 0).then_some(to_first_event),
        to_end,
        events,
    })
}

/// A run that was granted before the crashes, so that its entry node may not have heard that its content is suspected.
#[test]
fn a_segment_is_sound_if_a_run_began_to_write_after_the_crashes_and_not_before() {
    for (to_first_event, is_sound) in [(GAP / 2, false), (GAP * 5, true)] {
        for outcome in [RunOutcome::Completed, RunOutcome::Cancelled] {
            let mut owner = owner();
            granted_upstream(request_slot(&mut owner, START, request(1, &[BAD])));
            let at = crash_in_a_row(&mut owner, START, 5, &[BAD]);
            let end = run_ended(1, outcome, 30, to_first_event, at - START);
            owner.reduce(at, end);
            let at = at + Duration::from_millis(50);
            assert_eq!(is_refused(&mut owner, at, 2, &[BAD]), !is_sound);
        }
    }
}

#[test]
fn a_request_is_sound_if_it_was_answered_whole_after_its_crashes() {
    let same_request = |run| SlotRequest {
        fingerprint: 99,
        ..request(run, &[])
    };
    for (outcome, is_sound) in [
        (RunOutcome::Completed, true),
        (RunOutcome::Cancelled, false),
    ] {
        let mut owner = owner();
        granted_upstream(request_slot(&mut owner, START, same_request(1)));
        for number in 0..3 {
            let at = START + GAP * number as u32;
            let mut crashed = crash(number, number, Duration::ZERO, &[]);
            crashed.requests = vec![99];
            observe(&mut owner, at, crashed);
        }
        let at = START + GAP * 3 + SETTLED;
        owner.reduce(at, run_ended(1, outcome, 30, GAP, at - START));
        let at = at + Duration::from_millis(50);
        let decision = request_slot(&mut owner, at, same_request(2));
        match decision {
            Some(SlotDecision::Granted(_)) => assert!(is_sound),
            decision => {
                assert_eq!(refusal(decision).reason, RefusalReason::CrashSuspect);
                assert!(!is_sound);
            }
        }
    }
}

/// The entry nodes tell the nodes that they take for the first in rank, which the owner may not be among.
#[test]
fn an_owner_learns_of_crashes_from_the_ends_of_runs_alone() {
    let mut owner = owner();
    let mut at = START;
    for run in 0..4 {
        at = START + (GAP + SETTLED) * run as u32;
        owner.reduce(at, Event::Ticked);
        granted_upstream(request_slot(&mut owner, at, request(run, &[BAD])));
        owner.reduce(at, run_ended(run, RunOutcome::Broken, 0, GAP, GAP));
    }
    at += SETTLED;
    owner.reduce(at, Event::Ticked);
    assert!(is_refused(&mut owner, at, 10, &[BAD]));
    assert!(!is_refused(&mut owner, at, 11, &[OTHER]));
}

#[test]
fn an_entry_node_holds_back_content_by_crashes_of_which_all_nodes_have_heard() {
    let mut entry = owner();
    let at = crash_in_a_row(&mut entry, START, 4, &[BAD]);
    assert!(!entry.holds_crashing_content(at, &request(1, &[BAD])));
    let heard = at + Duration::from_secs(2);
    assert!(entry.holds_crashing_content(heard, &request(1, &[BAD])));
    assert!(!entry.holds_crashing_content(heard, &request(1, &[OTHER])));
    observe_sound(&mut entry, heard, BAD, Duration::ZERO);
    assert!(!entry.holds_crashing_content(heard, &request(1, &[BAD])));
}

#[test]
fn an_owner_that_may_not_see_the_segments_of_a_prompt_refuses_it_too() {
    let mut owner = owner();
    let at = crash_in_a_row(&mut owner, START, 4, &[BAD]);
    let mut redacted = SlotRequest {
        allowed_data_centres: Some(vec!["a".into()]),
        ..request(1, &[BAD])
    };
    redacted.redact_for(Some(&"b".into()));
    let decision = request_slot(&mut owner, at, redacted);
    assert_eq!(refusal(decision).reason, RefusalReason::CrashSuspect);
}

#[test]
fn memory_and_messages_stay_bounded_when_all_prompts_crash() {
    let mut owner = owner();
    for number in 0..2_000 {
        let at = START + Duration::from_millis(10) * number as u32;
        let segments: Vec<_> = (0..100).map(|it| number as u64 * 1_000 + it).collect();
        let crash = crash(number, number % UPSTREAMS, Duration::ZERO, &segments);
        observe(&mut owner, at, crash);
    }
    assert!(owner.crash_count() <= 64);
    let shared = owner.crash_evidence(START + Duration::from_secs(20));
    assert!(shared.crashes.len() <= 32);
    assert!(shared.crashes.iter().all(|it| it.segments.len() <= 64));
}

#[test]
fn a_node_that_has_just_started_refuses_what_another_one_learned() {
    let mut first = owner();
    let at = crash_in_a_row(&mut first, START, 4, &[BAD]);
    let mut second = owner();
    let soon = Duration::from_millis(20);
    second.reduce(soon, Event::CrashesObserved(first.crash_evidence(at)));
    assert!(is_refused(&mut second, soon, 1, &[BAD]));
    assert_eq!(
        first.crash_evidence_version(),
        second.crash_evidence_version()
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Nodes that hear the same in another order, and some of it twice, know the same.
    #[test]
    fn what_nodes_know_does_not_depend_on_the_order_of_messages(
        order in Just((0..12_usize).collect::<Vec<_>>()).prop_shuffle(),
        repeated in 0..12_usize,
        segments in prop::collection::vec(prop::collection::vec(1..6_u64, 1..4), 8),
    ) {
        let at = START + Duration::from_secs(10);
        let messages: Vec<_> = segments.iter().enumerate().map(|(number, segments)| {
            let age = Duration::from_secs(9) - GAP * number as u32;
            CrashEvidence::from(crash(number, number, age, segments))
        }).collect();
        let mut first = owner();
        let mut second = owner();
        for message in &messages {
            first.reduce(at, Event::CrashesObserved(message.clone()));
        }
        for number in order.iter().chain([&repeated]) {
            if let Some(message) = messages.get(*number) {
                second.reduce(at, Event::CrashesObserved(message.clone()));
            }
        }
        prop_assert_eq!(first.crash_evidence_version(), second.crash_evidence_version());
        for segment in 1..6 {
            let run = segment + 10;
            prop_assert_eq!(
                is_refused(&mut first, at, run, &[segment]),
                is_refused(&mut second, at, run, &[segment])
            );
        }
    }
}
