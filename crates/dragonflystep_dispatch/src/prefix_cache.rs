//! Which parts of prompts an upstream holds, as far as its owner's own dispatches tell.

use {
    crate::{
        ids::{MonotonicTime, PromptSegmentId},
        messages::PromptSegment,
    },
    std::collections::HashMap,
};

/// Parts that an upstream has read, the least recently used one yielding first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    held_tokens: u64,
    segments: HashMap<PromptSegmentId, HeldPart>,
}

#[derive(Debug)]
struct HeldPart {
    tokens: u32,
    used_at: MonotonicTime,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            held_tokens: 0,
            segments: HashMap::new(),
        }
    }

    /// Tokens at the beginning of a prompt that need not be read again.
    pub(crate) fn cached_tokens(&self, segments: &[PromptSegment]) -> u32 {
        segments
            .iter()
            .take_while(|part| self.segments.contains_key(&part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// Notes that a prompt is read.
    pub(crate) fn read(&mut self, now: MonotonicTime, segments: &[PromptSegment]) {
        for part in segments {
            let held = HeldPart {
                tokens: part.tokens,
                used_at: now,
            };
            self.held_tokens += u64::from(part.tokens);
            if let Some(before) = self.segments.insert(part.id, held) {
                self.held_tokens -= u64::from(before.tokens);
            }
        }
        if self.held_tokens > self.capacity_tokens {
            self.evict();
        }
    }

    /// Drops the oldest tenth, so that eviction is rare.
    fn evict(&mut self) {
        let mut by_age: Vec<(MonotonicTime, PromptSegmentId)> = self
            .segments
            .iter()
            .map(|(id, part)| (part.used_at, *id))
            .collect();
        by_age.sort_unstable();
        for (_, id) in by_age {
            if self.held_tokens * 10 <= self.capacity_tokens * 9 {
                return;
            }
            if let Some(part) = self.segments.remove(&id) {
                self.held_tokens -= u64::from(part.tokens);
            }
        }
    }
}
