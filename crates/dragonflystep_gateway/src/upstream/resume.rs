//! Resume: taking a broken stream up again at the upstream that runs it.

use {
    super::{attempt::Attempt, client, relay},
    crate::{gateway::Shared, open_request::OpenRequest},
    dragonflystep_core::{catalogue::ServiceKind, event::UpstreamEvent},
    reqwest::{Response, StatusCode},
    std::sync::Arc,
    tokio::time::timeout,
};

/// Header that tells an engine which event arrived last.
const LAST_EVENT_ID_HEADER: &str = "Last-Event-ID";

enum Resumed {
    Stream(Response),
    Gone,
    Unreachable,
}

/// Starts to resume; the stream goes on in the same answer to the caller.
pub(crate) fn start(shared: &Arc<Shared>, request: Arc<OpenRequest>, after_tokens: u32) {
    let Some(attempt) = request.attempt() else {
        log::error!(request = request.id; "a request that was never dispatched can't be resumed");
        return;
    };
    let arrived_tokens = request.tokens();
    if after_tokens != arrived_tokens {
        // What the caller has is counted here, so this count is the one that loses and doubles nothing.
        log::warn!(request = request.id, after_tokens, arrived_tokens; "resume after another count");
    }
    let task = run(shared.clone(), request, attempt.clone());
    attempt.set_task(shared.runtime.spawn(task).abort_handle());
}

async fn run(shared: Arc<Shared>, request: Arc<OpenRequest>, attempt: Arc<Attempt>) {
    if attempt.target.kind == ServiceKind::Plain {
        // A plain service keeps no streams.
        failed(&request, false);
        return;
    }
    match call(&shared, &attempt, request.tokens()).await {
        Resumed::Stream(response) => relay::relay(&shared, &request, &attempt, response).await,
        Resumed::Gone => failed(&request, true),
        Resumed::Unreachable => failed(&request, false),
    }
}

async fn call(shared: &Arc<Shared>, attempt: &Attempt, tokens: u32) -> Resumed {
    let target = &attempt.target;
    let Ok(url) = client::stream_url(&target.address, &target.stream_name()) else {
        return Resumed::Unreachable;
    };
    let call = shared
        .clients
        .fresh
        .get(url)
        .header(LAST_EVENT_ID_HEADER, tokens)
        .send();
    let Ok(Ok(response)) = timeout(attempt.progress_timeout, call).await else {
        return Resumed::Unreachable;
    };
    match response.status() {
        StatusCode::OK => Resumed::Stream(response),
        StatusCode::NOT_FOUND => Resumed::Gone,
        _ => Resumed::Unreachable,
    }
}

fn failed(request: &OpenRequest, gone: bool) {
    request.tell(UpstreamEvent::ResumeFailed {
        request: request.id,
        gone,
    });
}
