//! Keys: a request that is repeated under the same key is not dispatched again.
//!
//! Each key has two homes, which are groups of its service; the nodes that hold these groups record which
//! request owns the key. The entry registers the key with both homes in parallel, and each home gives it to
//! the first request that registers.
//!
//! | answers of the two homes | verdict |
//! | --- | --- |
//! | both owned | granted |
//! | owned, and a home that is not ready after a change of its holder | granted |
//! | one says that a request with the key ended | denied, already ran |
//! | owned, running elsewhere | the entry that is first by name waits for the other to give up |
//! | running elsewhere | denied, in progress |
//! | no home owned | wait, up to the deadline |
//!
//! An unreachable home counts as one that has not answered: a request with a key then waits, and is refused
//! as not run at its deadline. A home with a new holder records keys at once, so that it knows them if the
//! other home is lost too. It confirms none until every node has sent its records; nodes that are gone, or
//! have been unreachable for a few seconds, are not waited for.
//!
//! # What can cause a second dispatch
//!
//! While a key is remembered, a repeat through another entry is dispatched again only when
//! - both homes are lost at the same time, and the first entry is dead or is cut off from both new homes for
//!   longer than they wait for an unreachable node; or
//! - the first entry dies, and then both homes are lost one after the other, the second one before the
//!   successor of the first has received the records of the second; or
//! - two changes of the service's groups are in force at one entry and not at the other, so that their sets
//!   of homes are disjoint. After one change they still have at least one home in common.
//!
//! Non-idempotent requests also have a durable claim, which none of these losses affects.

mod home;
mod homes;
mod own;

use {
    self::{
        home::HeldHomes,
        homes::HomeRings,
        own::{OwnKeys, Verdict},
    },
    crate::{
        context::{Context, Signal},
        ids::{Epoch, GroupId, NodeId, RequestId},
        message::{KeyAnswer, KeyEnded, KeyRefill, KeyRegister, KnownKey, Message, Reregister},
        request::{Outcome, RequestKey},
    },
    std::{collections::VecDeque, time::Duration},
};

/// Delays after which the end of a request is sent to its homes again, since a lost message would block the
/// key.
const END_RESEND_DELAYS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];

/// The keys of this node's own requests, and the records of the homes that it holds.
#[derive(Debug, Default)]
pub struct Keys {
    index: HomeRings,
    own: OwnKeys,
    held_homes: HeldHomes,
    pending_resends: [VecDeque<(Duration, KeyEnded)>; 2],
}

impl Keys {
    /// Handles a message about a key.
    pub fn message(&mut self, context: &mut Context<'_>, from: &NodeId, message: Message) {
        match message {
            Message::KeyRegister(register) => {
                let answer = self.held_homes.register(context, from, register);
                context.send(from, Message::KeyAnswer(answer));
            }
            Message::KeyAnswer(answer) => self.answered(context, answer),
            Message::KeyEnded(ended) => self.held_homes.ended(context.now, from, ended),
            Message::KeyRefill(refill) => {
                let KeyRefill { home, epoch, keys } = refill;
                self.held_homes
                    .refill(context.now, from, &home, epoch, keys);
            }
            _ => (),
        }
    }

    /// Sends a home's new holder the keys that this node knows, and registers waiting requests there again.
    pub fn home_changed(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        reregister: &Reregister,
    ) {
        let group = &reregister.group;
        let known_epoch = context.view.holders.get(group).map(|holder| holder.epoch);
        if known_epoch.is_some_and(|known| known > reregister.epoch) {
            return;
        }
        let refill = KeyRefill {
            home: group.clone(),
            epoch: reregister.epoch,
            keys: self.known_keys(context, group),
        };
        context.send(from, Message::KeyRefill(refill));
        self.held_homes.drop_handed_over(group, reregister.epoch);
        for (key, request) in self.own.home_changed(group) {
            register_at(context, from, group, key, request);
        }
    }

    /// Registers again with homes that have not confirmed, repeats announcements and ends, and removes old
    /// keys.
    pub fn round_due(&mut self, context: &mut Context<'_>) {
        for key in self.own.registering() {
            self.register_again(context, &key);
        }
        self.announce_again(context);
        self.resend_ends(context);
        let memory = context.view.tuning.key_memory;
        self.own.remove_expired(context.now, memory);
        self.held_homes.remove_expired(context.now, memory);
    }

    /// Handles a signal from another part of the core.
    pub fn signal(&mut self, context: &mut Context<'_>, signal: &Signal) {
        match signal {
            Signal::KeyWanted {
                request,
                key,
                service,
            } => self.wanted(context, *request, key, service),
            Signal::KeyEnded {
                request,
                key,
                outcome,
            } => self.ended(context, *request, key, *outcome),
            Signal::LeaseAcquired { group, epoch } => self.home_acquired(context, group, *epoch),
            Signal::HolderChanged { group } => self.holder_changed(context, group),
            Signal::MemberGone { node, incarnation } => {
                self.held_homes.entry_gone(context.now, node, *incarnation);
            }
            _ => (),
        }
    }

