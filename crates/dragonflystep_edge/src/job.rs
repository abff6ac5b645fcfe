//! A request that is routed and read whole: placed, sent, judged and answered.
//!
//! A request that may not be repeated is sent once; it goes elsewhere only when nothing was sent, or when
//! the upstream states that it did not run it. Each answer of the node's own that promises "not run" is
//! given only while that is certain.

use {
    crate::{
        answer::{AnswerBody, end_to_end_headers},
        answers_of_own::OwnAnswer,
        attempts::Attempts,
        burn::{FAILED, IN_TIME, LATE, REFUSED},
        dialect::{AnswerFacts, RequestFacts, UpstreamFacts},
        limits::{ELSEWHERE_RETRY_AFTER, LATE_ANSWER_MARGIN, MOST_PLACES_ASKED},
        node::Node,
        placing::{Place, RunFigures},
        relay::{Relay, read_whole},
        stop::OpenRequest,
        upstream_connections::{OpenConnection, SendError},
        upstream_health::confirm_upstream,
    },
    bytes::Bytes,
    dragonflystep_dispatch::{
        Account, Refusal, Route, RouteKind, RunOutcome, ServiceName, SlotRequest, Tier, UpstreamId,
    },
    http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::spawn_local, time::timeout},
};

/// Why a request was not sent to its upstream; it costs no attempt.
const UNREACHABLE: &str = "unreachable";
const UNCONFIRMED: &str = "unconfirmed";
const WITHHELD: &str = "withheld";

/// A request that is routed and read whole.
pub(crate) struct Job {
    pub(crate) node: Rc<Node>,
    pub(crate) facts: RequestFacts,
    pub(crate) route: Arc<Route>,
    pub(crate) arrived: Instant,
    /// When the caller's time, or that of the route, is over.
    pub(crate) deadline: Instant,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: u64,
    pub(crate) quota_units: u32,
    pub(crate) tier: Tier,
    /// Keeps a stopping node alive until the request is answered.
    pub(crate) _open: OpenRequest,
}

/// What came of one attempt.
pub(crate) enum Sent {
    /// An upstream's head of an answer that is to be passed on as it comes.
    Streaming(Box<Relay>),
    /// An upstream's whole answer.
    Whole(Response<AnswerBody>),
    /// The request did not run.
    NotRun(&'static str),
    /// The request may have run; there is no answer.
    Unknown(&'static str),
}

impl Sent {
    /// Whether nothing went to the upstream, which then costs no attempt.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self, Self::NotRun(UNREACHABLE | UNCONFIRMED | WITHHELD))
    }
}

impl Job {
    /// Gets places and sends the request until there is an answer.
    pub(crate) async fn run(self: Rc<Self>) -> Response<AnswerBody> {
        let mut attempts = Attempts::default();
        let mut fallback = None;
        let response = loop {
            let place = match attempts.place(&self).await {
                Ok(place) => place,
                Err(refusal) => break self.refused(refusal, &attempts, fallback),
            };
            attempts.observe_queued(&self);
            match self.clone().send(&mut attempts, place).await {
                Sent::Streaming(relay) => return relay.start(self, attempts),
                Sent::Whole(response) => {
                    let is_repeatable = self.is_repeatable() && response.status().is_server_error();
                    if !is_repeatable || !self.may_send_again(&attempts) {
                        break response;
                    }
                    fallback = Some(response);
                }
                Sent::NotRun(reason) => {
                    if !self.may_send_again(&attempts) {
                        break self.gave_up(reason, &attempts, fallback);
                    }
                }
                Sent::Unknown(reason) => {
                    attempts.has_run = true;
                    if !self.is_repeatable() || !self.may_send_again(&attempts) {
                        break self.unknown(reason);
                    }
                    log::info!(request:% = self.facts.request_id, reason; "request is sent again");
                }
            }
        };
        self.log_end(response.status(), &attempts);
        response
    }

