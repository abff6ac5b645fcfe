//! A small model of an engine with continuous batching and chunked prefill.
//!
//! An engine runs its batch in steps. In each step every run whose prompt has been prefilled decodes one token. The
//! other prompts are prefilled in the order of the runs, up to one chunk of tokens in total. The duration of a step
//! includes the prefill of the first of these prompts only. An event of a stream holds several tokens.

use dragonflystep_dispatch::RunId;

/// A run in the batch of an engine.
pub struct EngineRun {
    pub run: RunId,
    /// Tokens of the prompt that are not prefilled yet.
    pub prompt_tokens_left: f64,
    /// Output tokens still to decode.
    pub output_tokens_left: f64,
    /// Output tokens decoded so far.
    pub output_tokens: u32,
    pub started_ms: f64,
    /// When the first event was sent; absent before it.
    pub first_event_ms: Option<f64>,
    pub last_event_ms: f64,
    /// Longest time between two successive events.
    pub longest_pause_ms: f64,
    /// Number of events sent so far.
    pub events: u32,
}

/// Speed of an engine type at a slowness of 1.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Duration of a step without prefill, before the part for each run.
    pub step_ms: f64,
    /// Time that each run of the batch adds to a step.
    pub step_ms_per_run: f64,
    pub prefill_tokens_per_ms: f64,
    /// Most prompt tokens that one step prefills.
    pub chunk_tokens: f64,
}

/// An engine type with slow prefill; in a burst its computing power is the bottleneck.
pub const SLOW_PREFILL: EngineSpeed = EngineSpeed {
    step_ms: 3.79,
    step_ms_per_run: 0.09,
    prefill_tokens_per_ms: 56.6,
    chunk_tokens: 1_024.0,
};

/// An engine type with fast prefill; in a burst its slots are the bottleneck.
pub const FAST_PREFILL: EngineSpeed = EngineSpeed {
    step_ms: 3.55,
    step_ms_per_run: 0.046,
    prefill_tokens_per_ms: 157.0,
    chunk_tokens: 2_048.0,
};

/// One simulated engine and the runs that it executes.
pub struct EngineModel {
    pub speed: EngineSpeed,
    /// Factor on the duration of each step; the dispatcher does not know it.
    pub slowness: f64,
    pub runs: Vec<EngineRun>,
    /// When the current step ends; infinite while there are no runs.
    pub next_step_ms: f64,
    /// Sum of the durations of all steps, each weighted with the share of slots occupied in the step before it.
    pub busy_ms: f64,
}

/// Output tokens in each event of a stream but the last one, which may hold fewer.
pub const TOKENS_PER_EVENT: u32 = 4;

impl EngineModel {
    /// Carries out the step that ends at `next_step_ms`, schedules the next one, and returns the runs that ended.
    pub fn step(&mut self) -> Vec<EngineRun> {
        let now = self.next_step_ms;
        let mut chunk = self.speed.chunk_tokens;
        for run in &mut self.runs {
            if run.prompt_tokens_left > 0.0 {
                let prefilled = run.prompt_tokens_left.min(chunk);
                run.prompt_tokens_left -= prefilled;
                chunk -= prefilled;
                if run.prompt_tokens_left > 0.0 {
                    break;
                }
                continue;
            }
            run.output_tokens += 1;
            run.output_tokens_left -= 1.0;
            if run.output_tokens % TOKENS_PER_EVENT == 0 || run.output_tokens_left <= 0.0 {
                run.events += 1;
                match run.first_event_ms {
                    None => run.first_event_ms = Some(now),
                    Some(_) => {
                        let pause = now - run.last_event_ms;
                        run.longest_pause_ms = run.longest_pause_ms.max(pause);
                    }
                }
                run.last_event_ms = now;
            }
        }
        let mut ended = Vec::new();
        let mut index = 0;
        while index < self.runs.len() {
            if self.runs[index].prompt_tokens_left <= 0.0
                && self.runs[index].output_tokens_left <= 0.0
            {
                ended.push(self.runs.remove(index));
            } else {
                index += 1;
            }
        }
        self.schedule_step(now);
        ended
    }

    /// Schedules the step that begins at `now`.
    pub fn schedule_step(&mut self, now: f64) {
        let is_prefilling = self.runs.iter().any(|run| run.prompt_tokens_left > 0.0);
        let first = self.runs.iter().find(|run| run.prompt_tokens_left > 0.0);
        let prefilled = first.map_or(0.0, |run| {
            run.prompt_tokens_left.min(self.speed.chunk_tokens)
        });
        let step = self.speed.step_ms
            + self.speed.step_ms_per_run * self.runs.len() as f64
            + if is_prefilling {
                prefilled / self.speed.prefill_tokens_per_ms
            } else {
                0.0
            };
        self.next_step_ms = if self.runs.is_empty() {
            f64::INFINITY
        } else {
            now + step * self.slowness
        };
    }
}
