//! Handles grants: accepts valid ones, uses each at most once, and returns the others.

use {
    super::{
        Entry,
        call::Call,
        ending::Ending,
        phase::{Grant, PendingAsk, Phase, UnsentGrant},
    },
    crate::{
        catalogue::UpstreamState,
        context::{Context, View},
        ids::{NodeId, RequestId},
        message::{GrantName, Granted, Message},
        request::{Outcome, Ran, Refusal, RefusalCode},
    },
    std::time::Duration,
};

/// Time before its expiry at which an unused grant is returned.
const RETURN_BEFORE_END: Duration = Duration::from_millis(20);

impl Entry {
    /// Accepts a grant that answers the pending ask, and returns any other grant.
    pub(super) fn granted(&mut self, context: &mut Context<'_>, from: &NodeId, granted: Granted) {
        let request = granted.ask.request;
        let Some(mut call) = self.calls.remove(&request) else {
            return return_grant(context, from, granted.grant);
        };
        if call
            .grant()
            .is_some_and(|grant| grant.name == granted.grant)
        {
            // The message is a duplicate. The grant is in use and must not be returned.
            self.calls.insert(request, call);
            return;
        }
        let usable = self.groups.record_grant(&granted.grant, from);
        match &call.phase {
            Phase::Asking(ask) if answers(ask, &granted) => {
                if usable {
                    self.take(context, from, granted, call);
                } else {
                    return_grant(context, from, granted.grant);
                    self.wait_and_retry(context, request, &mut call);
                    self.calls.insert(request, call);
                }
            }
            Phase::Withdrawing(ask) if answers(ask, &granted) => {
                return_grant(context, from, granted.grant);
                call.phase = Phase::Waiting;
                self.advance(context, request, call);
            }
            _ => {
                return_grant(context, from, granted.grant);
                self.calls.insert(request, call);
            }
        }
    }

    fn take(&mut self, context: &mut Context<'_>, from: &NodeId, granted: Granted, mut call: Call) {
        let request = granted.ask.request;
        let grant = Grant {
            name: granted.grant,
            broker: from.clone(),
            upstream: granted.upstream,
            cached_tokens: granted.cached_tokens,
            valid_until: granted.ask.asked_at + granted.valid_for,
        };
        let still_valid = context.now < grant.valid_until
            && takes_work(context.view, &grant)
            && context.view.catalogue_is_fresh(context.now);
        if !still_valid {
            return_grant(context, from, grant.name);
            self.retry_later(context, request, &mut call);
            self.calls.insert(request, call);
            return;
        }
        self.groups.hold(&grant.name.group, request);
        let time_left = grant.valid_until.saturating_sub(context.now);
        call.phase = Phase::Granted(UnsentGrant(grant));
        if !call.may_dispatch() {
            let delay = time_left.saturating_sub(RETURN_BEFORE_END);
            call.schedule_retry(context, request, delay);
        }
        self.advance(context, request, call);
    }

    /// Retries after a short delay, with a new check of the catalogue's age before the next ask.
    fn retry_later(&mut self, context: &mut Context<'_>, request: RequestId, call: &mut Call) {
        if !context.view.catalogue_is_fresh(context.now) {
            call.stale_since.get_or_insert(context.now);
        }
        self.wait_and_retry(context, request, call);
    }

    /// Returns an unused grant that is about to expire; the next ask then waits for the key.
    pub(super) fn return_expiring(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        mut call: Call,
    ) {
        self.return_unsent(context, request, &mut call);
        call.ask_after_key = true;
        self.advance(context, request, call);
    }

    /// Returns the unused grant of a request and sets the request to waiting.
    pub(super) fn return_unsent(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        call: &mut Call,
    ) {
        let phase = std::mem::replace(&mut call.phase, Phase::Waiting);
        match phase {
            Phase::Granted(UnsentGrant(grant)) => {
                self.groups.release(&grant.name.group, request);
                return_grant(context, &grant.broker, grant.name);
            }
            other => call.phase = other,
        }
    }