    /// Whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { is_resumable, .. } => is_resumable,
        }
    }

    /// Whether time and attempts are left.
    pub(crate) fn may_send_again(&self, attempts: &Attempts) -> bool {
        attempts.sent < self.route.max_attempts.max(1)
            && attempts.places < MOST_PLACES_ASKED
            && Instant::now() < self.deadline
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time until the caller gives up a stream that has not begun.
    fn patience_left(&self) -> Duration {
        let patience = self.node.dialect.stream_patience(&self.route);
        patience.map_or(Duration::MAX, |patience| {
            patience.saturating_sub(self.arrived.elapsed())
        })
    }

    /// What the owner is asked for the next attempt.
    pub(crate) fn ask(&self, attempts: &Attempts) -> SlotRequest {
        let longest_pause = match self.route.kind {
            RouteKind::Stream { longest_pause, .. } => Some(longest_pause),
            RouteKind::Idempotent | RouteKind::NonIdempotent => None,
        };
        let account = self.account.as_ref();
        SlotRequest {
            run: self.node.next_run(),
            service: self.service.clone(),
            route: self.route.name.clone(),
            account: account.map(|account| account.name.clone()),
            quota_units: self.quota_units,
            tier: self.tier,
            objective_left: self.route.objective.saturating_sub(self.arrived.elapsed()),
            time_left: self.time_left().min(self.patience_left()),
            longest_pause,
            size: self.facts.size.clone(),
            attempt: attempts.sent,
            avoid: attempts.upstreams().to_vec(),
            fingerprint: self.fingerprint,
            data_centre: self.node.settings.data_centre.clone(),
        }
    }

    /// Sends the request to the upstream of its place.
    ///
    /// What may not be repeated is not cancelled once it is sent, also when its caller leaves.
    async fn send(self: Rc<Self>, attempts: &mut Attempts, place: Place) -> Sent {
        attempts.count_sent(&place.grant.upstream);
        let sent = if self.route.kind == RouteKind::NonIdempotent {
            let task = spawn_local(self.send_once(place, None));
            task.await.unwrap_or(Sent::Unknown("task_failed"))
        } else {
            self.send_once(place, None).await
        };
        if sent.is_unsent() {
            attempts.take_back();
        }
        sent
    }

    /// Sends the request once, after the event `resume_after` if it is a stream that goes on.
    pub(crate) async fn send_once(
        self: Rc<Self>,
        place: Place,
        resume_after: Option<String>,
    ) -> Sent {
        if !confirm_upstream(&self.node, &self.service, &place.grant).await {
            log::info!(request:% = self.facts.request_id, upstream:% = place.grant.upstream; "upstream does not confirm that it takes requests, and nobody else is heard");
            place.end(RunOutcome::Unreachable, RunFigures::default());
            return Sent::NotRun(UNCONFIRMED);
        }
        if !place.is_wanted() {
            log::info!(request:% = self.facts.request_id, upstream:% = place.grant.upstream; "upstream wants no request, as this node was told; its place is given back");
            place.withhold();
            return Sent::NotRun(WITHHELD);
        }
        let request = self.upstream_request(&place.grant.upstream, resume_after.as_deref());
        let address = place.grant.address.clone();
        let last = self.time_left() + LATE_ANSWER_MARGIN;
        let sent_at = Instant::now();
        let sending = self.node.connections.send(&address, request);
        let (response, connection) = match timeout(last, sending).await {
            Ok(Ok(sent)) => sent,
            Ok(Err(SendError::NotSent(error))) => {
                log::info!(request:% = self.facts.request_id, upstream:% = place.grant.upstream, error:%; "upstream can't be reached");
                place.end(RunOutcome::Unreachable, RunFigures::default());
                return Sent::NotRun(UNREACHABLE);
            }
            Ok(Err(SendError::Broken(error))) => {
                log::info!(request:% = self.facts.request_id, upstream:% = place.grant.upstream, error:%; "upstream broke off");
                place.end(RunOutcome::Broken, RunFigures::default());
                return Sent::Unknown("upstream_broke_off");
            }
            Err(_) => {
                place.end(RunOutcome::Cancelled, RunFigures::default());
                return Sent::Unknown("timeout");
            }
        };
        let facts = self
            .node
            .dialect
            .read_answer(response.status(), response.headers());
        if self.is_answered_by(&facts) && !facts.is_misdirected {
            let request_id = &self.facts.request_id;
            place.observe_notices(request_id, &facts, sent_at.elapsed());
        }
        if let Some((running, waiting)) = facts.load
            && waiting > 0
        {
            place.tell_load(running, waiting);
        }
        self.judge(place, response, connection, facts).await
    }

    /// Whether an answer is one to this request.
    fn is_answered_by(&self, facts: &AnswerFacts) -> bool {
        facts.request_id == self.facts.request_id || facts.is_not_run
    }

    /// Decides what an upstream's head of an answer means.
    async fn judge(
        self: Rc<Self>,
        place: Place,
        response: Response<Incoming>,
        connection: OpenConnection,
        facts: AnswerFacts,
    ) -> Sent {
        if !self.is_answered_by(&facts) {
            log::warn!(request:% = self.facts.request_id, other:% = facts.request_id; "an answer belongs to another request");
            place.end(RunOutcome::Broken, RunFigures::default());
            return Sent::Unknown("foreign_answer");
        }
        if facts.is_misdirected || facts.is_not_run {
            let outcome = if facts.is_misdirected {
                RunOutcome::Misdirected
            } else {
                RunOutcome::Rejected
            };
            log::info!(request:% = self.facts.request_id, upstream:% = place.grant.upstream, outcome:? = outcome; "upstream did not run the request");
            place.end(outcome, RunFigures::default());
            self.finish_unused(response, connection, &facts);
            return Sent::NotRun("rejected");
        }
        if response.status().is_success() && !facts.is_signed {
            place.end(RunOutcome::Failed, RunFigures::default());
            return Sent::Unknown("unsigned_answer");
        }
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        if is_stream && response.status().is_success() {
            let relay = Relay::new(place, response, connection, facts.keep_alive);
            return Sent::Streaming(Box::new(relay));
        }
        read_whole(&self, place, response, connection, &facts).await
    }

    /// Reads the rest of an answer that says nothing more, so that its connection can be used again.
    fn finish_unused(
        &self,
        response: Response<Incoming>,
        connection: OpenConnection,
        facts: &AnswerFacts,
    ) {
        let (node, keep_alive) = (self.node.clone(), facts.keep_alive);
        let last = self.time_left();
        spawn_local(async move {
            if let Ok(Ok(_)) = timeout(last, response.into_body().collect()).await {
                node.connections.keep(connection, keep_alive);
            }
        });
    }

    fn upstream_request(
        &self,
        upstream: &UpstreamId,
        resume_after: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let facts = UpstreamFacts {
            time_left: self.time_left(),
            upstream,
            account: self.account.as_ref().map(|account| &account.name),
            resume_after,
        };
        let headers = end_to_end_headers(&self.headers);
        let mut headers = self.node.dialect.upstream_headers(&headers, &facts);
        if let Some(host) = self.headers.get(header::HOST) {
            headers.insert(header::HOST, host.clone());
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = origin_form(&self.uri);
        *request.headers_mut() = headers;
        request
    }

    fn refused(
        &self,
        refusal: Refusal,
        attempts: &Attempts,
        fallback: Option<Response<AnswerBody>>,
    ) -> Response<AnswerBody> {
        let answer = OwnAnswer::refused(refusal);
        if attempts.has_run || fallback.is_some() {
            return self.gave_up(answer.reason, attempts, fallback);
        }
        log::info!(request:% = self.facts.request_id, route:% = self.route.name, tier = self.tier, account = self.account_name(), quota_units = self.quota_units, reason = answer.reason, sent = attempts.sent, held_ms = ms(self.arrived.elapsed()), retry_after_ms = ms(refusal.retry_after); "request refused");
        answer.response(&self.node, &self.facts.request_id)
    }

    /// The account for the log; empty when the request needs none.
    fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }

    /// Counts how the request ended, for the burn report.
    pub(crate) fn count_end(&self, counter: &'static str) {
        self.node.metrics.count(counter, &self.route.name);
    }

    /// Ends a request that no further upstream gets.
    fn gave_up(
        &self,
        reason: &'static str,
        attempts: &Attempts,
        fallback: Option<Response<AnswerBody>>,
    ) -> Response<AnswerBody> {
        if let Some(response) = fallback {
            return response;
        }
        if attempts.has_run {
            return self.unknown(reason);
        }
        log::info!(request:% = self.facts.request_id, route:% = self.route.name, reason, held_ms = ms(self.arrived.elapsed()); "request ended without a run");
        OwnAnswer::not_run(reason, ELSEWHERE_RETRY_AFTER)
            .response(&self.node, &self.facts.request_id)
    }

    /// Ends a request of which nobody knows whether it ran.
    fn unknown(&self, reason: &'static str) -> Response<AnswerBody> {
        let status = if reason == "timeout" {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        log::warn!(request:% = self.facts.request_id, route:% = self.route.name, reason, held_ms = ms(self.arrived.elapsed()); "request ended, it may have run");
        OwnAnswer::new(status, reason).response(&self.node, &self.facts.request_id)
    }

    /// Logs a final answer and takes its time.
    pub(crate) fn log_end(&self, status: StatusCode, attempts: &Attempts) {
        let elapsed = self.arrived.elapsed();
        self.node
            .metrics
            .observe("request_ms", &self.route.name, elapsed);
        self.count_end(end_of(status, elapsed <= self.route.objective));
        log::info!(request:% = self.facts.request_id, route:% = self.route.name, status = status.as_u16(), upstream = attempts.last_upstream(), sent = attempts.sent, queued_ms = ms(attempts.queued), total_ms = ms(elapsed), catalogue = self.node.views.catalogue_version(); "request ended");
    }
}

/// The counter of a request that ended with `status`.
fn end_of(status: StatusCode, is_in_time: bool) -> &'static str {
    match status.as_u16() {
        408 | 421 | 429 | 503 => REFUSED,
        code if code >= 500 => FAILED,
        _ if is_in_time => IN_TIME,
        _ => LATE,
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    // A part of a valid URI is one.
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}

pub(crate) fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
