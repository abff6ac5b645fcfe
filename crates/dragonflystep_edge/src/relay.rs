//! Relays answers of upstreams to callers: answers to plain calls whole, streams event by event.
//!
//! When a stream breaks off and its route is resumable, it is continued at another upstream after the last whole event
//! that arrived, and the caller sees a single answer. Otherwise the caller's connection is closed without the end of
//! the body, so that a truncated answer never looks complete.

use {
    crate::{
        answer::{AnswerBody, IncompleteAnswer, end_to_end_headers},
        answer_buffer::{AnswerBuffer, BufferError},
        attempts::Attempts,
        body_framing::BodyFraming,
        burn::{CALLER_LEFT, FAILED, IN_TIME, LATE},
        caller_stream::{CallerStream, ForwardError},
        continuation::{ResumePoint, continue_from_copy},
        event_stream::EventSplitter,
        held_bytes::{HeldBytes, HeldChunk},
        job::{DispatchOutcome, Job, ms},
        limits::{LATE_ANSWER_MARGIN, MAX_ANSWER_BYTES, STREAM_BUFFER_CHUNKS},
        not_run::implies_not_run,
        slots::{RunStats, Slot},
        upstream_answer::UpstreamAnswer,
    },
    dragonflystep_dispatch::{RouteKind, RunOutcome, SOUND_EVENTS},
    http::{Response, StatusCode},
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        task::spawn_local,
        time::{Instant, sleep_until, timeout, timeout_at},
    },
};

/// Reads the answer to a plain call whole before any of it is passed on, so that the caller never receives a truncated
/// answer as a success.
pub(crate) async fn buffer_answer(
    job: &Rc<Job>,
    slot: Slot,
    mut answer: UpstreamAnswer,
) -> DispatchOutcome {
    let framing = BodyFraming::of(&answer.head.headers);
    job.node
        .metrics
        .count("answer_bodies_total", framing.name());
    let time_limit = job.time_left() + LATE_ANSWER_MARGIN;
    let reading = collect_answer(&job.node.held_bytes, &mut answer);
    let body = match timeout(time_limit, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(CollectError::Buffer(BufferError::NoRoom))) => {
            log::warn!(request:% = job.facts.request_id, upstream:% = slot.grant.upstream; "an answer was given up; the memory for long answers is used up");
            job.node.metrics.count("endless_answers_total", "no_room");
            slot.end(RunOutcome::Cancelled, RunStats::default());
            return DispatchOutcome::Unknown("memory_used_up");
        }
        Ok(Err(error)) => {
            log::info!(request:% = job.facts.request_id, upstream:% = slot.grant.upstream, content:% = job.content(), framing = framing.name(), error:%; "an answer was cut");
            job.count_broken_run(0);
            slot.end(RunOutcome::Broken, RunStats::default());
            return DispatchOutcome::Unknown("answer_cut");
        }
        Err(_) => {
            slot.end(RunOutcome::Cancelled, RunStats::default());
            return DispatchOutcome::Unknown("timeout");
        }
    };
    let (status, headers) = (answer.head.status, end_to_end_headers(&answer.head.headers));
    answer.keep_connection(&job.node);
    let outcome = if status == StatusCode::GATEWAY_TIMEOUT {
        // The time left for the request was too short, which does not count as a failure of the upstream.
        RunOutcome::Cancelled
    } else if status.is_server_error() {
        RunOutcome::Failed
    } else {
        RunOutcome::Completed
    };
    slot.end(outcome, RunStats::default());
    if implies_not_run(status) {
        // To the caller, this status would say that the request did not run. The upstream did not state that.
        return DispatchOutcome::Unknown("upstream_failed");
    }
    let mut answer = Response::new(AnswerBody::Buffered(body));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    DispatchOutcome::Buffered(answer)
}

