//! One claim and its stage.

use {
    super::{INITIAL_BACKOFF, MAX_BACKOFF, row::ClaimRow},
    crate::{
        context::View,
        ids::{RequestId, RowVersion},
        request::Outcome,
    },
    std::{sync::Arc, time::Duration},
};

/// A claim of a request that this node received.
#[derive(Debug)]
pub(super) struct Claim {
    /// The request that the claim belongs to.
    pub request: RequestId,
    /// Content of the row that the claim writes.
    pub row: ClaimRow,
    /// How far the claim has come.
    pub stage: Stage,
    /// Whether the entry still waits for the claim or runs the request.
    pub wanted: bool,
    /// Whether the answer to a write was lost, so that the row may exist or may still appear.
    pub lost_answer: bool,
    /// Version of an abandoned row of this node that the claim replaces; `None` if the row must be absent.
    pub replaces: Option<RowVersion>,
    /// Number of consecutive failed calls; determines the backoff.
    pub failures: u32,
}

/// Stage of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The claim will be part of a later group commit.
    Waiting,
    /// The claim is part of a group commit that has not been answered.
    Writing,
    /// The answer was lost; the row has to be read back.
    Unsettled,
    /// The claim's row is known to exist.
    Written {
        /// Version of the claim's row.
        version: RowVersion,
    },
    /// The request ended: its outcome has to be written, or the row removed.
    Ending {
        /// Version of the claim's row.
        version: RowVersion,
        /// Outcome of the request; `None` if it was never dispatched.
        outcome: Option<Outcome>,
    },
}

impl Claim {
    /// Creates a claim that waits for its commit.
    pub fn new(view: &View, request: RequestId) -> Self {
        Self {
            request,
            row: ClaimRow::of(view, request, None),
            stage: Stage::Waiting,
            wanted: true,
            lost_answer: false,
            replaces: None,
            failures: 0,
        }
    }

    /// Counts a failure and returns the delay before the next attempt.
    pub fn next_backoff(&mut self) -> Duration {
        let delay = INITIAL_BACKOFF * (1 << self.failures.min(10));
        self.failures += 1;
        delay.min(MAX_BACKOFF)
    }
}

/// The claims that share one call to the table service.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    keys: Vec<Arc<str>>,
}

impl Batch {
    /// Adds the claim of a row key.
    pub fn add(&mut self, key: &Arc<str>) {
        self.keys.push(key.clone());
    }

    /// Whether the batch has no claims, so that no call is needed.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Number of claims in the batch.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Row keys of the claims.
    pub fn keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.keys.iter()
    }
}
