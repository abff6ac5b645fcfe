//! The burn report: how fast each tier spends its error budget.

use {
    crate::counts::{MinuteCounts, NodeReport, SeriesReport, TierObjective},
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Windows over which the burn rate is told, in minutes.
pub const WINDOWS_MINUTES: [u64; 3] = [5, 60, 360];

/// Window of the error budget, in minutes.
pub const LONGEST_WINDOW_MINUTES: u64 = WINDOWS_MINUTES[WINDOWS_MINUTES.len() - 1];

const SECONDS_PER_MINUTE: u64 = 60;
const LONGEST_RECORDED_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// What is measured against the objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// A whole answer was delivered in time.
    Answered,
    /// The first token of a whole answer came in time.
    FirstToken,
    /// The tokens of a whole answer came fast enough.
    TokenGap,
}

impl Indicator {
    /// All indicators, in the order in which they are shown.
    pub const ALL: [Self; 3] = [Self::Answered, Self::FirstToken, Self::TokenGap];

    /// Name for tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered in time",
            Self::FirstToken => "first token in time",
            Self::TokenGap => "token gap in time",
        }
    }

    /// Good requests and all requests that the indicator counts in one minute.
    pub fn good_and_total(self, counts: &MinuteCounts) -> (u64, u64) {
        match self {
            Self::Answered => (counts.answered, counts.requests),
            // Requests without an answer are already counted as bad by `Answered`.
            Self::FirstToken => (counts.first_token_in_time, counts.answered),
            Self::TokenGap => (counts.token_gap_in_time, counts.answered),
        }
    }
}

/// Burn of one indicator over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The indicator.
    pub indicator: Indicator,
    /// Length of the window.
    pub window_minutes: u64,
    /// Requests counted.
    pub total: u64,
    /// Good ones.
    pub good: u64,
    /// Share of good ones; none without requests.
    pub good_share: Option<f64>,
    /// Bad share over allowed bad share: 1 spends the budget exactly; none without requests or objective.
    pub burn_rate: Option<f64>,
}

/// Error budget of one indicator over the longest window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBudget {
    /// The indicator.
    pub indicator: Indicator,
    /// Bad requests that the objective allows among those counted.
    pub allowed: f64,
    /// Bad requests.
    pub spent: u64,
    /// Share of the budget that is left; below 0 when more was spent, none without requests.
    pub left_share: Option<f64>,
}

/// Burn of one service and tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeriesBurn {
    /// Service.
    pub service: String,
    /// Tier.
    pub tier: String,
    /// What the tier promises.
    pub objective: Option<TierObjective>,
    /// Burn by indicator and window.
    pub windows: Vec<WindowBurn>,
    /// Error budget by indicator; empty without an objective.
    pub budgets: Vec<ErrorBudget>,
    /// Percentiles 50, 95 and 99 of the time to the first token, in milliseconds.
    pub first_token_ms: [u64; 3],
    /// Percentiles 50, 95 and 99 of the mean time between tokens, in milliseconds.
    pub token_gap_ms: [u64; 3],
    /// Prompt tokens computed and thrown away, over prompt tokens dispatched.
    pub wasted_prefill_share: Option<f64>,
    /// Refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// Counts by minute over all nodes, oldest first.
    pub minutes: Vec<MinuteCounts>,
}

/// Burn report over all nodes that answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// When it was made, in seconds since the Unix epoch.
    pub made_at_s: u64,
    /// Nodes whose counts are in the report.
    pub nodes: Vec<String>,
    /// Nodes that should have answered and did not: their requests are missing.
    pub missing_nodes: Vec<String>,
    /// Nodes that started within the longest window, with minutes since then: what an earlier process of
    /// the same name counted is missing.
    pub restarted_nodes: BTreeMap<String, u64>,
    /// Burn by service and tier.
    pub series: Vec<SeriesBurn>,
}

impl BurnReport {
    /// Joins the reports of the nodes; `expected_nodes` are those that should have answered.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_report::BurnReport;
    /// let report = BurnReport::join(&[], &["entry-1".to_owned()], 1_700_000_000);
    /// assert_eq!(report.missing_nodes, ["entry-1"]);
    /// ```
    pub fn join(reports: &[NodeReport], expected_nodes: &[String], now_s: u64) -> Self {
        let nodes: BTreeSet<_> = reports.iter().map(|report| report.node.clone()).collect();
        let missing = expected_nodes.iter().filter(|node| !nodes.contains(*node));
        Self {
            made_at_s: now_s,
            missing_nodes: missing.cloned().collect(),
            restarted_nodes: restarted_nodes(reports, now_s),
            series: joined_series(reports, now_s),
            nodes: nodes.into_iter().collect(),
        }
    }
}

