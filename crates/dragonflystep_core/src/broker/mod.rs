//! Brokers decide which asks are served, when, and on which upstream, for the groups whose lease this node holds.
//!
//! A node holds the lease of a group for an epoch. During that epoch it alone grants slots of the group's upstreams:
//!
//! - [`group`] is the state of one group and the life cycle of its asks; `grant` assigns free slots, `stream` tracks
//!   the granted streams, `round` resolves doubtful slots and sends summaries of the free ones.
//! - `supply` tracks the group's upstreams, `prediction` estimates service and waiting times, `load` coordinates the
//!   brokers of a service before they refuse a tier, `patience` lets an ask wait for a better upstream.
//! - [`slots`] records every grant that may occupy an upstream, [`takeover`] bounds what earlier holders may have
//!   left running.
//! - [`queue`] and [`fairness`] decide the order of asks; [`choice`], [`rates`], [`prefix_cache`] and
//!   [`mod@adaptive_limit`] decide the upstream.
//! - [`overload`] ensures that a tier is refused only when no less urgent one is served; [`quarantine`] and
//!   [`isolation`] keep requests that crash upstreams from doing so again.

pub mod adaptive_limit;
pub mod choice;
pub mod directory;
pub mod fairness;
mod grant;
pub mod group;
pub mod isolation;
mod load;
pub mod overload;
mod patience;
mod prediction;
pub mod prefix_cache;
pub mod prompt_ends;
pub mod quarantine;
pub mod queue;
pub mod rates;
mod round;
pub mod settled;
pub mod shared;
pub mod slots;
mod stream;
pub mod summary;
mod supply;
pub mod takeover;
pub mod upstream;

pub use self::adaptive_limit::AdaptiveLimit;

