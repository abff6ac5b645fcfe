//! Model of an upstream's prefix cache (KV cache blocks), evicted in least-recently-used order.
//!
//! All work for the upstream is granted by its broker, so the model is filled from the grants. The engine's own cache
//! reports arrive late and with gaps; they only correct the model.

use {
    crate::ids::BlockHash,
    std::collections::{BTreeMap, HashMap},
};

/// Maximum number of blocks that are remembered per upstream.
const CAPACITY_BLOCKS: usize = 4096;
/// Factor applied to the trust after a gap in the reports. It is near 1, since the grants are known without reports.
const GAP_TRUST_FACTOR: f64 = 0.98;
/// Minimum trust. It stays above zero, since a wrong prediction is noticed and corrected.
const MIN_TRUST: f64 = 0.1;

/// Predicted cache content of one upstream.
#[derive(Debug)]
pub struct PrefixCache {
    used_at: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    clock: u64,
    last_sequence: Option<u64>,
    trust: f64,
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self {
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            last_sequence: None,
            trust: 1.0,
        }
    }
}

impl PrefixCache {
    /// Records that the upstream computes these blocks now. The last blocks of a prefix become the first to be evicted.
    pub fn record_used(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
        while self.by_use.len() > CAPACITY_BLOCKS {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&block);
        }
    }

    /// Corrects the model by a cache report of the engine; reports that are not newer than the last one are ignored.
    pub fn apply_report(&mut self, sequence: u64, stored: &[BlockHash], evicted: &[BlockHash]) {
        match self.last_sequence {
            Some(last) if sequence <= last => return,
            Some(last) if sequence > last + 1 => self.trust *= GAP_TRUST_FACTOR,
            _ => {}
        }
        self.trust = self.trust.max(MIN_TRUST);
        self.last_sequence = Some(sequence);
        for block in evicted {
            self.drop_block(*block);
        }
        self.record_used(stored);
    }

    /// Adjusts the trust by comparing the predicted cached tokens with those that the engine found.
    pub fn check_prediction(&mut self, predicted_tokens: u32, found_tokens: u32) {
        if predicted_tokens == 0 {
            return;
        }
        let right = f64::from(found_tokens.min(predicted_tokens)) / f64::from(predicted_tokens);
        self.trust += 0.2 * (right - self.trust);
        self.trust = self.trust.max(MIN_TRUST);
    }

    /// Number of the prompt's leading blocks that are predicted to be cached.
    pub fn cached_blocks(&self, blocks: &[BlockHash]) -> usize {
        // Prefixes are evicted from the end, so the cached blocks come first.
        blocks.partition_point(|block| self.used_at.contains_key(block))
    }

    /// Number of the prompt's tokens that are predicted to be cached.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::broker::prefix_cache::PrefixCache;
    /// let mut cache = PrefixCache::default();
    /// cache.record_used(&[1, 2, 3]);
    /// assert_eq!(cache.cached_tokens(&[1, 2, 9, 10], 400), 200);
    /// ```
    pub fn cached_tokens(&self, blocks: &[BlockHash], prompt_tokens: u32) -> u32 {
        if blocks.is_empty() {
            return 0;
        }
        let share = self.cached_blocks(blocks) as f64 / blocks.len() as f64;
        (share * f64::from(prompt_tokens)) as u32
    }

    /// Confidence in the model, between 0 and 1, by which predicted cached tokens are scaled.
    pub fn trust(&self) -> f64 {
        self.trust
    }

    /// Resets the model, for an upstream that was restarted or moved.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn touch(&mut self, block: BlockHash) {
        self.drop_block(block);
        self.clock += 1;
        self.by_use.insert(self.clock, block);
        self.used_at.insert(block, self.clock);
    }

    fn drop_block(&mut self, block: BlockHash) {
        if let Some(used_at) = self.used_at.remove(&block) {
            self.by_use.remove(&used_at);
        }
    }
}
