//! Passes answers of upstreams on: plain ones whole, streams event by event.
//!
//! A stream whose upstream breaks off goes on at another one where its route allows it, after the last
//! whole event that arrived; the caller sees one answer. Otherwise the caller's connection ends without
//! the end of the body, so that a cut answer never looks complete.

use {
    crate::{
        answer::{AnswerBody, AnswerCut, end_to_end_headers},
        attempts::Attempts,
        burn::{CALLER_LEFT, FAILED, IN_TIME, LATE},
        dialect::AnswerFacts,
        event_stream::{EventCutter, StreamEvent},
        job::{Job, Sent, ms},
        limits::{LATE_ANSWER_MARGIN, LONGEST_PLAIN_ANSWER_BYTES, STREAM_PIECES},
        placing::{Place, RunFigures},
        upstream_connections::OpenConnection,
    },
    bytes::Bytes,
    dragonflystep_dispatch::{RouteKind, RunOutcome},
    http::{Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Reads a plain answer whole, so that a cut one never reaches the caller as a success.
pub(crate) async fn read_whole(
    job: &Rc<Job>,
    place: Place,
    response: Response<Incoming>,
    connection: OpenConnection,
    facts: &AnswerFacts,
) -> Sent {
    let (head, body) = response.into_parts();
    let last = job.time_left() + LATE_ANSWER_MARGIN;
    let body = match timeout(
        last,
        Limited::new(body, LONGEST_PLAIN_ANSWER_BYTES).collect(),
    )
    .await
    {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            log::info!(request:% = job.facts.request_id, upstream:% = place.grant.upstream, error:%; "an answer was cut");
            place.end(RunOutcome::Broken, RunFigures::default());
            return Sent::Unknown("answer_cut");
        }
        Err(_) => {
            place.end(RunOutcome::Cancelled, RunFigures::default());
            return Sent::Unknown("timeout");
        }
    };
    job.node.connections.keep(connection, facts.keep_alive);
    let outcome = if head.status == StatusCode::GATEWAY_TIMEOUT {
        // The time that the request had was too short; that says nothing about the upstream.
        RunOutcome::Cancelled
    } else if head.status.is_server_error() {
        RunOutcome::Failed
    } else {
        RunOutcome::Completed
    };
    place.end(outcome, RunFigures::default());
    if promises_not_run(head.status) {
        // The upstream does not state that it did not run the request, so that neither may the node.
        return Sent::Unknown("upstream_failed");
    }
    let mut answer = Response::new(AnswerBody::Whole(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = end_to_end_headers(&head.headers);
    Sent::Whole(answer)
}

fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// An upstream's stream that is being passed on.
pub(crate) struct Relay {
    place: Place,
    response: Response<Incoming>,
    connection: OpenConnection,
    keep_alive: Option<Duration>,
}

/// The caller's side of a stream.
struct CallerSide {
    pieces: mpsc::Sender<Result<Bytes, AnswerCut>>,
    last_event_id: Option<String>,
    /// From the request's arrival to its first event.
    first_event_after: Option<Duration>,
    longest_pause: Duration,
}

/// Why one upstream's part of a stream ended.
enum PartEnd {
    Complete,
    Broken,
    CallerLeft,
    TimeOver,
}

impl Relay {
    pub(crate) fn new(
        place: Place,
        response: Response<Incoming>,
        connection: OpenConnection,
        keep_alive: Option<Duration>,
    ) -> Self {
        Self {
            place,
            response,
            connection,
            keep_alive,
        }
    }

    /// Starts to pass the stream on and returns the head of the answer.
    pub(crate) fn start(self, job: Rc<Job>, attempts: Attempts) -> Response<AnswerBody> {
        let (sender, pieces) = mpsc::channel(STREAM_PIECES);
        let mut answer = Response::new(AnswerBody::Pieces(pieces));
        *answer.status_mut() = self.response.status();
        *answer.headers_mut() = end_to_end_headers(self.response.headers());
        let caller = CallerSide {
            pieces: sender,
            last_event_id: None,
            first_event_after: None,
            longest_pause: Duration::ZERO,
        };
        spawn_local(pass_on(self, job, attempts, caller));
        answer
    }

    /// Passes on what this upstream sends.
    async fn pass_part(self, job: &Job, caller: &mut CallerSide) -> PartEnd {
        let mut body = self.response.into_body();
        let mut cutter = EventCutter::default();
        let mut figures = RunFigures::default();
        let mut last_event_at = Duration::ZERO;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = caller.pieces.closed() => {
                    self.place.end(RunOutcome::Cancelled, figures);
                    return PartEnd::CallerLeft;
                }
                () = sleep(job.time_left() + LATE_ANSWER_MARGIN) => {
                    self.place.end(RunOutcome::Cancelled, figures);
                    return PartEnd::TimeOver;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    cutter.push(&data);
                    while let Some(event) = cutter.next_event() {
                        figures.events += 1;
                        let elapsed = self.place.elapsed();
                        if figures.to_first_event.is_some() {
                            let pause = elapsed.saturating_sub(last_event_at);
                            figures.longest_pause = figures.longest_pause.max(pause);
                        }
                        last_event_at = elapsed;
                        if figures.to_first_event.is_none() {
                            figures.to_first_event = Some(elapsed);
                            let name = &job.route.name;
                            let metrics = &job.node.metrics;
                            metrics.observe("to_first_event_ms", name, elapsed);
                            caller.first_event_after = Some(job.arrived.elapsed());
                        }
                        if caller.pass(event).await.is_err() {
                            self.place.end(RunOutcome::Cancelled, figures);
                            return PartEnd::CallerLeft;
                        }
                    }
                }
                Some(Err(error)) => {
                    log::info!(request:% = job.facts.request_id, upstream:% = self.place.grant.upstream, events = figures.events, error:%; "a stream broke off");
                    self.place.end(RunOutcome::Broken, figures);
                    return PartEnd::Broken;
                }
                None => {
                    let rest = cutter.rest();
                    if !rest.bytes.is_empty() && caller.pass(rest).await.is_err() {
                        self.place.end(RunOutcome::Cancelled, figures);
                        return PartEnd::CallerLeft;
                    }
                    job.node.connections.keep(self.connection, self.keep_alive);
                    caller.longest_pause = caller.longest_pause.max(figures.longest_pause);
                    self.place.end(RunOutcome::Completed, figures);
                    return PartEnd::Complete;
                }
            }
        }
    }
}

impl CallerSide {
    /// Passes an event on, unless the caller has it already.
    async fn pass(&mut self, event: StreamEvent) -> Result<(), AnswerCut> {
        if let Some(id) = event.id {
            if self.has(&id) {
                return Ok(());
            }
            self.last_event_id = Some(id);
        }
        self.pieces
            .send(Ok(event.bytes))
            .await
            .map_err(|_| AnswerCut)
    }

    /// Whether the first event came in time, and no pause was too long.
    fn is_in_time(&self, job: &Job) -> bool {
        let RouteKind::Stream { longest_pause, .. } = job.route.kind else {
            return false;
        };
        let is_first_in_time = self
            .first_event_after
            .is_some_and(|after| after <= job.route.objective);
        is_first_in_time && self.longest_pause <= longest_pause
    }

    fn has(&self, id: &str) -> bool {
        let last = self.last_event_id.as_deref();
        let number = |text: &str| text.parse::<u64>().ok();
        match (last.and_then(number), number(id)) {
            (Some(last), Some(id)) => id <= last,
            _ => last == Some(id),
        }
    }
}

async fn pass_on(first: Relay, job: Rc<Job>, mut attempts: Attempts, mut caller: CallerSide) {
    let mut part = first;
    loop {
        let end = part.pass_part(&job, &mut caller).await;
        match end {
            PartEnd::Complete => {
                log_stream_end(&job, &attempts, &caller);
                return;
            }
            PartEnd::CallerLeft => {
                job.count_end(CALLER_LEFT);
                log::info!(request:% = job.facts.request_id; "caller left during its stream");
                return;
            }
            PartEnd::TimeOver | PartEnd::Broken => {}
        }
        let next = match end {
            PartEnd::Broken => resume(&job, &mut attempts, &caller).await,
            _ => None,
        };
        let Some(next) = next else {
            log::warn!(request:% = job.facts.request_id, sent = attempts.sent; "a stream is cut");
            job.node.metrics.count("streams_cut_total", &job.route.name);
            job.count_end(FAILED);
            // The caller may have left meanwhile, which comes to the same.
            let _ = caller.pieces.send(Err(AnswerCut)).await;
            return;
        };
        part = next;
    }
}

fn log_stream_end(job: &Job, attempts: &Attempts, caller: &CallerSide) {
    let (metrics, route) = (&job.node.metrics, &job.route.name);
    metrics.observe("request_ms", route, job.arrived.elapsed());
    metrics.observe("longest_pause_ms", route, caller.longest_pause);
    job.count_end(if caller.is_in_time(job) {
        IN_TIME
    } else {
        LATE
    });
    let first_ms = caller.first_event_after.map_or(0, ms);
    log::info!(request:% = job.facts.request_id, route:% = job.route.name, status = 200, upstream:% = attempts.last_upstream(), sent = attempts.sent, queued_ms = ms(attempts.queued), first_event_ms = first_ms, longest_pause_ms = ms(caller.longest_pause), total_ms = ms(job.arrived.elapsed()); "stream ended");
}

/// Gets another upstream to go on after the last event that arrived.
async fn resume(job: &Rc<Job>, attempts: &mut Attempts, caller: &CallerSide) -> Option<Relay> {
    let RouteKind::Stream {
        is_resumable: true, ..
    } = job.route.kind
    else {
        return None;
    };
    while job.may_send_again(attempts) && !caller.pieces.is_closed() {
        let place = tokio::select! {
            place = attempts.place(job) => place.ok()?,
            () = caller.pieces.closed() => return None,
        };
        attempts.count_sent(&place.grant.upstream);
        let after = caller
            .last_event_id
            .clone()
            .or_else(|| job.facts.last_event_id.clone());
        let sending = job.clone().send_once(place, after);
        let sent = tokio::select! {
            sent = sending => sent,
            () = caller.pieces.closed() => return None,
        };
        if sent.is_unsent() {
            attempts.take_back();
        }
        if let Sent::Streaming(relay) = sent {
            log::info!(request:% = job.facts.request_id, sent = attempts.sent; "a stream goes on at another upstream");
            return Some(*relay);
        }
    }
    None
}
