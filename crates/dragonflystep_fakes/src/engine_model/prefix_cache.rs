//! The prefix cache of an engine: blocks of a prompt, the least recently used one evicted first.

use std::{
    collections::{BTreeMap, HashMap},
    mem,
};

/// What changed in the cache by one prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event, rising by one; a gap means that something was lost (a crash empties the cache).
    pub sequence: u64,
    /// Blocks that are in the cache since.
    pub stored: Vec<u64>,
    /// Blocks that are no longer in the cache.
    pub evicted: Vec<u64>,
}

/// Blocks by hash, with the order of their last use.
#[derive(Debug, Clone)]
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    pub(super) fn new(capacity_blocks: u32) -> Self {
        Self {
            capacity_blocks: capacity_blocks as usize,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            sequence: 0,
            events: Vec::new(),
        }
    }

    /// Number of leading blocks that are in the cache; they count as used.
    pub(super) fn match_prefix(&mut self, blocks: &[u64]) -> usize {
        let matched = blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count();
        self.touch(&blocks[..matched]);
        matched
    }

    /// Stores the blocks of a prompt whose prefill ended.
    pub(super) fn store(&mut self, blocks: &[u64]) {
        let kept = &blocks[..blocks.len().min(self.capacity_blocks)];
        let stored: Vec<u64> = kept
            .iter()
            .copied()
            .filter(|block| !self.last_use.contains_key(block))
            .collect();
        self.touch(kept);
        let evicted = self.evict();
        if stored.is_empty() && evicted.is_empty() {
            return;
        }
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            stored,
            evicted,
        });
    }

    /// Forgets everything; the next event's number leaves a gap, so that a follower learns of it.
    pub(super) fn clear(&mut self) {
        self.last_use.clear();
        self.by_use.clear();
        self.events.clear();
        self.sequence += 1;
    }

    pub(super) fn take_events(&mut self) -> Vec<CacheEvent> {
        mem::take(&mut self.events)
    }

    // The first block is used last, so that the tail of a prompt is evicted before its head.
    fn touch(&mut self, blocks: &[u64]) {
        for &block in blocks.iter().rev() {
            self.uses += 1;
            if let Some(before) = self.last_use.insert(block, self.uses) {
                self.by_use.remove(&before);
            }
            self.by_use.insert(self.uses, block);
        }
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.last_use.len() > self.capacity_blocks {
            let Some((_, block)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&block);
            evicted.push(block);
        }
        evicted
    }
}
