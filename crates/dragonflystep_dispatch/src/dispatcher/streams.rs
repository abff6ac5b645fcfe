//! What the dispatcher knows of the software versions at which streams began.

use {
    super::Dispatcher,
    crate::{
        ids::{MonotonicTime, StreamId, UpstreamVersion},
        limits::{STREAM_SWEEP_INTERVAL, UNKNOWN_STREAM_RETRY_AFTER},
        messages::{Refusal, RefusalReason, SlotRequest, StreamProgress, StreamTry},
        refusal::refuse,
        stream_versions::StreamVersion,
    },
};

impl Dispatcher {
    /// Records the streams for which slots were granted.
    pub(super) fn record_granted_streams(&mut self, now: MonotonicTime) {
        for pool in self.pools.values_mut() {
            for stream in pool.take_granted_streams() {
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
        self.update_stream_sharing(now);
    }

    pub(super) fn update_stream_sharing(&mut self, now: MonotonicTime) {
        let mut pools = self.pools.values();
        let shares_streams = pools.any(|pool| pool.has_several_versions(now));
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
        pool.is_some_and(|pool| pool.has_several_versions(now))
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

    /// Binds a request that resumes a stream to the software version that began it.
    ///
    /// # Errors
    /// When that version is not known.
    pub(super) fn bind_to_version(
        &self,
        now: MonotonicTime,
        request: &mut SlotRequest,
    ) -> Result<(), Refusal> {
        let Some(StreamTry {
            id,
            progress:
                StreamProgress::Resumed {
                    version,
                    saw_several_versions,
                },
            ..
        }) = &mut request.stream
        else {
            return Ok(());
        };
        if version.is_none() {
            let pool = self.pools.get(&request.service);
            let is_certain = self.is_registry_fresh && !*saw_several_versions;
            let only = pool.filter(|_| is_certain);
            let only = only.and_then(|pool| pool.only_version(now));
            *version = self.streams.version(now, *id).or(only).cloned();
        }
        if version.is_none() {
            return Err(refuse(
                RefusalReason::StreamVersionUnknown,
                UNKNOWN_STREAM_RETRY_AFTER,
            ));
        }
        Ok(())
    }
}
