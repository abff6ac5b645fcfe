//! Sends health checks: to learn whether an upstream takes requests when neither the platform nor another node can tell,
//! and whether a connection carries anything.
//!
//! The first is designed for two situations that an isolated node can't tell apart: it is cut off from all others while
//! the platform's store refuses it, or it is the last node left while the store is unavailable. In the first, its
//! registry may list upstreams that have begun to leave. In the second, it has to serve requests.

use {
    crate::{
        limits::{UPSTREAM_HEALTH_LIFETIME, UPSTREAM_HEALTH_TIMEOUT},
        node::Node,
        upstream_answer::{BodyError, ForeignAnswer, UnclaimedAnswer},
        upstream_connections::SendError,
        upstream_dialer::Dialed,
        upstream_notices::ObservedAnswer,
    },
    bytes::Bytes,
    dragonflystep_dispatch::{Grant, MonotonicTime, ServiceName, UpstreamId},
    http::{HeaderValue, Request, header, uri::InvalidUri},
    http_body_util::Full,
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::time::{Instant, timeout},
};

/// Why an upstream did not answer whether it takes requests.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HealthError {
    /// The service's health path is not a valid URI.
    #[error("the health path is not a valid URI: {0}")]
    Path(#[from] InvalidUri),
    /// The upstream can't be reached, or the connection broke.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer may belong to an earlier call of its connection.
    #[error(transparent)]
    Foreign(#[from] ForeignAnswer),
    /// The answer could not be read whole.
    #[error(transparent)]
    Body(#[from] BodyError),
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
    let Some(check) = HealthCheck::new(node, service, &grant.upstream, &grant.address) else {
        return true;
    };
    if let Some(takes_requests) = node
        .upstream_health
        .recent_answer(node.owner.now(), &grant.upstream)
    {
        return takes_requests;
    }
    let result = timeout(UPSTREAM_HEALTH_TIMEOUT, check.send(node)).await;
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

/// A health check of an upstream.
pub(crate) struct HealthCheck {
    service: ServiceName,
    upstream: UpstreamId,
    /// Address of the upstream, as IP:PORT.
    address: String,
    path: String,
}

impl HealthCheck {
    /// Returns none if the upstreams of the service do not answer health checks.
    fn new(
        node: &Node,
        service: &ServiceName,
        upstream: &UpstreamId,
        address: &str,
    ) -> Option<Self> {
        let table = node.views.catalogue()?;
        let path = &table.service(service)?.health_path;
        (!path.is_empty()).then(|| Self {
            service: service.clone(),
            upstream: upstream.clone(),
            address: address.to_owned(),
            path: path.clone(),
        })
    }

    /// Returns the check of the upstream at an address. None if no upstream is registered there, or if it does not answer
    /// health checks.
    pub(crate) fn of_address(node: &Node, address: &str) -> Option<Self> {
        let registry = node.views.registry();
        let mut upstreams = registry.upstreams.iter();
        let upstream = upstreams.find(|upstream| upstream.address == address)?;
        Self::new(node, &upstream.service, &upstream.id, address)
    }

    /// Sends the check, and returns whether the upstream takes requests.
    async fn send(&self, node: &Rc<Node>) -> Result<bool, HealthError> {
        let sent_at = Instant::now();
        let answered = node
            .send_upstream(&self.address, "", self.request()?, None)
            .await?;
        self.finish(node, sent_at, answered).await
    }

    /// Sends the check on a new connection, and returns whether the upstream takes requests.
    pub(crate) async fn send_on_new(
        &self,
        node: &Node,
        dialed: Dialed,
    ) -> Result<bool, HealthError> {
        let sent_at = Instant::now();
        let answered = node
            .send_on_new(&self.address, dialed, self.request()?)
            .await
            .map_err(SendError::from)?;
        self.finish(node, sent_at, answered).await
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, HealthError> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = self.path.parse()?;
        if let Ok(host) = HeaderValue::from_str(&self.address) {
            request.headers_mut().insert(header::HOST, host);
        }
        Ok(request)
    }

    async fn finish(
        &self,
        node: &Node,
        sent_at: Instant,
        answered: UnclaimedAnswer,
    ) -> Result<bool, HealthError> {
        let mut answer = answered.claim_for_call(node)?;
        answer.read_short_body().await?;
        let dialect = &node.dialect;
        if !dialect.is_from_upstream(&answer.head.headers, &self.upstream) {
            log::info!(upstream:% = self.upstream, address:% = self.address; "the answer to a health check does not name the upstream");
            return Ok(false);
        }
        node.observe_notices(&ObservedAnswer {
            service: &self.service,
            upstream: &self.upstream,
            request_id: "",
            facts: &answer.facts,
            sent_ago: sent_at.elapsed(),
        });
        Ok(dialect.is_taking_requests(answer.head.status))
    }
}
