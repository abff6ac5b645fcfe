//! Relay of an engine's stream: checks each event, passes it on, and tells the reducer how it goes.

use {
    super::{
        attempt::Attempt,
        cancel,
        dispatch::{broken, unusable},
        progress::Step,
        sse::{SseEvent, SseParser, write_event},
    },
    crate::{gateway::Shared, open_request::OpenRequest},
    bytes::Bytes,
    dragonflystep_core::event::UpstreamEvent,
    reqwest::{Response, header::CONTENT_TYPE},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Longest time that counted tokens wait until they are told.
const BATCH_TIME: Duration = Duration::from_millis(250);
/// Most counted tokens that wait until they are told.
const BATCH_TOKENS: u32 = 64;
/// Content type of a stream of events.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    Cut,
    Silent,
    Unusable,
}

/// Relays the stream until it ends, and tells how.
pub(crate) async fn relay(
    shared: &Arc<Shared>,
    request: &Arc<OpenRequest>,
    attempt: &Arc<Attempt>,
    response: Response,
) {
    let mut batch = TokenBatch::new(request);
    let end = read(shared, request, attempt, response, &mut batch).await;
    batch.tell();
    match end {
        StreamEnd::Complete => completed(request),
        StreamEnd::Cut => broken(request, false),
        StreamEnd::Silent => broken(request, true),
        StreamEnd::Unusable => {
            cancel::order_end(shared, &attempt.target);
            unusable(request);
        }
    }
}

async fn read(
    shared: &Arc<Shared>,
    request: &Arc<OpenRequest>,
    attempt: &Arc<Attempt>,
    mut response: Response,
    batch: &mut TokenBatch<'_>,
) -> StreamEnd {
    if !is_event_stream(&response) {
        return StreamEnd::Unusable;
    }
    let mut parser = SseParser::default();
    loop {
        let bytes = match next_bytes(&mut response, attempt.progress_timeout, batch).await {
            Ok(Some(bytes)) => bytes,
            // The stream's end without the end mark is a cut answer.
            Ok(None) => return StreamEnd::Cut,
            Err(end) => return end,
        };
        let Ok(events) = parser.push(&bytes) else {
            return StreamEnd::Cut;
        };
        for event in events {
            if let Some(end) = take(shared, request, event, batch).await {
                return end;
            }
        }
    }
}

/// The next bytes of the stream; tells counted tokens while it waits.
async fn next_bytes(
    response: &mut Response,
    progress_timeout: Duration,
    batch: &mut TokenBatch<'_>,
) -> Result<Option<Bytes>, StreamEnd> {
    let started = Instant::now();
    loop {
        let left = progress_timeout.saturating_sub(started.elapsed());
        if left.is_zero() {
            return Err(StreamEnd::Silent);
        }
        match timeout(batch.due_in().unwrap_or(left).min(left), response.chunk()).await {
            Ok(chunk) => return chunk.map_err(|_| StreamEnd::Cut),
            Err(_) if batch.due_in().is_some_and(|due| due.is_zero()) => batch.tell(),
            Err(_) => {}
        }
    }
}

/// Takes one event in; some when the stream is over with it.
async fn take(
    shared: &Arc<Shared>,
    request: &Arc<OpenRequest>,
    event: SseEvent,
    batch: &mut TokenBatch<'_>,
) -> Option<StreamEnd> {
    match request.with_progress(|progress| progress.accept(&event)) {
        Step::Repeated => None,
        Step::Complete => Some(StreamEnd::Complete),
        Step::Faulty => Some(StreamEnd::Cut),
        Step::TooLarge => Some(StreamEnd::Unusable),
        Step::Token => {
            if request.streamed {
                let piece = Bytes::from(write_event(&event));
                // A caller that left does not end the stream; that is for the reducer to say.
                let _ = request.hand_over(piece, shared.timeouts.caller_stall).await;
            }
            batch.count();
            None
        }
    }
}

fn completed(request: &OpenRequest) {
    let (tokens, cached_tokens) =
        request.with_progress(|progress| (progress.tokens(), progress.cached_tokens()));
    request.tell(UpstreamEvent::AnswerCompleted {
        request: request.id,
        tokens,
        cached_tokens,
    });
}

fn is_event_stream(response: &Response) -> bool {
    response
        .headers()
        .get(CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
}

/// Tokens that were counted and not told yet.
struct TokenBatch<'a> {
    request: &'a OpenRequest,
    told_tokens: u32,
    oldest: Option<Instant>,
}

impl<'a> TokenBatch<'a> {
    fn new(request: &'a OpenRequest) -> Self {
        Self {
            request,
            told_tokens: request.tokens(),
            oldest: None,
        }
    }

    fn count(&mut self) {
        let tokens = self.request.tokens();
        if tokens == 1 {
            self.told_tokens = 1;
            self.request.tell(UpstreamEvent::FirstTokenArrived {
                request: self.request.id,
            });
            return;
        }
        self.oldest.get_or_insert_with(Instant::now);
        let full = tokens - self.told_tokens >= BATCH_TOKENS;
        if full || self.due_in().is_some_and(|due| due.is_zero()) {
            self.tell();
        }
    }

    fn due_in(&self) -> Option<Duration> {
        let oldest = self.oldest?;
        Some(BATCH_TIME.saturating_sub(oldest.elapsed()))
    }

    fn tell(&mut self) {
        let tokens = self.request.tokens();
        self.oldest = None;
        if tokens == self.told_tokens {
            return;
        }
        self.told_tokens = tokens;
        self.request.tell(UpstreamEvent::TokensArrived {
            request: self.request.id,
            tokens,
        });
    }
}
