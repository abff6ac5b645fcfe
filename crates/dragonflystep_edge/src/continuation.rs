//! Lets a stream whose upstream broke off go on from the copy of its KV cache at another upstream.
//!
//! The caller may have received events, so at no time may two upstreams work on the run. The upstream that broke off is
//! told to stop the run first, on a new connection: its answer has no id, and elsewhere could be a late or stray one. The
//! stream goes on only if it answers that it does not run it, or if it is down. One that can't be reached may still be at
//! work; then the stream is handled as one without a copy.

use {
    crate::{
        attempts::Attempts,
        caller_stream::CallerStream,
        dialect::{CopyLocation, RunStop},
        job::{DispatchOutcome, Job},
        limits::STOP_RUN_TIMEOUT,
        relay::Relay,
        upstream_connections::SendError,
        upstream_dialer::{Dialed, dial},
    },
    bytes::Bytes,
    dragonflystep_dispatch::{CopyTarget, Grant},
    http::{HeaderValue, Method, Request, Uri, header},
    http_body_util::Full,
    std::{io, rc::Rc},
    tokio::time::timeout,
};

/// From where an upstream goes on with a stream.
pub(crate) struct ResumePoint {
    /// The id of the last event that was received; none if there was none.
    pub(crate) after: Option<String>,
    /// The copy from which it goes on; none to read the prompt again.
    pub(crate) copy: Option<CopyName>,
}

/// The name of the copy of a run.
pub(crate) struct CopyName {
    /// Address of the upstream that gave the name, as IP:PORT.
    address: String,
    name: String,
}

impl CopyName {
    pub(crate) fn location(&self) -> CopyLocation<'_> {
        CopyLocation {
            address: &self.address,
            name: &self.name,
        }
    }
}

/// Goes on with a stream that broke off from the copy of its run, if it has one. A run that already went on from a copy is
/// not carried to a third upstream: its content may be what breaks them.
pub(crate) async fn continue_from_copy(
    job: &Rc<Job>,
    attempts: &mut Attempts,
    caller: &CallerStream,
) -> Option<Relay> {
    let source = attempts.last_grant.take()?;
    let copy = source.copy.clone()?;
    if attempts.has_continued || caller.last_sent_id().is_none() {
        return None;
    }
    let result = try_to_continue(job, attempts, caller, &source, &copy).await;
    attempts.continues_at = None;
    let (kind, relay) = match result {
        Ok(relay) => ("continued", Some(relay)),
        Err(reason) => (reason, None),
    };
    log::info!(request:% = job.facts.request_id, source:% = source.upstream, upstream:% = copy.upstream, result = kind; "a run broke off that has a copy");
    job.node.metrics.count("runs_continued_total", kind);
    relay
}

async fn try_to_continue(
    job: &Rc<Job>,
    attempts: &mut Attempts,
    caller: &CallerStream,
    source: &Grant,
    copy: &CopyTarget,
) -> Result<Relay, &'static str> {
    let name = tokio::select! {
        name = stop_run(job, source, copy) => name.ok_or("source_unclear")?,
        () = caller.chunks.closed() => return Err("caller_left"),
    };
    attempts.continues_at = Some(copy.upstream.clone());
    let slot = tokio::select! {
        slot = attempts.request_slot(job) => slot.map_err(|refusal| {
            log::info!(request:% = job.facts.request_id, upstream:% = copy.upstream, reason:? = refusal.reason; "a run may not go on from its copy");
            "refused"
        })?,
        () = caller.chunks.closed() => return Err("caller_left"),
    };
    if slot.grant.upstream != copy.upstream {
        slot.return_unused();
        return Err("refused");
    }
    // A stream that may not be resumed elsewhere states no version in its slot request.
    let version = attempts.stream_version.as_ref();
    if version.is_some_and(|version| *version != slot.version()) {
        slot.return_unused();
        return Err("refused");
    }
    attempts.count_sent(&slot.grant);
    let resume = ResumePoint {
        after: caller.last_event_id().map(str::to_owned),
        copy: Some(name),
    };
    let outcome = tokio::select! {
        outcome = job.clone().send_once(slot, Some(resume)) => outcome,
        () = caller.chunks.closed() => return Err("caller_left"),
    };
    attempts.record_outcome(&outcome);
    match outcome {
        DispatchOutcome::Streaming(relay) => {
            attempts.has_continued = true;
            Ok(*relay)
        }
        DispatchOutcome::NotRun(evidence) => {
            // A copy that the upstream no longer has costs no attempt either.
            if !evidence.is_unsent() {
                attempts.uncount_sent();
            }
            Err("copy_unusable")
        }
        DispatchOutcome::Buffered(_) | DispatchOutcome::Unknown(_) => Err("failed"),
    }
}

