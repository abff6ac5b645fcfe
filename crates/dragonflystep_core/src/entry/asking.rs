//! Asks brokers for a slot, one broker at a time.

use {
    super::{
        Entry,
        call::{Call, Caller, Prerequisite},
        ending::Ending,
        phase::{PendingAsk, Phase},
        placement::PlacementInputs,
    },
    crate::{
        context::{Context, Signal},
        ids::{GroupId, NodeId, RequestId},
        message::{Ask, AskName, AskRefusal, AskRefused, Message, Queued},
        request::{Refusal, RefusalCode},
    },
    rand::Rng,
    std::time::Duration,
};

/// How long a broker may leave an ask unanswered.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long to wait for the answer to a withdrawal.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that is added to twice the predicted wait before a broker with a queued ask is treated as silent.
const QUEUE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// How long requests wait for a fresh catalogue before they are refused.
const STALE_CATALOGUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest delay before a request that could not ask any broker is retried; up to twice as long at random.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Most moves of one request to another group or holder.
const MAX_MOVES: u32 = 3;
/// How much sooner another group must start a request without a prefix to justify a move.
const MOVE_MARGIN: Duration = Duration::from_millis(250);

/// Result of checking a request against the catalogue in force.
enum Admission {
    Admitted,
    /// The catalogue may be out of date; check again after a short delay.
    Wait,
    Refused(Refusal),
}

impl Entry {
    /// Takes the next step of a request that has not been dispatched: admission, an ask or the dispatch.
    pub(super) fn advance(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        mut call: Call,
    ) {
        if matches!(call.phase, Phase::Waiting) {
            match self.admission(context, &mut call) {
                Admission::Admitted => self.admit(context, request, &mut call),
                Admission::Wait => {
                    call.schedule_retry(context, request, RETRY_DELAY);
                    self.calls.insert(request, call);
                    return;
                }
                Admission::Refused(refusal) => {
                    return self.end(context, request, call, &Ending::Refused(refusal));
                }
            }
        }
        match &call.phase {
            Phase::Waiting if call.may_ask() => self.ask(context, request, &mut call),
            Phase::Granted(_) if call.may_dispatch() => {
                return self.dispatch(context, request, call);
            }
            _ => (),
        }
        self.calls.insert(request, call);
    }

    fn admission(&mut self, context: &Context<'_>, call: &mut Call) -> Admission {
        if !context.view.catalogue_is_fresh(context.now) {
            let since = *call.stale_since.get_or_insert(context.now);
            if context.now.saturating_sub(since) < STALE_CATALOGUE_TIMEOUT {
                return Admission::Wait;
            }
            let refusal = Refusal::not_run(RefusalCode::Isolated);
            return Admission::Refused(refusal.come_back_after(STALE_CATALOGUE_TIMEOUT));
        }
        call.stale_since = None;
        let catalogue = &context.view.catalogue;
        let facts = &call.facts;
        let known = catalogue.service(&facts.service).is_some()
            && catalogue.account(&facts.account).is_some()
            && catalogue
                .tiers
                .values()
                .any(|tier| tier.item.rank == facts.tier);
        if !known {
            return Admission::Refused(Refusal::not_run(RefusalCode::NotInCatalogue));
        }
        if !self.placement.is_served(context.view, &facts.service) {
            return Admission::Refused(Refusal::not_run(RefusalCode::NoUpstream));
        }
        Admission::Admitted
    }

    fn admit(&mut self, context: &mut Context<'_>, request: RequestId, call: &mut Call) {
        if call.admitted {
            return;
        }
        call.admitted = true;
        let Some(key) = call.facts.key.clone() else {
            return;
        };
        call.key = Prerequisite::Requested;
        context.signal(Signal::KeyWanted {
            request,
            key,
            service: call.facts.service.clone(),
        });
    }

