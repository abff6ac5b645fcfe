//! What could have been done by someone who knew everything: the bound on goodput, and refusals judged afterwards.
//!
//! The unit of work is one mean request of the service. A request costs the least, over the classes of
//! engines, of its time on the class with a full batch, with each distinct prefix block computed once in the
//! whole run, relative to the mean request's time on the same class.

use {
    crate::{
        record::{RequestRecord, RunRecord},
        scenario::{FaultKind, Plan, ServicePart},
        workload::{capacity_per_s, class_rates},
    },
    dragonflystep_fakes::engine_model::BLOCK_TOKENS,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashSet},
        time::Duration,
    },
};

/// Part of a limit below which an upstream counts as one with room.
const ROOM_SHARE: f64 = 0.5;

/// Work of each request in mean requests of its service, each distinct block counted once.
pub fn work(plan: &Plan, record: &RunRecord) -> Vec<f64> {
    let mut seen: HashSet<u64> = HashSet::new();
    let mut by_time: Vec<usize> = (0..record.requests.len()).collect();
    by_time.sort_by_key(|index| record.requests[*index].sent_at);
    let mut work = vec![0.0; record.requests.len()];
    for index in by_time {
        let request = &record.requests[index];
        let facts = &request.arrival.facts;
        let fresh = facts
            .prefix_blocks
            .iter()
            .filter(|block| seen.insert(**block));
        let fresh_tokens = fresh.count() as u32 * BLOCK_TOKENS;
        let rest = facts.prompt_tokens - facts.prefix_blocks.len() as u32 * BLOCK_TOKENS;
        let new_tokens = f64::from(fresh_tokens + rest);
        let Some(service) = service_of(plan, request) else {
            continue;
        };
        let output_tokens = f64::from(request.arrival.answer_tokens);
        let rates = class_rates(plan, service);
        let costs = service.classes.iter().zip(rates);
        work[index] = costs
            .map(|(class, rate)| class.cost_s(new_tokens, output_tokens) * rate)
            .fold(f64::INFINITY, f64::min);
    }
    work
}

fn service_of<'a>(plan: &'a Plan, request: &RequestRecord) -> Option<&'a ServicePart> {
    let service = request.arrival.facts.service.as_ref();
    plan.site.services.iter().find(|it| it.id == service)
}

/// Most work that could have been done in time, by tier, the upper tiers first.
///
/// Requests are taken as divisible, and part of one counts: earliest deadline first is then the best.
pub fn bound(plan: &Plan, record: &RunRecord, work: &[f64]) -> Vec<f64> {
    let mut bounds = vec![0.0; plan.site.tiers.len()];
    for service in &plan.site.services {
        let mut left = slot_capacity(plan, record, service);
        for (tier, bound) in bounds.iter_mut().enumerate() {
            let mut requests: Vec<usize> = (0..record.requests.len())
                .filter(|index| {
                    let facts = &record.requests[*index].arrival.facts;
                    facts.service.as_ref() == service.id && usize::from(facts.tier) == tier
                })
                .collect();
            requests.sort_by_key(|index| record.requests[*index].sent_at);
            *bound += fill(record, work, &requests, &mut left);
        }
    }
    bounds
}

/// Work that a service can do between one sample and the next.
fn slot_capacity(plan: &Plan, record: &RunRecord, service: &ServicePart) -> Vec<(Duration, f64)> {
    let rates = class_rates(plan, service);
    let members: Vec<(usize, f64, &str)> = record
        .upstreams
        .iter()
        .enumerate()
        .filter(|(_, upstream)| upstream.service.as_ref() == service.id)
        .map(|(at, it)| {
            (
                at,
                rates[it.class],
                service.classes[it.class].class.as_str(),
            )
        })
        .collect();
    let mut slots = Vec::new();
    for pair in record.samples.windows(2) {
        let length_s = (pair[1].at - pair[0].at).as_secs_f64();
        let mut counted = std::collections::HashMap::new();
        let rate: f64 = members
            .iter()
            .map(|(at, rate, class)| {
                let number = counted.entry(*class).or_insert(0u32);
                *number += 1;
                let alive = pair[0].running[*at].is_some();
                let factor = slowdown(plan, record, class, *number, pair[0].at);
                if alive { rate / factor } else { 0.0 }
            })
            .sum();
        slots.push((pair[0].at, rate * length_s));
    }
    slots
}