/// Why an answer could not be read whole.
#[derive(Debug, thiserror::Error)]
enum CollectError {
    #[error("the answer broke off: {0}")]
    Broken(#[from] hyper::Error),
    #[error(transparent)]
    Buffer(#[from] BufferError),
}

/// Reads the whole body of an answer.
async fn collect_answer(
    memory: &HeldBytes,
    answer: &mut UpstreamAnswer,
) -> Result<HeldChunk, CollectError> {
    let mut buffer = AnswerBuffer::new(memory);
    loop {
        let frame = tokio::select! {
            frame = answer.next_frame() => frame,
            error = buffer.given_up() => return Err(error.into()),
        };
        let Some(frame) = frame else {
            return Ok(buffer.finish().await?);
        };
        if let Ok(data) = frame?.into_data() {
            buffer.push(&data).await?;
        }
    }
}

/// An upstream's stream that is being relayed to the caller.
pub(crate) struct Relay {
    pub(crate) slot: Slot,
    pub(crate) answer: UpstreamAnswer,
}

/// Why relaying the stream of one upstream ended.
enum RelayEnd {
    Complete,
    Broken,
    CallerDisconnected,
    TimedOut,
}

impl Relay {
    /// Starts to relay the stream and returns the answer, whose body receives the events.
    pub(crate) fn start(self, job: Rc<Job>, attempts: Attempts) -> Response<AnswerBody> {
        let (sender, chunks) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        let head = &self.answer.head;
        let mut answer = Response::new(AnswerBody::Streamed(chunks));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = end_to_end_headers(&head.headers);
        let caller = CallerStream::new(sender, job.received_events().map(str::to_owned));
        spawn_local(relay_stream(self, job, attempts, caller));
        answer
    }

    /// Relays the events of this upstream until its stream ends or breaks off, the caller disconnects or the deadline
    /// has passed.
    async fn forward_events(
        mut self,
        job: &Job,
        attempts: &mut Attempts,
        caller: &mut CallerStream,
    ) -> RelayEnd {
        let framing = BodyFraming::of(&self.answer.head.headers);
        job.node
            .metrics
            .count("answer_bodies_total", framing.name());
        let held_bytes = &job.node.held_bytes;
        let mut splitter = EventSplitter::default();
        caller.begin_run();
        let mut stats = RunStats::default();
        let mut last_event_at = Duration::ZERO;
        let ends_at = job.deadline + LATE_ANSWER_MARGIN;
        loop {
            let frame = tokio::select! {
                frame = self.answer.next_frame() => frame,
                () = caller.chunks.closed() => {
                    self.slot.end(RunOutcome::Cancelled, stats);
                    return RelayEnd::CallerDisconnected;
                }
                () = sleep_until(ends_at) => {
                    self.slot.end(RunOutcome::Cancelled, stats);
                    return RelayEnd::TimedOut;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    if self.answer.connection().is_direct() {
                        let now = job.node.owner.now();
                        job.node.upstream_paths.borrow_mut().record_heard(now);
                    }
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    splitter.push(&data);
                    if splitter.event_bytes() > MAX_ANSWER_BYTES {
                        log::info!(request:% = job.facts.request_id, upstream:% = self.slot.grant.upstream, content:% = job.content(), events = stats.events; "an event of a stream has no end");
                        job.node.metrics.count("endless_answers_total", "event");
                        job.count_broken_run(stats.events);
                        self.slot.end(RunOutcome::Broken, stats);
                        return RelayEnd::Broken;
                    }
                    while let Some(event) = splitter.next_event() {
                        stats.events += u32::from(event.is_end);
                        if event.is_end && stats.events == SOUND_EVENTS {
                            self.slot.note_begun();
                        }
                        let elapsed = self.slot.elapsed();
                        if stats.time_to_first_event.is_some() {
                            let pause = elapsed.saturating_sub(last_event_at);
                            stats.longest_pause = stats.longest_pause.max(pause);
                        }
                        last_event_at = elapsed;
                        if attempts.has_continued && stats.time_to_first_event.is_none() {
                            observe_pause(job, attempts);
                        }
                        attempts.last_event_at = Some(Instant::now());
                        if stats.time_to_first_event.is_none() {
                            stats.time_to_first_event = Some(elapsed);
                            let name = &job.route.name;
                            let metrics = &job.node.metrics;
                            metrics.observe("to_first_event_ms", name, elapsed);
                            caller.first_event_after = Some(job.arrived.elapsed());
                            attempts.stream_version = Some(self.slot.version());
                        }
                        // A caller that does not read holds memory for no longer than it may wait.
                        let forwarding = caller.forward(job, &self.slot, event);
                        let end = match timeout_at(ends_at, forwarding).await {
                            Ok(Ok(())) => continue,
                            Ok(Err(ForwardError::CallerLeft(_))) => RelayEnd::CallerDisconnected,
                            Ok(Err(ForwardError::Gap)) => {
                                self.slot.end(RunOutcome::Failed, stats);
                                return RelayEnd::Broken;
                            }
                            Err(_) => RelayEnd::TimedOut,
                        };
                        self.slot.end(RunOutcome::Cancelled, stats);
                        return end;
                    }
                }
                Some(Err(error)) => {
                    log::info!(request:% = job.facts.request_id, upstream:% = self.slot.grant.upstream, content:% = job.content(), framing = framing.name(), events = stats.events, error:%; "a stream broke off");
                    job.count_broken_run(stats.events);
                    self.slot.end(RunOutcome::Broken, stats);
                    return RelayEnd::Broken;
                }
                None => {
                    let is_inside_event = splitter.is_inside_event();
                    // Only the connection says that an answer without events is complete.
                    let is_without_events = framing == BodyFraming::Connection && stats.events == 0;
                    let remainder = splitter.take_remainder();
                    if is_inside_event || is_without_events {
                        log::info!(request:% = job.facts.request_id, upstream:% = self.slot.grant.upstream, content:% = job.content(), framing = framing.name(), events = stats.events, left_over_bytes = remainder.len(); "a stream ended before it was complete");
                        // The caller of a resumed stream may have all events, so that none was left to send.
                        if !is_inside_event && caller.last_event_id().is_some() {
                            self.slot.end(RunOutcome::Cancelled, stats);
                            return RelayEnd::Broken;
                        }
                        job.count_broken_run(stats.events);
                        self.slot.end(RunOutcome::Broken, stats);
                        return RelayEnd::Broken;
                    }
                    if caller.is_run_behind() {
                        let last_event_id = caller.last_event_id().unwrap_or("");
                        log::info!(request:% = job.facts.request_id, upstream:% = self.slot.grant.upstream, last_event_id, events = stats.events; "a run ended before the events that the caller has");
                        job.node.metrics.count("stream_pieces_total", "ended_early");
                        self.slot.end(RunOutcome::Failed, stats);
                        return RelayEnd::Broken;
                    }
                    if caller.send_rest(held_bytes, remainder).await.is_err() {
                        self.slot.end(RunOutcome::Cancelled, stats);
                        return RelayEnd::CallerDisconnected;
                    }
                    self.answer.keep_connection(&job.node);
                    caller.longest_pause = caller.longest_pause.max(stats.longest_pause);
                    self.slot.end(RunOutcome::Completed, stats);
                    return RelayEnd::Complete;
                }
            }
        }
    }
}

/// Relays a stream from its first upstream and, if it is resumed, from further ones until it ends.
async fn relay_stream(
    first: Relay,
    job: Rc<Job>,
    mut attempts: Attempts,
    mut caller: CallerStream,
) {
    let mut relay = first;
    loop {
        let end = relay.forward_events(&job, &mut attempts, &mut caller).await;
        match end {
            RelayEnd::Complete => {
                log_stream_end(&job, &attempts, &caller);
                return;
            }
            RelayEnd::CallerDisconnected => {
                job.count_end(CALLER_LEFT);
                log::info!(request:% = job.facts.request_id, route:% = job.route.name, fingerprint:% = job.fingerprint_hex(); "caller disconnected during its stream");
                return;
            }
            RelayEnd::TimedOut | RelayEnd::Broken => {}
        }
        let next = match end {
            RelayEnd::Broken => resume(&job, &mut attempts, &caller).await,
            _ => None,
        };
        let Some(next) = next else {
            log::warn!(request:% = job.facts.request_id, route:% = job.route.name, fingerprint:% = job.fingerprint_hex(), sent = attempts.sent; "stream can't be completed; closing the caller's connection");
            job.node.metrics.count("streams_cut_total", &job.route.name);
            job.count_end(FAILED);
            // Sending fails only if the caller has disconnected meanwhile; its connection is closed either way.
            let _ = caller.chunks.send(Err(IncompleteAnswer)).await;
            return;
        };
        relay = next;
    }
}

fn log_stream_end(job: &Job, attempts: &Attempts, caller: &CallerStream) {
    let (metrics, route) = (&job.node.metrics, &job.route.name);
    metrics.observe("request_ms", route, job.arrived.elapsed());
    metrics.observe("longest_pause_ms", route, caller.longest_pause);
    job.count_end(if caller.is_in_time(job) {
        IN_TIME
    } else {
        LATE
    });
    let first_ms = caller.first_event_after.map_or(0, ms);
    let upstream = attempts.last_upstream();
    let version = attempts.stream_version.as_deref().unwrap_or("");
    log::info!(request:% = job.facts.request_id, route:% = job.route.name, fingerprint:% = job.fingerprint_hex(), status = 200, upstream, version, sent = attempts.sent, queued_ms = ms(attempts.queued), first_event_ms = first_ms, longest_pause_ms = ms(caller.longest_pause), total_ms = ms(job.arrived.elapsed()); "stream ended");
}

/// Records the pause before the first event after a run went on from a copy.
fn observe_pause(job: &Job, attempts: &Attempts) {
    if let Some(last) = attempts.last_event_at {
        let (metrics, route) = (&job.node.metrics, &job.route.name);
        metrics.observe("continuation_pause_ms", route, last.elapsed());
    }
}

/// Continues a stream that broke off at another upstream, after the last event that arrived.
async fn resume(job: &Rc<Job>, attempts: &mut Attempts, caller: &CallerStream) -> Option<Relay> {
    if !caller.can_be_joined() {
        let last_event_id = caller.last_event_id().unwrap_or("");
        log::info!(request:% = job.facts.request_id, last_event_id; "no run can go on after what the caller has received");
        job.node.metrics.count("stream_pieces_total", "no_joint");
        return None;
    }
    if let Some(relay) = continue_from_copy(job, attempts, caller).await {
        return Some(relay);
    }
    let RouteKind::Stream {
        is_resumable: true, ..
    } = job.route.kind
    else {
        return None;
    };
    while job.may_send_again(attempts) && !caller.chunks.is_closed() {
        let mut slot = tokio::select! {
            slot = attempts.request_slot(job) => slot.ok()?,
            () = caller.chunks.closed() => return None,
        };
        slot.drop_unusable_copy();
        attempts.count_sent(&slot.grant);
        let after = caller.last_event_id().map(str::to_owned);
        let resume = ResumePoint {
            after: after.or_else(|| job.facts.last_event_id.clone()),
            copy: None,
        };
        let sending = job.clone().send_once(slot, Some(resume));
        let outcome = tokio::select! {
            outcome = sending => outcome,
            () = caller.chunks.closed() => return None,
        };
        attempts.record_outcome(&outcome);
        if let DispatchOutcome::Streaming(relay) = outcome {
            let upstream = attempts.last_upstream();
            let version = relay.slot.version();
            log::info!(request:% = job.facts.request_id, sent = attempts.sent, upstream, version:%; "stream continues at another upstream");
            job.node.metrics.count("streams_resumed_total", "node");
            return Some(*relay);
        }
    }
    None
}
