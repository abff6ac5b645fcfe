//! Dispatch: one request, one connection, sent at most once.
//!
//! # When the request counts as sent
//!
//! The HTTP client hides its connecting, so no check before the call can be the last one. The body is
//! therefore handed over as a stream, and the stream's first poll is the point of no return (its
//! [`Gate`](super::gate::Gate)): there the grant's validity is checked, and the reducer is told
//! `Dispatched`. The client polls the body only once it has a connection, and it writes the head into its
//! buffer without a flush before that poll. So
//!
//! - a gate that was never opened means that not one byte went out, whatever error the call ended with;
//!   only then is `ConnectFailed` or `DispatchExpired` told;
//! - a gate that was opened means that the request may run, and it is never sent again: its content is
//!   dropped at that moment, a stream can't be sent twice, and the client's own retries are off.
//!
//! A request without a body has its head alone for a body, and the client would not poll anything. It is
//! sent with an empty chunked body, so that it passes the same gate.
//!
//! # What was ruled out
//!
//! - A probe connection before the call: it shows that the upstream listens, but the call's own connect
//!   comes later and may take long, so the check of the grant would be stale, and a connect error after
//!   `Dispatched` would have to be told as unknown.
//! - Asking the client's error whether it is a connect error: true for a refused connect, but it leaves
//!   errors between connect and first byte in doubt.

