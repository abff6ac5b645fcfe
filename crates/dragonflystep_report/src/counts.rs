//! Counts that one node keeps of the requests it answered.

use {
    dragonflystep_core::{
        catalogue::Catalogue,
        effect::Record,
        request::{Refusal, RefusalCode, RequestFacts},
    },
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// How many minutes are kept.
pub const KEPT_MINUTES: usize = 6 * 60;

const SECONDS_PER_MINUTE: u64 = 60;
const LONGEST_RECORDED_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// What a tier promises, as it stood when the report was made.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TierObjective {
    /// Longest time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Longest mean time between tokens, in milliseconds.
    pub token_gap_ms: u64,
    /// Share of requests that must be good, between 0 and 1.
    pub good_share: f64,
}

/// Counts of one minute.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinuteCounts {
    /// Minute since the Unix epoch.
    pub minute: u64,
    /// Requests that got their final answer, without those whose caller went away.
    pub requests: u64,
    /// Whole answers delivered in time.
    pub answered: u64,
    /// Whole answers whose first token came in time.
    pub first_token_in_time: u64,
    /// Whole answers whose tokens came fast enough.
    pub token_gap_in_time: u64,
    /// Prompt tokens of all requests that were dispatched.
    pub prompt_tokens: u64,
    /// Prompt tokens that were computed and then thrown away.
    pub wasted_prefill_tokens: u64,
}

impl MinuteCounts {
    /// Adds the counts of the same minute from another node.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.first_token_in_time += other.first_token_in_time;
        self.token_gap_in_time += other.token_gap_in_time;
        self.prompt_tokens += other.prompt_tokens;
        self.wasted_prefill_tokens += other.wasted_prefill_tokens;
    }
}

/// Counts of one service and tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeriesReport {
    /// Service.
    pub service: String,
    /// Tier.
    pub tier: String,
    /// What the tier promises; none when the catalogue no longer names it.
    pub objective: Option<TierObjective>,
    /// Minutes with requests, oldest first.
    pub minutes: Vec<MinuteCounts>,
    /// Times to the first token in milliseconds, with how often each came.
    pub first_token_ms: Vec<(u64, u64)>,
    /// Mean times between tokens in milliseconds, with how often each came.
    pub token_gap_ms: Vec<(u64, u64)>,
    /// Refusals by code.
    pub refusals: BTreeMap<String, u64>,
}

/// Everything that one node counted since it started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// When it started, in seconds since the Unix epoch.
    pub started_at_s: u64,
    /// When the report was made, in seconds since the Unix epoch.
    pub made_at_s: u64,
    /// Counts by service and tier.
    pub series: Vec<SeriesReport>,
}

/// Counts of one service and tier, as they are kept.
#[derive(Debug)]
struct Series {
    minutes: VecDeque<MinuteCounts>,
    first_token_ms: Histogram<u64>,
    token_gap_ms: Histogram<u64>,
    refusals: BTreeMap<RefusalCode, u64>,
}

impl Series {
    fn new() -> Self {
        Self {
            minutes: VecDeque::new(),
            first_token_ms: new_histogram(),
            token_gap_ms: new_histogram(),
            refusals: BTreeMap::new(),
        }
    }

    fn minute(&mut self, minute: u64) -> &mut MinuteCounts {
        // A clock that was set back counts into the newest minute, so that the order holds.
        let newest = self.minutes.back().map(|counts| counts.minute);
        if newest.is_none_or(|newest| newest < minute) {
            self.minutes.push_back(MinuteCounts {
                minute,
                ..MinuteCounts::default()
            });
        }
        if self.minutes.len() > KEPT_MINUTES {
            self.minutes.pop_front();
        }
        self.minutes
            .back_mut()
            .expect("a minute was just added when there was none")
    }
}

/// Counts that one node keeps of the requests it answered.
#[derive(Debug)]
pub struct Counts {
    node: String,
    incarnation: u64,
    started_at_s: u64,
    series: BTreeMap<(String, String), Series>,
}

impl Counts {
    /// Counts of a node that started at `started_at_s` seconds since the Unix epoch.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::catalogue::Catalogue;
    /// use dragonflystep_report::Counts;
    /// let counts = Counts::new("entry-1", 7, 1_700_000_000);
    /// assert!(counts.report(&Catalogue::default(), 1_700_000_060).series.is_empty());
    /// ```
    pub fn new(node: &str, incarnation: u64, started_at_s: u64) -> Self {
        Self {
            node: node.to_owned(),
            incarnation,
            started_at_s,
            series: BTreeMap::new(),
        }
    }

