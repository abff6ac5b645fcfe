//! Arrivals drawn from a seed: an open loop, Poisson with a rate that changes every two seconds.

use {
    crate::scenario::{ClassPart, Documents, Plan, Range, ServicePart, TrafficPart},
    dragonflystep_core::{
        catalogue::ServiceKind,
        request::{RequestFacts, RequestKey},
    },
    dragonflystep_fakes::engine_model::BLOCK_TOKENS,
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// How long the rate of arrivals stays the same, in seconds.
const RATE_SLOT_S: f64 = 2.0;

/// Smallest and largest factor on the rate of one slot.
const RATE_FACTORS: (f64, f64) = (0.6, 1.4);

/// Shortest true answer as a share of the longest that was asked for.
const SHORTEST_ANSWER: f64 = 0.3;

/// Mean true answer as a share of the longest that was asked for.
const MEAN_ANSWER: f64 = (1.0 + SHORTEST_ANSWER) / 2.0;

/// One request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the caller sends it, from the begin of the traffic.
    pub at: Duration,
    /// What the entry knows of it.
    pub facts: Arc<RequestFacts>,
    /// How long the whole answer is.
    pub answer_tokens: u32,
    /// The entry that the caller chose, as an index.
    pub entry: usize,
}

/// Mean requests a second that one engine of each class of a service can do.
///
/// Every shared prefix counts as cached, and every batch as full.
pub fn class_rates(plan: &Plan, service: &ServicePart) -> Vec<f64> {
    let parts: Vec<&TrafficPart> = parts_of(plan, service);
    let whole: f64 = parts.iter().map(|part| part.share).sum();
    let cost_s = |class: &ClassPart| -> f64 {
        let costs = parts.iter().map(|part| {
            let output_tokens = part.output_tokens.mean() * MEAN_ANSWER;
            part.share / whole * class.cost_s(part.prompt_tokens.mean(), output_tokens)
        });
        costs.sum()
    };
    service
        .classes
        .iter()
        .map(|class| 1.0 / cost_s(class))
        .collect()
}

/// Mean requests a second that a whole service can do.
pub fn capacity_per_s(plan: &Plan, service: &ServicePart) -> f64 {
    let rates = class_rates(plan, service);
    let rates = service.classes.iter().zip(rates);
    rates
        .map(|(class, rate)| f64::from(class.count) * rate)
        .sum()
}

fn parts_of<'a>(plan: &'a Plan, service: &ServicePart) -> Vec<&'a TrafficPart> {
    let parts = plan.site.traffic.iter();
    parts.filter(|part| part.service == service.id).collect()
}

/// All arrivals of a scenario, in the order of their times.
pub fn arrivals(plan: &Plan, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, service) in plan.site.services.iter().enumerate() {
        let mut source = Source::new(
            plan,
            service,
            seed.wrapping_mul(1_000).wrapping_add(index as u64),
        );
        source.fill(&mut all);
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Draws the arrivals of one service.
struct Source<'a> {
    plan: &'a Plan,
    parts: Vec<&'a TrafficPart>,
    popularity: Vec<Vec<f64>>,
    capacity_per_s: f64,
    nodes: usize,
    random: Pcg64Mcg,
    drawn: u64,
    service: Arc<str>,
    kind: ServiceKind,
    service_salt: u64,
}

impl<'a> Source<'a> {
    fn new(plan: &'a Plan, service: &'a ServicePart, seed: u64) -> Self {
        let parts = parts_of(plan, service);
        let popularity = parts
            .iter()
            .map(|part| part.documents.map(zipf_weights).unwrap_or_default())
            .collect();
        Self {
            plan,
            parts,
            popularity,
            capacity_per_s: capacity_per_s(plan, service),
            nodes: plan
                .site
                .data_centres
                .iter()
                .map(|it| it.nodes as usize)
                .sum(),
            random: Pcg64Mcg::seed_from_u64(seed),
            drawn: 0,
            service: service.id.as_str().into(),
            kind: service.kind,
            service_salt: xxh3_64(service.id.as_bytes()),
        }
    }

    fn fill(&mut self, all: &mut Vec<Arrival>) {
        if self.parts.is_empty() {
            return;
        }
        let mut at_s = 0.0;
        let mut slot_end_s = 0.0;
        let mut factor = 1.0;
        while at_s < self.plan.scenario.seconds {
            if at_s >= slot_end_s {
                factor = self.random.random_range(RATE_FACTORS.0..RATE_FACTORS.1);
                slot_end_s += RATE_SLOT_S;
            }
            let (load, flooding) = self.load_at(at_s);
            let rate = self.capacity_per_s * load * factor;
            let gap_s = -(1.0 - self.random.random::<f64>()).ln() / rate;
            // A gap that leaves the slot is drawn anew there, which a memoryless process allows.
            if at_s + gap_s > slot_end_s {
                at_s = slot_end_s;
                continue;
            }
            at_s += gap_s;
            let account = self.account(load, flooding);
            let arrival = self.arrival(at_s, account);
            all.push(arrival);
        }
    }

