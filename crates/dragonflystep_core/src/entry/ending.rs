//! Ends a request: one final effect for its caller, and one notice for each part that dealt with it.

use {
    super::{
        Entry,
        call::{Call, Caller},
        phase::{Phase, Stream, UnsentGrant},
    },
    crate::{
        context::{Context, Signal},
        effect::{Effect, Record},
        ids::RequestId,
        message::{Finished, Message},
        request::{Outcome, Ran, Refusal, RefusalCode},
    },
    std::time::Duration,
};

/// How a request ends.
#[derive(Debug)]
pub(super) enum Ending {
    /// The upstream's answer is complete.
    Answered {
        /// Prompt tokens that the engine found in its prefix cache; `None` when it did not say.
        cached_tokens: Option<u32>,
    },
    /// The upstream answered with an error.
    Rejected {
        /// Whether the upstream states that it did not run the request.
        not_run: bool,
    },
    /// The request was refused before its dispatch.
    Refused(Refusal),
    /// The request was dispatched, or may have been, and has no complete answer.
    Abandoned(Refusal, Outcome),
}

impl Ending {
    fn outcome(&self) -> Outcome {
        match self {
            Self::Answered { .. } => Outcome::Completed,
            Self::Rejected { .. } => Outcome::Rejected,
            Self::Refused(_) => Outcome::Failed,
            Self::Abandoned(_, outcome) => *outcome,
        }
    }

    fn refusal(&self) -> Option<Refusal> {
        match self {
            Self::Answered { .. } => None,
            Self::Rejected { not_run: true } => {
                Some(Refusal::not_run(RefusalCode::UpstreamRefused))
            }
            Self::Rejected { not_run: false } => Some(Refusal::with_ran(
                RefusalCode::UpstreamRefused,
                Ran::Unknown,
            )),
            Self::Refused(refusal) | Self::Abandoned(refusal, _) => Some(refusal.clone()),
        }
    }
}

impl Entry {
    /// Ends a request that the caller has removed from the open ones.
    pub(super) fn end(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        call: Call,
        ending: &Ending,
    ) {
        if call.caller != Caller::Answered {
            answer_caller(context, request, &call, ending);
            record_end(context, &call, ending);
        }
        let outcome = call.may_have_been_sent().then(|| ending.outcome());
        notify_key_and_claim(context, request, &call, outcome);
        self.notify_broker(context, request, call, ending);
        context.effect(Effect::Release { request });
    }

    /// Ends a request that may have been sent before it has run to its end; allowed only for idempotent
    /// requests.
    pub(super) fn cancel(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        call: Call,
        code: RefusalCode,
    ) {
        let refusal = Refusal::with_ran(code, super::streaming::ran_so_far(&call));
        self.end(
            context,
            request,
            call,
            &Ending::Abandoned(refusal, Outcome::Cancelled),
        );
    }

    /// Gives the caller its final answer while the request runs on.
    pub(super) fn answer_and_run_on(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        mut call: Call,
        code: RefusalCode,
    ) {
        if call.caller != Caller::Answered {
            let refusal = Refusal::with_ran(code, super::streaming::ran_so_far(&call));
            let ending = Ending::Abandoned(refusal, Outcome::Cancelled);
            answer_caller(context, request, &call, &ending);
            record_end(context, &call, &ending);
            call.caller = Caller::Answered;
        }
        self.calls.insert(request, call);
    }

    fn notify_broker(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        call: Call,
        ending: &Ending,
    ) {
        let idempotent = call.facts.idempotent;
        match call.phase {
            Phase::Waiting => (),
            Phase::Asking(ask) | Phase::Withdrawing(ask) => {
                context.send(&ask.broker, Message::Withdraw(ask.name));
            }
            Phase::Granted(UnsentGrant(grant)) => {
                self.groups.release(&grant.name.group, request);
                context.send(&grant.broker, Message::GrantReturned(grant.name));
            }
            Phase::Dispatching(dispatching) => {
                let stream = dispatching.sent(context.now);
                self.finish(context, request, &stream, ending, idempotent);
            }
            Phase::Running(stream) | Phase::Resuming(stream) => {
                self.finish(context, request, &stream, ending, idempotent);
            }
        }
    }

    fn finish(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        stream: &Stream,
        ending: &Ending,
        idempotent: bool,
    ) {
        // A non-idempotent request runs to its end at the upstream, even if nobody receives its answer.
        if idempotent && matches!(ending, Ending::Abandoned(..)) {
            context.effect(Effect::CancelStream { request });
        }
        let group = &stream.grant.name.group;
        self.groups.release(group, request);
        self.crashes.ended(&stream.grant.upstream, request);
        let broker = self.groups.broker(context.view, group);
        let cached_tokens = match ending {
            Ending::Answered { cached_tokens } => *cached_tokens,
            _ => None,
        };
        let finished = Finished {
            grant: stream.grant.name.clone(),
            outcome: ending.outcome(),
            first_token_after: stream
                .first_token_at
                .map(|at| at.saturating_sub(stream.dispatched_at)),
            streamed_for: streamed_for(stream),
            tokens: stream.tokens,
            cached_tokens,
        };
        let to = broker.unwrap_or_else(|| stream.grant.broker.clone());
        context.send(&to, Message::Finished(finished));
    }
}

fn answer_caller(context: &mut Context<'_>, request: RequestId, call: &Call, ending: &Ending) {
    let effect = match ending {
        Ending::Answered { .. } => Effect::FinishAnswer { request },
        Ending::Rejected { .. } => Effect::RelayRejection { request },
        Ending::Refused(refusal) | Ending::Abandoned(refusal, _) => Effect::Refuse {
            request,
            refusal: without_unproven_not_run(call, refusal),
        },
    };
    context.effect(effect);
}

/// The refusal to send. It never states that a request did not run if the request may have been sent.
fn without_unproven_not_run(call: &Call, refusal: &Refusal) -> Refusal {
    let mut refusal = refusal.clone();
    if call.may_have_been_sent() && refusal.ran == Ran::No {
        refusal.ran = Ran::Unknown;
    }
    refusal
}

fn notify_key_and_claim(
    context: &mut Context<'_>,
    request: RequestId,
    call: &Call,
    outcome: Option<Outcome>,
) {
    let Some(key) = &call.facts.key else {
        return;
    };
    if call.key.was_requested() {
        context.signal(Signal::KeyEnded {
            request,
            key: key.clone(),
            outcome,
        });
    }
    if call.claim.was_requested() {
        context.signal(Signal::ClaimEnded {
            request,
            key: key.clone(),
            outcome,
        });
    }
}

fn record_end(context: &mut Context<'_>, call: &Call, ending: &Ending) {
    let stream = call.stream();
    let first_token_at = stream.and_then(|stream| stream.first_token_at);
    let refusal = ending.refusal();
    let wasted = match (&refusal, stream) {
        (Some(_), Some(stream)) => call
            .facts
            .prompt_tokens
            .saturating_sub(stream.grant.cached_tokens),
        _ => 0,
    };
    context.effect(Effect::Record(Record::RequestEnded {
        facts: call.facts.clone(),
        refusal,
        first_token_after: first_token_at.map(|at| at.saturating_sub(call.received_at)),
        streamed_for: stream.map_or(Duration::ZERO, streamed_for),
        tokens: stream.map_or(0, |stream| stream.tokens),
        wasted_prefill_tokens: wasted,
    }));
}

fn streamed_for(stream: &Stream) -> Duration {
    let first = stream.first_token_at.unwrap_or(stream.progress_at);
    stream.progress_at.saturating_sub(first)
}
