//! The caller's side of a stream.

use {
    crate::{
        answer::IncompleteAnswer,
        event_order::{EventOrder, EventPlace},
        event_stream::StreamEvent,
        held_bytes::{HeldBytes, HeldChunk},
        job::Job,
        slots::Slot,
    },
    bytes::{Bytes, BytesMut},
    dragonflystep_dispatch::RouteKind,
    std::time::Duration,
    tokio::sync::mpsc,
};

/// Most bytes that wait until the next event shows that none is missing before them, beside a single event.
const MAX_UNPROVED_BYTES: usize = 64 << 10;

/// Why an event was not passed on.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ForwardError {
    /// The caller has disconnected.
    #[error("the caller has disconnected")]
    CallerLeft(#[from] IncompleteAnswer),
    /// Events are missing before this one.
    #[error("events are missing")]
    Gap,
}

/// The caller's side of a stream, which may come from several upstreams in turn.
pub(crate) struct CallerStream {
    pub(crate) chunks: mpsc::Sender<Result<HeldChunk, IncompleteAnswer>>,
    order: EventOrder,
    /// Whether an event with an id was sent to the caller.
    has_sent_ids: bool,
    /// Whether the caller has received only a part of the last event.
    is_inside_event: bool,
    /// Whether the rest of the current event is left out, because the caller already received the event.
    skips_event: bool,
    /// An event that waits until the next one shows that none is missing before it, with those without an id behind it.
    unproved_bytes: BytesMut,
    /// Whether the caller has received an event without an id after the last one with an id.
    ends_without_id: bool,
    /// Whether an event was left out.
    has_left_out: bool,
    /// Time from the arrival of the request to the first event of an upstream. Each further upstream that sends an
    /// event replaces it.
    pub(crate) first_event_after: Option<Duration>,
    /// Longest pause between two events of the upstream that completed the stream; zero until then.
    pub(crate) longest_pause: Duration,
}

impl CallerStream {
    /// A stream of which the caller has the events up to `received`; none if it has none.
    pub(crate) fn new(
        chunks: mpsc::Sender<Result<HeldChunk, IncompleteAnswer>>,
        received: Option<String>,
    ) -> Self {
        Self {
            chunks,
            order: EventOrder::after(received),
            has_sent_ids: false,
            is_inside_event: false,
            skips_event: false,
            unproved_bytes: BytesMut::new(),
            ends_without_id: false,
            has_left_out: false,
            first_event_after: None,
            longest_pause: Duration::ZERO,
        }
    }

    /// The id of the last event that the caller has, from this answer or an earlier one; none if it has none with an id.
    pub(crate) fn last_event_id(&self) -> Option<&str> {
        self.order.last_id()
    }

    /// The same if the event was sent in this answer.
    pub(crate) fn last_sent_id(&self) -> Option<&str> {
        self.last_event_id().filter(|_| self.has_sent_ids)
    }

    /// The next events are those of another run.
    pub(crate) fn begin_run(&mut self) {
        self.order.begin_run();
        self.unproved_bytes.clear();
        self.skips_event = false;
    }

    /// Whether another run can go on exactly after what the caller has received.
    pub(crate) fn can_be_joined(&self) -> bool {
        !self.is_inside_event && !self.ends_without_id
    }

    /// Whether the run that ends now lags behind what the caller has.
    pub(crate) fn is_run_behind(&self) -> bool {
        self.order.is_behind()
    }

    /// Sends an event of the run in `slot` to the caller, unless the caller already received it from an earlier run.
    pub(crate) async fn forward(
        &mut self,
        job: &Job,
        slot: &Slot,
        event: StreamEvent,
    ) -> Result<(), ForwardError> {
        let place = match &event.id {
            Some(id) => self.place(job, slot, id)?,
            None if self.skips_event => EventPlace::Received,
            None if self.is_inside_event => EventPlace::Next,
            // Events without an id belong to those around them.
            None if self.order.is_behind() => EventPlace::Received,
            None if self.may_wait_with(&event) => EventPlace::Unproved,
            None => {
                self.ends_without_id |= event.has_content();
                EventPlace::Next
            }
        };
        if place == EventPlace::Received {
            self.skips_event = !event.is_end;
            return Ok(());
        }
        self.skips_event = false;
        // An event that is too long to be held as a whole can't be taken back either.
        if place == EventPlace::Unproved && event.is_end {
            self.unproved_bytes.extend_from_slice(&event.bytes);
            return Ok(());
        }
        self.send_unproved(&job.node.held_bytes).await?;
        if event.id.is_some() {
            self.has_sent_ids = true;
            self.ends_without_id = false;
        }
        self.is_inside_event = !event.is_end;
        self.forward_rest(&job.node.held_bytes, event.bytes).await?;
        Ok(())
    }

    /// Whether an event without an id waits with the one before it.
    fn may_wait_with(&self, event: &StreamEvent) -> bool {
        let length = self.unproved_bytes.len() + event.bytes.len();
        !self.unproved_bytes.is_empty() && event.is_end && length <= MAX_UNPROVED_BYTES
    }

    /// Sends the event that had to wait until the next one shows that none is missing before it, if there is one.
    async fn send_unproved(&mut self, held_bytes: &HeldBytes) -> Result<(), IncompleteAnswer> {
        self.order.join_unproved();
        if self.unproved_bytes.is_empty() {
            return Ok(());
        }
        self.has_sent_ids = true;
        let bytes = self.unproved_bytes.split().freeze();
        self.forward_rest(held_bytes, bytes).await
    }

    fn place(&mut self, job: &Job, slot: &Slot, id: &str) -> Result<EventPlace, ForwardError> {
        let place = self.order.place(id);
        match place {
            EventPlace::Received => self.note_repeated(job, slot, id),
            EventPlace::Next | EventPlace::Unproved => {}
            EventPlace::AfterGap => {
                let last_event_id = self.last_event_id().unwrap_or("");
                log::info!(request:% = job.facts.request_id, upstream:% = slot.grant.upstream, last_event_id, event_id = id; "a run does not go on at the event that the caller lacks");
                job.node.metrics.count("stream_pieces_total", "gap");
                return Err(ForwardError::Gap);
            }
        }
        Ok(place)
    }

    /// Counts an event that is left out, and logs the first one of a stream.
    fn note_repeated(&mut self, job: &Job, slot: &Slot, id: &str) {
        job.node.metrics.count("stream_pieces_total", "repeated");
        if std::mem::replace(&mut self.has_left_out, true) {
            return;
        }
        let last_event_id = self.last_event_id().unwrap_or("");
        log::info!(request:% = job.facts.request_id, upstream:% = slot.grant.upstream, last_event_id, event_id = id; "an upstream sends events that the caller has; they are left out");
    }

    /// Sends what is left at the regular end of a stream.
    pub(crate) async fn send_rest(
        &mut self,
        held_bytes: &HeldBytes,
        remainder: Bytes,
    ) -> Result<(), IncompleteAnswer> {
        self.send_unproved(held_bytes).await?;
        if remainder.is_empty() {
            return Ok(());
        }
        self.forward_rest(held_bytes, remainder).await
    }

    /// Sends bytes to the caller that belong to the current event, or follow the last one.
    async fn forward_rest(
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
}
