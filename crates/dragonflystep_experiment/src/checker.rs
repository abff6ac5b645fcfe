//! Counts broken promises from the records of a run.

use {
    crate::record::{Final, RequestRecord, RunRecord, StreamEnd},
    dragonflystep_core::request::{Ran, RefusalCode, RequestKey},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

/// How late after its deadline a final answer may come.
pub const ANSWER_BOUND: Duration = Duration::from_millis(500);

/// How long a refusal may be under way from its broker to be judged by what runs when it is told.
pub const REFUSAL_WAY_BOUND: Duration = Duration::from_millis(100);

/// How long after the catalogue said so an upstream may still get new work.
pub const LEAVING_BOUND: Duration = Duration::from_secs(5);

/// A promise of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A request is dispatched at most once.
    AtMostOneDispatch,
    /// A non-idempotent request runs at most once.
    NonIdempotentOnce,
    /// What is said not to have run did not run.
    NotRunIsTrue,
    /// A caller gets the whole answer to its own request.
    WholeAnswer,
    /// Every request gets one final answer, in time.
    OneFinalAnswer,
    /// Limits of upstreams are not exceeded.
    Limits,
    /// One broker grants for a group at any time.
    OneBroker,
    /// A higher tier is not refused for load while a lower one is served.
    TierOrder,
    /// A leaving upstream gets no new work after a few seconds.
    LeavingUpstream,
    /// A planned stop cuts off nothing.
    PlannedStop,
    /// A catalogue version in force never reverts.
    CatalogueNeverReverts,
}

/// One broken promise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Which promise.
    pub promise: Promise,
    /// When, in seconds of the run.
    pub at_s: f64,
    /// What happened.
    pub what: String,
}

/// All broken promises of a run.
pub fn violations(record: &RunRecord) -> Vec<Violation> {
    let mut found = Found::default();
    dispatches(record, &mut found);
    for (index, request) in record.requests.iter().enumerate() {
        not_run(record, index, request, &mut found);
        final_answer(index, request, &mut found);
    }
    for excess in &record.limit_excesses {
        let id = &record.upstreams[excess.upstream].id;
        let what = format!("{id} had {} of {}", excess.had, excess.limit);
        found.add(Promise::Limits, excess.at, what);
    }
    one_broker(record, &mut found);
    tier_order(record, &mut found);
    leaving(record, &mut found);
    for request in &record.cut_off_by_stop {
        let what = format!("request {request} was open when its node ended");
        found.add(Promise::PlannedStop, Duration::ZERO, what);
    }
    catalogue(record, &mut found);
    found.violations
}

/// Broken promises by kind.
pub fn counts(violations: &[Violation]) -> BTreeMap<Promise, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.promise).or_default() += 1;
    }
    counts
}

#[derive(Default)]
struct Found {
    violations: Vec<Violation>,
}

impl Found {
    fn add(&mut self, promise: Promise, at: Duration, what: String) {
        self.violations.push(Violation {
            promise,
            at_s: at.as_secs_f64(),
            what,
        });
    }
}

fn dispatches(record: &RunRecord, found: &mut Found) {
    let mut by_key: HashMap<&RequestKey, Vec<usize>> = HashMap::new();
    for (index, request) in record.requests.iter().enumerate() {
        if let Some(key) = &request.arrival.facts.key {
            by_key.entry(key).or_default().extend(&request.streams);
        } else if request.streams.len() > 1 {
            let at = record.streams[request.streams[1]].dispatched_at;
            let what = format!("request {index} went out {} times", request.streams.len());
            found.add(Promise::AtMostOneDispatch, at, what);
        }
    }
    for (key, streams) in by_key {
        let Some(second) = streams.get(1) else {
            continue;
        };
        let stream = &record.streams[*second];
        let what = format!("key {} went out {} times", key.text, streams.len());
        let idempotent = record.requests[stream.request].arrival.facts.idempotent;
        let promise = if idempotent {
            Promise::AtMostOneDispatch
        } else {
            Promise::NonIdempotentOnce
        };
        found.add(promise, stream.dispatched_at, what);
    }
}

fn not_run(record: &RunRecord, index: usize, request: &RequestRecord, found: &mut Found) {
    for (at, last) in &request.finals {
        let Final::Refused(refusal) = last else {
            continue;
        };
        if refusal.ran == Ran::No && !request.streams.is_empty() {
            let stream = &record.streams[request.streams[0]];
            let what = format!(
                "request {index} was refused as not run ({:?}) but went out at {:?}",
                refusal.code, stream.dispatched_at
            );
            found.add(Promise::NotRunIsTrue, *at, what);
        }
    }
}