use {
    super::{
        attempt::{Attempt, Target},
        client,
        gate::GateState,
        plain, relay,
    },
    crate::{
        gateway::Shared,
        open_request::{Content, OpenRequest},
    },
    bytes::Bytes,
    dragonflystep_core::{catalogue::ServiceKind, event::UpstreamEvent, message::GrantName},
    futures::{Stream, stream},
    reqwest::{
        Body, RequestBuilder, Response, StatusCode,
        header::{ACCEPT, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Header that names a stream at an upstream.
const REQUEST_ID_HEADER: &str = "X-Request-Id";
/// Header that numbers an order to an upstream.
const FENCING_HEADER: &str = "X-Fencing-Number";

/// The order to dispatch a request, as the reducer gave it.
pub(crate) struct DispatchOrder {
    /// IP number and port.
    pub(crate) address: Arc<str>,
    /// What kind of service it is.
    pub(crate) kind: ServiceKind,
    /// The grant.
    pub(crate) grant: GrantName,
    /// Time of the node's clock at which the grant is dead.
    pub(crate) valid_until: Duration,
    /// Longest time without a byte.
    pub(crate) progress_timeout: Duration,
}

/// The body was asked for, but the gate did not open; the connection is given up unused.
#[derive(Debug, thiserror::Error)]
#[error("the dispatch was given up before the first byte")]
struct NotSent;

/// Starts a dispatch.
pub(crate) fn start(shared: &Arc<Shared>, request: Arc<OpenRequest>, order: DispatchOrder) {
    let Some(content) = request.content() else {
        log::error!(request = request.id; "a request that was sent is not dispatched again");
        return;
    };
    if let Some(earlier) = request.attempt() {
        // Whatever the earlier attempt still does, it must not send any more.
        if !earlier.gate.close() && earlier.gate.state() == GateState::Open {
            log::error!(request = request.id; "a request that was sent is not dispatched again");
            return;
        }
        earlier.abort();
    }
    let target = Target {
        address: order.address,
        kind: order.kind,
        grant: order.grant,
    };
    let attempt = Arc::new(Attempt::new(
        target,
        order.valid_until,
        order.progress_timeout,
    ));
    request.set_attempt(attempt.clone());
    let task = run(shared.clone(), request, attempt.clone(), content);
    attempt.set_task(shared.runtime.spawn(task).abort_handle());
}

async fn run(
    shared: Arc<Shared>,
    request: Arc<OpenRequest>,
    attempt: Arc<Attempt>,
    content: Content,
) {
    match send(&shared, &request, &attempt, content).await {
        Sending::Answered(response) => answered(&shared, &request, &attempt, response).await,
        Sending::Silent => broken(&request, true),
        Sending::Failed => failed(&request, &attempt),
    }
}

enum Sending {
    Answered(Response),
    Silent,
    Failed,
}

async fn send(
    shared: &Arc<Shared>,
    request: &Arc<OpenRequest>,
    attempt: &Arc<Attempt>,
    content: Content,
) -> Sending {
    let Some(call) = build(shared, request, attempt, content) else {
        return Sending::Failed;
    };
    tokio::select! {
        answer = call.send() => answer.map_or(Sending::Failed, Sending::Answered),
        () = silence(attempt) => Sending::Silent,
        () = expiry(shared, attempt) => Sending::Failed,
        () = attempt.gate.closed() => Sending::Failed,
    }
}

fn build(
    shared: &Arc<Shared>,
    request: &Arc<OpenRequest>,
    attempt: &Arc<Attempt>,
    content: Content,
) -> Option<RequestBuilder> {
    let url = match client::url(&attempt.target.address, &content.path_and_query) {
        Ok(url) => url,
        Err(error) => {
            log::error!(request = request.id; "{error}");
            return None;
        }
    };
    let mut call = shared
        .clients
        .fresh
        .request(content.method, url)
        .header(REQUEST_ID_HEADER, attempt.target.stream_name())
        .header(FENCING_HEADER, attempt.target.grant.epoch);
    if let Some(content_type) = content.content_type {
        call = call.header(CONTENT_TYPE, content_type.as_ref());
    }
    if let Some(accept) = content.accept {
        call = call.header(ACCEPT, accept.as_ref());
    }
    call = if content.body.is_empty() {
        call.header(TRANSFER_ENCODING, "chunked")
    } else {
        call.header(CONTENT_LENGTH, content.body.len())
    };
    let body = gated(
        shared.clone(),
        request.clone(),
        attempt.clone(),
        content.body,
    );
    Some(call.body(Body::wrap_stream(body)))
}

/// The body as a stream whose first poll is the point of no return.
fn gated(
    shared: Arc<Shared>,
    request: Arc<OpenRequest>,
    attempt: Arc<Attempt>,
    body: Bytes,
) -> impl Stream<Item = Result<Bytes, NotSent>> + Send + 'static {
    stream::once(async move {
        if (shared.clock)() >= attempt.valid_until {
            attempt.gate.expire();
        }
        if !attempt.gate.open() {
            return Err(NotSent);
        }
        request.forget_content();
        request.tell(UpstreamEvent::Dispatched {
            request: request.id,
        });
        Ok(body)
    })
}

/// Ends when the request was sent and no head of an answer came for too long.
async fn silence(attempt: &Attempt) {
    attempt.gate.opened().await;
    sleep(attempt.progress_timeout).await;
}

/// Ends when the grant ran out before the request was sent.
async fn expiry(shared: &Shared, attempt: &Attempt) {
    sleep(attempt.valid_until.saturating_sub((shared.clock)())).await;
    // The sleep runs by the runtime's clock; the node's own clock has the last word.
    let expired = (shared.clock)() >= attempt.valid_until && attempt.gate.expire();
    if !expired {
        futures::future::pending::<()>().await;
    }
}

async fn answered(
    shared: &Arc<Shared>,
    request: &Arc<OpenRequest>,
    attempt: &Arc<Attempt>,
    response: Response,
) {
    if attempt.gate.state() != GateState::Open {
        // An answer to a request that was never sent belongs to nobody.
        failed(request, attempt);
        return;
    }
    match attempt.target.kind {
        ServiceKind::Engine if response.status() == StatusCode::OK => {
            relay::relay(shared, request, attempt, response).await;
        }
        ServiceKind::Engine => plain::rejected(shared, request, attempt, response).await,
        ServiceKind::Plain => plain::relay(shared, request, attempt, response).await,
    }
}

/// Tells why a dispatch failed; the gate knows whether anything was sent.
fn failed(request: &OpenRequest, attempt: &Attempt) {
    let id = request.id;
    attempt.gate.close();
    match attempt.gate.state() {
        GateState::Open => broken(request, false),
        GateState::Expired => request.tell(UpstreamEvent::DispatchExpired { request: id }),
        GateState::Closed | GateState::Waiting => {
            request.tell(UpstreamEvent::ConnectFailed { request: id });
        }
    }
}

/// Tells that the upstream answered with something that can't be passed on whole.
///
/// This is an error answer and no broken stream: the upstream did not break, and another try to read the
/// answer would end the same way.
pub(crate) fn unusable(request: &OpenRequest) {
    request.tell(UpstreamEvent::AnswerRejected {
        request: request.id,
        status: StatusCode::BAD_GATEWAY.as_u16(),
        not_run: false,
    });
}

/// Tells that the stream broke after what arrived of it.
pub(crate) fn broken(request: &OpenRequest, silent: bool) {
    let attempt = request.attempt();
    let upstream = attempt.map_or(String::new(), |attempt| attempt.target.address.to_string());
    log::info!(request = request.id, upstream, tokens = request.tokens(), silent; "upstream broke off");
    request.tell(UpstreamEvent::StreamBroken {
        request: request.id,
        tokens: request.tokens(),
        silent,
    });
}
