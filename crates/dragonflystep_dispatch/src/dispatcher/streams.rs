//! What the dispatcher knows of the software versions at which streams began.

use {
    super::Dispatcher,
    crate::{
        ids::{MonotonicTime, StreamId, UpstreamVersion},
        limits::{MAX_STREAM_LIFETIME, STREAM_SWEEP_INTERVAL, UNKNOWN_STREAM_RETRY_AFTER},
        messages::{Refusal, RefusalReason, SlotRequest, StartVersion, StreamProgress, StreamTry},
        refusal::refuse,
        stream_versions::{StreamVersion, VersionHistory},
    },
};

/// What shows at which software version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionEvidence {
    /// The entry node remembers it.
    EntryRecord,
    /// The owner remembers it, or learned it from other nodes or the platform.
    OwnerRecord,
    /// The entry node has seen no other version.
    EntrySawNoOther,
    /// The owner has seen no other version.
    OwnerSawNoOther,
}

impl VersionEvidence {
    /// Returns the name of the evidence in logs and metrics.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::VersionEvidence;
    ///
    /// assert_eq!(VersionEvidence::OwnerRecord.name(), "owner_record");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::EntryRecord => "entry_record",
            Self::OwnerRecord => "owner_record",
            Self::EntrySawNoOther => "entry_saw_no_other",
            Self::OwnerSawNoOther => "owner_saw_no_other",
        }
    }
}

impl Dispatcher {
    /// Records the streams for which slots were granted.
    pub(super) fn record_granted_streams(&mut self, now: MonotonicTime) {
        for pool in self.pools.values_mut() {
            for stream in pool.take_granted_streams() {
                let seen = &mut pool.seen_versions;
                pool.have_versions_changed |= seen.record_stream(&stream.version, stream.lifetime);
                self.streams.record_granted(now, stream);
            }
        }
        if !self.shares_streams {
            self.streams.clear_changed();
        }
    }

    pub(super) fn sweep_streams(&mut self, now: MonotonicTime) {
        if now < self.streams_swept_at + STREAM_SWEEP_INTERVAL {
            return;
        }
        self.streams_swept_at = now;
        self.streams.expire(now);
        for pool in self.pools.values_mut() {
            pool.seen_versions.expire(now);
        }
        self.former_versions.retain(|_, seen| {
            seen.expire(now);
            !seen.is_empty()
        });
        self.update_stream_sharing(now);
    }

    pub(super) fn update_stream_sharing(&mut self, now: MonotonicTime) {
        let mut pools = self.pools.values();
        let shares_streams = pools.any(|pool| pool.seen_versions.are_several(now));
        if shares_streams && !self.shares_streams {
            // Nobody has copies of the streams that began before.
            self.streams.mark_granted_changed();
        }
        self.shares_streams = shares_streams;
    }

    /// Returns the software version at which a stream began, if this node knows it.
    pub fn stream_version(&self, now: MonotonicTime, stream: StreamId) -> Option<&UpstreamVersion> {
        self.streams.version(now, stream)
    }

