//! The HTTP calls of an engine stand-in.

use {
    super::{
        faults::EngineFault,
        shared::{Attachment, Engine},
        sse::{Connection, answer_events, usage},
        stream::{Dispatch, RefusalReason, StreamState},
        text::{answer_text, content_hash},
    },
    crate::clock::millis,
    salvo::{
        Request, Response, Router, handler,
        http::{StatusCode, header::CONTENT_TYPE},
        writing::Json,
    },
    serde::Deserialize,
    serde_json::json,
    std::sync::Arc,
};

/// Largest body of a call.
const MAX_BODY_BYTES: usize = 16 << 20;

const DEFAULT_MAX_TOKENS: u32 = 16;

/// The calls of an engine, and those of its control.
pub(super) fn router(engine: &Arc<Engine>) -> Router {
    let stream = Router::with_path("v1/streams/{**stream}")
        .get(ResumeCall(Arc::clone(engine)))
        .delete(CancelCall(Arc::clone(engine)));
    Router::new()
        .push(Router::with_path("v1/completions").post(CompletionCall(Arc::clone(engine))))
        .push(stream)
        .push(Router::with_path("v1/load").get(LoadCall(Arc::clone(engine))))
        .push(Router::with_path("v1/cache-events").get(CacheEventsCall(Arc::clone(engine))))
        .push(Router::with_path("records").get(RecordsCall(Arc::clone(engine))))
        .push(Router::with_path("faults").post(FaultsCall(Arc::clone(engine))))
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

struct CompletionCall(Arc<Engine>);

#[handler]
impl CompletionCall {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some((dispatch, stream)) = read_dispatch(request).await else {
            refuse(
                response,
                StatusCode::BAD_REQUEST,
                "bad_request",
                "no completion body or stream name",
            );
            return;
        };
        match self.0.dispatch(dispatch) {
            Err(reason) => refuse_for(response, reason),
            Ok(attachment) if stream => answer(response, &self.0, attachment, Connection::First, 0),
            Ok(attachment) => answer_whole(response, attachment).await,
        }
    }
}

async fn read_dispatch(request: &mut Request) -> Option<(Dispatch, bool)> {
    let bytes = request
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .ok()?
        .clone();
    let body: CompletionBody = serde_json::from_slice(&bytes).ok()?;
    let dispatch = Dispatch {
        stream: request.header("x-request-id")?,
        fencing_number: request.header("x-fencing-number"),
        body_hash: content_hash(&bytes),
        prompt: body.prompt,
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        idempotency_key: request.header("idempotency-key"),
        idempotent: request.header("x-idempotent"),
    };
    Some((dispatch, body.stream))
}

struct ResumeCall(Arc<Engine>);

#[handler]
impl ResumeCall {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let name = request.param::<String>("stream").unwrap_or_default();
        let after = request.header("last-event-id").unwrap_or(0);
        match self.0.resume(&name) {
            Some(attachment) => answer(response, &self.0, attachment, Connection::Resumed, after),
            None => refuse(
                response,
                StatusCode::NOT_FOUND,
                "unknown_stream",
                "the engine does not have it",
            ),
        }
    }
}

struct CancelCall(Arc<Engine>);

#[handler]
impl CancelCall {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let name = request.param::<String>("stream").unwrap_or_default();
        match self.0.cancel(&name, request.header("x-fencing-number")) {
            Err(reason) => refuse_for(response, reason),
            Ok(None) => refuse(
                response,
                StatusCode::NOT_FOUND,
                "unknown_stream",
                "the engine does not have it",
            ),
            Ok(Some(was_running)) => response.render(Json(json!({"was_running": was_running}))),
        }
    }
}

struct LoadCall(Arc<Engine>);

#[handler]
impl LoadCall {
    async fn handle(&self, response: &mut Response) {
        let load = self.0.load();
        let sampled_ms_ago = millis(load.age);
        response.render(Json(json!({
            "running": load.running,
            "queued": load.queued,
            "sampled_ms_ago": sampled_ms_ago,
        })));
    }
}

struct CacheEventsCall(Arc<Engine>);

#[handler]
impl CacheEventsCall {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let after = request.query("after").unwrap_or(0);
        let events: Vec<_> = self
            .0
            .cache_events_after(after)
            .into_iter()
            .map(|event| {
                json!({
                    "sequence": event.sequence,
                    "stored": hex_blocks(&event.stored),
                    "evicted": hex_blocks(&event.evicted),
                })
            })
            .collect();
        response.render(Json(json!({"events": events})));
    }
}

fn hex_blocks(blocks: &[u64]) -> Vec<String> {
    blocks.iter().map(|block| format!("{block:016x}")).collect()
}

struct RecordsCall(Arc<Engine>);

#[handler]
impl RecordsCall {
    async fn handle(&self, response: &mut Response) {
        response.render(Json(self.0.records()));
    }
}

struct FaultsCall(Arc<Engine>);

#[handler]
impl FaultsCall {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match request.parse_json::<EngineFault>().await {
            Ok(fault) => {
                self.0.apply(fault);
                response.status_code(StatusCode::NO_CONTENT);
            }
            Err(error) => refuse(
                response,
                StatusCode::BAD_REQUEST,
                "bad_request",
                &error.to_string(),
            ),
        }
    }
}

fn answer(
    response: &mut Response,
    engine: &Arc<Engine>,
    attachment: Attachment,
    connection: Connection,
    after: u32,
) {
    let content_type = "text/event-stream"
        .parse()
        .expect("a constant header value is valid");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response.stream(answer_events(
        Arc::clone(engine),
        attachment,
        connection,
        after,
    ));
}

async fn answer_whole(response: &mut Response, mut attachment: Attachment) {
    let ended = attachment
        .progress
        .wait_for(|progress| progress.state != StreamState::Running);
    let progress = ended.await.map(|progress| *progress);
    let Some(progress) = progress
        .ok()
        .filter(|progress| progress.state == StreamState::Finished)
    else {
        response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        response.render(Json(json!({"error": {"code": "lost", "ran": "unknown", "message": "the stream ended early"}})));
        return;
    };
    let text = answer_text(&attachment.prompt, attachment.output_tokens);
    response.render(Json(json!({
        "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
        "usage": usage(&attachment, progress),
    })));
}

fn refuse_for(response: &mut Response, reason: RefusalReason) {
    match reason {
        RefusalReason::Fenced { highest } => {
            let message = format!("a higher fencing number was seen: {highest}");
            refuse(response, StatusCode::CONFLICT, "fenced", &message);
        }
        RefusalReason::Duplicate => refuse(
            response,
            StatusCode::CONFLICT,
            "duplicate_stream",
            "the stream exists",
        ),
        RefusalReason::TooLong => refuse(
            response,
            StatusCode::BAD_REQUEST,
            "prompt_too_long",
            "the prompt is too long",
        ),
        RefusalReason::Full => refuse(
            response,
            StatusCode::TOO_MANY_REQUESTS,
            "full",
            "the engine is full",
        ),
        RefusalReason::Told { status } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            refuse(response, status, "refused", "a fault refuses it");
        }
    }
}

/// A refusal of a call that did not run.
fn refuse(response: &mut Response, status: StatusCode, code: &str, message: &str) {
    response.status_code(status);
    response.render(Json(
        json!({"error": {"code": code, "ran": "no", "message": message}}),
    ));
}