fn slowdown(plan: &Plan, record: &RunRecord, class: &str, number: u32, at: Duration) -> f64 {
    let begun = |at_s: f64| record.traffic_from + Duration::from_secs_f64(at_s) <= at;
    let faults = plan.scenario.faults.iter().filter(|it| begun(it.at_s));
    let factors = faults.filter_map(|fault| match &fault.kind {
        FaultKind::Slowdown {
            class: slow,
            count,
            factor,
        } if slow == class && number <= *count => Some(*factor),
        _ => None,
    });
    factors.fold(1.0, |_, last| last)
}

/// Earliest deadline first over the slots; takes what it uses out of them.
fn fill(
    record: &RunRecord,
    work: &[f64],
    requests: &[usize],
    slots: &mut [(Duration, f64)],
) -> f64 {
    let mut waiting: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut left: Vec<f64> = requests.iter().map(|index| work[*index]).collect();
    let mut next = 0;
    let mut done = 0.0;
    for (at, capacity) in slots {
        while next < requests.len() && record.requests[requests[next]].sent_at <= *at {
            let request = &record.requests[requests[next]];
            let due = request.sent_at + request.arrival.facts.deadline;
            waiting.push(Reverse((due, next)));
            next += 1;
        }
        while *capacity > 0.0 {
            let Some(&Reverse((due, place))) = waiting.peek() else {
                break;
            };
            let used = if due > *at {
                left[place].min(*capacity)
            } else {
                0.0
            };
            left[place] -= used;
            *capacity -= used;
            done += used;
            if used == 0.0 || left[place] <= 0.0 {
                waiting.pop();
            }
        }
    }
    done
}

/// Whether a refusal of a request was right.
///
/// It was wrong when, at some moment at which the request could still have been answered in time by the
/// fastest engine alone, some live upstream of its service ran less than half of its limit.
pub fn refusal_was_right(plan: &Plan, record: &RunRecord, index: usize) -> bool {
    let request = &record.requests[index];
    let (Some((refused_at, _)), Some(received_at)) = (request.refusal(), request.received_at)
    else {
        return false;
    };
    let Some(service) = service_of(plan, request) else {
        return true;
    };
    let facts = &request.arrival.facts;
    let prompt_tokens = f64::from(facts.prompt_tokens);
    let answer_tokens = f64::from(request.arrival.answer_tokens);
    let fastest_s = service
        .classes
        .iter()
        .map(|class| class.alone_s(prompt_tokens, answer_tokens))
        .fold(f64::INFINITY, f64::min);
    let Some(last_start) =
        (received_at + facts.deadline).checked_sub(Duration::from_secs_f64(fastest_s))
    else {
        return true;
    };
    let from = record.samples.partition_point(|it| it.at < refused_at);
    let window = record.samples[from..]
        .iter()
        .take_while(|it| it.at <= last_start);
    let had_room = |(running, upstream): (&Option<u32>, &crate::record::UpstreamRecord)| {
        upstream.service == facts.service
            && running
                .is_some_and(|it| f64::from(it) < ROOM_SHARE * f64::from(upstream.running_limit))
    };
    let mut samples = window;
    !samples.any(|sample| sample.running.iter().zip(&record.upstreams).any(had_room))
}

/// Requests a second that the whole service can do, for the text of a report.
pub fn service_capacity(plan: &Plan) -> Vec<(String, f64)> {
    let services = plan.site.services.iter();
    services
        .map(|it| (it.id.clone(), capacity_per_s(plan, it)))
        .collect()
}
