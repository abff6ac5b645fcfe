//! Cancel: telling an upstream to end a stream.

use {
    super::{
        attempt::{Attempt, Target},
        client,
        gate::GateState,
    },
    crate::{gateway::Shared, open_request::OpenRequest},
    dragonflystep_core::{
        catalogue::ServiceKind,
        event::{Event, UpstreamEvent},
        ids::UpstreamId,
    },
    reqwest::StatusCode,
    std::sync::Arc,
};

/// Drops the connection of a request and tells its engine to end the stream, where it was sent one.
pub(crate) fn stream(shared: &Arc<Shared>, request: &OpenRequest) {
    let Some(attempt) = request.attempt() else {
        return;
    };
    if give_up(&attempt) {
        order_end(shared, &attempt.target);
    }
}

/// Tells an engine to end a stream, and does not wait for its word; a plain service knows no streams.
pub(crate) fn order_end(shared: &Arc<Shared>, target: &Target) {
    if target.kind == ServiceKind::Engine {
        let (shared, target) = (shared.clone(), target.clone());
        let runtime = shared.runtime.clone();
        runtime.spawn(async move { delete(&shared, &target).await });
    }
}

/// Ends the work on an attempt; true when its request had been sent.
pub(crate) fn give_up(attempt: &Attempt) -> bool {
    attempt.gate.close();
    attempt.abort();
    attempt.gate.state() == GateState::Open
}

/// Tells an upstream to end the stream of a grant, and tells the reducer once the upstream confirms.
pub(crate) fn grant(shared: &Arc<Shared>, upstream: UpstreamId, target: Target) {
    let shared = shared.clone();
    let runtime = shared.runtime.clone();
    runtime.spawn(async move {
        if !delete(&shared, &target).await {
            return;
        }
        let _ = shared
            .events
            .send(Event::Upstream(UpstreamEvent::CancelConfirmed {
                upstream,
                epoch: target.grant.epoch,
                grant: target.grant.grant,
            }));
    });
}

/// Whether the upstream confirmed that the stream does not run there any more.
async fn delete(shared: &Shared, target: &Target) -> bool {
    let Ok(url) = client::stream_url(&target.address, &target.stream_name()) else {
        return false;
    };
    let answer = shared
        .clients
        .fresh
        .delete(url)
        .timeout(shared.timeouts.cancel)
        .send()
        .await;
    answer.is_ok_and(|answer| matches!(answer.status(), StatusCode::OK | StatusCode::NOT_FOUND))
}
