//! What happens at the engine's own events: ends of prompts and streams, and reports of progress.

use {
    super::{
        BLOCK_TOKENS, Decode, EngineModel, EngineOutput, Prefill,
        pace::{UNITS_PER_ITEM, WorkUnits},
    },
    std::time::Duration,
};

/// Part of the engine that prefill and decode get while both have work.
const SHARE_WHEN_BOTH: f64 = 0.5;

impl EngineModel {
    pub(super) fn running(&self) -> u32 {
        let running = self.decodes.len() + usize::from(self.prefill.is_some()) + self.prompts.len();
        u32::try_from(running).expect("a batch is at most max_batch streams")
    }

    pub(super) fn next_event(&self) -> Option<Duration> {
        let prefill_end = self
            .prefill
            .as_ref()
            .and_then(|prefill| self.prefill_progress.time_of(prefill.done_at));
        let decode_end = self
            .decode_ends
            .first()
            .and_then(|(done_at, _)| self.decode_progress.time_of(*done_at));
        let next = [prefill_end, decode_end, self.next_tick]
            .into_iter()
            .flatten()
            .min()?;
        Some(next.max(self.now))
    }

    pub(super) fn run_to(&mut self, now: Duration) {
        while let Some(at) = self.next_event().filter(|at| *at <= now) {
            self.now = at;
            self.finish_decodes(at);
            self.finish_prefill(at);
            self.tick(at);
            self.settle(at);
        }
        self.now = self.now.max(now);
    }

    fn finish_decodes(&mut self, now: Duration) {
        let done = self.decode_progress.done(now);
        while let Some(&(done_at, id)) = self.decode_ends.first() {
            if done_at > done {
                return;
            }
            self.decode_ends.pop_first();
            self.ids.remove(&id);
            let Some(decode) = self.decodes.remove(&id) else {
                continue;
            };
            self.outputs.push(EngineOutput {
                id,
                at: now,
                tokens: decode.output_tokens,
                finished: true,
                cached_tokens: decode.cached_tokens,
            });
        }
    }

    fn finish_prefill(&mut self, now: Duration) {
        let done = self.prefill_progress.done(now);
        let Some(Prefill {
            spec,
            cached_tokens,
            ..
        }) = self.prefill.take_if(|prefill| prefill.done_at <= done)
        else {
            return;
        };
        self.cache.store(&spec.prefix_blocks);
        let finished = spec.output_tokens <= 1;
        self.outputs.push(EngineOutput {
            id: spec.id,
            at: now,
            tokens: 1,
            finished,
            cached_tokens,
        });
        if finished {
            self.ids.remove(&spec.id);
            return;
        }
        let began_at = self.decode_progress.done(now);
        let done_at = began_at + WorkUnits::from(spec.output_tokens - 1) * UNITS_PER_ITEM;
        self.decode_ends.insert((done_at, spec.id));
        let decode = Decode {
            output_tokens: spec.output_tokens,
            cached_tokens,
            began_at,
            done_at,
            told_tokens: 1,
        };
        self.decodes.insert(spec.id, decode);
    }

    /// Tells the progress of the streams that have new tokens, in the order of their ends.
    fn tick(&mut self, now: Duration) {
        if self.next_tick.is_none_or(|at| at > now) {
            return;
        }
        self.next_tick = None;
        let done = self.decode_progress.done(now);
        for (_, id) in &self.decode_ends {
            let Some(decode) = self.decodes.get_mut(id) else {
                continue;
            };
            let steps = (done - decode.began_at) / UNITS_PER_ITEM;
            let tokens = u32::try_from(steps + 1)
                .unwrap_or(u32::MAX)
                .min(decode.output_tokens);
            if tokens == decode.told_tokens {
                continue;
            }
            decode.told_tokens = tokens;
            self.outputs.push(EngineOutput {
                id: *id,
                at: now,
                tokens,
                finished: false,
                cached_tokens: decode.cached_tokens,
            });
        }
    }

    /// Fills the batch and sets the paces after streams came or went.
    pub(super) fn settle(&mut self, now: Duration) {
        while self.running() < self.shape.max_batch {
            let Some(spec) = self.waiting.pop_front() else {
                break;
            };
            self.prompts.push_back(spec);
        }
        if self.prefill.is_none() {
            self.begin_prefill(now);
        }
        self.set_paces(now);
        self.set_tick(now);
        let queued = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.most_running = self.most_running.max(self.running());
        self.load.record(now, self.running(), queued);
    }

    fn begin_prefill(&mut self, now: Duration) {
        let Some(spec) = self.prompts.pop_front() else {
            return;
        };
        let matched = self.cache.match_prefix(&spec.prefix_blocks);
        let matched_tokens = u32::try_from(matched)
            .unwrap_or(u32::MAX)
            .saturating_mul(BLOCK_TOKENS);
        // The last token is always computed, since its output is the first token of the answer.
        let prompt_tokens = spec.prompt_tokens.max(1);
        let cached_tokens = matched_tokens.min(prompt_tokens - 1);
        let work = WorkUnits::from(prompt_tokens - cached_tokens) * UNITS_PER_ITEM;
        let done_at = self.prefill_progress.done(now) + work;
        self.prefill = Some(Prefill {
            spec,
            cached_tokens,
            done_at,
        });
    }

    pub(super) fn set_paces(&mut self, now: Duration) {
        let decoding = self.decodes.len();
        let both = decoding > 0 && self.prefill.is_some();
        let share = if both { SHARE_WHEN_BOTH } else { 1.0 };
        let slowdown = self.slowdown / share;
        let prefill = self
            .prefill
            .is_some()
            .then(|| slowdown / self.shape.prefill_tokens_per_s);
        let decode = (decoding > 0).then(|| {
            let further = self.shape.decode_step_per_stream.as_secs_f64() * (decoding - 1) as f64;
            slowdown * (self.shape.decode_step.as_secs_f64() + further)
        });
        self.prefill_progress.set_pace(now, prefill);
        self.decode_progress.set_pace(now, decode);
    }

    pub(super) fn set_tick(&mut self, now: Duration) {
        if self.decodes.is_empty() || self.slowdown.is_infinite() {
            self.next_tick = None;
        } else if self.next_tick.is_none() {
            self.next_tick = Some(now + self.progress_interval);
        }
    }
}
