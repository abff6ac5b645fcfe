//! Asks of requests that are suspected of crashing upstreams. Each waits for an upstream on which it runs alone.

use {
    super::{queue::QueuedAsk, slots::AskKey},
    crate::ids::Tier,
    std::{collections::BTreeMap, time::Duration},
};

/// Waiting suspect asks, ordered by tier, then by deadline.
#[derive(Debug, Default)]
pub struct Isolation {
    asks: BTreeMap<(Tier, Duration, AskKey), QueuedAsk>,
}

impl Isolation {
    /// Adds a suspect ask.
    pub fn push(&mut self, queued: QueuedAsk) {
        let place = (queued.ask.tier, queued.deadline, queued.key.clone());
        self.asks.insert(place, queued);
    }

    /// The most urgent suspect ask.
    pub fn first(&self) -> Option<&QueuedAsk> {
        self.asks.values().next()
    }

    /// Finds a suspect ask by a linear search, since there are few.
    pub fn get(&self, key: &AskKey) -> Option<&QueuedAsk> {
        self.asks.values().find(|queued| queued.key == *key)
    }

    /// Removes a suspect ask.
    pub fn remove(&mut self, key: &AskKey) -> Option<QueuedAsk> {
        let queued = self.get(key)?;
        let place = (queued.ask.tier, queued.deadline, queued.key.clone());
        self.asks.remove(&place)
    }

    /// Keys of all suspect asks, most urgent first.
    pub fn keys(&self) -> Vec<AskKey> {
        self.asks
            .values()
            .map(|queued| queued.key.clone())
            .collect()
    }

    /// Keys of the asks whose deadline is at or before `now`.
    pub fn expired(&self, now: Duration) -> Vec<AskKey> {
        self.asks
            .values()
            .filter(|queued| queued.deadline <= now)
            .map(|queued| queued.key.clone())
            .collect()
    }

    /// The earliest deadline of any suspect ask.
    pub fn earliest_deadline(&self) -> Option<Duration> {
        self.asks.values().map(|queued| queued.deadline).min()
    }

    /// Removes and returns all suspect asks.
    pub fn take_all(&mut self) -> Vec<QueuedAsk> {
        std::mem::take(&mut self.asks).into_values().collect()
    }
}
