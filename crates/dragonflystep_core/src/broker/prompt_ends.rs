//! Times at which an engine finished prompts, used to tell how long each prompt took by itself.
//!
//! An engine computes prompts one after the other, so the time to a first token includes the prompts before it. A
//! prompt's own time starts at its grant, or at the end of the prompt before it if that is later.

use {
    super::slots::SlotKey,
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum number of prompt ends that are remembered per upstream.
const CAPACITY: usize = 64;

/// End times of the prompts of one upstream's latest grants.
#[derive(Debug, Default)]
pub struct PromptEnds {
    ends: BTreeMap<SlotKey, Duration>,
}

impl PromptEnds {
    /// Records that the first token of a stream came at `at`. A later call for the same stream is more exact and
    /// replaces the earlier time.
    pub fn ended(&mut self, key: SlotKey, at: Duration) {
        self.ends.insert(key, at);
        if self.ends.len() > CAPACITY {
            self.ends.pop_first();
        }
    }

    /// Time that a stream's prompt took by itself, for a stream that was granted at `granted_at` and whose prompt was
    /// finished at `ended_at`.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::broker::prompt_ends::PromptEnds;
    /// use std::time::Duration;
    /// let mut ends = PromptEnds::default();
    /// ends.ended((1, 1), Duration::from_secs(5));
    /// let own = ends.own_time((1, 2), Duration::from_secs(1), Duration::from_secs(6));
    /// assert_eq!(own, Duration::from_secs(1));
    /// ```
    pub fn own_time(&self, key: SlotKey, granted_at: Duration, ended_at: Duration) -> Duration {
        let before = self
            .ends
            .iter()
            .filter(|(other, at)| **other != key && **at <= ended_at)
            .map(|(_, at)| *at)
            .max();
        let began_at = before.map_or(granted_at, |at| at.max(granted_at));
        ended_at.saturating_sub(began_at)
    }
}
