//! Kinds of requests that the replayed loads are made of.

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub tier: u16,
    pub per_s: f64,
    pub prompt_mean: f64,
    pub prompt_most: f64,
    pub events_mean: f64,
    pub objective_ms: f64,
    pub deadline_ms: f64,
    pub pause_ms: f64,
}

/// The three kinds of a works with urgent quotes, reports and questions.
pub fn works_kinds() -> Vec<Kind> {
    let kind = |name, tier, per_s, prompt_mean, events_mean, objective_ms, deadline_ms| Kind {
        name,
        tier,
        per_s,
        prompt_mean,
        prompt_most: prompt_mean * 14.0,
        events_mean,
        objective_ms,
        deadline_ms,
        pause_ms: 250.0,
    };
    vec![
        kind("quote", 0, 22.4, 3_720.0, 29.9, 600.0, 10_000.0),
        kind("report", 1, 15.4, 2_890.0, 13.0, 1_000.0, 5_000.0),
        kind("question", 2, 23.8, 1_110.0, 43.1, 1_000.0, 12_000.0),
    ]
}

/// The three kinds of a booking assistant: long plans, queries, and short digests of many tokens read.
pub fn booking_kinds() -> Vec<Kind> {
    let kind = |name, tier, per_s, prompt_mean, events_mean, objective_ms, deadline_ms| Kind {
        name,
        tier,
        per_s,
        prompt_mean,
        prompt_most: prompt_mean * 8.0,
        events_mean,
        objective_ms,
        deadline_ms,
        pause_ms: 200.0,
    };
    vec![
        kind("plan", 0, 38.0, 6_610.0, 96.0, 400.0, 15_000.0),
        kind("query", 1, 44.1, 628.0, 73.0, 250.0, 12_000.0),
        kind("digest", 2, 69.7, 1_800.0, 6.0, 250.0, 2_500.0),
    ]
}
