//! Owners of engines that copy the runs of one another.

use {
    super::{SERVICE, catalogue, limits, plain_request, slot_requests::request_slot, upstream},
    dragonflystep_dispatch::{
        CacheTransfer, Catalogue, CopyRules, Dispatcher, Event, Grant, RunCopy, RunId, RunOutcome,
        RunReport, SlotDecision, SlotRequest, Upstream, UpstreamId,
    },
    std::{sync::Arc, time::Duration},
};

/// Memory of an engine, in tokens.
pub const MEMORY_TOKENS: u64 = 40_000;

/// Memory that a [`plain_request`] takes at most, in tokens.
pub const RUN_TOKENS: u64 = 2_120;

/// How long an engine keeps a copy.
pub const LIFETIME: Duration = Duration::from_secs(3);

/// Rules that copy every run, in a quarter of the memory.
pub const COPY_ALL: CopyRules = CopyRules {
    min_break_probability: 0.0,
    max_memory_share: 0.25,
};

/// A catalogue with a service whose engines copy their runs, or don't.
pub fn copying_catalogue(slots: u32, has_backups: bool) -> Catalogue {
    let mut catalogue = catalogue(slots);
    let engine = catalogue.services[0].engine.as_mut();
    let engine = engine.expect("the service runs on engines");
    engine.cache_tokens = MEMORY_TOKENS;
    engine.cache_transfer = Some(CacheTransfer {
        token_bytes: 18_432,
        link_mbit_per_s: 100_000.0,
        copy_lifetime: LIFETIME,
        has_backups,
        has_moves: true,
    });
    catalogue
}

/// An owner without upstreams.
pub fn empty_owner(slots: u32, rules: CopyRules) -> Dispatcher {
    let mut limits = limits();
    limits.copies = rules;
    // The tests of copies end more runs than a usual retry budget has room for.
    limits.retry_slack = 100_000.0;
    let mut owner = Dispatcher::new(limits);
    let catalogue = Arc::new(copying_catalogue(slots, true));
    owner.reduce(Duration::ZERO, Event::CatalogueChanged(catalogue));
    owner
}

/// An owner of these upstreams.
pub fn owner_of(upstreams: Vec<Upstream>, slots: u32, rules: CopyRules) -> Dispatcher {
    let mut owner = empty_owner(slots, rules);
    owner.reduce(Duration::ZERO, Event::UpstreamsChanged(upstreams));
    owner
}

/// An owner of `count` upstreams with `slots` slots each, which copies every run.
pub fn copying_owner(count: usize, slots: u32) -> Dispatcher {
    let upstreams = (0..count).map(|index| upstream(index, slots)).collect();
    owner_of(upstreams, slots, COPY_ALL)
}

/// Requests a slot and returns the grant; panics if there is none.
pub fn grant_for(owner: &mut Dispatcher, at: Duration, request: SlotRequest) -> Grant {
    match request_slot(owner, at, request) {
        Some(SlotDecision::Granted(grant)) => grant,
        other => panic!("no slot was granted: {other:?}"),
    }
}

/// The upstream that gets the copy of a granted run.
pub fn copied_to(grant: &Grant) -> Option<String> {
    let copy = grant.copy.as_ref();
    copy.map(|copy| copy.upstream.to_string())
}

/// The request of a run that goes on at an upstream.
pub fn continued(run: RunId, at: &str) -> SlotRequest {
    let upstream: UpstreamId = at.into();
    SlotRequest {
        previous_attempts: 1,
        copy: Some(RunCopy::Continued(upstream)),
        ..plain_request(run, 0)
    }
}

/// The end of a run after 30 events; of one that did not run, without any.
pub fn ended(run: RunId, outcome: RunOutcome) -> Event {
    let has_run = outcome.may_have_run();
    Event::RunEnded(RunReport {
        run,
        service: SERVICE.into(),
        outcome,
        to_first_event: has_run.then_some(Duration::from_millis(60)),
        to_end: Duration::from_millis(500),
        events: if has_run { 30 } else { 0 },
    })
}
