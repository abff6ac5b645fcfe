//! A small model of an engine that batches continuously.
//!
//! An engine runs a batch in steps. In each step every run that has its prompt read gets one token, and
//! the first prompt that is not read yet gets a chunk. An event holds several tokens.

use dragonflystep_dispatch::RunId;

/// A run at an engine.
pub struct EngineRun {
    pub run: RunId,
    pub prompt_left: f64,
    pub tokens_left: f64,
    pub tokens: u32,
    pub started_ms: f64,
    pub first_ms: Option<f64>,
    pub last_event_ms: f64,
    pub longest_pause_ms: f64,
    pub events: u32,
}

/// How fast an engine of a type is.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    pub step_ms: f64,
    pub step_ms_per_run: f64,
    pub prefill_tokens_per_ms: f64,
    pub chunk_tokens: f64,
}

/// An engine whose computing power is scarce in a burst.
pub const SLOW_READER: EngineSpeed = EngineSpeed {
    step_ms: 3.79,
    step_ms_per_run: 0.09,
    prefill_tokens_per_ms: 56.6,
    chunk_tokens: 1_024.0,
};

/// An engine whose places are scarce in a burst.
pub const FAST_READER: EngineSpeed = EngineSpeed {
    step_ms: 3.55,
    step_ms_per_run: 0.046,
    prefill_tokens_per_ms: 157.0,
    chunk_tokens: 2_048.0,
};

/// An engine.
pub struct EngineModel {
    pub speed: EngineSpeed,
    pub slowness: f64,
    pub runs: Vec<EngineRun>,
    pub next_step_ms: f64,
    pub busy_ms: f64,
}

/// Tokens in an event of a stream.
pub const TOKENS_PER_EVENT: u32 = 4;

impl EngineModel {
    /// Does one step that ends at `next_step_ms`, and returns the runs that ended.
    pub fn step(&mut self) -> Vec<EngineRun> {
        let now = self.next_step_ms;
        let mut chunk = self.speed.chunk_tokens;
        for run in &mut self.runs {
            if run.prompt_left > 0.0 {
                let read = run.prompt_left.min(chunk);
                run.prompt_left -= read;
                chunk -= read;
                if run.prompt_left > 0.0 {
                    break;
                }
                continue;
            }
            run.tokens += 1;
            run.tokens_left -= 1.0;
            if run.tokens % TOKENS_PER_EVENT == 0 || run.tokens_left <= 0.0 {
                run.events += 1;
                match run.first_ms {
                    None => run.first_ms = Some(now),
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
            if self.runs[index].prompt_left <= 0.0 && self.runs[index].tokens_left <= 0.0 {
                ended.push(self.runs.remove(index));
            } else {
                index += 1;
            }
        }
        self.plan(now);
        ended
    }

    /// Plans the next step after `now`.
    pub fn plan(&mut self, now: f64) {
        let reading = self.runs.iter().any(|run| run.prompt_left > 0.0);
        let first = self.runs.iter().find(|run| run.prompt_left > 0.0);
        let read = first.map_or(0.0, |run| run.prompt_left.min(self.speed.chunk_tokens));
        let step = self.speed.step_ms
            + self.speed.step_ms_per_run * self.runs.len() as f64
            + if reading {
                read / self.speed.prefill_tokens_per_ms
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