    /// Dispatches a request that has all prerequisites, or returns a grant that became invalid while it was
    /// held.
    pub(super) fn dispatch(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        mut call: Call,
    ) {
        let phase = std::mem::replace(&mut call.phase, Phase::Waiting);
        let Phase::Granted(unsent) = phase else {
            call.phase = phase;
            self.calls.insert(request, call);
            return;
        };
        let now = context.now;
        let upstream = context.view.catalogue.upstream(&unsent.0.upstream);
        let service = context.view.catalogue.service(&call.facts.service);
        let still_valid = now < unsent.0.valid_until
            && takes_work(context.view, &unsent.0)
            && context.view.catalogue_is_fresh(now);
        let (Some(upstream), Some(service), true) = (upstream, service, still_valid) else {
            call.phase = Phase::Granted(unsent);
            self.return_unsent(context, request, &mut call);
            self.retry_later(context, request, &mut call);
            self.calls.insert(request, call);
            return;
        };
        let timeout = context.view.tuning.progress_timeout;
        let (dispatching, effect) = unsent.into_dispatch(request, upstream, service.kind, timeout);
        context.effect(effect);
        call.phase = Phase::Dispatching(dispatching);
        self.calls.insert(request, call);
    }

    /// Returns the grant of a request that the driver did not send, and asks again.
    pub(super) fn not_sent(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        unreachable: bool,
    ) {
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        let phase = std::mem::replace(&mut call.phase, Phase::Waiting);
        let Phase::Dispatching(dispatching) = phase else {
            call.phase = phase;
            self.calls.insert(request, call);
            return;
        };
        let unsent = dispatching.not_sent();
        if unreachable {
            call.avoid = Some(unsent.0.name.group.clone());
        }
        call.phase = Phase::Granted(unsent);
        self.return_unsent(context, request, &mut call);
        if !super::asking::caller_is_waiting(&call) {
            let refusal = Refusal::not_run(RefusalCode::CallerLeft);
            return self.end(context, request, call, &Ending::Refused(refusal));
        }
        self.wait_and_retry(context, request, &mut call);
        self.calls.insert(request, call);
    }

    /// Cancels an unsent or idempotent request at its broker's demand, to free its slot. Demands of former
    /// brokers are ignored.
    pub(super) fn cancel_grant(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        name: &GrantName,
    ) {
        let current = self.groups.broker(context.view, &name.group);
        if current.as_ref() != Some(from) {
            return;
        }
        let Some(request) = self.request_of(name) else {
            return;
        };
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        if matches!(call.phase, Phase::Granted(_)) {
            self.return_unsent(context, request, &mut call);
            self.wait_and_retry(context, request, &mut call);
            self.calls.insert(request, call);
            return;
        }
        if !call.facts.idempotent {
            self.calls.insert(request, call);
            return;
        }
        let ran = match call.phase {
            Phase::Running(_) | Phase::Resuming(_) => Ran::Yes,
            _ => Ran::Unknown,
        };
        let refusal = Refusal {
            code: RefusalCode::Preempted,
            ran,
            retry_after: self.least_wait(context, &call),
        };
        self.end(
            context,
            request,
            call,
            &Ending::Abandoned(refusal, Outcome::Cancelled),
        );
    }

    fn request_of(&self, name: &GrantName) -> Option<RequestId> {
        let held = &self.groups.get(&name.group)?.requests;
        held.iter()
            .find(|request| {
                let call = self.calls.get(request);
                call.and_then(Call::grant)
                    .is_some_and(|grant| grant.name == *name)
            })
            .copied()
    }
}

/// Whether the grant's upstream is active and still belongs to the grant's group.
fn takes_work(view: &View, grant: &Grant) -> bool {
    let Some(upstream) = view.catalogue.upstream(&grant.upstream) else {
        return false;
    };
    upstream.group == grant.name.group
        && upstream.state == UpstreamState::Active
        && !view.leaving_upstreams.contains(&upstream.id)
}

fn answers(ask: &PendingAsk, granted: &Granted) -> bool {
    ask.name == granted.ask && ask.name.group == granted.grant.group
}

fn return_grant(context: &mut Context<'_>, broker: &NodeId, grant: GrantName) {
    context.send(broker, Message::GrantReturned(grant));
}
