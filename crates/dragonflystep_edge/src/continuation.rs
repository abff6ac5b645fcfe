//! Lets a stream whose upstream broke off go on from the copy of its KV cache at another upstream.
//!
//! The caller may have received events, so at no time may two upstreams work on the run. The upstream that broke off is
//! told to stop the run first. The stream goes on only if it answers that it does not run it, or if nothing listens at its
//! address any more. One that can't be reached may still be at work; then the stream is handled as one without a copy.

use {
    crate::{
        attempts::Attempts,
        caller_stream::CallerStream,
        dialect::{CopyLocation, RunStop},
        job::{DispatchOutcome, Job},
        limits::STOP_RUN_TIMEOUT,
        relay::Relay,
        upstream_connections::SendError,
    },
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
    let stopping = timeout(STOP_RUN_TIMEOUT, send_stop(job, source, copy));
    match stopping.await {
        Ok(Ok(RunStop::NotRunning)) => Some(kept()),
        Ok(Ok(RunStop::Moved(name))) => Some(CopyName {
            address: source.address.clone(),
            name,
        }),
        Ok(Err(SendError::NotSent(error))) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Some(kept())
        }
        Ok(Ok(RunStop::Unclear)) | Err(_) => None,
        Ok(Err(error)) => {
            log::info!(request:% = job.facts.request_id, upstream:% = source.upstream, error:%; "an upstream does not answer whether it stopped a run");
            None
        }
    }
}

async fn send_stop(job: &Job, source: &Grant, copy: &CopyTarget) -> Result<RunStop, SendError> {
    let node = &job.node;
    let call = node
        .dialect
        .stop_run_call(&job.facts.request_id, &copy.address);
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(call.path);
    let headers = request.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(call.content_type),
    );
    if let Ok(host) = HeaderValue::from_str(&source.address) {
        headers.insert(header::HOST, host);
    }
    let allowed = job.allowed_data_centres.as_deref();
    let answered = node
        .send_upstream(&source.address, "", request, allowed)
        .await?;
    let mut answer = match answered.claim_for_call(node) {
        Ok(answer) => answer,
        Err(error) => {
            log::warn!(request:% = job.facts.request_id, upstream:% = source.upstream, error:%; "the answer to an order to stop a run is ignored");
            return Ok(RunStop::Unclear);
        }
    };
    match answer.read_short_body().await {
        Ok(body) => Ok(node.dialect.read_run_stop(answer.head.status, &body)),
        Err(error) => {
            log::warn!(request:% = job.facts.request_id, upstream:% = source.upstream, error:%; "the answer to an order to stop a run can't be read");
            Ok(RunStop::Unclear)
        }
    }
}
