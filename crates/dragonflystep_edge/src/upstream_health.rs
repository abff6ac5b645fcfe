//! Asks an upstream whether it takes requests when neither the platform nor another node can tell.
//!
//! It is designed for two situations that an isolated node can't tell apart: it is cut off from all others while
//! the platform's store refuses it, or it is the last node left while the store is unavailable. In the first, its
//! registry may list upstreams that have begun to leave. In the second, it has to serve requests.

use {
    crate::{
        limits::{UPSTREAM_HEALTH_LIFETIME, UPSTREAM_HEALTH_TIMEOUT},
        node::Node,
        upstream_connections::SendError,
        upstream_notices::ObservedAnswer,
    },
    bytes::Bytes,
    dragonflystep_dispatch::{Grant, MonotonicTime, ServiceName, UpstreamId},
    http::{HeaderValue, Request, header, uri::InvalidUri},
    http_body_util::{BodyExt, Full},
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::time::{Instant, timeout},
};

/// Why an upstream did not answer whether it takes requests.
#[derive(Debug, thiserror::Error)]
enum HealthError {
    /// The service's health path is not a valid URI.
    #[error("the health path is not a valid URI: {0}")]
    Path(#[from] InvalidUri),
    /// The upstream can't be reached, or the connection broke.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The connection broke before the answer was complete.
    #[error("the answer broke off: {0}")]
    Body(#[from] hyper::Error),
}

/// The recent health answers of upstreams, each valid for [`UPSTREAM_HEALTH_LIFETIME`].
#[derive(Default)]
pub(crate) struct UpstreamHealth {
    answers: RefCell<HashMap<UpstreamId, HealthAnswer>>,
}

#[derive(Clone, Copy)]
struct HealthAnswer {
    at: MonotonicTime,
    takes_requests: bool,
}

impl UpstreamHealth {
    /// The last health answer of an upstream; `None` if it is absent or no longer valid.
    fn recent_answer(&self, now: MonotonicTime, upstream: &UpstreamId) -> Option<bool> {
        let mut answers = self.answers.borrow_mut();
        answers.retain(|_, answer| now.saturating_sub(answer.at) < UPSTREAM_HEALTH_LIFETIME);
        answers.get(upstream).map(|answer| answer.takes_requests)
    }

    fn record(&self, now: MonotonicTime, upstream: &UpstreamId, takes_requests: bool) {
        let answer = HealthAnswer {
            at: now,
            takes_requests,
        };
        self.answers.borrow_mut().insert(upstream.clone(), answer);
    }
}

/// Whether a request may be sent to the upstream of a granted slot. It may if this node hears from another node or
/// the platform, if the service has no health path, or if the upstream answers that it takes requests.
///
/// An isolated node does not learn of upstreams that leave.
pub(crate) async fn confirm_upstream(
    node: &Rc<Node>,
    service: &ServiceName,
    grant: &Grant,
) -> bool {
    if !node.is_isolated() {
        return true;
    }
    let Some(path) = health_path(node, service) else {
        return true;
    };
    if let Some(takes_requests) = node
        .upstream_health
        .recent_answer(node.owner.now(), &grant.upstream)
    {
        return takes_requests;
    }
    let result = timeout(
        UPSTREAM_HEALTH_TIMEOUT,
        send_health_check(node, service, &path, grant),
    )
    .await;
    let takes_requests = match result {
        Ok(Ok(takes_requests)) => takes_requests,
        Ok(Err(error)) => {
            log::info!(upstream:% = grant.upstream, error:%; "health check of an upstream failed");
            false
        }
        Err(_) => false,
    };
    let now = node.owner.now();
    node.upstream_health
        .record(now, &grant.upstream, takes_requests);
    node.metrics.count(
        "upstream_health_asked_total",
        if takes_requests { "takes" } else { "refuses" },
    );
    takes_requests
}

/// The path at which the upstreams of a service answer health checks; `None` if they have none.
fn health_path(node: &Node, service: &ServiceName) -> Option<String> {
    let table = node.views.catalogue()?;
    let path = &table.service(service)?.health_path;
    (!path.is_empty()).then(|| path.clone())
}

async fn send_health_check(
    node: &Rc<Node>,
    service: &ServiceName,
    path: &str,
    grant: &Grant,
) -> Result<bool, HealthError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse()?;
    if let Ok(host) = HeaderValue::from_str(&grant.address) {
        request.headers_mut().insert(header::HOST, host);
    }
    let sent_at = Instant::now();
    let (response, connection) = node.send_upstream(&grant.address, request, None).await?;
    let (head, body) = response.into_parts();
    body.collect().await?;
    let facts = node.dialect.read_answer(head.status, &head.headers);
    node.observe_notices(&ObservedAnswer {
        service,
        upstream: &grant.upstream,
        request_id: "",
        facts: &facts,
        sent_ago: sent_at.elapsed(),
    });
    node.connections.keep(connection, facts.keep_alive);
    Ok(node
        .dialect
        .is_taking_requests(head.status, &head.headers, &grant.upstream))
}
