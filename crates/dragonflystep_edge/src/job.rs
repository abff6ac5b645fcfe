//! Dispatches a routed request with its whole body: requests a slot, sends the request to the upstream of the slot,
//! interprets the answer and retries where that is allowed.
//!
//! A request that must not run twice is sent to another upstream only when nothing was sent to the first one, or when
//! the first one states that it did not run the request. The node itself replies "not run" only when it is certain
//! that the request did not run.

use {
    crate::{
        answer::{AnswerBody, end_to_end_headers},
        attempts::Attempts,
        continuation::{CopyName, ResumePoint},
        dialect::{RequestFacts, UpstreamFacts},
        held_bytes::Hold,
        limits::{LATE_ANSWER_MARGIN, MAX_SLOT_REQUESTS},
        node::Node,
        not_run::NotRunEvidence,
        relay::{Relay, buffer_answer},
        slots::{RunStats, Slot},
        stop::OpenRequest,
        upstream_answer::{ForeignAnswer, UpstreamAnswer},
        upstream_connections::SendError,
        upstream_health::confirm_upstream,
    },
    bytes::Bytes,
    dragonflystep_dispatch::{
        Account, ContentKey, DataCentreName, Grant, Route, RouteKind, RunCopy, RunOutcome,
        ServiceName, SlotRequest, Tier,
    },
    http::{HeaderMap, Method, Request, Response, Uri, header},
    http_body_util::Full,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, timeout},
    },
};

/// A routed request with its whole body, from its arrival until its final answer.
pub(crate) struct Job {
    pub(crate) node: Rc<Node>,
    pub(crate) facts: RequestFacts,
    pub(crate) route: Arc<Route>,
    pub(crate) arrived: Instant,
    /// When the caller gives up or the timeout of the route ends, whichever comes first.
    pub(crate) deadline: Instant,
    /// The account that pays for the request; none when the route needs no key.
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Hash of key, path and body, by which a request that comes again under another id is recognized.
    pub(crate) fingerprint: u64,
    /// Keys of the prompt segments that other requests may share.
    pub(crate) shared_content: Vec<ContentKey>,
    /// Units that the request takes from the quota of its account; 0 without a quota.
    pub(crate) quota_units: u32,
    pub(crate) tier: Tier,
    /// Data centres whose upstreams may run the request; none if all may.
    pub(crate) allowed_data_centres: Option<Vec<DataCentreName>>,
    /// Counts the body against the node's memory for connections.
    pub(crate) _held_body: Option<Hold>,
    /// Counts the request as open; a stopping node waits for open requests within its grace period.
    pub(crate) _open_request: OpenRequest,
}

/// The result of one dispatch.
pub(crate) enum DispatchOutcome {
    /// The upstream began a stream, which is relayed to the caller as it arrives.
    Streaming(Box<Relay>),
    /// The whole answer of the upstream.
    Buffered(Response<AnswerBody>),
    /// The request did not run, as this shows.
    NotRun(NotRunEvidence),
    /// The request may have run, but there is no usable answer, for this reason.
    Unknown(&'static str),
}

impl Job {
    /// Requests slots and sends the request until there is an answer or it may not be sent again.
    pub(crate) async fn run(self: Rc<Self>) -> Response<AnswerBody> {
        let mut attempts = Attempts::default();
        let mut server_error = None;
        self.log_resume();
        let response = loop {
            let slot = match attempts.request_slot(&self).await {
                Ok(slot) => slot,
                Err(refusal) => break self.refuse(refusal, &attempts, server_error),
            };
            attempts.observe_queue_time(&self);
            match self.clone().send(&mut attempts, slot).await {
                DispatchOutcome::Streaming(relay) => return relay.start(self, attempts),
                DispatchOutcome::Buffered(response) => {
                    let is_repeatable = self.is_repeatable() && response.status().is_server_error();
                    if !is_repeatable || !self.may_send_again(&attempts) {
                        break response;
                    }
                    self.log_server_error(response.status(), &attempts);
                    server_error = Some(response);
                }
                DispatchOutcome::NotRun(evidence) => {
                    if !self.may_send_again(&attempts) {
                        break self.give_up(evidence.reason(), &attempts, server_error);
                    }
                }
                DispatchOutcome::Unknown(reason) => {
                    if !self.is_repeatable() || !self.may_send_again(&attempts) {
                        break self.fail_unknown(reason);
                    }
                    log::info!(request:% = self.facts.request_id, reason; "retrying a request that may have run");
                }
            }
        };
        self.log_end(response.status(), &attempts);
        response
    }