    /// Chooses a group and asks its broker.
    pub(super) fn ask(&mut self, context: &mut Context<'_>, request: RequestId, call: &mut Call) {
        let preferred = call.next_group.take().filter(|group| {
            self.placement
                .is_active(context.view, &call.facts.service, group)
        });
        let avoid = call.avoid.take();
        let inputs = PlacementInputs {
            view: context.view,
            groups: &self.groups,
            now: context.now,
        };
        let chosen =
            preferred.or_else(|| self.placement.choose(&inputs, &call.facts, avoid.as_ref()));
        let target =
            chosen.and_then(|group| Some((self.groups.broker(context.view, &group)?, group)));
        let Some((broker, group)) = target else {
            return self.wait_and_retry(context, request, call);
        };
        send_ask(context, request, call, group, broker);
    }

    /// Retries after a random delay, so that entries don't all ask at the same time.
    pub(super) fn wait_and_retry(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        call: &mut Call,
    ) {
        call.phase = Phase::Waiting;
        let factor = context.random.random_range(1.0..2.0);
        call.schedule_retry(context, request, RETRY_DELAY.mul_f64(factor));
    }

    /// Records that an ask is queued, and moves the request when another group has a much shorter wait.
    pub(super) fn queued(&mut self, context: &mut Context<'_>, from: &NodeId, queued: &Queued) {
        let request = queued.ask.request;
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        self.record_queued(context, from, queued, &mut call);
        self.calls.insert(request, call);
    }

    fn record_queued(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        queued: &Queued,
        call: &mut Call,
    ) {
        let Phase::Asking(ask) = &mut call.phase else {
            return;
        };
        if ask.name != queued.ask {
            return;
        }
        if !self
            .groups
            .record_epoch(&queued.ask.group, queued.epoch, from)
        {
            return;
        }
        let timeout = queued.predicted_wait * 2 + QUEUE_TIMEOUT_MARGIN;
        ask.timeout_at = context.now + timeout;
        call.schedule_retry(context, queued.ask.request, timeout);
        self.move_if_shorter(context, queued, call);
    }

    fn move_if_shorter(&mut self, context: &mut Context<'_>, queued: &Queued, call: &mut Call) {
        if call.moves >= MAX_MOVES {
            return;
        }
        let inputs = PlacementInputs {
            view: context.view,
            groups: &self.groups,
            now: context.now,
        };
        let current = Some(&queued.ask.group);
        let Some((other, wait)) = self
            .placement
            .least_wait_group(&inputs, &call.facts, current)
        else {
            return;
        };
        // Another group would compute the prefix again. That is worth it only when the answer would otherwise
        // be late.
        let margin = if call.facts.prefix_blocks.is_empty() {
            MOVE_MARGIN
        } else {
            call.facts.deadline
        };
        if wait * 2 + margin >= queued.predicted_wait {
            return;
        }
        call.moves += 1;
        call.next_group = Some(other);
        withdraw(context, queued.ask.request, call);
    }

    /// Handles a broker's answer that it can't serve the ask.
    pub(super) fn refused(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        refused: AskRefused,
    ) {
        let request = refused.ask.request;
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        let answers_ask = match &call.phase {
            Phase::Asking(ask) | Phase::Withdrawing(ask) => ask.name == refused.ask,
            _ => false,
        };
        if !answers_ask {
            self.calls.insert(request, call);
            return;
        }
        let group = refused.ask.group;
        let is_current = refused.epoch > 0 && self.groups.record_epoch(&group, refused.epoch, from);
        match refused.reason {
            AskRefusal::Final { code } if is_current => {
                let refusal = Refusal {
                    retry_after: refused.retry_after,
                    ..Refusal::not_run(code)
                };
                return self.end(context, request, call, &Ending::Refused(refusal));
            }
            AskRefusal::Elsewhere { group: other } if is_current && call.moves < MAX_MOVES => {
                call.moves += 1;
                call.next_group = Some(other);
                self.ask(context, request, &mut call);
            }
            AskRefusal::NotHolder { holder } => {
                self.follow_hint(context, request, &mut call, from, group, holder);
            }
            AskRefusal::Final { .. } | AskRefusal::Elsewhere { .. } => {
                call.avoid = Some(group);
                self.wait_and_retry(context, request, &mut call);
            }
        }
        self.calls.insert(request, call);
    }

