//! Model of an upstream's prefix cache, as far as it follows from its owner's own dispatches.

use {
    crate::{
        ids::{MonotonicTime, PromptSegmentId},
        messages::PromptSegment,
    },
    std::collections::HashMap,
};

/// Prompt segments that an upstream presumably holds, with least-recently-used eviction.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    held_tokens: u64,
    segments: HashMap<PromptSegmentId, CachedSegment>,
}

/// A prompt segment in the cache.
#[derive(Debug)]
struct CachedSegment {
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

    /// Returns the number of tokens at the beginning of a prompt that need no prefill.
    pub(crate) fn cached_tokens(&self, segments: &[PromptSegment]) -> u32 {
        segments
            .iter()
            .take_while(|segment| self.segments.contains_key(&segment.id))
            .fold(0, |tokens, segment| segment.tokens.saturating_add(tokens))
    }

    /// Records that a prompt is prefilled, which adds its segments to the cache.
    pub(crate) fn read(&mut self, now: MonotonicTime, segments: &[PromptSegment]) {
        for segment in segments {
            let cached = CachedSegment {
                tokens: segment.tokens,
                used_at: now,
            };
            self.held_tokens += u64::from(segment.tokens);
            if let Some(replaced) = self.segments.insert(segment.id, cached) {
                self.held_tokens -= u64::from(replaced.tokens);
            }
        }
        if self.held_tokens > self.capacity_tokens {
            self.evict();
        }
    }

    /// Evicts the least recently used segments until a tenth of the capacity is free, so that evictions are rare.
    fn evict(&mut self) {
        let mut by_last_use: Vec<(MonotonicTime, PromptSegmentId)> = self
            .segments
            .iter()
            .map(|(id, segment)| (segment.used_at, *id))
            .collect();
        by_last_use.sort_unstable();
        for (_, id) in by_last_use {
            if self.held_tokens * 10 <= self.capacity_tokens * 9 {
                return;
            }
            if let Some(segment) = self.segments.remove(&id) {
                self.held_tokens -= u64::from(segment.tokens);
            }
        }
    }
}
