//! A list with versions that nodes pass on to one another, by its changes where that is enough.
//!
//! The load it answers: a registry of thousands of upstreams of which a few change each second. Passed on whole, it would
//! fill the links of the nodes that pass it on.

use {
    crate::list_version::supersedes,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, HashSet},
        io::Read,
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Removed entries that are remembered; who is behind them all gets the whole list.
const MOST_REMOVED: usize = 1_024;

/// Effort of the compression; the smallest, which shrinks a catalogue about tenfold.
const COMPRESSION_LEVEL: i32 = 1;

/// Longest list that is taken from another node, in bytes; some 100,000 routes.
const MOST_LIST_BYTES: u64 = 64 << 20;

/// Why what another node sent of a list can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ChangesError {
    /// It can't be compressed or expanded.
    #[error("can't be expanded: {0}")]
    Expand(#[from] std::io::Error),
    /// It is no list of changes.
    #[error("is no list of changes: {0}")]
    Parse(#[from] serde_json::Error),
}

/// An entry of a list.
pub(crate) trait ListEntry: Clone + PartialEq + Serialize + DeserializeOwned {
    /// What tells it from other entries.
    fn key(&self) -> &Arc<str>;
}

/// Changes of a list, or all of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound = "T: ListEntry")]
pub(crate) struct Changes<T> {
    /// The version on which they build; 0 for the whole list.
    base_version: u64,
    /// The version to which they lead.
    version: u64,
    set: Vec<T>,
    removed: Vec<Arc<str>>,
    /// Digest of the list to which they lead.
    digest: u64,
}

impl<T: ListEntry> Changes<T> {
    /// The form in which they are sent to another node piece by piece.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, ChangesError> {
        let json = serde_json::to_vec(self)?;
        Ok(zstd::bulk::compress(&json, COMPRESSION_LEVEL)?)
    }

    /// Changes as another node sent them.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, ChangesError> {
        let mut json = Vec::new();
        zstd::Decoder::new(bytes)?
            .take(MOST_LIST_BYTES)
            .read_to_end(&mut json)?;
        Ok(serde_json::from_slice(&json)?)
    }
}

#[derive(Clone, Debug)]
struct Held<T> {
    entry: T,
    changed_at: u64,
    digest: u64,
}

/// A list with a version that only rises.
#[derive(Clone, Debug)]
pub(crate) struct VersionedList<T> {
    version: u64,
    held: BTreeMap<Arc<str>, Held<T>>,
    removed: BTreeMap<Arc<str>, u64>,
    /// Changes up to this version may have been forgotten.
    forgotten: u64,
    /// Sum of the entries' digests.
    digest: u64,
    wants_whole: bool,
}

impl<T> Default for VersionedList<T> {
    fn default() -> Self {
        Self {
            version: 0,
            held: BTreeMap::new(),
            removed: BTreeMap::new(),
            forgotten: 0,
            digest: 0,
            wants_whole: false,
        }
    }
}

impl<T: ListEntry> VersionedList<T> {
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// The version to tell other nodes: 0 asks for the whole list.
    pub(crate) fn announced_version(&self) -> u64 {
        if self.wants_whole { 0 } else { self.version }
    }

    /// Whether the entries are known to be those of the version.
    pub(crate) fn is_whole(&self) -> bool {
        !self.wants_whole
    }

