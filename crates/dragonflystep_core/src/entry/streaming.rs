//! Handles dispatched requests: progress, broken streams, resumption and the end of the stream.

use {
    super::{
        Entry,
        call::Call,
        ending::Ending,
        phase::{Phase, Stream},
    },
    crate::{
        catalogue::ServiceKind,
        context::Context,
        effect::Effect,
        event::UpstreamEvent,
        ids::RequestId,
        message::Message,
        request::{Outcome, Ran, Refusal, RefusalCode},
    },
    std::time::Duration,
};

/// Most attempts to resume a broken stream without a new token in between.
const MAX_RESUME_ATTEMPTS: u32 = 6;
/// Delay before the second attempt; doubled for each further one.
const RESUME_BACKOFF: Duration = Duration::from_millis(50);

impl Entry {
    /// Handles an event of a request that may have been dispatched.
    pub(super) fn request_event(&mut self, context: &mut Context<'_>, event: &UpstreamEvent) {
        match *event {
            UpstreamEvent::DispatchExpired { request } => self.not_sent(context, request, false),
            UpstreamEvent::ConnectFailed { request } => self.not_sent(context, request, true),
            UpstreamEvent::Dispatched { request } => {
                self.update_stream(context, request, |_, _| {});
            }
            UpstreamEvent::FirstTokenArrived { request } => {
                self.update_stream(context, request, |now, stream| stream.first_token(now));
            }
            UpstreamEvent::TokensArrived { request, tokens } => {
                self.update_stream(context, request, |now, stream| stream.progress(now, tokens));
            }
            UpstreamEvent::AnswerCompleted {
                request,
                tokens,
                cached_tokens,
            } => {
                self.update_stream(context, request, |now, stream| stream.progress(now, tokens));
                self.end_stream(context, request, &Ending::Answered { cached_tokens });
            }
            UpstreamEvent::AnswerRejected {
                request, not_run, ..
            } => {
                self.update_stream(context, request, |_, _| {});
                self.end_stream(context, request, &Ending::Rejected { not_run });
            }
            UpstreamEvent::StreamBroken {
                request,
                tokens,
                silent,
            } => {
                self.update_stream(context, request, |now, stream| stream.progress(now, tokens));
                self.stream_broke(context, request, silent);
            }
            UpstreamEvent::ResumeFailed { request, gone } => {
                self.resume_failed(context, request, gone);
            }
            UpstreamEvent::CancelConfirmed { .. }
            | UpstreamEvent::LoadReported { .. }
            | UpstreamEvent::CacheReported { .. }
            | UpstreamEvent::WatchFailed { .. } => (),
        }
    }

    /// Updates a request's stream. Any event of the stream proves that the request was dispatched.
    fn update_stream(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        update: impl FnOnce(Duration, &mut Stream),
    ) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let now = context.now;
        let phase = std::mem::replace(&mut call.phase, Phase::Waiting);
        call.phase = match phase {
            Phase::Dispatching(dispatching) => {
                let mut stream = dispatching.sent(now);
                context.send(
                    &stream.grant.broker,
                    Message::Started(stream.grant.name.clone()),
                );
                self.crashes
                    .dispatched(now, &stream.grant.upstream, request);
                update(now, &mut stream);
                Phase::Running(stream)
            }
            Phase::Running(mut stream) => {
                update(now, &mut stream);
                Phase::Running(stream)
            }
            Phase::Resuming(mut stream) => {
                let tokens = stream.tokens;
                update(now, &mut stream);
                if stream.tokens > tokens {
                    self.crashes.recovered(&stream.grant.upstream, request);
                    Phase::Running(stream)
                } else {
                    Phase::Resuming(stream)
                }
            }
            other => other,
        };
    }

    /// Ends a request that has a stream; a request without one is left unchanged.
    fn end_stream(&mut self, context: &mut Context<'_>, request: RequestId, ending: &Ending) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        if call.stream().is_some() {
            self.end(context, request, call, ending);
        } else {
            self.calls.insert(request, call);
        }
    }

    fn stream_broke(&mut self, context: &mut Context<'_>, request: RequestId, silent: bool) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let Some(stream) = call.stream() else {
            return;
        };
        let (upstream, resumable) = (stream.grant.upstream.clone(), can_resume(stream));
        if !silent {
            self.crashes
                .stream_broke(context.now, &upstream, request, call);
            self.report_crash(context, &upstream, request, !resumable);
        }
        if resumable {
            return self.resume(context, request);
        }
        let code = if silent {
            RefusalCode::UpstreamStalled
        } else {
            RefusalCode::UpstreamFailed
        };
        self.abandon_stream(context, request, code);
    }

    fn resume_failed(&mut self, context: &mut Context<'_>, request: RequestId, gone: bool) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let Phase::Resuming(stream) = &call.phase else {
            return;
        };
        let upstream = stream.grant.upstream.clone();
        if !gone && can_resume(stream) {
            return self.resume(context, request);
        }
        self.crashes
            .stream_broke(context.now, &upstream, request, call);
        self.report_crash(context, &upstream, request, true);
        self.abandon_stream(context, request, RefusalCode::UpstreamFailed);
    }

    /// Resumes the stream at the same upstream: at once, and then after exponentially growing delays.
    fn resume(&mut self, context: &mut Context<'_>, request: RequestId) {
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        let phase = std::mem::replace(&mut call.phase, Phase::Waiting);
        call.phase = match phase {
            Phase::Running(mut stream) | Phase::Resuming(mut stream) => {
                stream.resume_attempts += 1;
                if stream.resume_attempts == 1 {
                    context.effect(resume_effect(request, &stream));
                } else {
                    let pause = RESUME_BACKOFF
                        * (1 << (stream.resume_attempts - 2).min(MAX_RESUME_ATTEMPTS));
                    stream.resume_at = Some(context.now + pause);
                    call.schedule_retry(context, request, pause);
                }
                Phase::Resuming(stream)
            }
            other => other,
        };
        self.calls.insert(request, call);
    }

    /// Makes a delayed attempt to resume whose time has come.
    pub(super) fn resume_due(&mut self, context: &mut Context<'_>, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let Phase::Resuming(stream) = &mut call.phase else {
            return;
        };
        if stream.resume_at.is_some_and(|due| due <= context.now) {
            stream.resume_at = None;
            context.effect(resume_effect(request, stream));
        }
    }

    fn abandon_stream(&mut self, context: &mut Context<'_>, request: RequestId, code: RefusalCode) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        let refusal = Refusal::with_ran(code, ran_so_far(&call));
        self.end(
            context,
            request,
            call,
            &Ending::Abandoned(refusal, Outcome::Failed),
        );
    }
}

/// Whether a request that may have been dispatched ran: received tokens prove that it did.
pub(super) fn ran_so_far(call: &Call) -> Ran {
    match call.stream() {
        Some(stream) if stream.tokens > 0 => Ran::Yes,
        _ => Ran::Unknown,
    }
}

fn can_resume(stream: &Stream) -> bool {
    stream.kind == ServiceKind::Engine && stream.resume_attempts < MAX_RESUME_ATTEMPTS
}

fn resume_effect(request: RequestId, stream: &Stream) -> Effect {
    Effect::Resume {
        request,
        after_tokens: stream.tokens,
    }
}
