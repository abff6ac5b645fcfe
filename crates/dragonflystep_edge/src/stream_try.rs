//! What a request does with a stream that may be resumed: it begins the stream, or goes on with it at the software
//! version that began it.

use {
    crate::{attempts::Attempts, job::Job, limits::DEFAULT_TIME_LEFT, stream_versions::stream_id},
    dragonflystep_dispatch::{RouteKind, StartVersion, StreamProgress, StreamTry},
};

impl Job {
    /// What the next attempt does with its stream; none if the stream may not be resumed.
    pub(crate) fn stream_try(&self, attempts: &Attempts) -> Option<StreamTry> {
        let RouteKind::Stream {
            is_resumable: true, ..
        } = self.route.kind
        else {
            return None;
        };
        let facts = &self.facts;
        // A caller that received no event begins a new stream, whatever it names.
        let id = match (self.is_resumed(), &facts.resumes) {
            (true, None) => self.fingerprint,
            (true, Some(first)) => stream_id(self.account_name(), first),
            (false, _) => stream_id(self.account_name(), &facts.request_id),
        };
        let owner = &self.node.owner;
        let progress = if attempts.stream_version.is_some() || self.is_resumed() {
            let relayed = attempts.stream_version.clone();
            let relayed = relayed.map(StartVersion::Relayed);
            let remembered = || owner.stream_version(id).map(StartVersion::Remembered);
            let only = || owner.only_version(&self.service).map(StartVersion::Only);
            let start = relayed.or_else(remembered).or_else(only);
            StreamProgress::Resumed(start.unwrap_or_else(|| StartVersion::Unknown {
                saw_several: owner.has_several_versions(&self.service),
            }))
        } else {
            StreamProgress::New
        };
        let caller_waits = facts.time_left.unwrap_or(DEFAULT_TIME_LEFT);
        Some(StreamTry {
            id,
            caller_time_left: caller_waits.saturating_sub(self.arrived.elapsed()),
            progress,
        })
    }

    /// Logs what the caller resumes, with the software version that began it if this node knows it.
    pub(crate) fn log_resume(&self) {
        let stream = self.stream_try(&Attempts::default());
        let Some(stream) = stream.filter(|_| self.is_resumed()) else {
            return;
        };
        let version = self.node.owner.stream_version(stream.id);
        let version = version.as_deref().unwrap_or("");
        let resumes = self.facts.resumes.as_deref().unwrap_or("");
        let last_event_id = self.facts.last_event_id.as_deref().unwrap_or("");
        log::info!(request:% = self.facts.request_id, route:% = self.route.name, resumes, last_event_id, version; "a caller resumes a stream");
        self.node.metrics.count("streams_resumed_total", "caller");
    }

    /// Whether the caller continues a stream of which it has received events.
    fn is_resumed(&self) -> bool {
        let last_event_id = self.facts.last_event_id.as_ref();
        last_event_id.is_some_and(|id| !id.is_empty())
    }

    /// The id of the last event that the caller has of a stream that it resumes; none if it begins one, or if the stream may
    /// not be resumed, so that its answer is passed on as it is.
    pub(crate) fn received_events(&self) -> Option<&str> {
        let RouteKind::Stream {
            is_resumable: true, ..
        } = self.route.kind
        else {
            return None;
        };
        self.facts
            .last_event_id
            .as_deref()
            .filter(|_| self.is_resumed())
    }
}