    fn follow_hint(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        call: &mut Call,
        from: &NodeId,
        group: GroupId,
        holder: Option<NodeId>,
    ) {
        self.placement.remove_load(&group);
        let hint = holder.filter(|holder| holder != from && call.moves < MAX_MOVES);
        let Some(holder) = hint else {
            call.avoid = Some(group);
            return self.wait_and_retry(context, request, call);
        };
        call.moves += 1;
        send_ask(context, request, call, group, holder);
    }

    /// Asks again after a broker confirmed that the ask has left its queue.
    pub(super) fn withdrawn(&mut self, context: &mut Context<'_>, name: &AskName) {
        let request = name.request;
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        if matches!(&call.phase, Phase::Withdrawing(ask) if ask.name == *name) {
            call.phase = Phase::Waiting;
            self.advance(context, request, call);
        } else {
            self.calls.insert(request, call);
        }
    }

    /// Withdraws or abandons the pending ask when its broker has not answered in time.
    pub(super) fn check_broker_timeout(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        mut call: Call,
    ) {
        match &call.phase {
            Phase::Asking(ask) if context.now >= ask.timeout_at => {
                call.avoid = Some(ask.name.group.clone());
                withdraw(context, request, &mut call);
                self.calls.insert(request, call);
            }
            Phase::Withdrawing(ask) if context.now >= ask.timeout_at => {
                call.phase = Phase::Waiting;
                self.advance(context, request, call);
            }
            _ => {
                self.calls.insert(request, call);
            }
        }
    }

    /// Asks again for each request whose pending ask is lost, which `is_lost` decides.
    pub(super) fn ask_again_if(
        &mut self,
        context: &mut Context<'_>,
        is_lost: impl Fn(&PendingAsk) -> bool,
    ) {
        let lost: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| match &call.phase {
                Phase::Asking(ask) | Phase::Withdrawing(ask) => is_lost(ask),
                _ => false,
            })
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            let Some(mut call) = self.calls.remove(&request) else {
                continue;
            };
            call.phase = Phase::Waiting;
            self.advance(context, request, call);
        }
    }
}

/// Sends an ask to one broker. A new timestamp distinguishes it from all earlier asks of the request.
fn send_ask(
    context: &mut Context<'_>,
    request: RequestId,
    call: &mut Call,
    group: GroupId,
    broker: NodeId,
) {
    let earliest = call
        .last_asked_at
        .map_or(Duration::ZERO, |last| last + Duration::from_nanos(1));
    let asked_at = context.now.max(earliest);
    call.last_asked_at = Some(asked_at);
    let name = AskName {
        group,
        request,
        asked_at,
    };
    let facts = &call.facts;
    let ask = Ask {
        name: name.clone(),
        service: facts.service.clone(),
        account: facts.account.clone(),
        tier: facts.tier,
        time_left: call.deadline_at.saturating_sub(context.now),
        cancellable: facts.idempotent,
        prefix_blocks: facts.prefix_blocks.clone(),
        prompt_tokens: facts.prompt_tokens,
        output_tokens: facts.output_tokens,
        fingerprint: facts.fingerprint,
    };
    context.send(&broker, Message::Ask(ask));
    call.phase = Phase::Asking(PendingAsk {
        name,
        broker,
        timeout_at: context.now + ASK_TIMEOUT,
    });
    call.schedule_retry(context, request, ASK_TIMEOUT);
}

/// Withdraws the pending ask; the next ask follows once the broker has confirmed or timed out.
pub(super) fn withdraw(context: &mut Context<'_>, request: RequestId, call: &mut Call) {
    let phase = std::mem::replace(&mut call.phase, Phase::Waiting);
    call.phase = match phase {
        Phase::Asking(ask) => {
            context.send(&ask.broker, Message::Withdraw(ask.name.clone()));
            call.schedule_retry(context, request, WITHDRAW_TIMEOUT);
            Phase::Withdrawing(PendingAsk {
                timeout_at: context.now + WITHDRAW_TIMEOUT,
                ..ask
            })
        }
        other => other,
    };
}

/// Whether the caller still waits for an answer.
pub(super) fn caller_is_waiting(call: &Call) -> bool {
    call.caller == Caller::Waiting
}