fn restarted_nodes(reports: &[NodeReport], now_s: u64) -> BTreeMap<String, u64> {
    reports
        .iter()
        .map(|report| {
            let minutes = now_s.saturating_sub(report.started_at_s) / SECONDS_PER_MINUTE;
            (report.node.clone(), minutes)
        })
        .filter(|(_, minutes)| *minutes < LONGEST_WINDOW_MINUTES)
        .collect()
}

fn joined_series(reports: &[NodeReport], now_s: u64) -> Vec<SeriesBurn> {
    let mut parts: BTreeMap<(&str, &str), Vec<&SeriesReport>> = BTreeMap::new();
    for series in reports.iter().flat_map(|report| &report.series) {
        parts
            .entry((&series.service, &series.tier))
            .or_default()
            .push(series);
    }
    parts
        .into_values()
        .map(|parts| join_series(&parts, now_s))
        .collect()
}

fn join_series(parts: &[&SeriesReport], now_s: u64) -> SeriesBurn {
    let minutes = join_minutes(parts);
    let objective = parts.iter().find_map(|part| part.objective);
    let now_minute = now_s / SECONDS_PER_MINUTE;
    let windows = windows(&minutes, objective, now_minute);
    SeriesBurn {
        service: parts[0].service.clone(),
        tier: parts[0].tier.clone(),
        objective,
        budgets: budgets(&windows, objective),
        windows,
        first_token_ms: percentiles(parts.iter().flat_map(|part| &part.first_token_ms)),
        token_gap_ms: percentiles(parts.iter().flat_map(|part| &part.token_gap_ms)),
        wasted_prefill_share: wasted_share(&minutes),
        refusals: join_refusals(parts),
        minutes,
    }
}

fn join_minutes(parts: &[&SeriesReport]) -> Vec<MinuteCounts> {
    let mut joined: BTreeMap<u64, MinuteCounts> = BTreeMap::new();
    for counts in parts.iter().flat_map(|part| &part.minutes) {
        let empty = || MinuteCounts {
            minute: counts.minute,
            ..MinuteCounts::default()
        };
        joined
            .entry(counts.minute)
            .or_insert_with(empty)
            .add(counts);
    }
    joined.into_values().collect()
}

fn join_refusals(parts: &[&SeriesReport]) -> BTreeMap<String, u64> {
    let mut joined = BTreeMap::new();
    for (code, count) in parts.iter().flat_map(|part| &part.refusals) {
        *joined.entry(code.clone()).or_default() += count;
    }
    joined
}

fn windows(
    minutes: &[MinuteCounts],
    objective: Option<TierObjective>,
    now_minute: u64,
) -> Vec<WindowBurn> {
    let mut windows = Vec::new();
    for indicator in Indicator::ALL {
        for window_minutes in WINDOWS_MINUTES {
            let first = (now_minute + 1).saturating_sub(window_minutes);
            let inside = minutes.iter().filter(|counts| counts.minute >= first);
            windows.push(window_burn(indicator, window_minutes, inside, objective));
        }
    }
    windows
}

fn window_burn<'a>(
    indicator: Indicator,
    window_minutes: u64,
    minutes: impl Iterator<Item = &'a MinuteCounts>,
    objective: Option<TierObjective>,
) -> WindowBurn {
    let (good, total) = minutes
        .map(|counts| indicator.good_and_total(counts))
        .fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
    let good_share = (total > 0).then(|| good as f64 / total as f64);
    let burn_rate = good_share.zip(objective).and_then(|(share, objective)| {
        let allowed = 1.0 - objective.good_share;
        (allowed > 0.0).then(|| (1.0 - share) / allowed)
    });
    WindowBurn {
        indicator,
        window_minutes,
        total,
        good,
        good_share,
        burn_rate,
    }
}

fn budgets(windows: &[WindowBurn], objective: Option<TierObjective>) -> Vec<ErrorBudget> {
    let Some(objective) = objective else {
        return Vec::new();
    };
    let longest = windows
        .iter()
        .filter(|window| window.window_minutes == LONGEST_WINDOW_MINUTES);
    longest
        .map(|window| ErrorBudget {
            indicator: window.indicator,
            allowed: (1.0 - objective.good_share) * window.total as f64,
            spent: window.total - window.good,
            left_share: window.burn_rate.map(|rate| 1.0 - rate),
        })
        .collect()
}

fn wasted_share(minutes: &[MinuteCounts]) -> Option<f64> {
    let prompt: u64 = minutes.iter().map(|counts| counts.prompt_tokens).sum();
    let wasted: u64 = minutes
        .iter()
        .map(|counts| counts.wasted_prefill_tokens)
        .sum();
    (prompt > 0).then(|| wasted as f64 / prompt as f64)
}

fn percentiles<'a>(pairs: impl Iterator<Item = &'a (u64, u64)>) -> [u64; 3] {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, LONGEST_RECORDED_MS, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants that the histogram accepts");
    for (value, count) in pairs {
        histogram.saturating_record_n(*value, *count);
    }
    [50.0, 95.0, 99.0].map(|percentile| histogram.value_at_percentile(percentile))
}
