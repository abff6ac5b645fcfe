//! One request of a caller: what it asks, how far its answer got, and how it ends.

use {
    crate::{
        callers::{admission::Permit, cut::Connection},
        registry::lock,
        upstream::{attempt::Attempt, progress::Progress},
    },
    bytes::Bytes,
    dragonflystep_core::{
        event::{Event, UpstreamEvent},
        ids::RequestId,
        request::{Ran, Refusal, RequestFacts},
    },
    reqwest::Method,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{
        mpsc::{Sender, UnboundedSender},
        oneshot,
    },
};

/// What is sent to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Content {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path after the service's name, with the query, without a leading slash.
    pub(crate) path_and_query: String,
    /// `Content-Type` header.
    pub(crate) content_type: Option<Bytes>,
    /// `Accept` header.
    pub(crate) accept: Option<Bytes>,
    /// Body.
    pub(crate) body: Bytes,
}

/// An answer that is held as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WholeAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// `Content-Type` header.
    pub(crate) content_type: Option<Bytes>,
    /// `Retry-After` header, where it is a number of seconds.
    pub(crate) retry_after: Option<Duration>,
    /// Body.
    pub(crate) body: Bytes,
}

/// How the answer to a caller ends.
#[derive(Debug)]
pub(crate) enum AnswerEnd {
    /// Every piece of a streamed answer was handed over.
    Streamed,
    /// The answer comes as a whole.
    Whole(WholeAnswer),
    /// The upstream's own error answer, with what it says of the request's fate.
    Rejected(WholeAnswer, Ran),
    /// A refusal or an explicit error.
    Refused(Refusal),
}

/// The gateway's end of the answer to a caller.
pub(crate) struct AnswerSender {
    /// Pieces of a streamed answer, in order; bounded.
    pub(crate) pieces: Sender<Bytes>,
    /// The end, told once.
    pub(crate) end: oneshot::Sender<AnswerEnd>,
    /// The caller's connection, cut when the caller takes nothing any more.
    pub(crate) connection: Option<Arc<Connection>>,
}

/// What became of a piece that was handed to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PieceFate {
    /// The caller will get it.
    Taken,
    /// The caller went away or took nothing for too long.
    CallerGone,
}

/// One request of a caller.
pub(crate) struct OpenRequest {
    /// Its number.
    pub(crate) id: RequestId,
    /// Whether the caller wants the answer piece by piece.
    pub(crate) streamed: bool,
    /// HTTP method, which says whether an answer has a body.
    pub(crate) method: Method,
    content: Mutex<Option<Content>>,
    answer: Mutex<Option<AnswerSender>>,
    attempt: Mutex<Option<Arc<Attempt>>>,
    progress: Mutex<Progress>,
    whole: Mutex<Option<WholeAnswer>>,
    not_run: AtomicBool,
    released: AtomicBool,
    permit: Mutex<Option<Permit>>,
    events: UnboundedSender<Event>,
}

/// What intake knows when it makes an [`OpenRequest`].
pub(crate) struct NewRequest {
    /// Number.
    pub(crate) id: RequestId,
    /// Facts for the reducer.
    pub(crate) facts: Arc<RequestFacts>,
    /// Whether the answer is streamed.
    pub(crate) streamed: bool,
    /// Content for the upstream.
    pub(crate) content: Content,
    /// Room for the request, held until it is released.
    pub(crate) permit: Permit,
}

impl AnswerEnd {
    /// A completion that was put together from a whole stream.
    pub(crate) fn completion(completion: &serde_json::Value) -> Self {
        Self::Whole(WholeAnswer {
            status: 200,
            content_type: Some(Bytes::from_static(b"application/json")),
            retry_after: None,
            body: Bytes::from(completion.to_string()),
        })
    }
}