    fn wanted(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        key: &RequestKey,
        service: &str,
    ) {
        let homes = self.index.homes(&context.view.catalogue, service, key);
        if self.own.get(key, request).is_some() {
            return;
        }
        match self.own.reserve(key, request, homes.clone()) {
            Ok(()) => {
                for home in &homes {
                    register(context, home, key, request);
                }
            }
            Err(refusal) => context.signal(Signal::KeyDenied { request, refusal }),
        }
    }

    fn answered(&mut self, context: &mut Context<'_>, answer: KeyAnswer) {
        let newest = context.view.holders.get(&answer.home);
        let old = newest.is_some_and(|holder| holder.epoch > answer.epoch);
        if answer.epoch == 0 || old {
            return;
        }
        let own_node = &context.view.node.id;
        let verdict = self.own.answered(
            own_node,
            &answer.key,
            answer.request,
            &answer.home,
            answer.state,
        );
        signal_verdict(context, answer.request, verdict);
    }

    fn register_again(&mut self, context: &mut Context<'_>, key: &RequestKey) {
        let verdict = self.own.round(&context.view.node.id, key);
        let Some((request, homes)) = self.own.unsettled_homes(key) else {
            return;
        };
        if matches!(verdict, Verdict::Wait) {
            for home in &homes {
                register(context, home, key, request);
            }
        }
        signal_verdict(context, request, verdict);
    }

    fn ended(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        key: &RequestKey,
        outcome: Option<Outcome>,
    ) {
        for home in self.own.end(context.now, key, request, outcome) {
            let ended = KeyEnded {
                home,
                key: key.clone(),
                request,
                outcome,
            };
            for (queue, after) in self.pending_resends.iter_mut().zip(END_RESEND_DELAYS) {
                queue.push_back((context.now + after, ended.clone()));
            }
            send_end(context, ended);
        }
    }

    /// Announces a home again to nodes that have not sent their records. The home's broker made the first
    /// announcement.
    fn announce_again(&self, context: &mut Context<'_>) {
        for (group, epoch, nodes) in self.held_homes.awaiting_refill(context) {
            let reregister = Reregister { group, epoch };
            for node in nodes {
                context.send(&node, Message::Reregister(reregister.clone()));
            }
        }
    }

    fn resend_ends(&mut self, context: &mut Context<'_>) {
        for queue in &mut self.pending_resends {
            let due = queue.partition_point(|(due_at, _)| *due_at <= context.now);
            for (_, ended) in queue.drain(..due) {
                send_end(context, ended);
            }
        }
    }

    fn home_acquired(&mut self, context: &mut Context<'_>, group: &GroupId, epoch: Epoch) {
        let known = self.known_keys(context, group);
        self.held_homes
            .begin(context.view, context.now, group, epoch);
        let own_node = &context.view.node.id;
        self.held_homes
            .refill(context.now, own_node, group, epoch, known);
        self.holder_changed(context, group);
    }

    fn holder_changed(&mut self, context: &mut Context<'_>, group: &GroupId) {
        for (key, request) in self.own.home_changed(group) {
            register(context, group, &key, request);
        }
    }

    /// Everything that this node knows of the keys of a home: those of its own requests and of the homes that
    /// it holds.
    fn known_keys(&mut self, context: &Context<'_>, group: &GroupId) -> Vec<KnownKey> {
        let catalogue = &context.view.catalogue;
        let index = &mut self.index;
        let own_node = &context.view.node.id;
        let mut known = self.held_homes.known_keys(own_node, group, |key, other| {
            index.shares_home(catalogue, key, group, other)
        });
        known.extend(self.own.known_keys(own_node, group));
        known
    }
}

/// Registers a key with the current holder of a home. If none is known, the next round tries again.
fn register(context: &mut Context<'_>, home: &GroupId, key: &RequestKey, request: RequestId) {
    let holder = context.view.holders.get(home).map(|holder| &holder.node);
    if let Some(node) = holder.cloned() {
        register_at(context, &node, home, key.clone(), request);
    }
}

fn register_at(
    context: &mut Context<'_>,
    node: &NodeId,
    home: &GroupId,
    key: RequestKey,
    request: RequestId,
) {
    let register = KeyRegister {
        home: home.clone(),
        key,
        request,
        incarnation: context.view.node.incarnation,
    };
    context.send(node, Message::KeyRegister(register));
}

fn send_end(context: &mut Context<'_>, ended: KeyEnded) {
    let holder = context.view.holders.get(&ended.home);
    if let Some(node) = holder.map(|holder| holder.node.clone()) {
        context.send(&node, Message::KeyEnded(ended));
    }
}

fn signal_verdict(context: &mut Context<'_>, request: RequestId, verdict: Verdict) {
    match verdict {
        Verdict::Wait => (),
        Verdict::Granted => context.signal(Signal::KeyGranted { request }),
        Verdict::Denied(refusal) => context.signal(Signal::KeyDenied { request, refusal }),
    }
}
