//! Figures of one run, from its records.
//!
//! Good is a request whose whole and own answer was complete at its entry within its deadline.
//! Useful prefill is, over the good answers in the order of their ends, the prompt tokens outside of blocks
//! that an earlier good answer of the service has counted already. All other computed prompt tokens are
//! wasted: thrown away with a cancelled, late, lost or unread answer, or computed again although an engine of
//! the service had computed them for a good answer.

use {
    crate::{
        checker::{self, Promise},
        hindsight,
        record::{RunRecord, StreamRecord},
        scenario::{Measure, Plan},
        waste::{Waste, waste},
    },
    dragonflystep_core::request::RefusalCode,
    dragonflystep_fakes::engine_model::BLOCK_TOKENS,
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

/// Weight of saved prefill in the measure of a user who weighs it first; the rest is goodput.
pub const PREFILL_WEIGHT: f64 = 0.6;

/// Fewest requests of an account in a tier that count for fairness.
const FAIRNESS_FLOOR: usize = 20;

/// Figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Each tier, the most urgent first.
    pub tiers: Vec<TierFigures>,
    /// Good requests as a share of all.
    pub goodput: f64,
    /// Work of the good requests as a share of the bound.
    pub work_of_bound: f64,
    /// Prompt tokens computed by engines.
    pub prefilled_tokens: u64,
    /// Prompt tokens that the good answers needed.
    pub useful_prefill_tokens: u64,
    /// Prompt tokens of streams whose prefill ended but whose request got no good answer.
    pub thrown_away_tokens: u64,
    /// Share of the computed prompt tokens that was wasted.
    pub wasted_prefill: f64,
    /// Wasted prompt tokens by cause.
    pub waste: Waste,
    /// Least share of an account in a tier against its fair share by weight.
    pub least_fair_share: f64,
    /// Refusals by code.
    pub refusals: BTreeMap<RefusalCode, RefusalFigures>,
    /// The user's weighted measure, between 0 and 1.
    pub measure: f64,
    /// Broken promises.
    pub violations: BTreeMap<Promise, usize>,
    /// Events that nodes handled.
    pub node_events: u64,
}

/// Figures of one tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TierFigures {
    /// Name.
    pub tier: String,
    /// Requests.
    pub offered: usize,
    /// Good ones.
    pub good: usize,
    /// Good ones as a share of the requests.
    pub goodput: f64,
    /// Work of the good ones as a share of the tier's bound.
    pub work_of_bound: f64,
    /// From receipt to the dispatch, of all that were dispatched.
    pub queued_ms: Percentiles,
    /// From receipt to the first token, of all that got one.
    pub first_token_ms: Percentiles,
    /// Time between tokens, mean of each progress report, weighted by tokens.
    pub token_gap_ms: Percentiles,
}

/// Percentiles of a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Half is below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

/// Refusals of one code.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RefusalFigures {
    /// How many.
    pub count: usize,
    /// The share that was right in hindsight.
    pub right: f64,
}

