//! Remembers at which software version streams began, so that a stream that breaks off goes on only there.
//!
//! It is designed for a release in the middle of a burst: two versions of hundreds of upstreams serve side by side, and
//! thousands of streams begin in a second. The owner learns the version of a stream with the grant of its slot, and
//! nodes that may become the owner get copies.

use {
    crate::{
        ids::{MonotonicTime, StreamId, UpstreamVersion},
        limits::{COMPLETED_STREAM_LIFETIME, MAX_STREAM_RECORDS, VERSION_MEMORY},
    },
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// The software version at which a stream began, as nodes report it to one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamVersion {
    /// The stream.
    pub stream: StreamId,
    /// Version of the upstream that began it.
    pub version: UpstreamVersion,
    /// Time in which its caller may still resume it.
    pub lifetime: Duration,
}

#[derive(Debug)]
struct Record {
    version: UpstreamVersion,
    expires_at: MonotonicTime,
    /// Whether this node received the stream's request from its caller.
    is_own: bool,
    /// Whether this node granted a slot for the stream as the owner.
    is_granted: bool,
}

/// The streams whose versions a node knows.
#[derive(Debug, Default)]
pub(crate) struct StreamVersions {
    records: HashMap<StreamId, Record>,
    /// Streams that this node granted since they were last taken.
    changed: BTreeSet<StreamId>,
}

impl StreamVersions {
    /// Records a stream for which this node granted a slot.
    pub(crate) fn record_granted(&mut self, now: MonotonicTime, granted: StreamVersion) {
        let stream = granted.stream;
        if let Some(record) = self.insert(now, granted) {
            record.is_granted = true;
            self.changed.insert(stream);
        }
    }

    /// Records a stream whose request this node received from its caller.
    pub(crate) fn record_own(&mut self, now: MonotonicTime, own: StreamVersion) {
        if let Some(record) = self.insert(now, own) {
            record.is_own = true;
        }
    }

    /// Records a stream that another node reported.
    pub(crate) fn record_reported(&mut self, now: MonotonicTime, reported: StreamVersion) {
        self.insert(now, reported);
    }

    /// Returns the record of the stream, unless there is no room for it.
    fn insert(&mut self, now: MonotonicTime, added: StreamVersion) -> Option<&mut Record> {
        let has_room = self.records.len() < MAX_STREAM_RECORDS;
        if !has_room && !self.records.contains_key(&added.stream) {
            return None;
        }
        let record = self.records.entry(added.stream).or_insert(Record {
            version: added.version.clone(),
            expires_at: MonotonicTime::ZERO,
            is_own: false,
            is_granted: false,
        });
        record.version = added.version;
        record.expires_at = now + added.lifetime;
        Some(record)
    }

    /// Returns the version at which a stream began.
    pub(crate) fn version(&self, now: MonotonicTime, stream: StreamId) -> Option<&UpstreamVersion> {
        let record = self.records.get(&stream)?;
        (now < record.expires_at).then_some(&record.version)
    }

    /// Shortens the lifetime of a stream that was relayed to its end. Its caller may lack the last events if the entry node
    /// dies before it has sent them.
    pub(crate) fn note_completed(&mut self, now: MonotonicTime, stream: StreamId) {
        if let Some(record) = self.records.get_mut(&stream) {
            record.expires_at = record.expires_at.min(now + COMPLETED_STREAM_LIFETIME);
        }
    }

    /// Whether streams were granted that have not been taken yet.
    pub(crate) fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns the streams that were granted since the last call.
    pub(crate) fn take_changed(&mut self, now: MonotonicTime) -> Vec<StreamVersion> {
        let changed = std::mem::take(&mut self.changed);
        let known = changed
            .into_iter()
            .filter_map(|stream| Some((stream, self.records.get(&stream)?)));
        reports(now, known)
    }

    /// Marks all streams that this node granted as not taken yet.
    pub(crate) fn mark_granted_changed(&mut self) {
        let granted = self.records.iter().filter(|(_, record)| record.is_granted);
        self.changed = granted.map(|(stream, _)| *stream).collect();
    }

    /// Forgets which streams were granted; nobody needs copies of them.
    pub(crate) fn clear_changed(&mut self) {
        self.changed.clear();
    }

    /// Returns all streams that may still be resumed.
    pub(crate) fn all(&self, now: MonotonicTime) -> Vec<StreamVersion> {
        reports(now, self.records.iter().map(|(id, record)| (*id, record)))
    }

    /// Returns the streams whose requests this node received from their callers.
    pub(crate) fn own(&self, now: MonotonicTime) -> Vec<StreamVersion> {
        let own = self.records.iter().filter(|(_, record)| record.is_own);
        reports(now, own.map(|(id, record)| (*id, record)))
    }

    /// Number of streams whose versions are known.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Drops the streams that can't be resumed any more.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        self.records.retain(|_, record| now < record.expires_at);
    }
}

fn reports<'a>(
    now: MonotonicTime,
    records: impl Iterator<Item = (StreamId, &'a Record)>,
) -> Vec<StreamVersion> {
    let unexpired = records.filter(|(_, record)| now < record.expires_at);
    unexpired
        .map(|(stream, record)| StreamVersion {
            stream,
            version: record.version.clone(),
            lifetime: record.expires_at - now,
        })
        .collect()
}

/// The software versions that a service's upstreams had lately.
#[derive(Debug, Default)]
pub(crate) struct SeenVersions {
    /// When each version was last in the registry. Those that are listed now are in `listed` as well.
    last_seen: HashMap<UpstreamVersion, MonotonicTime>,
    listed: BTreeSet<UpstreamVersion>,
}

impl SeenVersions {
    /// Records the versions that are in the registry from `now` on.
    pub(crate) fn update(&mut self, now: MonotonicTime, listed: BTreeSet<UpstreamVersion>) {
        let before = std::mem::replace(&mut self.listed, listed);
        let seen = before.into_iter().chain(self.listed.iter().cloned());
        self.last_seen.extend(seen.map(|version| (version, now)));
        self.last_seen
            .retain(|_, seen_at| now < *seen_at + VERSION_MEMORY);
    }

    /// The versions at which a stream may have begun that a caller may still resume.
    fn recent(&self, now: MonotonicTime) -> impl Iterator<Item = &UpstreamVersion> {
        let recent = self.last_seen.iter().filter(move |(version, seen_at)| {
            self.listed.contains(*version) || now < **seen_at + VERSION_MEMORY
        });
        recent.map(|(version, _)| version)
    }

    /// Whether streams that may still be resumed may have begun at several versions.
    pub(crate) fn are_several(&self, now: MonotonicTime) -> bool {
        self.recent(now).nth(1).is_some()
    }

    /// Returns the version at which all streams began that may still be resumed, if there is only one.
    pub(crate) fn only(&self, now: MonotonicTime) -> Option<&UpstreamVersion> {
        let mut recent = self.recent(now);
        let first = recent.next();
        first.filter(|_| recent.next().is_none())
    }
}
