//! Which runs an owner copies to a second upstream, at which one, and for how long it counts the copies.

mod support;

use {
    dragonflystep_dispatch::{
        ActiveRun, CopyRules, CrashEvidence, Dispatcher, Event, RunCopy, RunId, RunOutcome,
        SlotRequest, Upstream, UpstreamCrash, UpstreamPhase, Visibility, WarmUp,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
    support::{
        copies::{
            COPY_ALL, LIFETIME, MEMORY_TOKENS, RUN_TOKENS, copied_to, copying_catalogue,
            copying_owner, empty_owner, ended, grant_for, owner_of,
        },
        plain_request,
        slot_requests::START,
        upstream,
    },
};

const SLOTS: u32 = 40;

/// Copies that one upstream takes, by its share of the memory.
const MAX_COPIES: u64 = MEMORY_TOKENS / 4 / RUN_TOKENS;

fn in_data_centre(index: usize, data_centre: &str) -> Upstream {
    Upstream {
        data_centre: data_centre.into(),
        ..upstream(index, SLOTS)
    }
}

/// Runs without a copy in a row after which no upstream is taken to have room for another one.
const MAX_UNCOPIED: usize = 8;

/// Begins runs until no more are copied, cancels them, and returns the number of copies at each upstream.
fn fill(owner: &mut Dispatcher, at: Duration, first_run: RunId) -> HashMap<String, u64> {
    let mut copies = HashMap::new();
    let mut uncopied = 0;
    let mut run = first_run;
    while uncopied < MAX_UNCOPIED {
        let grant = grant_for(owner, at, plain_request(run, 0));
        run += 1;
        match copied_to(&grant) {
            Some(upstream) => {
                *copies.entry(upstream).or_default() += 1;
                uncopied = 0;
            }
            None => uncopied += 1,
        }
    }
    for run in first_run..run {
        owner.reduce(at, ended(run, RunOutcome::Cancelled));
    }
    copies
}

#[test]
fn a_copy_goes_to_another_upstream_in_the_same_data_centre() {
    let centres = ["a", "b", "a", "b"].into_iter().enumerate();
    let upstreams = centres.map(|(index, name)| in_data_centre(index, name));
    let mut owner = owner_of(upstreams.collect(), SLOTS, COPY_ALL);
    for run in 0..4 {
        let grant = grant_for(&mut owner, START, plain_request(run, 0));
        let source: usize = grant.upstream["engine-".len()..].parse().expect("an index");
        let expected = (source + 2) % 4;
        let copy = grant.copy.expect("it is copied");
        assert_eq!(&*copy.upstream, format!("engine-{expected}"));
        assert_eq!(copy.address, format!("127.0.0.1:{expected}"));
    }
}

#[test]
fn a_copy_goes_to_another_data_centre_if_none_is_left_in_its_own() {
    let upstreams = vec![in_data_centre(0, "a"), in_data_centre(1, "b")];
    let mut owner = owner_of(upstreams, SLOTS, COPY_ALL);
    let grant = grant_for(&mut owner, START, plain_request(1, 0));
    assert_eq!(copied_to(&grant).as_deref(), Some("engine-1"));
}

#[test]
fn copies_stay_in_the_data_centre_if_the_registry_lists_data_centres_one_after_the_other() {
    let upstreams = (0..120).map(|index| {
        let names = ["a", "b", "c"];
        in_data_centre(index, names[index / 40])
    });
    let mut owner = owner_of(upstreams.collect(), SLOTS, COPY_ALL);
    let near = (0..100).filter(|run| {
        let grant = grant_for(&mut owner, START, plain_request(*run, 0));
        let index: usize = copied_to(&grant).expect("it is copied")["engine-".len()..]
            .parse()
            .expect("an index");
        owner.reduce(START, ended(*run, RunOutcome::Completed));
        index < 40
    });
    let near = near.count();
    assert!(near >= 95, "{near} of 100 copies in the data centre");
}

#[test]
fn no_copy_goes_to_the_source_or_to_an_upstream_that_may_not_run_the_request() {
    let draining = Upstream {
        phase: UpstreamPhase::Draining,
        ..upstream(1, SLOTS)
    };
    let other_version = Upstream {
        version: "v2".into(),
        ..upstream(1, SLOTS)
    };
    for other in [draining, other_version, in_data_centre(1, "b")] {
        let upstreams = vec![upstream(0, SLOTS), other];
        let mut owner = owner_of(upstreams, SLOTS, COPY_ALL);
        let request = SlotRequest {
            allowed_data_centres: Some(vec!["a".into()]),
            ..plain_request(1, 0)
        };
        let grant = grant_for(&mut owner, START, request);
        assert_eq!(grant.copy, None);
    }
    let mut owner = copying_owner(1, SLOTS);
    let grant = grant_for(&mut owner, START, plain_request(1, 0));
    assert_eq!(grant.copy, None, "the source is the only upstream");
    let mut owner = copying_owner(2, SLOTS);
    let request = SlotRequest {
        excluded_upstreams: vec!["engine-1".into()],
        ..plain_request(1, 0)
    };
    assert_eq!(grant_for(&mut owner, START, request).copy, None);
}

#[test]
fn no_copy_goes_to_an_evacuated_data_centre() {
    let upstreams = vec![in_data_centre(0, "a"), in_data_centre(1, "b")];
    let mut owner = owner_of(upstreams, SLOTS, COPY_ALL);
    let evacuated = ["b".into()].into_iter().collect();
    owner.reduce(START, Event::EvacuationsChanged(evacuated));
    let grant = grant_for(&mut owner, START, plain_request(1, 0));
    assert_eq!(grant.copy, None);
}

#[test]
fn no_copy_goes_to_a_cold_upstream() {
    let mut owner = empty_owner(SLOTS, COPY_ALL);
    let mut catalogue = copying_catalogue(SLOTS, true);
    catalogue.services[0].warm_up = Some(WarmUp {
        duration: Duration::from_secs(10),
        requests_per_s: 2.0,
    });
    owner.reduce(Duration::ZERO, Event::CatalogueChanged(Arc::new(catalogue)));
    let known = vec![upstream(0, SLOTS)];
    owner.reduce(Duration::ZERO, Event::UpstreamsChanged(known.clone()));
    let with_new = [known, vec![upstream(1, SLOTS)]].concat();
    owner.reduce(START, Event::UpstreamsChanged(with_new));
    let grant = grant_for(&mut owner, START, plain_request(1, 0));
    assert_eq!(&*grant.upstream, "engine-0");
    assert_eq!(grant.copy, None);
    let warm_at = START + Duration::from_secs(11);
    owner.reduce(warm_at, Event::Ticked);
    assert_ne!(
        grant_for(&mut owner, warm_at, plain_request(2, 0)).copy,
        None
    );
}

#[test]
fn copies_take_no_more_than_their_share_of_the_memory() {
    let mut owner = copying_owner(6, SLOTS);
    let copies = fill(&mut owner, START, 1);
    assert!(
        copies.values().all(|count| *count <= MAX_COPIES),
        "{copies:?}"
    );
    assert_eq!(copies.values().sum::<u64>(), 6 * MAX_COPIES, "{copies:?}");
}

#[test]
fn an_owner_that_sees_a_minority_of_the_nodes_uses_its_part_of_the_memory() {
    let mut owner = copying_owner(6, SLOTS);
    let visibility = Visibility {
        visible: 2,
        known: 6,
        refusing: 0,
    };
    owner.reduce(START, Event::VisibilityChanged(visibility));
    let copies = fill(&mut owner, START, 1);
    assert!(
        copies.values().all(|count| *count <= MAX_COPIES / 3),
        "{copies:?}"
    );
}

#[test]
fn the_copy_of_a_run_that_ended_well_or_did_not_run_is_freed_at_once() {
    for outcome in [
        RunOutcome::Completed,
        RunOutcome::Rejected,
        RunOutcome::Withheld,
    ] {
        let mut owner = copying_owner(2, SLOTS);
        for run in 0..MAX_COPIES {
            assert_ne!(
                grant_for(&mut owner, START, plain_request(run, 0)).copy,
                None
            );
        }
        for run in 0..MAX_COPIES {
            owner.reduce(START, ended(run, outcome));
        }
        // Later than the back-off after a rejection, and sooner than a copy expires.
        let at = START + LIFETIME / 2;
        owner.reduce(at, Event::Ticked);
        let copies = fill(&mut owner, at, 1_000);
        let count: u64 = copies.values().sum();
        assert_eq!(count, 2 * MAX_COPIES, "{outcome:?}");
    }
}

#[test]
fn the_copy_of_a_run_that_did_not_end_well_expires_with_the_lifetime_of_copies() {
    let mut owner = copying_owner(2, SLOTS);
    fill(&mut owner, START, 1);
    let before = START + LIFETIME - Duration::from_millis(50);
    owner.reduce(before, Event::Ticked);
    assert!(fill(&mut owner, before, 1_000).is_empty());
    let after = START + LIFETIME + Duration::from_millis(50);
    owner.reduce(after, Event::Ticked);
    let count: u64 = fill(&mut owner, after, 2_000).values().sum();
    assert_eq!(count, 2 * MAX_COPIES);
}

#[test]
fn the_copy_of_a_run_whose_upstream_left_the_registry_is_freed() {
    let mut owner = copying_owner(2, SLOTS);
    let mut sources = HashMap::new();
    for run in 0..2 * MAX_COPIES {
        let grant = grant_for(&mut owner, START, plain_request(run, 0));
        sources.insert(run, grant.upstream.to_string());
    }
    let left = vec![upstream(1, SLOTS), upstream(2, SLOTS)];
    owner.reduce(START, Event::UpstreamsChanged(left));
    for run in 0..2 * MAX_COPIES {
        owner.reduce(START, ended(run, RunOutcome::Completed));
    }
    let count: u64 = fill(&mut owner, START, 1_000).values().sum();
    assert_eq!(count, 2 * MAX_COPIES);
}

#[test]
fn copies_are_counted_where_they_are_after_the_list_of_upstreams_changed() {
    let mut owner = copying_owner(3, SLOTS);
    fill(&mut owner, START, 1);
    let reversed: Vec<_> = (0..4).rev().map(|index| upstream(index, SLOTS)).collect();
    owner.reduce(START, Event::UpstreamsChanged(reversed));
    let copies = fill(&mut owner, START, 1_000);
    assert_eq!(copies, HashMap::from([("engine-3".to_owned(), MAX_COPIES)]));
}

#[test]
fn a_new_owner_counts_the_copies_of_the_runs_that_it_learns_of() {
    let mut owner = copying_owner(2, SLOTS);
    for run in 0..MAX_COPIES {
        for _ in 0..2 {
            let active = ActiveRun {
                request: SlotRequest {
                    copy: Some(RunCopy::Kept("engine-1".into())),
                    ..plain_request(run, 0)
                },
                upstream: "engine-0".into(),
                running_for: Duration::from_millis(100),
            };
            owner.reduce(START, Event::ActiveRunReported(active));
        }
    }
    let copies = fill(&mut owner, START, 1_000);
    assert_eq!(copies.get("engine-1"), None, "reported twice, counted once");
    assert_eq!(copies.get("engine-0"), Some(&MAX_COPIES));
    for run in 0..MAX_COPIES {
        owner.reduce(START, ended(run, RunOutcome::Completed));
    }
    let copies = fill(&mut owner, START, 2_000);
    assert_eq!(copies, HashMap::from([("engine-1".to_owned(), MAX_COPIES)]));
}

#[test]
fn nothing_is_copied_if_engines_cannot_be_told_to_stop_a_run() {
    let mut owner = copying_owner(2, SLOTS);
    let mut catalogue = copying_catalogue(SLOTS, true);
    let engine = catalogue.services[0].engine.as_mut();
    let engine = engine.expect("the service runs on engines");
    let transfer = engine.cache_transfer.as_mut();
    transfer.expect("engines copy").has_moves = false;
    owner.reduce(START, Event::CatalogueChanged(Arc::new(catalogue)));
    assert_eq!(grant_for(&mut owner, START, plain_request(1, 0)).copy, None);
}

#[test]
fn nothing_is_copied_without_facts_of_the_engines_or_by_rules_that_copy_nothing() {
    let mut owner = copying_owner(2, SLOTS);
    let catalogue = copying_catalogue(SLOTS, false);
    owner.reduce(START, Event::CatalogueChanged(Arc::new(catalogue)));
    assert_eq!(grant_for(&mut owner, START, plain_request(1, 0)).copy, None);
    let rules = CopyRules {
        min_break_probability: 1.0,
        ..COPY_ALL
    };
    let upstreams = (0..2).map(|index| upstream(index, SLOTS)).collect();
    let mut owner = owner_of(upstreams, SLOTS, rules);
    for run in 0..4 {
        let grant = grant_for(&mut owner, START, plain_request(run, 0));
        assert_eq!(grant.copy, None);
        owner.reduce(START, ended(run, RunOutcome::Broken));
    }
    let plain_call = SlotRequest {
        longest_pause: None,
        ..plain_request(1, 0)
    };
    let mut owner = copying_owner(2, SLOTS);
    assert_eq!(grant_for(&mut owner, START, plain_call).copy, None);
}

#[test]
fn a_run_with_content_that_is_suspected_of_a_crash_is_not_copied() {
    let mut owner = copying_owner(4, SLOTS);
    let request = |run| SlotRequest {
        shared_content: vec![7],
        ..plain_request(run, 0)
    };
    assert_ne!(grant_for(&mut owner, START, request(1)).copy, None);
    let crash = UpstreamCrash::of_run(&request(2), "engine-3".into(), "127.0.0.1:3", 0);
    owner.reduce(START, Event::CrashesObserved(CrashEvidence::from(crash)));
    assert_eq!(grant_for(&mut owner, START, request(3)).copy, None);
    assert_ne!(grant_for(&mut owner, START, plain_request(4, 0)).copy, None);
}
