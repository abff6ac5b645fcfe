//! Remembers at which software version streams began, so that a stream that breaks off goes on only there.
//!
//! It is designed for a release in the middle of a burst: two versions of hundreds of upstreams serve side by side, and
//! thousands of streams begin in a second. The owner learns the version of a stream with the grant of its slot, and
//! nodes that may become the owner get copies.

use {
    crate::{
        ids::{MonotonicTime, ServiceName, StreamId, UpstreamVersion},
        limits::{
            COMPLETED_STREAM_LIFETIME, MAX_STREAM_LIFETIME, MAX_STREAM_RECORDS, VERSION_MEMORY,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
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
    /// Whether the platform keeps the stream at this version, or is about to.
    is_kept: bool,
    /// Whether other nodes report another version, and it is not known which of the two came later.
    is_ambiguous: bool,
}

/// The streams whose versions a node knows.
#[derive(Debug, Default)]
pub(crate) struct StreamVersions {
    records: HashMap<StreamId, Record>,
    /// Streams that this node granted since they were last taken to be copied to other nodes.
    changed: BTreeSet<StreamId>,
    /// Streams that this node granted and that the platform does not keep yet.
    unstored: BTreeSet<StreamId>,
    /// Whether one of these was kept at another version.
    has_replaced: bool,
}

impl StreamVersions {
    /// Records a stream for which this node granted a slot.
    pub(crate) fn record_granted(&mut self, now: MonotonicTime, granted: StreamVersion) {
        let stream = granted.stream;
        let before = self.records.get(&stream);
        let is_replaced =
            before.is_some_and(|before| before.is_kept && before.version != granted.version);
        if let Some(record) = self.insert(now, granted) {
            record.is_granted = true;
            self.changed.insert(stream);
            self.unstored.insert(stream);
            self.has_replaced |= is_replaced;
        }
    }

    /// Records a stream whose request this node received from its caller.
    pub(crate) fn record_own(&mut self, now: MonotonicTime, own: StreamVersion) {
        if let Some(record) = self.insert(now, own) {
            record.is_own = true;
        }
    }

    /// Records a stream that the platform kept, unless something newer is known of it.
    pub(crate) fn record_restored(&mut self, now: MonotonicTime, restored: StreamVersion) {
        let known = self.records.get(&restored.stream);
        if known.is_none_or(|record| !record.is_granted || record.expires_at <= now) {
            let stream = restored.stream;
            self.record_reported(now, restored);
            if let Some(record) = self.records.get_mut(&stream) {
                record.is_kept = true;
            }
        }
    }

    /// Records a stream that another node reported. If this node knows another version, it can't tell which came later.
    pub(crate) fn record_reported(&mut self, now: MonotonicTime, reported: StreamVersion) {
        let known = self.records.get_mut(&reported.stream);
        if let Some(record) = known.filter(|record| now < record.expires_at)
            && record.version != reported.version
        {
            record.is_ambiguous = true;
            record.expires_at = record.expires_at.max(now + reported.lifetime);
            return;
        }
        self.insert(now, reported);
    }

    /// Whether this node knows that a stream began at several versions, and not at which one last.
    pub(crate) fn is_ambiguous(&self, now: MonotonicTime, stream: StreamId) -> bool {
        let record = self.records.get(&stream);
        record.is_some_and(|record| record.is_ambiguous && now < record.expires_at)
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
            is_kept: false,
            is_ambiguous: false,
        });
        record.is_kept &= record.version == added.version;
        record.is_ambiguous = false;
        record.version = added.version;
        record.expires_at = now + added.lifetime.min(MAX_STREAM_LIFETIME);
        Some(record)
    }

    /// Returns the version at which a stream began.
    pub(crate) fn version(&self, now: MonotonicTime, stream: StreamId) -> Option<&UpstreamVersion> {
        let record = self.records.get(&stream)?;
        (now < record.expires_at && !record.is_ambiguous).then_some(&record.version)
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
        self.unstored = self.records.keys().copied().collect();
    }

    /// Marks streams as not kept by the platform.
    pub(crate) fn mark_unstored(&mut self, streams: impl Iterator<Item = StreamId>) {
        self.unstored.extend(streams);
    }

    /// Marks all streams that this node granted as not kept by the platform.
    pub(crate) fn mark_granted_unstored(&mut self) {
        let granted = self.records.iter().filter(|(_, record)| record.is_granted);
        self.unstored = granted.map(|(stream, _)| *stream).collect();
    }

    /// Whether the platform lacks streams that this node granted.
    pub(crate) fn has_unstored(&self) -> bool {
        !self.unstored.is_empty()
    }

    /// Whether the platform keeps a stream at another version than the one at which it was granted last.
    pub(crate) fn has_replaced(&self) -> bool {
        self.has_replaced
    }

    /// Returns up to `limit` of the streams that the platform does not keep yet.
    pub(crate) fn take_unstored(&mut self, now: MonotonicTime, limit: usize) -> Vec<StreamVersion> {
        let taken: Vec<StreamId> = self.unstored.iter().copied().take(limit).collect();
        for stream in &taken {
            self.unstored.remove(stream);
            if let Some(record) = self.records.get_mut(stream) {
                record.is_kept = true;
            }
        }
        self.has_replaced &= !self.unstored.is_empty();
        let known = taken
            .into_iter()
            .filter_map(|stream| Some((stream, self.records.get(&stream)?)));
        reports(now, known)
    }

    /// Forgets which streams were granted; nobody needs copies of them.
    pub(crate) fn clear_changed(&mut self) {
        self.changed.clear();
        self.unstored.clear();
        self.has_replaced = false;
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
    let unexpired = records.filter(|(_, record)| now < record.expires_at && !record.is_ambiguous);
    unexpired
        .map(|(stream, record)| StreamVersion {
            stream,
            version: record.version.clone(),
            lifetime: record.expires_at - now,
        })
        .collect()
}

/// A software version at which streams may have begun that callers may still resume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentVersion {
    /// The version.
    pub version: UpstreamVersion,
    /// Whether the registry lists an upstream of this version.
    pub is_listed: bool,
    /// How long such streams may still be resumed; for a listed version, from the time when it is no longer listed.
    pub resumable_for: Duration,
}

