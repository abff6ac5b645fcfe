//! Guards against values from other writers (registry, answers of upstreams, other nodes, callers) that end the process or
//! turn the size of a service around. Arithmetic on them may saturate but not overflow.

mod support;

use {
    dragonflystep_dispatch::{
        Dispatcher, Event, NoticeKind, PromptSegment, RolloutOrder, RolloutPhase, RunOutcome,
        RunReport, SlotDecision, SlotRequest, Upstream, UpstreamLoad, UpstreamNotice, Visibility,
        WorkSize,
    },
    proptest::{
        collection::vec,
        prelude::{any, prop_oneof},
        proptest,
        sample::select,
        strategy::{Just, Strategy},
    },
    std::{sync::Arc, time::Duration},
    support::{
        SERVICE, catalogue,
        copies::{continued, copying_owner},
        dispatcher, plain_request,
        slot_requests::{START, granted_upstream, request_slot, run_ended},
        upstream,
    },
};

/// Longest time that a message between nodes can carry.
const LONGEST: Duration = Duration::from_micros(u64::MAX);

fn load(running: u32, waiting: u32) -> Event {
    Event::LoadObserved(UpstreamLoad {
        service: SERVICE.into(),
        upstream: "engine-0".into(),
        running,
        waiting,
    })
}

#[test]
fn slots_of_one_entry_do_not_overflow_those_of_the_service() {
    let mut owner = dispatcher(0, 2);
    let entries = vec![upstream(0, u32::MAX), upstream(1, 2), upstream(2, 2)];
    owner.reduce(START, Event::UpstreamsChanged(entries));
    granted_upstream(request_slot(&mut owner, START, plain_request(1, 0)));
}

/// Without a majority an owner uses a share of all slots, of which a sum that wraps leaves nearly none.
#[test]
fn slots_of_one_entry_do_not_reduce_the_share_of_a_minority() {
    let mut owner = dispatcher(0, 2);
    let entries = vec![upstream(0, u32::MAX), upstream(1, 2), upstream(2, 2)];
    owner.reduce(START, Event::UpstreamsChanged(entries));
    let minority = Visibility {
        visible: 2,
        known: 5,
        refusing: 0,
    };
    owner.reduce(START, Event::VisibilityChanged(minority));
    for run in 1..=20 {
        granted_upstream(request_slot(&mut owner, START, plain_request(run, 0)));
    }
}

#[test]
fn a_run_goes_on_at_an_upstream_with_any_number_of_slots() {
    let mut owner = copying_owner(2, 4);
    let entries = vec![upstream(0, u32::MAX), upstream(1, 2)];
    owner.reduce(START, Event::UpstreamsChanged(entries));
    let decision = request_slot(&mut owner, START, continued(1, "engine-0"));
    assert_eq!(granted_upstream(decision), "engine-0");
}

#[test]
fn a_reported_load_of_any_size_fills_its_upstream_alone() {
    for (running, waiting) in [
        (u32::MAX, 1),
        (1, u32::MAX),
        (u32::MAX, u32::MAX),
        (u32::MAX - 1, 1),
    ] {
        let mut owner = dispatcher(2, 2);
        granted_upstream(request_slot(&mut owner, START, plain_request(1, 0)));
        owner.reduce(START, load(running, waiting));
        let decision = request_slot(&mut owner, START, plain_request(2, 0));
        assert_eq!(granted_upstream(decision), "engine-1");
    }
}

#[test]
fn cached_prompt_segments_of_any_size_are_added_up() {
    let mut large = catalogue(4);
    let engine = large.services[0].engine.as_mut();
    engine.expect("the service runs on engines").cache_tokens = u64::MAX;
    let mut owner = dispatcher(0, 4);
    owner.reduce(START, Event::CatalogueChanged(Arc::new(large)));
    owner.reduce(START, Event::UpstreamsChanged(vec![upstream(0, 4)]));
    let segments = [7, 8].map(|id| PromptSegment {
        id,
        tokens: u32::MAX,
    });
    for run in 1..=3 {
        let request = SlotRequest {
            size: WorkSize {
                prompt_tokens: 2_000,
                output_tokens: 120,
                segments: segments.to_vec(),
            },
            ..plain_request(run, 0)
        };
        granted_upstream(request_slot(&mut owner, START, request));
        owner.reduce(START, run_ended(run, RunOutcome::Completed));
    }
}

fn extreme_u32() -> impl Strategy<Value = u32> {
    prop_oneof![
        select(vec![0, 1, 2, 40, u32::MAX / 2, u32::MAX - 1, u32::MAX]),
        any::<u32>()
    ]
}

fn extreme_time() -> impl Strategy<Value = Duration> {
    prop_oneof![
        select(vec![
            Duration::ZERO,
            Duration::from_micros(1),
            Duration::from_millis(60),
            Duration::from_secs(100_000),
            LONGEST
        ]),
        any::<u64>().prop_map(Duration::from_micros),
    ]
}

fn extreme_rate() -> impl Strategy<Value = f64> {
    select(vec![
        0.0,
        f64::from_bits(1),
        1e-300,
        0.1,
        3.0,
        1e9,
        1e300,
        f64::MAX,
    ])
}

