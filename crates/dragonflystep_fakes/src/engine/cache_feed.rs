//! The cache events that an engine stand-in publishes, late and with gaps where it is told to.

use {
    crate::engine_model::CacheEvent,
    rand::Rng,
    rand_pcg::{Pcg64Mcg, rand_core::SeedableRng},
    std::{collections::VecDeque, time::Duration},
};

/// Events that can still be asked for.
const KEPT_EVENTS: usize = 10_000;

pub(super) struct CacheFeed {
    events: VecDeque<(Duration, CacheEvent)>,
    late: Duration,
    lose: f64,
    random: Pcg64Mcg,
}

impl CacheFeed {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            events: VecDeque::new(),
            late: Duration::ZERO,
            lose: 0.0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub(super) fn set_faults(&mut self, late: Duration, lose: f64) {
        self.late = late;
        self.lose = lose;
    }

    pub(super) fn add(&mut self, now: Duration, events: Vec<CacheEvent>) {
        for event in events {
            let lost = self.random.random::<f64>() < self.lose;
            if !lost {
                self.events.push_back((now, event));
            }
        }
        while self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after `sequence` that are old enough to be told.
    pub(super) fn after(&self, now: Duration, sequence: u64) -> Vec<CacheEvent> {
        let told_until = now.saturating_sub(self.late);
        let is_told =
            |at: Duration, event: &CacheEvent| at <= told_until && event.sequence > sequence;
        let told = self.events.iter().filter(|(at, event)| is_told(*at, event));
        told.map(|(_, event)| event.clone()).collect()
    }
}
