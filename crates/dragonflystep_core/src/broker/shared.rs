//! State that the brokers of one node share across groups.

use {
    super::{
        directory::Directory,
        overload::{TierFloors, YieldRounds},
        quarantine::{Quarantine, Verdict},
        rates::Rates,
    },
    crate::ids::Fingerprint,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// State that all groups held by one node use.
#[derive(Debug, Default)]
pub struct Shared {
    /// Index of the catalogue by service and by group.
    pub directory: Directory,
    /// Tier floors set by yield rounds: less urgent tiers get no grants.
    pub floors: TierFloors,
    /// Yield rounds that this node started.
    pub rounds: YieldRounds,
    /// Requests that are suspected of, or quarantined for, crashing upstreams.
    pub quarantine: Quarantine,
    /// Learned rates of each class of upstreams.
    pub classes: BTreeMap<Arc<str>, Rates>,
}

impl Shared {
    /// Rates of a class; the initial ones if nothing was learned yet.
    pub fn class_rates(&self, class: &str) -> Rates {
        self.classes.get(class).copied().unwrap_or_default()
    }

    /// Removes expired floors, rounds and suspicions.
    pub fn remove_expired(&mut self, now: Duration) {
        self.floors.remove_expired(now);
        self.rounds.remove_expired(now);
        self.quarantine.remove_expired(now);
    }

    /// How a request is to be treated, given the crashes that it was involved in.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        self.quarantine.verdict(fingerprint, now)
    }
}