/// Works out the figures of a run.
pub fn figures(plan: &Plan, record: &RunRecord) -> Figures {
    let work = hindsight::work(plan, record);
    let bounds = hindsight::bound(plan, record, &work);
    let tiers: Vec<TierFigures> = (0..plan.site.tiers.len())
        .map(|tier| tier_figures(plan, record, tier, &work, bounds[tier]))
        .collect();
    let good = record.requests.iter().filter(|it| it.is_good()).count();
    let good_work: f64 = good_work(record, &work, |_| true);
    let services = services_with_documents(plan);
    let (prefilled_tokens, useful_prefill_tokens) = prefill(&services, record);
    let counts = |stream: &StreamRecord| {
        services.contains(record.upstreams[stream.upstream].service.as_ref())
    };
    let wasted_prefill = 1.0 - share(useful_prefill_tokens as f64, prefilled_tokens as f64);
    Figures {
        measure: measure(plan, &tiers, wasted_prefill),
        goodput: share(good as f64, record.requests.len() as f64),
        work_of_bound: share(good_work, bounds.iter().sum()),
        tiers,
        prefilled_tokens,
        useful_prefill_tokens,
        thrown_away_tokens: thrown_away(record),
        wasted_prefill,
        waste: waste(record, counts, prefilled_tokens, useful_prefill_tokens),
        least_fair_share: least_fair_share(plan, record, &work),
        refusals: refusals(plan, record),
        violations: checker::counts(&checker::violations(record)),
        node_events: record.node_events,
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

fn good_work(record: &RunRecord, work: &[f64], wanted: impl Fn(usize) -> bool) -> f64 {
    let requests = record.requests.iter().enumerate();
    let good = requests.filter(|(index, it)| it.is_good() && wanted(*index));
    good.map(|(index, _)| work[index]).sum()
}

fn measure(plan: &Plan, tiers: &[TierFigures], wasted_prefill: f64) -> f64 {
    let values = plan.site.tiers.iter().zip(tiers);
    let goodput: f64 = values.map(|(tier, it)| tier.value * it.goodput).sum();
    match plan.site.measure {
        Measure::UrgentGoodput => goodput,
        Measure::WastedPrefill => {
            PREFILL_WEIGHT * (1.0 - wasted_prefill) + (1.0 - PREFILL_WEIGHT) * goodput
        }
    }
}

fn tier_figures(
    plan: &Plan,
    record: &RunRecord,
    tier: usize,
    work: &[f64],
    bound: f64,
) -> TierFigures {
    let of_tier = |index: usize| usize::from(record.requests[index].tier()) == tier;
    let mut queued = Times::new();
    let mut first_token = Times::new();
    let mut gaps = Times::new();
    let mut offered = 0;
    let mut good = 0;
    for (index, request) in record.requests.iter().enumerate() {
        if !of_tier(index) {
            continue;
        }
        offered += 1;
        good += usize::from(request.is_good());
        if let (Some(stream), Some(received)) = (request.streams.first(), request.received_at) {
            let dispatched_at = record.streams[*stream].dispatched_at;
            queued.add(dispatched_at.saturating_sub(received), 1);
        }
        if let (Some(first), Some(received)) = (request.first_token_at, request.received_at) {
            first_token.add(first.saturating_sub(received), 1);
        }
        for (gap, tokens) in &request.gaps {
            gaps.add(*gap, *tokens);
        }
    }
    TierFigures {
        tier: plan.site.tiers[tier].id.clone(),
        offered,
        good,
        goodput: share(good as f64, offered as f64),
        work_of_bound: share(good_work(record, work, of_tier), bound),
        queued_ms: queued.percentiles(),
        first_token_ms: first_token.percentiles(),
        token_gap_ms: gaps.percentiles(),
    }
}

/// Times in a histogram of microseconds.
struct Times {
    histogram: Histogram<u64>,
}

impl Times {
    fn new() -> Self {
        let histogram = Histogram::new(3).expect("three significant digits are allowed");
        Self { histogram }
    }

    fn add(&mut self, time: Duration, count: u32) {
        self.histogram
            .record_n(time.as_micros() as u64, u64::from(count))
            .expect("a histogram that resizes itself takes every value");
    }

    fn percentiles(&self) -> Percentiles {
        let at = |percentile| self.histogram.value_at_percentile(percentile) as f64 / 1000.0;
        Percentiles {
            p50: at(50.0),
            p95: at(95.0),
            p99: at(99.0),
        }
    }
}

/// The services that have documents to share.
fn services_with_documents(plan: &Plan) -> HashSet<&str> {
    let parts = plan.site.traffic.iter();
    parts
        .filter(|it| it.documents.is_some())
        .map(|it| it.service.as_str())
        .collect()
}

/// Computed and useful prompt tokens of some services.
fn prefill(services: &HashSet<&str>, record: &RunRecord) -> (u64, u64) {
    let upstreams = record.upstreams.iter();
    let computed = upstreams.filter(|it| services.contains(it.service.as_ref()));
    let computed = computed.map(|it| it.prefilled_tokens).sum();
    let mut good: Vec<usize> = (0..record.requests.len())
        .filter(|index| record.requests[*index].is_good())
        .collect();
    good.sort_by_key(|index| record.requests[*index].finals[0].0);
    let mut seen = HashSet::new();
    let mut useful = 0;
    for index in good {
        let facts = &record.requests[index].arrival.facts;
        if !services.contains(facts.service.as_ref()) {
            continue;
        }
        let fresh = facts
            .prefix_blocks
            .iter()
            .filter(|block| seen.insert(**block));
        let fresh_tokens = fresh.count() as u64 * u64::from(BLOCK_TOKENS);
        let whole = facts.prefix_blocks.len() as u64 * u64::from(BLOCK_TOKENS);
        useful += fresh_tokens + u64::from(facts.prompt_tokens) - whole;
    }
    (computed, useful.min(computed))
}

fn thrown_away(record: &RunRecord) -> u64 {
    let streams = record.streams.iter();
    let bad = streams.filter(|it| !record.requests[it.request].is_good());
    let tokens = bad.filter_map(|it| {
        let facts = &record.requests[it.request].arrival.facts;
        Some(u64::from(facts.prompt_tokens - it.cached_tokens?))
    });
    tokens.sum()
}

fn least_fair_share(plan: &Plan, record: &RunRecord, work: &[f64]) -> f64 {
    let mut least = 1.0f64;
    for service in &plan.site.services {
        for tier in 0..plan.site.tiers.len() {
            let requests: Vec<usize> = (0..record.requests.len())
                .filter(|index| {
                    let facts = &record.requests[*index].arrival.facts;
                    facts.service.as_ref() == service.id && usize::from(facts.tier) == tier
                })
                .collect();
            least = least.min(least_share_of(plan, record, work, &requests));
        }
    }
    least
}

/// What one account asked for and got.
#[derive(Default)]
struct AccountUse {
    requests: usize,
    asked: f64,
    got: f64,
    weight: f64,
}

fn least_share_of(plan: &Plan, record: &RunRecord, work: &[f64], requests: &[usize]) -> f64 {
    let mut uses: HashMap<&str, AccountUse> = HashMap::new();
    for index in requests {
        let request = &record.requests[*index];
        let account = uses.entry(&request.arrival.facts.account).or_default();
        account.requests += 1;
        account.asked += work[*index];
        if request.is_good() {
            account.got += work[*index];
        }
    }
    for account in &plan.site.accounts {
        if let Some(entry) = uses.get_mut(account.id.as_str()) {
            entry.weight = f64::from(account.weight);
        }
    }
    let uses: Vec<AccountUse> = uses.into_values().collect();
    let fair = fair_shares(&uses);
    let counted = uses.iter().zip(fair);
    let counted = counted.filter(|(it, fair)| it.requests >= FAIRNESS_FLOOR && *fair > 0.0);
    counted.map(|(it, fair)| it.got / fair).fold(1.0, f64::min)
}

/// What each account would have got of the same total, shared by weight and never more than asked for.
fn fair_shares(uses: &[AccountUse]) -> Vec<f64> {
    let mut shares = vec![0.0; uses.len()];
    let mut left: f64 = uses.iter().map(|it| it.got).sum();
    let mut open: Vec<usize> = (0..uses.len()).collect();
    while !open.is_empty() && left > 0.0 {
        let weight: f64 = open.iter().map(|it| uses[*it].weight).sum();
        let level = left / weight.max(f64::MIN_POSITIVE);
        let (full, rest): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|it| uses[**it].asked <= level * uses[**it].weight);
        if full.is_empty() {
            for index in rest {
                shares[index] = level * uses[index].weight;
            }
            break;
        }
        for index in full {
            shares[index] = uses[index].asked;
            left -= uses[index].asked;
        }
        open = rest;
    }
    shares
}

fn refusals(plan: &Plan, record: &RunRecord) -> BTreeMap<RefusalCode, RefusalFigures> {
    let mut counts: BTreeMap<RefusalCode, (usize, usize)> = BTreeMap::new();
    for (index, request) in record.requests.iter().enumerate() {
        let Some((_, refusal)) = request.refusal() else {
            continue;
        };
        let count = counts.entry(refusal.code).or_default();
        count.0 += 1;
        count.1 += usize::from(hindsight::refusal_was_right(plan, record, index));
    }
    let counts = counts.into_iter();
    counts
        .map(|(code, (count, right))| {
            let right = share(right as f64, count as f64);
            (code, RefusalFigures { count, right })
        })
        .collect()
}
