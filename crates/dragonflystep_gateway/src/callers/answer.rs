//! The answer to a caller: pieces as they come, and one end that says what it is.

use {
    super::{
        cut::{Busy, Connection},
        refusal::PublicRefusal,
    },
    crate::{
        gateway::Shared,
        open_request::{AnswerEnd, AnswerSender, WholeAnswer},
        upstream::{
            progress::END_MARK,
            relay::EVENT_STREAM,
            sse::{SseEvent, write_event},
        },
    },
    bytes::Bytes,
    dragonflystep_core::{
        event::Event,
        ids::RequestId,
        request::{Ran, Refusal, RefusalCode, RequestFacts},
    },
    futures::{Stream, stream},
    salvo::{
        Response,
        http::{
            HeaderValue, StatusCode,
            header::{CACHE_CONTROL, CONTENT_LENGTH, CONTENT_TYPE},
        },
    },
    std::{io, sync::Arc},
    tokio::sync::{mpsc, oneshot, watch},
};

/// Pieces that wait for a caller; more make the relay wait.
///
/// A piece is one event, so a slow caller holds 2 MiB at the most, and some kilobytes with usual tokens.
const WAITING_PIECES: usize = 16;
/// Header with the request's number.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Counts answers from intake until their last byte was handed over or the caller left.
pub(crate) struct OpenAnswers {
    count: Arc<watch::Sender<usize>>,
}

