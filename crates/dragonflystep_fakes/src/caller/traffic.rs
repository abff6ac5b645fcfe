//! Mixed traffic from a seed: tiers, accounts, shared prefixes, lengths a hundredfold apart.

use {
    rand::Rng,
    rand_pcg::{Pcg64Mcg, rand_core::SeedableRng},
    std::{ops::RangeInclusive, time::Duration},
};

/// A tier of requests.
#[derive(Debug, Clone)]
pub struct CallerTier {
    /// Name, as in `X-Tier`.
    pub name: String,
    /// Weight among the tiers.
    pub weight: f64,
    /// Time in which an answer is of use; also sent as `X-Deadline-Ms`.
    pub deadline: Duration,
}

/// A client account.
#[derive(Debug, Clone)]
pub struct CallerAccount {
    /// Key, as in `Authorization: Bearer`.
    pub key: String,
    /// Weight among the accounts.
    pub weight: f64,
    /// Names of the tiers that it may use; all of them when empty.
    pub tiers: Vec<String>,
}

impl CallerAccount {
    /// An account that may use all tiers.
    pub fn new(key: &str, weight: f64) -> Self {
        Self {
            key: key.to_owned(),
            weight,
            tiers: Vec::new(),
        }
    }

    fn may_use(&self, tier: &CallerTier) -> bool {
        self.tiers.is_empty() || self.tiers.contains(&tier.name)
    }
}

/// What is sent, how much and how often.
#[derive(Debug, Clone)]
pub struct TrafficSettings {
    /// Seed; the same seed gives the same requests.
    pub seed: u64,
    /// Number of requests.
    pub requests: u32,
    /// Mean rate; the gaps are exponential.
    pub requests_per_s: f64,
    /// Tiers; at least one.
    pub tiers: Vec<CallerTier>,
    /// Accounts; at least one.
    pub accounts: Vec<CallerAccount>,
    /// Part of the requests that look up stock at the plain service.
    pub stock_share: f64,
    /// Part of the requests that order at the plain service and must run at most once.
    pub order_share: f64,
    /// Number of prefixes that prompts share.
    pub shared_prefixes: u32,
    /// Length of a shared prefix; shorter prompts have none.
    pub prefix_bytes: usize,
    /// Lengths of prompts, spread evenly over their logarithm.
    pub prompt_bytes: RangeInclusive<usize>,
    /// Lengths of answers, spread evenly over their logarithm.
    pub output_tokens: RangeInclusive<u32>,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        let tier = |name: &str, weight, seconds| CallerTier {
            name: name.to_owned(),
            weight,
            deadline: Duration::from_secs(seconds),
        };
        Self {
            seed: 1,
            requests: 100,
            requests_per_s: 20.0,
            tiers: vec![tier("urgent", 0.3, 20), tier("routine", 0.7, 60)],
            accounts: Vec::new(),
            stock_share: 0.0,
            order_share: 0.0,
            shared_prefixes: 8,
            prefix_bytes: 2_048,
            prompt_bytes: 80..=8_000,
            output_tokens: 2..=200,
        }
    }
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// A streamed answer of a model.
    Completion {
        /// The prompt.
        prompt: String,
        /// Length of the answer.
        output_tokens: u32,
    },
    /// The stock of an item.
    Stock {
        /// The item.
        item: u64,
    },
    /// An order that must run at most once.
    Order {
        /// The body, unlike that of any other order.
        body: String,
    },
}

/// One request of the traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// Number, from 0.
    pub number: u32,
    /// When it is sent, after the beginning.
    pub at: Duration,
    /// Place of its tier in the settings.
    pub tier: usize,
    /// Place of its account in the settings.
    pub account: usize,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: String,
    /// What it asks for.
    pub ask: Ask,
}

impl PlannedRequest {
    /// Whether it may run again.
    pub fn is_idempotent(&self) -> bool {
        !matches!(self.ask, Ask::Order { .. })
    }
}