    /// Whether streams of a service that callers may still resume may have begun at several software versions.
    pub fn has_several_versions(&self, now: MonotonicTime, service: &str) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(|pool| pool.seen_versions.are_several(now))
    }

    /// Returns the software version at which all streams of a service began that callers may still resume; `None` if there are
    /// several, or if this node can't know of all.
    pub fn only_version(&self, now: MonotonicTime, service: &str) -> Option<&UpstreamVersion> {
        let knows_all = self.is_registry_fresh && self.knows_recent_versions(now);
        let pool = self.pools.get(service).filter(|_| knows_all)?;
        pool.seen_versions.only(now)
    }

    /// Whether this node knows of all software versions at which streams may have begun that callers may still resume.
    fn knows_recent_versions(&self, now: MonotonicTime) -> bool {
        let followed_since = self.registry_followed_since;
        self.is_version_history_known
            || followed_since.is_some_and(|since| now >= since + MAX_STREAM_LIFETIME)
    }

    /// Whether this node has to learn from the platform which software versions the upstreams had lately.
    pub fn needs_version_history(&self, now: MonotonicTime) -> bool {
        !self.knows_recent_versions(now)
    }

    /// Applies whether this node learns of changes of the registry. Versions may have come and gone while it did not.
    pub(super) fn set_registry_fresh(&mut self, now: MonotonicTime, is_fresh: bool) {
        let before = std::mem::replace(&mut self.is_registry_fresh, is_fresh);
        if is_fresh && !before {
            self.is_version_history_known = false;
            self.registry_followed_since = self.registry_followed_since.map(|_| now);
        }
    }

    /// Adds the software versions that the platform kept.
    pub(super) fn restore_version_history(&mut self, now: MonotonicTime, history: &VersionHistory) {
        for (service, versions) in &history.services {
            let pool = self.pools.entry(service.clone()).or_default();
            pool.seen_versions.restore(now, versions);
        }
        self.is_version_history_known |= history.is_complete;
        self.update_stream_sharing(now);
    }

    /// Returns the software versions of each service at which streams may have begun that callers may still resume, as far as
    /// this node knows.
    pub fn version_history(&self, now: MonotonicTime) -> VersionHistory {
        let pools = self.pools.iter();
        let present = pools.map(|(name, pool)| (name.clone(), pool.seen_versions.recent(now)));
        let former = self.former_versions.iter();
        let former = former.map(|(name, seen)| (name.clone(), seen.recent(now)));
        let services = former.chain(present);
        VersionHistory {
            services: services
                .filter(|(_, versions)| !versions.is_empty())
                .collect(),
            is_complete: self.knows_recent_versions(now),
        }
    }

    /// Returns whether the software versions of a service changed since the last call.
    pub fn take_versions_changed(&mut self) -> bool {
        let mut have_changed = std::mem::take(&mut self.have_former_versions_changed);
        for pool in self.pools.values_mut() {
            have_changed |= std::mem::take(&mut pool.have_versions_changed);
        }
        have_changed
    }

    /// Whether streams of some service may have begun at several software versions, so that other nodes need copies of what
    /// this one knows.
    pub fn shares_streams(&self) -> bool {
        self.shares_streams
    }

    /// Whether slots were granted to streams that [`take_granted_streams`](Self::take_granted_streams) has not returned yet.
    pub fn has_granted_streams(&self) -> bool {
        self.streams.has_changed()
    }

    /// Returns the streams for which slots were granted since the last call; none while each service has one version.
    pub fn take_granted_streams(&mut self, now: MonotonicTime) -> Vec<StreamVersion> {
        self.streams.take_changed(now)
    }

    /// Whether the platform has to keep streams that it does not keep yet: slots were granted to them, and the upstreams have
    /// several software versions.
    pub fn has_unstored_streams(&self) -> bool {
        self.streams.has_unstored()
    }

    /// Whether the platform keeps one of them at another version, which has to be corrected without delay.
    pub fn has_replaced_streams(&self) -> bool {
        self.streams.has_replaced()
    }

    /// Returns up to `limit` of the streams that the platform does not keep yet.
    pub fn take_unstored_streams(
        &mut self,
        now: MonotonicTime,
        limit: usize,
    ) -> Vec<StreamVersion> {
        self.streams.take_unstored(now, limit)
    }

    /// Marks streams that could not be written as not kept.
    pub fn mark_unstored(&mut self, streams: impl Iterator<Item = StreamId>) {
        if self.shares_streams {
            self.streams.mark_unstored(streams);
        }
    }

    /// Marks all granted streams as not kept, since the platform lost what it kept.
    pub fn mark_granted_unstored(&mut self) {
        if self.shares_streams {
            self.streams.mark_granted_unstored();
        }
    }

    /// Returns all streams that may still be resumed and whose software versions this node knows.
    pub fn streams(&self, now: MonotonicTime) -> Vec<StreamVersion> {
        self.streams.all(now)
    }

    /// Returns the streams among them whose requests this node received from their callers.
    pub fn own_streams(&self, now: MonotonicTime) -> Vec<StreamVersion> {
        self.streams.own(now)
    }

    /// Returns the number of streams whose software versions this node knows.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Returns the software version at which a request has to go on that resumes a stream, with what shows it; `None` if that
    /// is not known, or if the request resumes no stream.
    pub fn evidence_of_version(
        &self,
        now: MonotonicTime,
        request: &SlotRequest,
    ) -> Option<(UpstreamVersion, VersionEvidence)> {
        let stream = request.stream.as_ref()?;
        let StreamProgress::Resumed(start) = &stream.progress else {
            return None;
        };
        if let StartVersion::Relayed(version) | StartVersion::Bound(version) = start {
            return Some((version.clone(), VersionEvidence::EntryRecord));
        }
        if self.streams.is_ambiguous(now, stream.id) {
            return None;
        }
        if let Some(version) = self.streams.version(now, stream.id) {
            return Some((version.clone(), VersionEvidence::OwnerRecord));
        }
        let service = &request.service;
        match start {
            StartVersion::Remembered(version) => {
                Some((version.clone(), VersionEvidence::EntryRecord))
            }
            StartVersion::Only(version) if !self.has_several_versions(now, service) => {
                Some((version.clone(), VersionEvidence::EntrySawNoOther))
            }
            StartVersion::Unknown { saw_several: false } => {
                let only = self.only_version(now, service)?;
                Some((only.clone(), VersionEvidence::OwnerSawNoOther))
            }
            _ => None,
        }
    }

    /// Binds a request that resumes a stream to the software version that began it.
    ///
    /// # Errors
    /// When that version is not known.
    pub(super) fn bind_to_version(
        &self,
        now: MonotonicTime,
        request: &mut SlotRequest,
    ) -> Result<(), Refusal> {
        let evidence = self.evidence_of_version(now, request);
        let Some(StreamTry {
            progress: StreamProgress::Resumed(start),
            ..
        }) = &mut request.stream
        else {
            return Ok(());
        };
        let Some((version, _)) = evidence else {
            return Err(refuse(
                RefusalReason::StreamVersionUnknown,
                UNKNOWN_STREAM_RETRY_AFTER,
            ));
        };
        *start = StartVersion::Bound(version);
        Ok(())
    }
}
