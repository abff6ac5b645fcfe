//! The copies of other upstreams' runs that an upstream holds, and the memory that they take there.

use {
    crate::ids::{MonotonicTime, RunId},
    std::collections::HashMap,
};

/// The copies that one upstream holds.
#[derive(Debug, Default)]
pub(crate) struct HeldCopies {
    copies: HashMap<RunId, HeldCopy>,
    /// Sum over the copies.
    tokens: u64,
}

#[derive(Debug)]
struct HeldCopy {
    tokens: u64,
    expires_at: MonotonicTime,
}

impl HeldCopies {
    /// Counts the copy of a run until `expires_at`.
    pub(crate) fn insert(&mut self, run: RunId, tokens: u64, expires_at: MonotonicTime) {
        let replaced = self.copies.insert(run, HeldCopy { tokens, expires_at });
        self.tokens += tokens;
        self.tokens -= replaced.map_or(0, |copy| copy.tokens);
    }

    /// Counts the copy of a run until `expires_at` if that is earlier than so far.
    pub(crate) fn shorten(&mut self, run: RunId, expires_at: MonotonicTime) {
        if let Some(copy) = self.copies.get_mut(&run) {
            copy.expires_at = copy.expires_at.min(expires_at);
        }
    }

    pub(crate) fn remove(&mut self, run: RunId) {
        let removed = self.copies.remove(&run);
        self.tokens -= removed.map_or(0, |copy| copy.tokens);
    }

    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        let tokens = &mut self.tokens;
        self.copies.retain(|_, copy| {
            let is_held = now < copy.expires_at;
            *tokens -= if is_held { 0 } else { copy.tokens };
            is_held
        });
    }

    pub(crate) fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns the memory that the copies take, in tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }
}
