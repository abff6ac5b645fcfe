//! A versioned list that nodes send to one another. They send only the changes if they still know them, otherwise
//! the whole list.
//!
//! It is designed for a registry of thousands of upstreams of which a few change each second. Sent whole, the
//! registry would fill the links between the nodes.

use {
    crate::list_version::supersedes,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        io::Read,
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of removed keys that are remembered. A node whose version is older than a forgotten removal gets
/// the whole list.
const MAX_TOMBSTONES: usize = 1_024;

/// Level of the zstd compression; the lowest, which shrinks a catalogue about tenfold.
const COMPRESSION_LEVEL: i32 = 1;

/// Maximum size in bytes of an expanded list from another node; room for about 100,000 routes.
const MAX_LIST_BYTES: u64 = 64 << 20;

/// Why encoded changes of a list can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ChangesError {
    /// Compressing or decompressing the changes failed.
    #[error("compression or decompression failed: {0}")]
    Expand(#[from] std::io::Error),
    /// The JSON text is not valid or does not describe changes.
    #[error("not a valid list of changes: {0}")]
    Parse(#[from] serde_json::Error),
}

/// An entry of a versioned list.
pub(crate) trait ListEntry: Clone + PartialEq + Serialize + DeserializeOwned {
    /// Identifies the entry within its list.
    fn key(&self) -> &Arc<str>;
}

/// Changes that lead from one version of a list to another, or a whole list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound = "T: ListEntry")]
pub(crate) struct Changes<T> {
    /// The version to which the changes apply; 0 if `set` is the whole list.
    base_version: u64,
    /// The version that results from applying them.
    version: u64,
    set: Vec<T>,
    removed: Vec<Arc<str>>,
    /// Digest of the resulting list.
    digest: u64,
}

impl<T: ListEntry> Changes<T> {
    /// Encodes the changes as compressed JSON, for fetches in pieces.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, ChangesError> {
        let json = serde_json::to_vec(self)?;
        Ok(zstd::bulk::compress(&json, COMPRESSION_LEVEL)?)
    }

    /// Decodes changes that another node encoded. A longer list than [`MAX_LIST_BYTES`] is truncated and fails to
    /// parse.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, ChangesError> {
        let mut json = Vec::new();
        zstd::Decoder::new(bytes)?
            .take(MAX_LIST_BYTES)
            .read_to_end(&mut json)?;
        Ok(serde_json::from_slice(&json)?)
    }
}

#[derive(Clone, Debug)]
struct StoredEntry<T> {
    entry: T,
    changed_at: u64,
    digest: u64,
}

/// What the versions of a list are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionOrder {
    /// Numbers of the operator, of which only the order counts.
    Numbers,
    /// Versions of a [`ListReading`](crate::list_version::ListReading), which know of eras of the platform's store.
    Readings,
}

impl VersionOrder {
    fn supersedes(self, theirs: u64, known: u64) -> bool {
        match self {
            Self::Numbers => theirs > known,
            Self::Readings => supersedes(theirs, known),
        }
    }
}

/// A list with a version that only rises.
#[derive(Clone, Debug)]
pub(crate) struct VersionedList<T> {
    version: u64,
    order: VersionOrder,
    stored: BTreeMap<Arc<str>, StoredEntry<T>>,
    /// The keys of all entries, by the version in which they last changed. Most questions are for the last few changes.
    changed: BTreeSet<(u64, Arc<str>)>,
    /// Versions in which entries were removed.
    tombstones: BTreeMap<Arc<str>, u64>,
    /// The keys of all tombstones, by their versions.
    removed: BTreeSet<(u64, Arc<str>)>,
    /// Removals up to this version may have been forgotten, so a node with an older version gets the whole list.
    forgotten_through: u64,
    /// Wrapping sum of the digests of the entries.
    digest: u64,
    needs_full_list: bool,
}

impl<T> Default for VersionedList<T> {
    fn default() -> Self {
        Self {
            version: 0,
            order: VersionOrder::Readings,
            stored: BTreeMap::new(),
            changed: BTreeSet::new(),
            tombstones: BTreeMap::new(),
            removed: BTreeSet::new(),
            forgotten_through: 0,
            digest: 0,
            needs_full_list: false,
        }
    }
}