/// Has the upstream of a run stop it. Returns the name of the copy from which the run goes on; none if the upstream may
/// still be at work.
async fn stop_run(job: &Job, source: &Grant, copy: &CopyTarget) -> Option<CopyName> {
    let kept = || CopyName {
        address: copy.address.clone(),
        name: job.facts.request_id.clone(),
    };
    let stopping = async {
        match send_stop(job, &source.address, &copy.address).await {
            Err(SendError::NotSent(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                let is_down = is_down(job, source, copy).await;
                Ok(is_down.then(kept))
            }
            Ok(answer) => Ok(match answer.stop {
                RunStop::NotRunning => Some(kept()),
                RunStop::Moved(name) => Some(CopyName {
                    address: source.address.clone(),
                    name,
                }),
                RunStop::Unclear => None,
            }),
            Err(error) => Err(error),
        }
    };
    match timeout(STOP_RUN_TIMEOUT, stopping).await {
        Ok(Ok(name)) => name,
        Err(_) => None,
        Ok(Err(error)) => {
            log::info!(request:% = job.facts.request_id, upstream:% = source.upstream, error:%; "an upstream does not answer whether it stopped a run");
            None
        }
    }
}

/// Whether the upstream of a run, which refused a connection, is down. A path may refuse new connections while the upstream
/// works on. So it must not answer on any open connection, another node has to find it unreachable, and the upstream with the
/// copy has to answer on a new direct connection.
async fn is_down(job: &Job, source: &Grant, copy: &CopyTarget) -> bool {
    let node = &job.node;
    let allowed = job.allowed_data_centres.as_deref();
    let order = stop_order(job, &source.address, &copy.address);
    // Such an answer may belong to another call, but it shows that the upstream is up. The order stops the run all the same.
    if let Ok(answered) = node.send_on_idle(&source.address, "", order, allowed).await {
        if let Err(error) = answered.claim_for_first_call(node) {
            log::info!(request:% = job.facts.request_id, upstream:% = source.upstream, error:%; "an upstream refuses a connection and answers on another one");
        }
        return false;
    }
    let is_answered = async |dialed| {
        let answer = send_stop_on(job, &copy.address, dialed, &source.address).await;
        shows_path(job, copy, answer)
    };
    let (is_confirmed, answer) = tokio::join!(
        node.is_down_for_another(
            &source.upstream,
            &source.address,
            &copy.address,
            is_answered
        ),
        send_stop(job, &copy.address, &source.address),
    );
    let is_direct = matches!(&answer, Ok(answer) if answer.is_direct);
    let is_path_proved = shows_path(job, copy, answer) && is_direct;
    if !is_confirmed || !is_path_proved {
        log::info!(request:% = job.facts.request_id, upstream:% = source.upstream, is_confirmed, is_path_proved; "an upstream that refused a connection may still be at work");
    }
    is_confirmed && is_path_proved
}

/// Whether the answer of the upstream with the copy shows that it is reached. One that it stopped the run shows a second run.
fn shows_path(job: &Job, copy: &CopyTarget, answer: Result<StopAnswer, SendError>) -> bool {
    match answer {
        Ok(answer) => answer.is_claimed && !matches!(answer.stop, RunStop::Moved(_)),
        Err(error) => {
            log::info!(request:% = job.facts.request_id, upstream:% = copy.upstream, error:%; "the upstream with the copy of a run does not answer");
            false
        }
    }
}

/// What an upstream answered to the order to stop a run.
struct StopAnswer {
    stop: RunStop,
    is_direct: bool,
    /// Whether the answer belongs to the order.
    is_claimed: bool,
}

fn stop_order(job: &Job, address: &str, copy_to: &str) -> Request<Full<Bytes>> {
    let dialect = &job.node.dialect;
    let call = dialect.stop_run_call(&job.facts.request_id, copy_to);
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(call.path);
    let headers = request.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(call.content_type),
    );
    if let Ok(host) = HeaderValue::from_str(address) {
        headers.insert(header::HOST, host);
    }
    request
}

async fn send_stop(job: &Job, address: &str, copy_to: &str) -> Result<StopAnswer, SendError> {
    let dialed = dial(&job.node, address, job.allowed_data_centres.as_deref()).await?;
    send_stop_on(job, address, dialed, copy_to).await
}

/// Sends the order on a new connection.
async fn send_stop_on(
    job: &Job,
    address: &str,
    dialed: Dialed,
    copy_to: &str,
) -> Result<StopAnswer, SendError> {
    let node = &job.node;
    let request = stop_order(job, address, copy_to);
    let is_direct = dialed.forwarder.is_none();
    let unclear = |is_claimed| StopAnswer {
        stop: RunStop::Unclear,
        is_direct,
        is_claimed,
    };
    let answered = node.send_on_new(address, dialed, request).await?;
    let mut answer = match answered.claim_for_first_call(node) {
        Ok(answer) => answer,
        Err(error) => {
            log::warn!(request:% = job.facts.request_id, address, error:%; "the answer to an order to stop a run is ignored");
            return Ok(unclear(false));
        }
    };
    match answer.read_short_body().await {
        Ok(body) => Ok(StopAnswer {
            stop: node.dialect.read_run_stop(answer.head.status, &body),
            ..unclear(true)
        }),
        Err(error) => {
            log::warn!(request:% = job.facts.request_id, address, error:%; "the answer to an order to stop a run can't be read");
            Ok(unclear(false))
        }
    }
}