impl OpenRequest {
    /// A request right after its intake.
    pub(crate) fn new(
        new: NewRequest,
        answer: AnswerSender,
        max_answer_bytes: usize,
        events: UnboundedSender<Event>,
    ) -> Self {
        // A streamed answer is passed on and not kept.
        let kept_bytes = (!new.streamed).then_some(max_answer_bytes);
        Self {
            id: new.id,
            streamed: new.streamed,
            method: new.content.method.clone(),
            content: Mutex::new(Some(new.content)),
            answer: Mutex::new(Some(answer)),
            attempt: Mutex::new(None),
            progress: Mutex::new(Progress::new(kept_bytes)),
            whole: Mutex::new(None),
            not_run: AtomicBool::new(false),
            released: AtomicBool::new(false),
            permit: Mutex::new(Some(new.permit)),
            events,
        }
    }

    /// Tells the reducer, unless the request was released.
    ///
    /// A request whose caller has its final answer may run on, and the reducer waits for its end.
    pub(crate) fn tell(&self, event: UpstreamEvent) {
        if self.released.load(Ordering::Acquire) {
            return;
        }
        let _ = self.events.send(Event::Upstream(event));
    }

    /// What is to be sent; none once it was sent, for then it must not be sent again.
    pub(crate) fn content(&self) -> Option<Content> {
        lock(&self.content).clone()
    }

    /// Drops the content: its bytes are on their way.
    pub(crate) fn forget_content(&self) {
        lock(&self.content).take();
    }

    /// The present attempt at an upstream.
    pub(crate) fn attempt(&self) -> Option<Arc<Attempt>> {
        lock(&self.attempt).clone()
    }

    /// Puts a new attempt in the place of one that sent nothing.
    pub(crate) fn set_attempt(&self, attempt: Arc<Attempt>) {
        *lock(&self.attempt) = Some(attempt);
    }

    /// Changes how far the answer got.
    pub(crate) fn with_progress<T>(&self, change: impl FnOnce(&mut Progress) -> T) -> T {
        change(&mut lock(&self.progress))
    }

    /// Number of tokens that arrived in order.
    pub(crate) fn tokens(&self) -> u32 {
        lock(&self.progress).tokens()
    }

    /// Keeps a whole answer until the reducer says what to do with it.
    pub(crate) fn keep_whole(&self, answer: WholeAnswer) {
        *lock(&self.whole) = Some(answer);
    }

    /// Takes the kept answer.
    pub(crate) fn take_whole(&self) -> Option<WholeAnswer> {
        lock(&self.whole).take()
    }

    /// Notes that the upstream itself said that the request did not run.
    pub(crate) fn mark_not_run(&self) {
        self.not_run.store(true, Ordering::Release);
    }

    /// Whether the upstream itself said that the request did not run.
    pub(crate) fn said_not_run(&self) -> bool {
        self.not_run.load(Ordering::Acquire)
    }

    /// Hands a piece to the caller; waits at most `patience` for room.
    ///
    /// The bound on pieces in flight is what keeps a caller that does not read from holding memory.
    pub(crate) async fn hand_over(&self, piece: Bytes, patience: Duration) -> PieceFate {
        let Some((pieces, connection)) = self.caller() else {
            return PieceFate::CallerGone;
        };
        match tokio::time::timeout(patience, pieces.send(piece)).await {
            Ok(Ok(())) => PieceFate::Taken,
            Ok(Err(_)) => PieceFate::CallerGone,
            Err(_) => {
                // With the connection the caller's side of the answer is dropped, and that tells the reducer.
                if let Some(connection) = connection {
                    connection.cut();
                }
                PieceFate::CallerGone
            }
        }
    }

    fn caller(&self) -> Option<(Sender<Bytes>, Option<Arc<Connection>>)> {
        let answer = lock(&self.answer);
        let answer = answer.as_ref()?;
        Some((answer.pieces.clone(), answer.connection.clone()))
    }

    /// Ends the answer to the caller; false when it had an end already.
    pub(crate) fn end(&self, end: AnswerEnd) -> bool {
        let Some(answer) = lock(&self.answer).take() else {
            return false;
        };
        answer.end.send(end).is_ok()
    }

    /// Drops everything that is still held; nothing is told any more.
    pub(crate) fn release(&self) {
        self.released.store(true, Ordering::Release);
        lock(&self.answer).take();
        self.forget_content();
        self.take_whole();
        lock(&self.permit).take();
    }
}