use {
    self::{
        group::Group,
        quarantine::{Crash, Finding, Verdict},
        shared::Shared,
        upstream::LoadReport,
    },
    crate::{
        context::{Context, Signal},
        effect::LogLevel,
        event::UpstreamEvent,
        ids::{Epoch, Fingerprint, GroupId, NodeId},
        message::{Ask, AskRefusal, AskRefused, CrashObserved, Message},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// State of all brokers of this node: one [`Group`] for each held lease, and what the groups share.
#[derive(Debug, Default)]
pub struct Brokers {
    groups: BTreeMap<GroupId, Group>,
    shared: Shared,
    last_round: u64,
}

impl Brokers {
    /// State of a group; `None` if this node does not hold its lease.
    pub fn group(&self, id: &str) -> Option<&Group> {
        self.groups.get(id)
    }

    /// Handles a message of an entry node or of another broker.
    pub fn message(&mut self, context: &mut Context<'_>, from: &NodeId, message: Message) {
        self.refresh(context);
        match message {
            Message::Ask(ask) => self.asked(context, from, ask),
            Message::Withdraw(name) => {
                let id = name.group.clone();
                match self.groups.get_mut(&id) {
                    Some(group) => group.withdrawn(context, &mut self.shared, from, name),
                    None => context.send(from, Message::Withdrawn(name)),
                }
                self.settle(context, &id);
            }
            Message::GrantReturned(name) => {
                if let Some(group) = self.groups.get_mut(&name.group) {
                    group.grant_returned(context, &mut self.shared, from, &name);
                }
                self.settle(context, &name.group);
            }
            Message::Started(name) => {
                if let Some(group) = self.groups.get_mut(&name.group) {
                    group.stream_started(context, from, &name);
                }
            }
            Message::Finished(finished) => {
                let id = finished.grant.group.clone();
                if let Some(group) = self.groups.get_mut(&id) {
                    group.stream_finished(context, &mut self.shared, from, &finished);
                }
                self.settle(context, &id);
            }
            Message::Holding(holding) => {
                if let Some(group) = self.groups.get_mut(&holding.group) {
                    group.holding_told(context, &mut self.shared, from, &holding);
                }
                self.settle(context, &holding.group);
            }
            Message::Yield(wanted) => self.yield_asked(context, from, &wanted),
            Message::YieldAnswer(answer) => self.yield_answered(context, &answer),
            Message::CrashObserved(crash) => self.crash_observed(context, from, &crash),
            _ => {}
        }
    }

    fn asked(&mut self, context: &mut Context<'_>, from: &NodeId, ask: Ask) {
        let id = ask.name.group.clone();
        let Some(group) = self.groups.get_mut(&id) else {
            let holder = context.view.holders.get(&id);
            let holder = holder.map(|each| each.node.clone());
            let refused = AskRefused {
                ask: ask.name,
                epoch: 0,
                reason: AskRefusal::NotHolder { holder },
                retry_after: None,
            };
            context.send(from, Message::AskRefused(refused));
            return;
        };
        group.asked(context, &mut self.shared, from, ask);
        self.settle(context, &id);
    }

    /// Handles an upstream's load report, cache report or confirmed cancellation.
    pub fn upstream_event(&mut self, context: &mut Context<'_>, event: UpstreamEvent) {
        self.refresh(context);
        let upstream = match &event {
            UpstreamEvent::CancelConfirmed { upstream, .. }
            | UpstreamEvent::LoadReported { upstream, .. }
            | UpstreamEvent::CacheReported { upstream, .. } => upstream.clone(),
            _ => return,
        };
        let Some(id) = self.group_of(context, &upstream) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        match event {
            UpstreamEvent::CancelConfirmed { epoch, grant, .. } => {
                group.cancel_confirmed(context, &mut self.shared, (epoch, grant));
            }
            UpstreamEvent::LoadReported {
                running,
                queued,
                age,
                ..
            } => {
                let report = LoadReport {
                    sampled_at: context.now.saturating_sub(age),
                    read_at: context.now,
                    running: running.saturating_add(queued),
                };
                group.load_reported(context, &mut self.shared, &upstream, report, queued);
            }
            UpstreamEvent::CacheReported {
                sequence,
                stored,
                evicted,
                ..
            } => group.cache_reported(&upstream, sequence, &stored, &evicted),
            _ => {}
        }
        self.settle(context, &id);
    }

    fn group_of(&self, context: &Context<'_>, upstream: &str) -> Option<GroupId> {
        let entry = context.view.catalogue.upstream(upstream)?;
        Some(entry.group.clone())
    }

    /// Handles a group's round timer: expired grants, deadlines, summaries.
    pub fn round_due(&mut self, context: &mut Context<'_>, group: &str) {
        self.refresh(context);
        let Some(held) = self.groups.get_mut(group) else {
            return;
        };
        held.round_due(context, &mut self.shared);
        self.shared.forget_old(context.now);
        self.settle(context, group);
    }

    /// Handles a signal of another part of the node: leases, the catalogue, members, leaving upstreams.
    pub fn signal(&mut self, context: &mut Context<'_>, signal: &Signal) {
        self.refresh(context);
        match signal {
            Signal::LeaseAcquired { group, epoch } => self.acquired(context, group, *epoch),
            Signal::LeaseLost { group } => {
                if let Some(held) = self.groups.remove(group) {
                    held.lost(context);
                }
            }
            Signal::CatalogueApplied => {
                for group in self.groups.values_mut() {
                    group.catalogue_applied(context, &self.shared);
                }
                self.pump_all(context);
            }
            Signal::LeavingUpstreamsChanged => self.pump_all(context),
            Signal::MemberJoined { node } => {
                for group in self.groups.values_mut() {
                    group.member_joined(context, node);
                }
                self.tell_joined(context, node);
            }
            Signal::MemberGone { node, incarnation } => {
                for group in self.groups.values_mut() {
                    group.member_gone(context, node, *incarnation);
                }
            }
            _ => {}
        }
    }

    fn refresh(&mut self, context: &Context<'_>) {
        self.shared.directory.refresh(&context.view.catalogue);
    }

    fn acquired(&mut self, context: &mut Context<'_>, id: &GroupId, epoch: Epoch) {
        if self.groups.get(id).is_some_and(|held| held.epoch == epoch) {
            // Grant numbers must not restart within an epoch.
            return;
        }
        if let Some(earlier) = self.groups.remove(id) {
            earlier.lost(context);
        }
        let group = Group::acquired(context, &self.shared, id, epoch);
        self.groups.insert(id.clone(), group);
        let fields = vec![("group", id.to_string()), ("epoch", epoch.to_string())];
        context.log(LogLevel::Info, "Took a group over.", fields);
    }

    fn pump_all(&mut self, context: &mut Context<'_>) {
        let ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in ids {
            if let Some(group) = self.groups.get_mut(&id) {
                group.pump(context, &mut self.shared);
            }
            self.settle(context, &id);
        }
    }

    /// Counts an upstream's crash against the requests that ran on it, and forwards it to the other brokers of the
    /// service.
    fn crash_observed(&mut self, context: &mut Context<'_>, from: &NodeId, crash: &CrashObserved) {
        if crash.on_board == 0 {
            return self.quarantine_told(context, crash);
        }
        self.remind_of_quarantine(context, from, crash);
        let held = self.groups.get(&crash.group);
        let mut passed_on = CrashObserved {
            fingerprints: Vec::new(),
            ..crash.clone()
        };
        let mut proved = Vec::new();
        for fingerprint in &crash.fingerprints {
            let known = match held {
                Some(group) => {
                    group.crash(&crash.upstream, *fingerprint, crash.on_board, context.now)
                }
                None => Crash::of_another_group(crash),
            };
            match self
                .shared
                .quarantine
                .crashed(*fingerprint, &known, context.now)
            {
                Finding::Repeated => continue,
                Finding::Counted => {}
                Finding::Proved => proved.push(*fingerprint),
            }
            passed_on.fingerprints.push(*fingerprint);
            passed_on.on_board = passed_on.on_board.max(known.on_board);
        }
        let Some(group) = self.groups.get_mut(&crash.group) else {
            return;
        };
        group.upstream_crashed(&crash.upstream);
        // Only the broker of the group forwards a crash, and it has already forwarded those that it counted before.
        let service = group.service().clone();
        if !passed_on.fingerprints.is_empty() {
            self.pass_on(context, &service, &passed_on);
        }
        if !proved.is_empty() {
            tell_quarantine(context, crash, proved);
        }
        self.pump_all(context);
    }

    /// Forwards a crash to the other brokers of a service, even if one of them reported it as an entry node.
    fn pass_on(&self, context: &mut Context<'_>, service: &str, crash: &CrashObserved) {
        let others: BTreeSet<NodeId> = self
            .shared
            .directory
            .groups(service)
            .iter()
            .filter_map(|id| context.view.holders.get(id))
            .map(|holder| holder.node.clone())
            .filter(|node| *node != context.view.node.id)
            .collect();
        for node in others {
            context.send(&node, Message::CrashObserved(crash.clone()));
        }
    }

    fn quarantine_told(&mut self, context: &mut Context<'_>, crash: &CrashObserved) {
        for fingerprint in &crash.fingerprints {
            let quarantine = &mut self.shared.quarantine;
            quarantine.told(*fingerprint, &crash.upstream, context.now);
        }
        self.pump_all(context);
    }

    /// Tells the broker that forwarded a crash which of the requests are quarantined here, so that it learns of them.
    fn remind_of_quarantine(
        &self,
        context: &mut Context<'_>,
        from: &NodeId,
        crash: &CrashObserved,
    ) {
        let holder = context.view.holders.get(&crash.group);
        let from_broker = holder.is_some_and(|holder| holder.node == *from);
        if !from_broker || self.groups.contains_key(&crash.group) {
            return;
        }
        let mut known = crash.fingerprints.clone();
        known.retain(|each| self.shared.verdict(*each, context.now) == Verdict::Quarantined);
        if !known.is_empty() {
            context.send(from, quarantine_message(crash, known));
        }
    }

    /// Sends the quarantines that this node proved to a node that joined, since it may take over any group.
    fn tell_joined(&self, context: &mut Context<'_>, node: &NodeId) {
        for (upstream, fingerprints) in self.shared.quarantine.own_proofs(context.now) {
            let group = self.group_of(context, &upstream);
            let crash = CrashObserved {
                upstream,
                group: group.unwrap_or_else(|| "".into()),
                fingerprints: Vec::new(),
                on_board: 0,
            };
            context.send(node, quarantine_message(&crash, fingerprints));
        }
    }
}

/// Tells all nodes that requests are quarantined, since any node may take over a group.
fn tell_quarantine(context: &mut Context<'_>, crash: &CrashObserved, proved: Vec<Fingerprint>) {
    for fingerprint in &proved {
        let reason = "It crashed an upstream on which it ran alone.";
        let fields = vec![
            ("fingerprint", format!("{fingerprint:016x}")),
            ("upstream", crash.upstream.to_string()),
            ("reason", reason.into()),
        ];
        context.log(LogLevel::Warn, "Quarantined a request.", fields);
    }
    let message = quarantine_message(crash, proved);
    let members: Vec<NodeId> = context.view.members.keys().cloned().collect();
    for node in members {
        context.send(&node, message.clone());
    }
}

fn quarantine_message(crash: &CrashObserved, fingerprints: Vec<Fingerprint>) -> Message {
    Message::CrashObserved(CrashObserved {
        upstream: crash.upstream.clone(),
        group: crash.group.clone(),
        fingerprints,
        on_board: 0,
    })
}
