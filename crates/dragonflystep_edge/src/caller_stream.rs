//! The caller's side of a stream.

use {
    crate::{
        answer::IncompleteAnswer,
        event_stream::StreamEvent,
        held_bytes::{HeldBytes, HeldChunk},
        job::Job,
    },
    bytes::Bytes,
    dragonflystep_dispatch::RouteKind,
    std::time::Duration,
    tokio::sync::mpsc,
};

/// The caller's side of a stream, which may come from several upstreams in turn.
pub(crate) struct CallerStream {
    pub(crate) chunks: mpsc::Sender<Result<HeldChunk, IncompleteAnswer>>,
    /// The id of the last event with an id that was sent to the caller.
    pub(crate) last_event_id: Option<String>,
    /// Whether the caller has received only a part of the last event.
    pub(crate) is_inside_event: bool,
    /// Whether the rest of the current event is left out, because the caller already received the event.
    skips_event: bool,
    /// Time from the arrival of the request to the first event of an upstream. Each further upstream that sends an
    /// event replaces it.
    pub(crate) first_event_after: Option<Duration>,
    /// Longest pause between two events of the upstream that completed the stream; zero until then.
    pub(crate) longest_pause: Duration,
}

impl CallerStream {
    pub(crate) fn new(chunks: mpsc::Sender<Result<HeldChunk, IncompleteAnswer>>) -> Self {
        Self {
            chunks,
            last_event_id: None,
            is_inside_event: false,
            skips_event: false,
            first_event_after: None,
            longest_pause: Duration::ZERO,
        }
    }

    /// Sends an event to the caller, unless the caller already received it from an earlier upstream.
    pub(crate) async fn forward(
        &mut self,
        held_bytes: &HeldBytes,
        event: StreamEvent,
    ) -> Result<(), IncompleteAnswer> {
        if let Some(id) = event.id {
            self.skips_event = self.has_received(&id);
            if !self.skips_event {
                self.last_event_id = Some(id);
            }
        }
        if self.skips_event {
            self.skips_event = !event.is_end;
            return Ok(());
        }
        self.is_inside_event = !event.is_end;
        self.forward_rest(held_bytes, event.bytes).await
    }

    /// Sends bytes to the caller that belong to the current event, or follow the last one.
    pub(crate) async fn forward_rest(
        &mut self,
        held_bytes: &HeldBytes,
        bytes: Bytes,
    ) -> Result<(), IncompleteAnswer> {
        let is_next = self.chunks.capacity() == self.chunks.max_capacity();
        let chunk = if is_next {
            held_bytes.hold_next(bytes).await
        } else {
            held_bytes.hold_queued(bytes).await
        };
        self.chunks
            .send(Ok(chunk))
            .await
            .map_err(|_| IncompleteAnswer)
    }

    /// Whether the first event met the objective and the longest pause was within the limit of the route.
    pub(crate) fn is_in_time(&self, job: &Job) -> bool {
        let RouteKind::Stream { longest_pause, .. } = job.route.kind else {
            return false;
        };
        let is_first_event_in_time = self
            .first_event_after
            .is_some_and(|after| after <= job.route.objective);
        is_first_event_in_time && self.longest_pause <= longest_pause
    }

    /// Whether the caller has already received the event `id`. Numeric ids are taken to increase from event to event;
    /// other ids are compared with that of the last event only.
    fn has_received(&self, id: &str) -> bool {
        let last = self.last_event_id.as_deref();
        let number = |text: &str| text.parse::<u64>().ok();
        match (last.and_then(number), number(id)) {
            (Some(last), Some(id)) => id <= last,
            _ => last == Some(id),
        }
    }
}
