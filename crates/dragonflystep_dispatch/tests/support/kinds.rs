//! Request kinds of the replayed loads.

/// Rate, sizes and time limits of the requests of one kind.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Key of the kind in the results; also the route of its requests.
    pub name: &'static str,
    /// Priority; 0 is the most urgent tier.
    pub tier: u16,
    /// Mean number of requests per second, before the load's rate factor.
    pub rate_per_s: f64,
    pub mean_prompt_tokens: f64,
    pub max_prompt_tokens: f64,
    /// Mean number of events in an answer's stream.
    pub mean_events: f64,
    /// Time within which the first event has to arrive.
    pub objective_ms: f64,
    /// Longest time that a caller waits for its answer.
    pub deadline_ms: f64,
    /// Longest time between two events for which an answer still counts as in time.
    pub max_pause_ms: f64,
}

/// Request kinds of a factory: urgent quotes, reports and questions.
pub fn factory_kinds() -> Vec<RequestKind> {
    let kind =
        |name, tier, rate_per_s, mean_prompt_tokens, mean_events, objective_ms, deadline_ms| {
            RequestKind {
                name,
                tier,
                rate_per_s,
                mean_prompt_tokens,
                max_prompt_tokens: mean_prompt_tokens * 14.0,
                mean_events,
                objective_ms,
                deadline_ms,
                max_pause_ms: 250.0,
            }
        };
    vec![
        kind("quote", 0, 22.4, 3_720.0, 29.9, 600.0, 10_000.0),
        kind("report", 1, 15.4, 2_890.0, 13.0, 1_000.0, 5_000.0),
        kind("question", 2, 23.8, 1_110.0, 43.1, 1_000.0, 12_000.0),
    ]
}

/// Request kinds of a booking assistant: plans with long answers, queries, and digests with short answers to prompts
/// of 1,800 tokens on average.
pub fn booking_kinds() -> Vec<RequestKind> {
    let kind =
        |name, tier, rate_per_s, mean_prompt_tokens, mean_events, objective_ms, deadline_ms| {
            RequestKind {
                name,
                tier,
                rate_per_s,
                mean_prompt_tokens,
                max_prompt_tokens: mean_prompt_tokens * 8.0,
                mean_events,
                objective_ms,
                deadline_ms,
                max_pause_ms: 200.0,
            }
        };
    vec![
        kind("plan", 0, 38.0, 6_610.0, 96.0, 400.0, 15_000.0),
        kind("query", 1, 44.1, 628.0, 73.0, 250.0, 12_000.0),
        kind("digest", 2, 69.7, 1_800.0, 6.0, 250.0, 2_500.0),
    ]
}