/// The requests of the settings, in the order of their times.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::caller::{CallerAccount, TrafficSettings, plan};
///
/// let account = CallerAccount::new("key-a", 1.0);
/// let settings = TrafficSettings { accounts: vec![account], requests: 10, ..Default::default() };
/// let requests = plan(&settings);
/// assert_eq!(requests.len(), 10);
/// assert_eq!(requests, plan(&settings));
/// ```
pub fn plan(settings: &TrafficSettings) -> Vec<PlannedRequest> {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let mut at = Duration::ZERO;
    (0..settings.requests)
        .map(|number| {
            at += gap(&mut random, settings.requests_per_s);
            let account = choose(
                &mut random,
                settings.accounts.iter().map(|account| account.weight),
            );
            PlannedRequest {
                number,
                at,
                tier: choose_tier(&mut random, settings, &settings.accounts[account]),
                account,
                idempotency_key: format!("caller-{}-{number}", settings.seed),
                ask: ask(&mut random, settings, number),
            }
        })
        .collect()
}

fn choose_tier(
    random: &mut Pcg64Mcg,
    settings: &TrafficSettings,
    account: &CallerAccount,
) -> usize {
    let weight = |tier: &CallerTier| {
        if account.may_use(tier) {
            tier.weight
        } else {
            0.0
        }
    };
    choose(random, settings.tiers.iter().map(weight))
}

fn ask(random: &mut Pcg64Mcg, settings: &TrafficSettings, number: u32) -> Ask {
    let seed = settings.seed;
    let draw = random.random::<f64>();
    if draw < settings.order_share {
        return Ask::Order {
            body: format!("order {seed}-{number}: 2 kg of copper wire"),
        };
    }
    if draw < settings.order_share + settings.stock_share {
        return Ask::Stock {
            item: random.random_range(0..1_000),
        };
    }
    let (shortest, longest) = settings.prompt_bytes.clone().into_inner();
    let bytes = log_uniform(random, shortest as f64, longest as f64) as usize;
    let (fewest, most) = settings.output_tokens.clone().into_inner();
    let output_tokens = log_uniform(random, f64::from(fewest), f64::from(most)) as u32;
    let prefix = random.random_range(0..settings.shared_prefixes.max(1));
    let prompt = prompt(settings, prefix, number, bytes);
    Ask::Completion {
        prompt,
        output_tokens,
    }
}

fn prompt(settings: &TrafficSettings, prefix: u32, number: u32, bytes: usize) -> String {
    let mut prompt = String::new();
    if bytes > settings.prefix_bytes {
        fill(
            &mut prompt,
            &format!("Shared text {}-{prefix}. ", settings.seed),
            settings.prefix_bytes,
        );
    }
    let own = format!("Request {}-{number}. ", settings.seed);
    prompt.push_str(&own);
    fill(&mut prompt, &own, bytes);
    prompt
}

fn fill(text: &mut String, sentence: &str, bytes: usize) {
    while text.len() < bytes {
        let missing = bytes - text.len();
        text.push_str(&sentence[..missing.min(sentence.len())]);
    }
}

fn gap(random: &mut Pcg64Mcg, per_s: f64) -> Duration {
    let uniform = 1.0 - random.random::<f64>();
    Duration::try_from_secs_f64(-uniform.ln() / per_s).unwrap_or_default()
}

fn log_uniform(random: &mut Pcg64Mcg, least: f64, most: f64) -> f64 {
    let exponent = least.ln() + random.random::<f64>() * (most.ln() - least.ln());
    exponent.exp().round().clamp(least, most)
}

/// Place of one of the weights, by chance; the last one that is not 0 when rounding leaves none.
fn choose(random: &mut Pcg64Mcg, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut draw = random.random::<f64>() * total;
    let mut choice = 0;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        choice = index;
        if draw < weight {
            break;
        }
        draw -= weight;
    }
    choice
}