fn extreme_notice() -> impl Strategy<Value = Event> {
    let kind = prop_oneof![
        extreme_rate().prop_map(|requests_per_s| NoticeKind::RateLimited { requests_per_s }),
        Just(NoticeKind::RateUnlimited),
        extreme_rate()
            .prop_map(|rejections_per_s| NoticeKind::RejectionsLimited { rejections_per_s }),
        Just(NoticeKind::RejectionsUnlimited),
        extreme_time().prop_map(|duration| NoticeKind::BackOff { node: 7, duration }),
        extreme_time().prop_map(|left| NoticeKind::WarmingUp { left }),
    ];
    (kind, extreme_time()).prop_map(|(kind, age)| {
        Event::NoticeReceived(UpstreamNotice {
            service: SERVICE.into(),
            upstream: "engine-0".into(),
            kind,
            age,
        })
    })
}

fn extreme_request() -> impl Strategy<Value = Event> {
    let segments = vec((0_u64..4, extreme_u32()), 0..4);
    let sizes = (extreme_u32(), extreme_u32(), segments);
    let times = (extreme_time(), extreme_time(), extreme_time());
    (1_u64..9, sizes, times, any::<u16>()).prop_map(|(run, sizes, times, tier)| {
        let (prompt_tokens, output_tokens, segments) = sizes;
        let (objective_left, time_left, longest_pause) = times;
        let segments = segments.into_iter();
        Event::SlotRequested(SlotRequest {
            objective_left,
            time_left,
            longest_pause: (longest_pause > Duration::ZERO).then_some(longest_pause),
            size: WorkSize {
                prompt_tokens,
                output_tokens,
                segments: segments
                    .map(|(id, tokens)| PromptSegment { id, tokens })
                    .collect(),
            },
            ..plain_request(run, tier)
        })
    })
}

fn extreme_report() -> impl Strategy<Value = Event> {
    (
        1_u64..9,
        extreme_time(),
        extreme_time(),
        extreme_u32(),
        any::<bool>(),
    )
        .prop_map(|(run, first, to_end, events, is_complete)| {
            Event::RunEnded(RunReport {
                run,
                service: SERVICE.into(),
                outcome: if is_complete {
                    RunOutcome::Completed
                } else {
                    RunOutcome::Broken
                },
                to_first_event: (first > Duration::ZERO).then_some(first),
                to_end,
                events,
            })
        })
}

/// What upstreams, the registry and operators state.
fn extreme_statement() -> impl Strategy<Value = Event> {
    let slots = vec(prop_oneof![Just(None), extreme_u32().prop_map(Some)], 0..5);
    let order = (extreme_time(), any::<u64>(), select(vec!["v1", "v2", ""]));
    prop_oneof![
        slots.prop_map(|slots| {
            let entries = slots.into_iter().enumerate();
            let entries = entries.map(|(index, slots)| Upstream {
                slots,
                ..upstream(index, 1)
            });
            Event::UpstreamsChanged(entries.collect())
        }),
        (extreme_u32(), extreme_u32()).prop_map(|(running, waiting)| load(running, waiting)),
        extreme_notice(),
        order.prop_map(|(ends_at, number, version)| {
            Event::RolloutOrdered(RolloutOrder {
                service: SERVICE.into(),
                target_version: version.into(),
                number,
                ends_at,
            })
        }),
        any::<u64>().prop_map(|number| {
            Event::RolloutSettled(SERVICE.into(), number, RolloutPhase::Completed)
        }),
        Just(Event::Ticked),
    ]
}

/// Whether an owner still serves once the registry has the usual entries again.
fn serves_again(owner: &mut Dispatcher, at: Duration) -> bool {
    let entries = (10..12).map(|index| upstream(index, 4)).collect();
    owner.reduce(at, Event::RolloutWithdrawn(SERVICE.into()));
    owner.reduce(at, Event::UpstreamsChanged(entries));
    let later = at + Duration::from_secs(5);
    let decision = request_slot(owner, later, plain_request(1_000, 0));
    matches!(decision, Some(SlotDecision::Granted(_)))
}

/// Lets an owner handle events one after the other; returns the time after the last one.
fn play(owner: &mut Dispatcher, events: Vec<(Event, u64)>) -> Duration {
    let mut at = START;
    for (event, pause_ms) in events {
        owner.reduce(at, event);
        at += Duration::from_millis(pause_ms);
    }
    owner.reduce(at, Event::Ticked);
    at
}

proptest! {
    #[test]
    fn an_owner_serves_after_extreme_statements(events in vec((extreme_statement(), 0_u64..400), 1..40)) {
        let mut owner = dispatcher(2, 2);
        let at = play(&mut owner, events);
        assert!(serves_again(&mut owner, at));
    }

    #[test]
    fn extreme_requests_and_statements_end_no_owner(
        events in vec((prop_oneof![extreme_statement(), extreme_request(), extreme_report()], 0_u64..400), 1..60),
    ) {
        let mut owner = dispatcher(2, 2);
        let at = play(&mut owner, events);
        serves_again(&mut owner, at);
    }
}