    /// Whether a list of `their_version` holds something new.
    pub(crate) fn is_stale_against(&self, their_version: u64) -> bool {
        supersedes(their_version, self.version) || self.wants_whole && their_version == self.version
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &T> {
        self.held.values().map(|held| &held.entry)
    }

    pub(crate) fn contains(&self, key: &str) -> bool {
        self.held.contains_key(key)
    }

    /// Takes over a whole list, unless the present one is as new.
    pub(crate) fn replace(&mut self, version: u64, entries: Vec<T>) -> bool {
        if !self.is_stale_against(version) {
            return false;
        }
        if self.version == 0 || self.wants_whole {
            // What was removed before this list is not known here. Who asks for changes from then on would get a list
            // that still holds what is gone.
            self.forgotten = version;
        }
        let kept: HashSet<&str> = entries.iter().map(|entry| &**entry.key()).collect();
        let keys = self.held.keys();
        let gone: Vec<Arc<str>> = keys
            .filter(|key| !kept.contains(&***key))
            .cloned()
            .collect();
        self.advance(version, entries, &gone);
        self.wants_whole = false;
        true
    }

    /// What a node is missing that has the list of `their_version`; none if that is as new as this one.
    ///
    /// A list that is not known to be whole is told to nobody: it may lack entries that its version has.
    pub(crate) fn changes_since(&self, their_version: u64) -> Option<Changes<T>> {
        if their_version >= self.version || self.wants_whole {
            return None;
        }
        let base_version = if their_version < self.forgotten {
            0
        } else {
            their_version
        };
        let changed = self
            .held
            .values()
            .filter(|held| held.changed_at > base_version);
        let removed = self.removed.iter().filter(|(_, at)| **at > base_version);
        Some(Changes {
            base_version,
            version: self.version,
            set: changed.map(|held| held.entry.clone()).collect(),
            removed: removed.map(|(key, _)| key.clone()).collect(),
            digest: self.digest,
        })
    }

    /// What a node is missing that has the list of `their_version`, if that is at most `most` entries.
    pub(crate) fn few_changes_since(&self, their_version: u64, most: usize) -> Option<Changes<T>> {
        // Most exchanges of views are between nodes that have the same list.
        if their_version >= self.version || self.wants_whole {
            return None;
        }
        let is_whole_needed = their_version < self.forgotten;
        let changed_at = self.held.values().map(|held| held.changed_at);
        let changed = changed_at.filter(|at| is_whole_needed || *at > their_version);
        // One more than permitted is enough to know.
        let is_few = changed.take(most + 1).count() <= most;
        is_few.then(|| self.changes_since(their_version))?
    }

    /// Applies what another node sent; says whether the list changed.
    ///
    /// When the outcome is not what the other node has, the whole list is asked for at the next exchange.
    pub(crate) fn apply(&mut self, changes: Changes<T>) -> bool {
        if changes.base_version == 0 {
            return self.replace(changes.version, changes.set);
        }
        if !supersedes(changes.version, self.version) || changes.base_version > self.version {
            return false;
        }
        self.advance(changes.version, changes.set, &changes.removed);
        self.wants_whole = self.digest != changes.digest;
        if self.wants_whole {
            log::warn!(version = self.version; "a list differs from that of another node; the whole list is asked for");
        }
        true
    }

    fn advance(&mut self, version: u64, set: Vec<T>, gone: &[Arc<str>]) {
        self.version = version;
        for key in gone {
            if let Some(held) = self.held.remove(key) {
                self.digest = self.digest.wrapping_sub(held.digest);
                self.removed.insert(key.clone(), version);
            }
        }
        for entry in set {
            self.set(version, entry);
        }
        while self.removed.len() > MOST_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
            let Some((key, at)) = oldest.map(|(key, at)| (key.clone(), *at)) else {
                return;
            };
            self.removed.remove(&key);
            self.forgotten = self.forgotten.max(at);
        }
    }

    fn set(&mut self, version: u64, entry: T) {
        let key = entry.key().clone();
        let before = self.held.get(&key);
        if before.is_some_and(|held| held.entry == entry) {
            return;
        }
        let digest = digest_of(&entry);
        self.digest = self
            .digest
            .wrapping_sub(before.map_or(0, |held| held.digest))
            .wrapping_add(digest);
        self.removed.remove(&key);
        let held = Held {
            entry,
            changed_at: version,
            digest,
        };
        self.held.insert(key, held);
    }
}

fn digest_of<T: Serialize>(entry: &T) -> u64 {
    match serde_json::to_vec(entry) {
        Ok(bytes) => xxh3_64(&bytes),
        Err(error) => {
            // The lists hold plain fields only; a digest that is wrong costs a whole list.
            log::error!(error:%; "an entry of a list can't be written");
            0
        }
    }
}
