//! Entry: tracks each request at the node that received it, from arrival to its final answer.
//!
//! A request waits for its key, its claim and a grant, is dispatched at most once, and ends with exactly one
//! final effect. `phase.rs` defines the phases; each of the other modules handles one part of the life cycle.
//!
//! The driver runs in the same process, so it reports each event of a request once and in order. Messages
//! from other nodes may arrive in any order, late, more than once or never.

mod asking;
mod call;
mod crashes;
mod ending;
mod granting;
mod groups;
mod phase;
mod placement;
mod ring;
mod rounds;
mod streaming;

pub use self::ring::{GroupRing, service_rings};

use {
    self::{
        call::{Call, Caller, Prerequisite},
        crashes::Crashes,
        ending::Ending,
        groups::Groups,
        phase::Phase,
        placement::{Placement, PlacementInputs},
    },
    crate::{
        context::{Context, Signal},
        event::UpstreamEvent,
        ids::{NodeId, RequestId},
        message::{Message, Reregister, Summary},
        request::{Refusal, RefusalCode, RequestFacts},
        timer::Timer,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// The open requests of this node, and what the node knows of groups, predicted waits and crashes.
#[derive(Debug, Default)]
pub struct Entry {
    calls: BTreeMap<RequestId, Call>,
    groups: Groups,
    placement: Placement,
    crashes: Crashes,
}

impl Entry {
    /// Starts the timer of the periodic round.
    pub fn start(&mut self, context: &mut Context<'_>) {
        context.start_timer(context.view.tuning.round, Timer::EntryRound);
    }

    /// Admits a new request, or refuses it when the node is stopping. A request id that is already open is
    /// ignored.
    pub fn request_received(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        facts: Arc<RequestFacts>,
    ) {
        if self.calls.contains_key(&request) {
            return;
        }
        let call = Call::new(context.now, facts);
        if context.view.stopping {
            let refusal = Refusal::not_run(RefusalCode::Stopping);
            return self.end(context, request, call, &Ending::Refused(refusal));
        }
        context.start_timer(call.facts.deadline, Timer::RequestDeadline(request));
        self.advance(context, request, call);
    }

    /// Ends a request whose caller disconnected. A non-idempotent request that may have been sent runs on.
    pub fn caller_left(&mut self, context: &mut Context<'_>, request: RequestId) {
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        let code = RefusalCode::CallerLeft;
        if !call.may_have_been_sent() {
            let refusal = Refusal::not_run(code);
            self.end(context, request, call, &Ending::Refused(refusal));
        } else if call.facts.idempotent {
            self.cancel(context, request, call, code);
        } else {
            if call.caller == Caller::Waiting {
                call.caller = Caller::Left;
            }
            self.calls.insert(request, call);
        }
    }

    /// Ends a request whose deadline passed. A non-idempotent request that may have been sent runs on, but
    /// its caller gets the final answer now.
    pub fn deadline_passed(&mut self, context: &mut Context<'_>, request: RequestId) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        let code = RefusalCode::DeadlinePassed;
        if context.now < call.deadline_at {
            self.calls.insert(request, call);
        } else if !call.may_have_been_sent() {
            let refusal = Refusal::not_run(code);
            self.end(context, request, call, &Ending::Refused(refusal));
        } else if call.facts.idempotent {
            self.cancel(context, request, call, code);
        } else {
            self.answer_and_run_on(context, request, call, code);
        }
    }

    /// Takes the next step of a request whose retry timer is due, depending on its phase.
    pub fn retry_due(&mut self, context: &mut Context<'_>, request: RequestId) {
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        let due = call.retry_at.is_some_and(|at| at <= context.now);
        if !due {
            self.calls.insert(request, call);
            return;
        }
        call.retry_at = None;
        match &call.phase {
            Phase::Waiting => self.advance(context, request, call),
            Phase::Asking(_) | Phase::Withdrawing(_) => {
                self.check_broker_timeout(context, request, call);
            }
            Phase::Granted(_) => self.return_expiring(context, request, call),
            Phase::Resuming(_) => {
                self.calls.insert(request, call);
                self.resume_due(context, request);
            }
            Phase::Dispatching(_) | Phase::Running(_) => {
                self.calls.insert(request, call);
            }
        }
    }

    /// Reports held grants to the brokers and removes expired load summaries and crash records.
    pub fn round_due(&mut self, context: &mut Context<'_>) {
        context.start_timer(context.view.tuning.round, Timer::EntryRound);
        self.report_holdings(context);
        self.placement.remove_expired(context.now);
        self.crashes.remove_expired(context.now);
    }

    /// Handles an event of a connection to an upstream.
    pub fn upstream_event(&mut self, context: &mut Context<'_>, event: &UpstreamEvent) {
        self.request_event(context, event);
    }

    /// Handles a message from a broker.
    pub fn message(&mut self, context: &mut Context<'_>, from: &NodeId, message: Message) {
        match message {
            Message::Queued(queued) => self.queued(context, from, &queued),
            Message::Granted(granted) => self.granted(context, from, granted),
            Message::AskRefused(refused) => self.refused(context, from, refused),
            Message::Withdrawn(name) => self.withdrawn(context, &name),
            Message::CancelGrant(name) => self.cancel_grant(context, from, &name),
            Message::Summary(summary) => self.summary_received(context, from, summary),
            _ => (),
        }
    }

    /// Re-registers running requests with a new broker and drops grants of older epochs.
    pub fn reregister(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        reregister: &Reregister,
    ) {
        self.report_to_new_broker(context, from, reregister);
    }

    /// Withdraws from a lost node: the asks that were pending there are sent to other brokers.
    pub fn peer_lost(&mut self, context: &mut Context<'_>, node: &NodeId) {
        self.groups.forget_broker(node);
        for call in self.calls.values_mut() {
            call.avoid_group_of(node);
        }
        self.ask_again_if(context, |ask| ask.broker == *node);
    }

    /// Handles a signal from another part of the core.
    pub fn signal(&mut self, context: &mut Context<'_>, signal: &Signal) {
        match signal {
            Signal::KeyGranted { request } => {
                self.prerequisite_met(context, *request, |call| call.key = Prerequisite::Met);
            }
            Signal::ClaimGranted { request } => {
                self.prerequisite_met(context, *request, |call| call.claim = Prerequisite::Met);
            }
            Signal::KeyDenied { request, refusal } | Signal::ClaimDenied { request, refusal } => {
                self.denied(context, *request, refusal);
            }
            Signal::CatalogueApplied | Signal::LeavingUpstreamsChanged => {
                self.placement.catalogue_changed();
            }
            Signal::HolderChanged { group } => {
                let broker = self.groups.broker(context.view, group);
                self.ask_again_if(context, |ask| {
                    ask.name.group == *group && Some(&ask.broker) != broker.as_ref()
                });
            }
            Signal::MemberGone { node, .. } => self.peer_lost(context, node),
            _ => (),
        }
    }

    /// Number of requests that have no final answer yet or still run after their caller was answered.
    pub fn open_requests(&self) -> usize {
        self.calls.len()
    }

    fn summary_received(&mut self, context: &Context<'_>, from: &NodeId, summary: Summary) {
        if self
            .groups
            .record_epoch(&summary.group, summary.epoch, from)
        {
            self.placement
                .record_summary(context.view, context.now, summary);
        }
    }

    fn prerequisite_met(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        open: impl FnOnce(&mut Call),
    ) {
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        open(&mut call);
        self.request_claim(context, request, &mut call);
        self.advance(context, request, call);
    }

    /// Requests the claim only once the key is owned. Otherwise two entries could each get one of the two and
    /// deny each other.
    fn request_claim(&mut self, context: &mut Context<'_>, request: RequestId, call: &mut Call) {
        if call.key != Prerequisite::Met || call.claim != Prerequisite::NotRequested {
            return;
        }
        let Some(key) = call.facts.key.clone() else {
            return;
        };
        call.claim = Prerequisite::Requested;
        context.signal(Signal::ClaimWanted { request, key });
    }

    fn denied(&mut self, context: &mut Context<'_>, request: RequestId, refusal: &Refusal) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        if call.may_have_been_sent() {
            self.calls.insert(request, call);
            return;
        }
        self.end(context, request, call, &Ending::Refused(refusal.clone()));
    }

    fn least_wait(&self, context: &Context<'_>, call: &Call) -> Option<Duration> {
        let inputs = PlacementInputs {
            view: context.view,
            groups: &self.groups,
            now: context.now,
        };
        self.placement.least_wait(&inputs, &call.facts)
    }
}