impl<T: ListEntry> VersionedList<T> {
    /// An empty list whose versions are numbers of the operator.
    pub(crate) fn with_numbers() -> Self {
        Self {
            order: VersionOrder::Numbers,
            ..Self::default()
        }
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// The version to announce to other nodes; 0 to request the whole list.
    pub(crate) fn announced_version(&self) -> u64 {
        if self.needs_full_list {
            0
        } else {
            self.version
        }
    }

    /// Whether the list is known to be complete. It is not if its digest differs from that of the node that sent
    /// the last changes.
    pub(crate) fn is_complete(&self) -> bool {
        !self.needs_full_list
    }

    /// Whether a list of `their_version` is to replace this one.
    pub(crate) fn is_stale_against(&self, their_version: u64) -> bool {
        self.order.supersedes(their_version, self.version)
            || self.needs_full_list && their_version == self.version
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &T> {
        self.stored.values().map(|stored| &stored.entry)
    }

    pub(crate) fn contains(&self, key: &str) -> bool {
        self.stored.contains_key(key)
    }

    /// Replaces the list, unless it is as new as the given one. Returns whether it was replaced.
    pub(crate) fn replace(&mut self, version: u64, entries: Vec<T>) -> bool {
        if !self.is_stale_against(version) {
            return false;
        }
        if self.version == 0 || self.needs_full_list {
            // Removals before this version are not known here. A node that gets only the changes from an older
            // version would keep the removed entries.
            self.forgotten_through = version;
        }
        let kept: HashSet<&str> = entries.iter().map(|entry| &**entry.key()).collect();
        let keys = self.stored.keys();
        let removed_keys: Vec<Arc<str>> = keys
            .filter(|key| !kept.contains(&***key))
            .cloned()
            .collect();
        self.advance(version, entries, &removed_keys);
        self.needs_full_list = false;
        true
    }

    /// The changes for a node with the list of `their_version`; `None` if that is as new as this one.
    ///
    /// A list that is not known to be complete is not sent to other nodes, because it may lack entries of its
    /// version.
    pub(crate) fn changes_since(&self, their_version: u64) -> Option<Changes<T>> {
        if their_version >= self.version || self.needs_full_list {
            return None;
        }
        let base_version = if their_version < self.forgotten_through {
            0
        } else {
            their_version
        };
        let changed = keys_after(&self.changed, base_version);
        let stored = changed.filter_map(|key| self.stored.get(key));
        Some(Changes {
            base_version,
            version: self.version,
            set: stored.map(|stored| stored.entry.clone()).collect(),
            removed: keys_after(&self.removed, base_version).cloned().collect(),
            digest: self.digest,
        })
    }

    /// The changes for a node with the list of `their_version`, if they set at most `limit` entries. Removals are
    /// not counted.
    pub(crate) fn few_changes_since(&self, their_version: u64, limit: usize) -> Option<Changes<T>> {
        // Most gossip exchanges are between nodes with the same list.
        if their_version >= self.version || self.needs_full_list {
            return None;
        }
        let base_version = if their_version < self.forgotten_through {
            0
        } else {
            their_version
        };
        // Counting stops at one more than permitted.
        let changed = keys_after(&self.changed, base_version);
        let is_few = changed.take(limit + 1).count() <= limit;
        is_few.then(|| self.changes_since(their_version))?
    }

    /// Applies changes that another node sent. Returns whether the list changed.
    ///
    /// If the resulting list differs from the sender's, the whole list is requested in the next exchange.
    pub(crate) fn apply(&mut self, changes: Changes<T>) -> bool {
        if changes.base_version == 0 {
            return self.replace(changes.version, changes.set);
        }
        let is_newer = self.order.supersedes(changes.version, self.version);
        if !is_newer || changes.base_version > self.version {
            return false;
        }
        self.advance(changes.version, changes.set, &changes.removed);
        self.needs_full_list = self.digest != changes.digest;
        if self.needs_full_list {
            log::warn!(version = self.version; "a list differs from that of another node; requesting the whole list");
        }
        true
    }

    fn advance(&mut self, version: u64, set: Vec<T>, removed_keys: &[Arc<str>]) {
        self.version = version;
        for key in removed_keys {
            if let Some(stored) = self.stored.remove(key) {
                self.digest = self.digest.wrapping_sub(stored.digest);
                self.changed.remove(&(stored.changed_at, key.clone()));
                self.tombstones.insert(key.clone(), version);
                self.removed.insert((version, key.clone()));
            }
        }
        for entry in set {
            self.set(version, entry);
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((at, key)) = self.removed.pop_first() else {
                return;
            };
            self.tombstones.remove(&key);
            self.forgotten_through = self.forgotten_through.max(at);
        }
    }

    fn set(&mut self, version: u64, entry: T) {
        let key = entry.key().clone();
        let before = self.stored.get(&key);
        if before.is_some_and(|stored| stored.entry == entry) {
            return;
        }
        let digest = digest_of(&entry);
        self.digest = self
            .digest
            .wrapping_sub(before.map_or(0, |stored| stored.digest))
            .wrapping_add(digest);
        if let Some(before) = before {
            self.changed.remove(&(before.changed_at, key.clone()));
        }
        if let Some(at) = self.tombstones.remove(&key) {
            self.removed.remove(&(at, key.clone()));
        }
        self.changed.insert((version, key.clone()));
        let stored = StoredEntry {
            entry,
            changed_at: version,
            digest,
        };
        self.stored.insert(key, stored);
    }
}

/// The keys of the elements with a version above `version`.
fn keys_after(keys: &BTreeSet<(u64, Arc<str>)>, version: u64) -> impl Iterator<Item = &Arc<str>> {
    let first: Arc<str> = "".into();
    let after = keys.range((version.saturating_add(1), first)..);
    after.map(|(_, key)| key)
}

fn digest_of<T: Serialize>(entry: &T) -> u64 {
    match serde_json::to_vec(entry) {
        Ok(bytes) => xxh3_64(&bytes),
        Err(error) => {
            // The entries consist of plain fields, so this is not expected. A wrong digest only causes a fetch of
            // the whole list.
            log::error!(error:%; "an entry of a list can't be encoded");
            0
        }
    }
}