fn final_answer(index: usize, request: &RequestRecord, found: &mut Found) {
    let Some(received_at) = request.received_at else {
        return;
    };
    for (at, last) in &request.finals {
        let Final::Answered { tokens } = last else {
            continue;
        };
        if *tokens != request.arrival.answer_tokens {
            let wanted = request.arrival.answer_tokens;
            let what = format!("request {index} ended with {tokens} of {wanted} tokens");
            found.add(Promise::WholeAnswer, *at, what);
        }
    }
    if request.entry_failed {
        return;
    }
    let due = received_at + request.arrival.facts.deadline + ANSWER_BOUND;
    match request.finals.as_slice() {
        [(at, _)] if *at <= due => {}
        [(at, last)] => {
            let what = format!("request {index} had {last:?} {:?} too late", *at - due);
            found.add(Promise::OneFinalAnswer, *at, what);
        }
        finals => {
            let what = format!("request {index} had {} final answers", finals.len());
            found.add(Promise::OneFinalAnswer, due, what);
        }
    }
}

fn one_broker(record: &RunRecord, found: &mut Found) {
    let mut newest: HashMap<&str, (u64, &str)> = HashMap::new();
    let mut seen = HashSet::new();
    for grant in &record.grants {
        // The same answer to a repeated ask makes no new grant.
        if !seen.insert((&grant.group, grant.epoch, grant.grant, &grant.node)) {
            continue;
        }
        let known = newest
            .entry(&grant.group)
            .or_insert((grant.epoch, &grant.node));
        let is_older = grant.epoch < known.0;
        let is_other = grant.epoch == known.0 && known.1 != grant.node.as_ref();
        if is_older || is_other {
            let what = format!(
                "{} granted for {} in epoch {} after {} in epoch {}",
                grant.node, grant.group, grant.epoch, known.1, known.0
            );
            found.add(Promise::OneBroker, grant.at, what);
        } else {
            *known = (grant.epoch, &grant.node);
        }
    }
}

/// A time in which a stream of a tier was served.
struct Served {
    from: Duration,
    until: Duration,
    tier: u8,
    service: std::sync::Arc<str>,
}

fn tier_order(record: &RunRecord, found: &mut Found) {
    let served: Vec<Served> = record
        .streams
        .iter()
        .map(|stream| {
            let facts = &record.requests[stream.request].arrival.facts;
            // Nobody is served any more by a stream whose caller has its final answer or lost its entry.
            let request = &record.requests[stream.request];
            let ends = [
                stream.ended.map(|(at, _)| at),
                request.finals.first().map(|(at, _)| *at),
                request.abandoned_at,
            ];
            let until = ends.into_iter().flatten().min().unwrap_or(Duration::MAX);
            Served {
                from: stream.dispatched_at,
                until,
                tier: facts.tier,
                service: facts.service.clone(),
            }
        })
        .collect();
    for (index, request) in record.requests.iter().enumerate() {
        let Some((at, refusal)) = request.refusal() else {
            continue;
        };
        if refusal.code != RefusalCode::Overloaded {
            continue;
        }
        // The decision is judged at the broker; what the entry tells is judged as well, unless the word
        // was under way so long that nobody could keep the lower tiers back for it.
        let sent_at = request.load_refusal_sent_at.unwrap_or(at);
        let moments = if at <= sent_at + REFUSAL_WAY_BOUND {
            vec![sent_at, at]
        } else {
            vec![sent_at]
        };
        let facts = &request.arrival.facts;
        let lower = served.iter().filter(|it| {
            let is_served = moments.iter().any(|at| it.from <= *at && *at < it.until);
            it.tier > facts.tier && it.service == facts.service && is_served
        });
        let lower = lower.count();
        if lower > 0 {
            let what = format!(
                "request {index} of tier {} was refused while {lower} lower ones were served",
                facts.tier
            );
            found.add(Promise::TierOrder, at, what);
        }
    }
}

fn leaving(record: &RunRecord, found: &mut Found) {
    for (index, stream) in record.streams.iter().enumerate() {
        let upstream = &record.upstreams[stream.upstream];
        let Some(from) = upstream.leaving_from else {
            continue;
        };
        if stream.dispatched_at > from + LEAVING_BOUND {
            let what = format!("stream {index} went to {} after it left", upstream.id);
            found.add(Promise::LeavingUpstream, stream.dispatched_at, what);
        }
    }
}

fn catalogue(record: &RunRecord, found: &mut Found) {
    let mut newest: HashMap<(usize, u64), u64> = HashMap::new();
    for applied in &record.catalogue_versions {
        let name = (applied.node, applied.incarnation);
        let known = newest.entry(name).or_insert(0);
        if applied.version <= *known {
            let what = format!(
                "node {} went from version {known} to {}",
                applied.node, applied.version
            );
            found.add(Promise::CatalogueNeverReverts, applied.at, what);
        }
        *known = applied.version.max(*known);
    }
}

/// Streams that upstreams computed to their end although nobody got the answer.
pub fn unread_streams(record: &RunRecord) -> usize {
    let streams = record.streams.iter();
    let finished = streams.filter(|it| matches!(it.ended, Some((_, StreamEnd::Finished))));
    finished
        .filter(|it| !record.requests[it.request].is_good())
        .count()
}
