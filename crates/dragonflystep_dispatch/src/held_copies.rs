//! The copies of other upstreams' runs that an upstream holds, and the memory that they take there.

use {
    crate::ids::{MonotonicTime, RunId},
    std::collections::HashMap,
};

/// The copies that one upstream holds.
#[derive(Debug, Default)]
pub(crate) struct HeldCopies {
    copies: HashMap<RunId, HeldCopy>,
}

#[derive(Debug)]
struct HeldCopy {
    tokens: u64,
    expires_at: MonotonicTime,
}

impl HeldCopies {
    /// Counts the copy of a run until `expires_at`.
    pub(crate) fn insert(&mut self, run: RunId, tokens: u64, expires_at: MonotonicTime) {
        self.copies.insert(run, HeldCopy { tokens, expires_at });
    }

    /// Counts the copy of a run until `expires_at` if that is earlier than so far.
    pub(crate) fn shorten(&mut self, run: RunId, expires_at: MonotonicTime) {
        if let Some(copy) = self.copies.get_mut(&run) {
            copy.expires_at = copy.expires_at.min(expires_at);
        }
    }

    pub(crate) fn remove(&mut self, run: RunId) {
        self.copies.remove(&run);
    }

    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        self.copies.retain(|_, copy| now < copy.expires_at);
    }

    pub(crate) fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns the memory that the copies take, in tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.copies.values().map(|copy| copy.tokens).sum()
    }
}
