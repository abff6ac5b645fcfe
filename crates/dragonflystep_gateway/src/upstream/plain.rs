//! Answers that are held as a whole: those of plain services, and error answers of engines.

use {
    super::{
        attempt::Attempt,
        dispatch::{broken, unusable},
    },
    crate::{
        gateway::Shared,
        open_request::{OpenRequest, WholeAnswer},
    },
    bytes::{Bytes, BytesMut},
    dragonflystep_core::event::UpstreamEvent,
    reqwest::{
        Method, Response, StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Header by which an upstream says that a request it refused did not run.
const NOT_RUN_HEADER: &str = "X-Not-Run";

enum Buffered {
    Whole(Bytes),
    Cut,
    Silent,
    Unusable,
}

/// Relays the answer of a plain service.
///
/// Answers below 500 but for 429 are the service's own business and count as whole answers.
pub(crate) async fn relay(
    shared: &Arc<Shared>,
    request: &Arc<OpenRequest>,
    attempt: &Arc<Attempt>,
    response: Response,
) {
    let status = response.status();
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        rejected(shared, request, attempt, response).await;
        return;
    }
    request.tell(UpstreamEvent::FirstTokenArrived {
        request: request.id,
    });
    if !keep(shared, request, attempt, response).await {
        return;
    }
    request.tell(UpstreamEvent::AnswerCompleted {
        request: request.id,
        tokens: 0,
        cached_tokens: None,
    });
}

/// Keeps an upstream's error answer and tells of it.
pub(crate) async fn rejected(
    shared: &Arc<Shared>,
    request: &Arc<OpenRequest>,
    attempt: &Arc<Attempt>,
    response: Response,
) {
    let status = response.status();
    let not_run = says_not_run(&response);
    if !keep(shared, request, attempt, response).await {
        return;
    }
    if not_run {
        request.mark_not_run();
    }
    request.tell(UpstreamEvent::AnswerRejected {
        request: request.id,
        status: status.as_u16(),
        not_run,
    });
}

/// Holds the whole answer; tells of a broken one and says false.
async fn keep(
    shared: &Arc<Shared>,
    request: &Arc<OpenRequest>,
    attempt: &Arc<Attempt>,
    response: Response,
) -> bool {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .map(|value| Bytes::copy_from_slice(value.as_bytes()));
    let retry_after = retry_after(&response);
    let buffered = buffer(
        response,
        &request.method,
        attempt.progress_timeout,
        shared.settings.max_answer_bytes,
    );
    let body = match buffered.await {
        Buffered::Whole(body) => body,
        Buffered::Cut => {
            broken(request, false);
            return false;
        }
        Buffered::Silent => {
            broken(request, true);
            return false;
        }
        Buffered::Unusable => {
            unusable(request);
            return false;
        }
    };
    request.keep_whole(WholeAnswer {
        status,
        content_type,
        retry_after,
        body,
    });
    true
}

async fn buffer(
    mut response: Response,
    method: &Method,
    progress_timeout: Duration,
    max_bytes: usize,
) -> Buffered {
    if !end_can_be_checked(&response, method) {
        return Buffered::Unusable;
    }
    let mut body = BytesMut::new();
    loop {
        match timeout(progress_timeout, response.chunk()).await {
            Err(_) => return Buffered::Silent,
            Ok(Err(_)) => return Buffered::Cut,
            Ok(Ok(None)) => return Buffered::Whole(body.freeze()),
            Ok(Ok(Some(piece))) if body.len() + piece.len() > max_bytes => {
                return Buffered::Unusable;
            }
            Ok(Ok(Some(piece))) => body.extend_from_slice(&piece),
        }
    }
}

/// Whether a cut body can be told from a whole one; an answer that ends with its connection can't.
fn end_can_be_checked(response: &Response, method: &Method) -> bool {
    let bodyless = matches!(
        response.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    bodyless
        || method == Method::HEAD
        || response.headers().contains_key(CONTENT_LENGTH)
        || response.headers().contains_key(TRANSFER_ENCODING)
}

fn retry_after(response: &Response) -> Option<Duration> {
    let value = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

fn says_not_run(response: &Response) -> bool {
    let may_say = matches!(
        response.status(),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    let says = response
        .headers()
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"true"));
    may_say && says
}