    /// Whether the request is safe to run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { is_resumable, .. } => is_resumable,
        }
    }

    /// Whether the deadline and the limits on attempts and slot requests allow another dispatch.
    pub(crate) fn may_send_again(&self, attempts: &Attempts) -> bool {
        attempts.sent < self.route.max_attempts.max(1)
            && attempts.slot_requests < MAX_SLOT_REQUESTS
            && Instant::now() < self.deadline
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time until the caller gives up on a stream without a first event; unlimited if the route is no stream.
    fn first_event_wait_left(&self) -> Duration {
        let timeout = self.node.dialect.first_event_timeout(&self.route);
        timeout.map_or(Duration::MAX, |timeout| {
            timeout.saturating_sub(self.arrived.elapsed())
        })
    }

    /// Time until the caller gives up on a stream that has begun, unless another event arrives.
    fn next_event_wait_left(&self, last_event_at: Instant) -> Duration {
        let timeout = self.node.dialect.first_event_timeout(&self.route);
        timeout.map_or(Duration::MAX, |timeout| {
            timeout.saturating_sub(last_event_at.elapsed())
        })
    }

    /// The slot request for the next attempt.
    pub(crate) fn slot_request(&self, attempts: &Attempts) -> SlotRequest {
        let longest_pause = match self.route.kind {
            RouteKind::Stream { longest_pause, .. } => Some(longest_pause),
            RouteKind::Idempotent | RouteKind::NonIdempotent => None,
        };
        let account = self.account.as_ref();
        let (objective_left, event_wait_left) = match (attempts.last_event_at, longest_pause) {
            (Some(last), Some(pause)) => (
                pause.saturating_sub(last.elapsed()),
                self.next_event_wait_left(last),
            ),
            _ => (
                self.route.objective.saturating_sub(self.arrived.elapsed()),
                self.first_event_wait_left(),
            ),
        };
        SlotRequest {
            run: self.node.next_run(),
            service: self.service.clone(),
            route: self.route.name.clone(),
            account: account.map(|account| account.name.clone()),
            quota_units: self.quota_units,
            tier: self.tier,
            objective_left,
            time_left: self.time_left().min(event_wait_left),
            longest_pause,
            size: self.facts.size.clone(),
            previous_attempts: attempts.sent,
            excluded_upstreams: attempts.upstreams(),
            fingerprint: self.fingerprint,
            shared_content: self.shared_content.clone(),
            data_centre: self.node.settings.data_centre.clone(),
            allowed_data_centres: self.allowed_data_centres.clone(),
            stream: self.stream_try(attempts),
            copy: attempts.continues_at.clone().map(RunCopy::Continued),
        }
    }

    /// Sends the request to the upstream of its slot.
    ///
    /// A non-idempotent request is sent by a task of its own, so that it is not cancelled when its caller disconnects.
    async fn send(self: Rc<Self>, attempts: &mut Attempts, mut slot: Slot) -> DispatchOutcome {
        slot.drop_unusable_copy();
        attempts.count_sent(&slot.grant);
        let outcome = if self.route.kind == RouteKind::NonIdempotent {
            let task = spawn_local(self.send_once(slot, None));
            task.await
                .unwrap_or(DispatchOutcome::Unknown("task_failed"))
        } else {
            self.send_once(slot, None).await
        };
        attempts.record_outcome(&outcome);
        outcome
    }

    /// Sends the request once. To continue an interrupted stream, `resume` states from where.
    pub(crate) async fn send_once(
        self: Rc<Self>,
        slot: Slot,
        resume: Option<ResumePoint>,
    ) -> DispatchOutcome {
        if !confirm_upstream(&self.node, &self.service, &slot.grant).await {
            log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream; "upstream does not confirm that it takes requests, and nobody else is heard");
            slot.end(RunOutcome::Unreachable, RunStats::default());
            return DispatchOutcome::NotRun(NotRunEvidence::Unconfirmed);
        }
        if !slot.permits_data_centre() {
            log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream; "the upstream's data centre takes no such request; its slot is returned");
            slot.return_unused();
            return DispatchOutcome::NotRun(NotRunEvidence::Withheld);
        }
        if !slot.has_required_version() {
            log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream, version:% = slot.version(); "the upstream has another software version than the stream; its slot is returned");
            slot.return_unused();
            return DispatchOutcome::NotRun(NotRunEvidence::Withheld);
        }
        if slot.holds_crashing_content() {
            log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream, content:% = self.content(); "the request holds content that crashes upstreams; its slot is returned");
            slot.return_unused();
            return DispatchOutcome::NotRun(NotRunEvidence::CrashingContent);
        }
        if !slot.accepts_requests() {
            log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream; "upstream wants no request, as this node was told; its place is given back");
            slot.return_unused();
            return DispatchOutcome::NotRun(NotRunEvidence::Withheld);
        }
        let request = self.upstream_request(&slot.grant, resume.as_ref());
        let address = slot.grant.address.clone();
        let time_limit = self.time_left() + LATE_ANSWER_MARGIN;
        let sent_at = Instant::now();
        let allowed = self.allowed_data_centres.as_deref();
        let sending = self
            .node
            .send_upstream(&address, &self.facts.request_id, request, allowed);
        let answered = match timeout(time_limit, sending).await {
            Ok(Ok(answered)) => answered,
            Ok(Err(SendError::NotSent(error))) => {
                log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream, error:%; "could not connect to the upstream");
                slot.end(RunOutcome::Unreachable, RunStats::default());
                return DispatchOutcome::NotRun(NotRunEvidence::Unreachable);
            }
            Ok(Err(SendError::NoPath)) => {
                log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream; "no node is known that reaches the upstream; its slot is returned");
                slot.end(RunOutcome::Withheld, RunStats::default());
                return DispatchOutcome::NotRun(NotRunEvidence::NoPath);
            }
            Ok(Err(SendError::Broken { error, forwarder })) => {
                log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream, content:% = self.content(), error:%; "upstream broke off");
                self.count_broken_run(0);
                // A break of the path says nothing about the upstream, nor about the request.
                let is_break_of_path = self.node.is_break_of_path(&address, forwarder.as_ref());
                let outcome = if is_break_of_path.await {
                    RunOutcome::Cancelled
                } else {
                    RunOutcome::Broken
                };
                slot.end(outcome, RunStats::default());
                return DispatchOutcome::Unknown("upstream_broke_off");
            }
            Err(_) => {
                slot.end(RunOutcome::Cancelled, RunStats::default());
                return DispatchOutcome::Unknown("timeout");
            }
        };
        let answer = match answered.claim_for_request(&self.node, &self.facts.request_id) {
            Ok(answer) => answer,
            Err(ForeignAnswer(other)) => {
                log::warn!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream, other; "received the answer to another request");
                // The upstream answers, so that the request is not suspected of having crashed it.
                slot.end(RunOutcome::Failed, RunStats::default());
                return DispatchOutcome::Unknown("foreign_answer");
            }
        };
        if let Some(forwarder) = answer.connection().forwarder() {
            log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream, forwarder:% = forwarder.node; "upstream was reached through another node");
        }
        // Another upstream at the address says nothing about the one of the slot.
        if !answer.facts.is_misdirected {
            let request_id = &self.facts.request_id;
            slot.observe_notices(request_id, &answer.facts, sent_at.elapsed());
            if let Some((running, waiting)) = answer.facts.load
                && waiting > 0
            {
                slot.report_load(running, waiting);
            }
        }
        self.interpret_answer(slot, answer).await
    }

    /// Decides by the head of an answer whether the request ran, and how the answer is passed on.
    async fn interpret_answer(
        self: Rc<Self>,
        slot: Slot,
        answer: UpstreamAnswer,
    ) -> DispatchOutcome {
        let (facts, status) = (&answer.facts, answer.head.status);
        if let Some(evidence) = NotRunEvidence::in_answer(&answer) {
            let outcome = if facts.is_misdirected {
                RunOutcome::Misdirected
            } else {
                RunOutcome::Rejected
            };
            let is_named = !facts.request_id.is_empty();
            log::info!(request:% = self.facts.request_id, upstream:% = slot.grant.upstream, outcome:? = outcome, is_named, named_request = facts.request_id, status = status.as_u16(), earlier_calls = answer.connection().earlier_calls(); "upstream did not run the request");
            let kind = if is_named { "named" } else { "unnamed" };
            self.node.metrics.count("rejections_total", kind);
            slot.end(outcome, RunStats::default());
            self.drain_answer(answer);
            return DispatchOutcome::NotRun(evidence);
        }
        if status.is_success() && !facts.is_signed {
            slot.end(RunOutcome::Failed, RunStats::default());
            return DispatchOutcome::Unknown("unsigned_answer");
        }
        let is_stream = matches!(self.route.kind, RouteKind::Stream { .. });
        if is_stream && status.is_success() {
            return DispatchOutcome::Streaming(Box::new(Relay { slot, answer }));
        }
        buffer_answer(&self, slot, answer).await
    }

    /// Reads and discards a short body of an answer in the background, so that its connection can be used again.
    fn drain_answer(&self, mut answer: UpstreamAnswer) {
        let node = self.node.clone();
        let time_limit = self.time_left();
        spawn_local(async move {
            if let Ok(Ok(_)) = timeout(time_limit, answer.read_short_body()).await {
                answer.keep_connection(&node);
            }
        });
    }

    /// The request as it is sent to an upstream: without hop-by-hop headers, with those that the dialect adds.
    fn upstream_request(
        &self,
        grant: &Grant,
        resume: Option<&ResumePoint>,
    ) -> Request<Full<Bytes>> {
        let copy = resume.and_then(|resume| resume.copy.as_ref());
        let facts = UpstreamFacts {
            time_left: self.time_left(),
            upstream: &grant.upstream,
            account: self.account.as_ref().map(|account| &account.name),
            resume_after: resume.and_then(|resume| resume.after.as_deref()),
            copy_to: grant.copy.as_ref().map(|copy| copy.address.as_str()),
            continues_from: copy.map(CopyName::location),
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
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    // The path and query of a valid URI always parse.
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}

pub(crate) fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