/// The recent software versions of each service, as the platform keeps them for nodes that have just started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// The versions of each service; an absent service has none.
    pub services: BTreeMap<ServiceName, Vec<RecentVersion>>,
    /// Whether no version is missing.
    pub is_complete: bool,
}

#[derive(Debug)]
struct SeenVersion {
    is_listed: bool,
    /// Longest time for which the caller of a stream of this version may resume it.
    longest_lifetime: Duration,
    /// Time until which a stream of this version may be resumed, as far as that is known.
    resumable_until: MonotonicTime,
}

/// The software versions that a service's upstreams had lately.
#[derive(Debug, Default)]
pub(crate) struct SeenVersions(BTreeMap<UpstreamVersion, SeenVersion>);

impl SeenVersions {
    /// Records the versions that are in the registry from `now` on. Returns whether these are others than before.
    pub(crate) fn update(
        &mut self,
        now: MonotonicTime,
        listed: &BTreeSet<UpstreamVersion>,
    ) -> bool {
        let mut has_changed = false;
        for (version, seen) in &mut self.0 {
            let is_listed = listed.contains(version);
            if seen.is_listed && !is_listed {
                let until = now + seen.longest_lifetime;
                seen.resumable_until = seen.resumable_until.max(until);
            }
            has_changed |= seen.is_listed != is_listed;
            seen.is_listed = is_listed;
        }
        for version in listed {
            if !self.0.contains_key(version) {
                has_changed = true;
                self.entry(version.clone()).is_listed = true;
            }
        }
        self.expire(now);
        has_changed
    }

    fn entry(&mut self, version: UpstreamVersion) -> &mut SeenVersion {
        self.0.entry(version).or_insert(SeenVersion {
            is_listed: false,
            longest_lifetime: VERSION_MEMORY,
            resumable_until: MonotonicTime::ZERO,
        })
    }

    /// Records that a stream began at a version. Returns whether its caller may come back later than those before it.
    pub(crate) fn record_stream(&mut self, version: &UpstreamVersion, lifetime: Duration) -> bool {
        let Some(seen) = self.0.get_mut(version) else {
            return false;
        };
        let is_longest = lifetime > seen.longest_lifetime;
        if is_longest {
            // With room for longer ones, so that callers with slowly growing deadlines do not change it each time.
            seen.longest_lifetime = (lifetime + lifetime / 2).min(MAX_STREAM_LIFETIME);
        }
        is_longest
    }

    /// Adds the versions that other nodes have seen. What was listed when they were written may have left since.
    pub(crate) fn restore(&mut self, now: MonotonicTime, versions: &[RecentVersion]) {
        for restored in versions {
            let seen = self.entry(restored.version.clone());
            let until = now + restored.resumable_for;
            seen.resumable_until = seen.resumable_until.max(until);
            seen.longest_lifetime = seen.longest_lifetime.max(restored.resumable_for);
        }
    }

    /// Adds what was known of the same service before its pool was dropped.
    pub(crate) fn merge_former(&mut self, former: Self) {
        for (version, former) in former.0 {
            let seen = self.entry(version);
            seen.resumable_until = seen.resumable_until.max(former.resumable_until);
            seen.longest_lifetime = seen.longest_lifetime.max(former.longest_lifetime);
        }
    }

    /// The versions at which a stream may have begun that a caller may still resume.
    pub(crate) fn recent(&self, now: MonotonicTime) -> Vec<RecentVersion> {
        let recent = self.0.iter().filter(|(_, seen)| seen.is_recent(now));
        let recent = recent.map(|(version, seen)| RecentVersion {
            version: version.clone(),
            is_listed: seen.is_listed,
            resumable_for: if seen.is_listed {
                seen.longest_lifetime
            } else {
                seen.resumable_until - now
            },
        });
        recent.collect()
    }

    /// Whether streams that may still be resumed may have begun at several versions.
    pub(crate) fn are_several(&self, now: MonotonicTime) -> bool {
        let recent = self.0.values().filter(|seen| seen.is_recent(now));
        recent.count() > 1
    }

    /// Returns the version at which all streams began that may still be resumed, if there is only one.
    pub(crate) fn only(&self, now: MonotonicTime) -> Option<&UpstreamVersion> {
        let mut recent = self.0.iter().filter(|(_, seen)| seen.is_recent(now));
        let (first, _) = recent.next()?;
        recent.next().is_none().then_some(first)
    }

    /// Drops the versions whose streams can't be resumed any more.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        self.0.retain(|_, seen| seen.is_recent(now));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl SeenVersion {
    fn is_recent(&self, now: MonotonicTime) -> bool {
        self.is_listed || now < self.resumable_until
    }
}