    /// The load at a time, and the account that sends what exceeds the scenario's load.
    fn load_at(&self, at_s: f64) -> (f64, Option<&'a str>) {
        let scenario = &self.plan.scenario;
        scenario
            .phases
            .iter()
            .find(|phase| (phase.from_s..phase.until_s).contains(&at_s))
            .map_or((scenario.load, None), |phase| {
                (phase.load, phase.account.as_deref())
            })
    }

    fn account(&mut self, load: f64, flooding: Option<&'a str>) -> &'a str {
        let base_share = self.plan.scenario.load / load;
        if let Some(account) = flooding
            && self.random.random::<f64>() > base_share
        {
            return account;
        }
        let accounts = &self.plan.site.accounts;
        let weights: Vec<f64> = accounts.iter().map(|it| it.traffic).collect();
        &accounts[pick(&mut self.random, &weights)].id
    }

    fn arrival(&mut self, at_s: f64, account: &str) -> Arrival {
        self.drawn += 1;
        let shares: Vec<f64> = self.parts.iter().map(|it| it.share).collect();
        let part_index = pick(&mut self.random, &shares);
        let part = self.parts[part_index];
        let mut blocks = self.document_blocks(part_index);
        let own_tokens = draw(&mut self.random, part.prompt_tokens);
        let prompt_tokens = blocks.len() as u32 * BLOCK_TOKENS + own_tokens;
        let own = (self.service_salt, self.drawn);
        // A plain service caches no prompts.
        let has_blocks = self.kind == ServiceKind::Engine;
        while has_blocks && (blocks.len() as u32 + 1) * BLOCK_TOKENS <= prompt_tokens {
            blocks.push(hash_of(&[own.0, own.1, blocks.len() as u64]));
        }
        let output_tokens = draw(&mut self.random, part.output_tokens);
        let true_share = self.random.random_range(SHORTEST_ANSWER..1.0);
        let idempotent = self.random.random::<f64>() >= part.non_idempotent;
        let account: Arc<str> = account.into();
        let key = (!idempotent).then(|| RequestKey {
            account: account.clone(),
            text: format!("{}-{}", part.id, self.drawn).into(),
        });
        let tiers = &self.plan.site.tiers;
        let tier = tiers.iter().position(|it| it.id == part.tier).unwrap_or(0);
        Arrival {
            at: Duration::from_secs_f64(at_s),
            facts: Arc::new(RequestFacts {
                service: self.service.clone(),
                account,
                tier: tier as u8,
                key,
                deadline: Duration::from_millis(tiers[tier].deadline_ms),
                idempotent,
                prefix_blocks: blocks.into(),
                prompt_tokens,
                output_tokens,
                fingerprint: hash_of(&[own.0, own.1]),
            }),
            answer_tokens: ((f64::from(output_tokens) * true_share).round() as u32).max(1),
            entry: self.random.random_range(0..self.nodes),
        }
    }

    fn document_blocks(&mut self, part_index: usize) -> Vec<u64> {
        let Some(documents) = self.parts[part_index].documents else {
            return Vec::new();
        };
        let document = pick(&mut self.random, &self.popularity[part_index]) as u64;
        let name = (self.service_salt, part_index as u64);
        // The length belongs to the document and not to the run, so every seed has the same documents.
        let mut lengths = Pcg64Mcg::seed_from_u64(hash_of(&[name.0, name.1, document]));
        let blocks = u64::from(draw(&mut lengths, documents.tokens) / BLOCK_TOKENS);
        (0..blocks)
            .map(|block| hash_of(&[name.0, name.1, document, block]))
            .collect()
    }
}

/// Popularity of each document, the sum is 1.
fn zipf_weights(documents: Documents) -> Vec<f64> {
    let raw: Vec<f64> = (1..=documents.count)
        .map(|rank| f64::from(rank).powf(-documents.exponent))
        .collect();
    let whole: f64 = raw.iter().sum();
    raw.iter().map(|weight| weight / whole).collect()
}

fn draw(random: &mut Pcg64Mcg, range: Range) -> u32 {
    let (low, high) = (f64::from(range.min).ln(), f64::from(range.max).ln());
    let drawn = low + (high - low) * random.random::<f64>();
    (drawn.exp().round() as u32).clamp(range.min, range.max)
}

/// Index drawn by weight.
pub(crate) fn pick(random: &mut Pcg64Mcg, weights: &[f64]) -> usize {
    let whole: f64 = weights.iter().sum();
    let mut left = random.random::<f64>() * whole;
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}

fn hash_of(numbers: &[u64]) -> u64 {
    let bytes: Vec<u8> = numbers.iter().flat_map(|it| it.to_le_bytes()).collect();
    xxh3_64(&bytes)
}