impl Default for OpenAnswers {
    fn default() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl OpenAnswers {
    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until there are none.
    pub(crate) async fn none_left(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }

    fn open(&self) -> OpenAnswer {
        self.count.send_modify(|count| *count += 1);
        OpenAnswer {
            count: self.count.clone(),
        }
    }
}

struct OpenAnswer {
    count: Arc<watch::Sender<usize>>,
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}

/// The caller's side of an answer; dropping it before the end tells that the caller left.
pub(crate) struct CallerAnswer {
    id: RequestId,
    facts: Arc<RequestFacts>,
    shared: Arc<Shared>,
    pieces: mpsc::Receiver<Bytes>,
    end: oneshot::Receiver<AnswerEnd>,
    known_end: Option<AnswerEnd>,
    ended: bool,
    _open: OpenAnswer,
}

enum Next {
    Piece(Bytes),
    End(AnswerEnd),
}

/// Both sides of a new answer.
pub(crate) fn channel(
    shared: &Arc<Shared>,
    id: RequestId,
    facts: Arc<RequestFacts>,
    connection: Option<Arc<Connection>>,
) -> (AnswerSender, CallerAnswer) {
    let (piece_sender, pieces) = mpsc::channel(WAITING_PIECES);
    let (end_sender, end) = oneshot::channel();
    let sender = AnswerSender {
        pieces: piece_sender,
        end: end_sender,
        connection,
    };
    let answer = CallerAnswer {
        id,
        facts,
        shared: shared.clone(),
        pieces,
        end,
        known_end: None,
        ended: false,
        _open: shared.open_answers.open(),
    };
    (sender, answer)
}

/// Puts the request's number on the answer.
pub(crate) fn name(response: &mut Response, public_id: &str) {
    if let Ok(value) = HeaderValue::from_str(public_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}

impl CallerAnswer {
    /// Waits for the first piece or the end and writes the answer.
    pub(crate) async fn write(mut self, response: &mut Response, busy: Option<Busy>) {
        match self.next().await {
            Next::Piece(first) => self.write_stream(response, busy, first),
            Next::End(AnswerEnd::Streamed) => {
                let mark = Bytes::from(end_mark());
                write_events(response);
                response.stream(self.once(busy, mark));
            }
            Next::End(AnswerEnd::Whole(whole)) => self.write_whole(response, busy, whole),
            Next::End(AnswerEnd::Rejected(whole, ran)) => {
                self.write_rejection(response, &whole, ran);
            }
            Next::End(AnswerEnd::Refused(refusal)) => self.write_refusal(response, refusal),
        }
    }

    fn write_stream(self, response: &mut Response, busy: Option<Busy>, first: Bytes) {
        write_events(response);
        response.stream(self.stream(busy, first));
    }

    fn write_whole(self, response: &mut Response, busy: Option<Busy>, whole: WholeAnswer) {
        let status = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
        response.status_code(status);
        if let Some(content_type) = whole.content_type
            && let Ok(value) = HeaderValue::from_maybe_shared(content_type)
        {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
        if whole.body.is_empty() {
            // An answer without any body would get an error page of the server's own.
            response.body(Bytes::new());
            return;
        }
        response
            .headers_mut()
            .insert(CONTENT_LENGTH, whole.body.len().into());
        response.stream(self.once(busy, whole.body));
    }

    /// Writes an upstream's error answer as a refusal of this node's own.
    ///
    /// Passed on as it came, it could say `"ran":"no"` of a request that ran, and the caller could not tell
    /// whose word that is.
    fn write_rejection(self, response: &mut Response, whole: &WholeAnswer, ran: Ran) {
        let refusal = Refusal::with_ran(RefusalCode::UpstreamRefused, ran);
        let refusal = PublicRefusal::from(refusal).with_upstream_answer(whole);
        self.write_public(response, &refusal);
    }

    fn write_refusal(self, response: &mut Response, refusal: Refusal) {
        self.write_public(response, &PublicRefusal::from(refusal));
    }

    fn write_public(&self, response: &mut Response, refusal: &PublicRefusal) {
        let public_id = self.shared.public_id(self.id);
        self.log(&public_id, refusal);
        refusal.write(response, &public_id, &self.shared);
    }

    /// The one piece of a whole body; the answer is open until the connection asks for more.
    ///
    /// The connection counts as idle from here on, so it is cut when the caller takes no more bytes.
    fn once(
        self,
        busy: Option<Busy>,
        body: Bytes,
    ) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        let state = (self, busy, Some(body));
        stream::unfold(state, |(answer, _busy, body)| async {
            let body = body?;
            Some((Ok(body), (answer, None, None)))
        })
    }

    fn stream(
        self,
        busy: Option<Busy>,
        first: Bytes,
    ) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        let state = (self, busy, Some(first));
        stream::unfold(state, |(mut answer, busy, first)| async {
            if let Some(first) = first {
                return Some((Ok(first), (answer, busy, None)));
            }
            let piece = answer.next_piece().await?;
            let busy = busy.filter(|_| !answer.ended);
            Some((Ok(piece), (answer, busy, None)))
        })
    }

    /// The next piece of a stream, its end written as a piece; none after the end.
    async fn next_piece(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let end = match self.next().await {
            Next::Piece(piece) => return Some(piece),
            Next::End(end) => end,
        };
        let refusal = match end {
            AnswerEnd::Streamed => return Some(Bytes::from(end_mark())),
            AnswerEnd::Refused(refusal) => refusal,
            // Events went out before, so no whole answer can follow; say that this one is not whole.
            AnswerEnd::Whole(_) | AnswerEnd::Rejected(..) => {
                Refusal::with_ran(RefusalCode::UpstreamFailed, Ran::Unknown)
            }
        };
        Some(self.error_event(refusal))
    }

    fn error_event(&self, refusal: Refusal) -> Bytes {
        let public_id = self.shared.public_id(self.id);
        let refusal = PublicRefusal::from(refusal);
        self.log(&public_id, &refusal);
        Bytes::from(write_event(&SseEvent {
            id: None,
            name: Some("error".to_owned()),
            data: refusal.document(&public_id, &self.shared),
        }))
    }

    fn log(&self, public_id: &str, refusal: &PublicRefusal) {
        refusal.log(public_id, Some(self.facts.tier), Some(&self.facts.account));
    }

    async fn next(&mut self) -> Next {
        if self.known_end.is_none() {
            tokio::select! {
                biased;
                Some(piece) = self.pieces.recv() => return Next::Piece(piece),
                end = &mut self.end => {
                    // A request that was released without an end has an unknown fate.
                    let unknown = Refusal::with_ran(RefusalCode::UpstreamFailed, Ran::Unknown);
                    self.known_end = Some(end.unwrap_or(AnswerEnd::Refused(unknown)));
                }
            }
        }
        // Pieces that were handed over before the end come before it.
        if let Ok(piece) = self.pieces.try_recv() {
            return Next::Piece(piece);
        }
        self.ended = true;
        let unknown = Refusal::with_ran(RefusalCode::UpstreamFailed, Ran::Unknown);
        Next::End(self.known_end.take().unwrap_or(AnswerEnd::Refused(unknown)))
    }
}

impl Drop for CallerAnswer {
    fn drop(&mut self) {
        if !self.ended {
            let request = self.id;
            let _ = self.shared.events.send(Event::CallerLeft { request });
        }
    }
}

fn write_events(response: &mut Response) {
    response.status_code(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
}

fn end_mark() -> String {
    write_event(&SseEvent {
        data: END_MARK.to_owned(),
        ..SseEvent::default()
    })
}