    /// Counts a record that was made at `now_s` seconds since the Unix epoch.
    pub fn record(&mut self, catalogue: &Catalogue, now_s: u64, record: &Record) {
        let Record::RequestEnded {
            facts,
            refusal,
            first_token_after,
            streamed_for,
            tokens,
            wasted_prefill_tokens,
        } = record
        else {
            return;
        };
        let tier = tier_name(catalogue, facts);
        let objective = objective_of(catalogue, &tier);
        let series = self
            .series
            .entry((facts.service.to_string(), tier))
            .or_insert_with(Series::new);
        let minute = series.minute(now_s / SECONDS_PER_MINUTE);
        if tokens > &0 || refusal.is_none() {
            minute.prompt_tokens += u64::from(facts.prompt_tokens);
        }
        minute.wasted_prefill_tokens += u64::from(*wasted_prefill_tokens);
        match refusal {
            Some(refusal) => count_refusal(series, now_s, refusal),
            None => {
                let gap = mean_gap(*streamed_for, *tokens);
                count_answer(series, now_s, objective, *first_token_after, gap);
            }
        }
    }

    /// The counts as they are handed out.
    pub fn report(&self, catalogue: &Catalogue, now_s: u64) -> NodeReport {
        let series = self
            .series
            .iter()
            .map(|((service, tier), series)| SeriesReport {
                service: service.clone(),
                tier: tier.clone(),
                objective: objective_of(catalogue, tier),
                minutes: series.minutes.iter().cloned().collect(),
                first_token_ms: histogram_pairs(&series.first_token_ms),
                token_gap_ms: histogram_pairs(&series.token_gap_ms),
                refusals: series
                    .refusals
                    .iter()
                    .map(|(code, count)| (code_text(*code), *count))
                    .collect(),
            });
        NodeReport {
            node: self.node.clone(),
            incarnation: self.incarnation,
            started_at_s: self.started_at_s,
            made_at_s: now_s,
            series: series.collect(),
        }
    }
}

/// The text of a refusal code as callers see it.
///
/// # Examples
/// ```
/// use dragonflystep_core::request::RefusalCode;
/// assert_eq!(dragonflystep_report::counts::code_text(RefusalCode::Overloaded), "overloaded");
/// ```
pub fn code_text(code: RefusalCode) -> String {
    match serde_json::to_value(code) {
        Ok(serde_json::Value::String(text)) => text,
        _ => format!("{code:?}"),
    }
}

fn count_refusal(series: &mut Series, now_s: u64, refusal: &Refusal) {
    *series.refusals.entry(refusal.code).or_default() += 1;
    // Nobody was failed when the caller itself went away.
    if refusal.code != RefusalCode::CallerLeft {
        series.minute(now_s / SECONDS_PER_MINUTE).requests += 1;
    }
}

fn count_answer(
    series: &mut Series,
    now_s: u64,
    objective: Option<TierObjective>,
    first_token_after: Option<Duration>,
    gap: Duration,
) {
    let first_token_ms = first_token_after.unwrap_or_default().as_millis() as u64;
    let gap_ms = gap.as_millis() as u64;
    series.first_token_ms.saturating_record(first_token_ms);
    series.token_gap_ms.saturating_record(gap_ms);
    let minute = series.minute(now_s / SECONDS_PER_MINUTE);
    minute.requests += 1;
    minute.answered += 1;
    let Some(objective) = objective else { return };
    minute.first_token_in_time += u64::from(first_token_ms <= objective.first_token_ms);
    minute.token_gap_in_time += u64::from(gap_ms <= objective.token_gap_ms);
}

fn mean_gap(streamed_for: Duration, tokens: u32) -> Duration {
    match tokens.checked_sub(1) {
        Some(gaps) if gaps > 0 => streamed_for / gaps,
        _ => Duration::ZERO,
    }
}

fn tier_name(catalogue: &Catalogue, facts: &RequestFacts) -> String {
    catalogue
        .tiers
        .values()
        .find(|tier| tier.item.rank == facts.tier)
        .map_or_else(
            || format!("rank-{}", facts.tier),
            |tier| tier.item.id.to_string(),
        )
}

fn objective_of(catalogue: &Catalogue, tier: &str) -> Option<TierObjective> {
    let objective = catalogue.tier(tier)?.objective;
    Some(TierObjective {
        first_token_ms: objective.first_token_ms,
        token_gap_ms: objective.token_gap_ms,
        good_share: objective.good_share,
    })
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_RECORDED_MS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants that the histogram accepts")
}

fn histogram_pairs(histogram: &Histogram<u64>) -> Vec<(u64, u64)> {
    histogram
        .iter_recorded()
        .map(|step| (step.value_iterated_to(), step.count_since_last_iteration()))
        .collect()
}
