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
        self.refresh_directory(context);
        match message {
            Message::Ask(ask) => self.ask_received(context, from, ask),
            Message::Withdraw(name) => {
                let id = name.group.clone();
                match self.groups.get_mut(&id) {
                    Some(group) => group.ask_withdrawn(context, &mut self.shared, from, name),
                    None => context.send(from, Message::Withdrawn(name)),
                }
                self.group_changed(context, &id);
            }
            Message::GrantReturned(name) => {
                if let Some(group) = self.groups.get_mut(&name.group) {
                    group.grant_returned(context, &mut self.shared, from, &name);
                }
                self.group_changed(context, &name.group);
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
                self.group_changed(context, &id);
            }
            Message::Holding(holding) => {
                if let Some(group) = self.groups.get_mut(&holding.group) {
                    group.holding_received(context, &mut self.shared, from, &holding);
                }
                self.group_changed(context, &holding.group);
            }
            Message::Yield(wanted) => self.yield_requested(context, from, &wanted),
            Message::YieldAnswer(answer) => self.yield_answered(context, &answer),
            Message::CrashObserved(crash) => self.crash_observed(context, from, &crash),
            _ => {}
        }
    }

    fn ask_received(&mut self, context: &mut Context<'_>, from: &NodeId, ask: Ask) {
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
        group.ask_received(context, &mut self.shared, from, ask);
        self.group_changed(context, &id);
    }

    /// Handles an upstream's load report, cache report or confirmed cancellation.
    pub fn upstream_event(&mut self, context: &mut Context<'_>, event: UpstreamEvent) {
        self.refresh_directory(context);
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
        self.group_changed(context, &id);
    }

    fn group_of(&self, context: &Context<'_>, upstream: &str) -> Option<GroupId> {
        let entry = context.view.catalogue.upstream(upstream)?;
        Some(entry.group.clone())
    }

    /// Handles a group's round timer: expired grants, deadlines, summaries.
    pub fn round_due(&mut self, context: &mut Context<'_>, group: &str) {
        self.refresh_directory(context);
        let Some(held) = self.groups.get_mut(group) else {
            return;
        };
        held.round_due(context, &mut self.shared);
        self.shared.remove_expired(context.now);
        self.group_changed(context, group);
    }

    /// Handles a signal of another part of the node: leases, the catalogue, members, leaving upstreams.
    pub fn signal(&mut self, context: &mut Context<'_>, signal: &Signal) {
        self.refresh_directory(context);
        match signal {
            Signal::LeaseAcquired { group, epoch } => self.lease_acquired(context, group, *epoch),
            Signal::LeaseLost { group } => {
                if let Some(held) = self.groups.remove(group) {
                    held.lease_lost(context);
                }
            }
            Signal::CatalogueApplied => {
                for group in self.groups.values_mut() {
                    group.catalogue_applied(context, &self.shared);
                }
                self.grant_waiting_in_all(context);
            }
            Signal::LeavingUpstreamsChanged => self.grant_waiting_in_all(context),
            Signal::MemberJoined { node } => {
                for group in self.groups.values_mut() {
                    group.member_joined(context, node);
                }
                self.send_quarantine_to(context, node);
            }
            Signal::MemberGone { node, incarnation } => {
                for group in self.groups.values_mut() {
                    group.member_gone(context, node, *incarnation);
                }
            }
            _ => {}
        }
    }

    fn refresh_directory(&mut self, context: &Context<'_>) {
        self.shared.directory.refresh(&context.view.catalogue);
    }

    fn lease_acquired(&mut self, context: &mut Context<'_>, id: &GroupId, epoch: Epoch) {
        if self.groups.get(id).is_some_and(|held| held.epoch == epoch) {
            // Grant numbers must not restart within an epoch.
            return;
        }
        if let Some(earlier) = self.groups.remove(id) {
            earlier.lease_lost(context);
        }
        let group = Group::lease_acquired(context, &self.shared, id, epoch);
        self.groups.insert(id.clone(), group);
        let fields = vec![("group", id.to_string()), ("epoch", epoch.to_string())];
        context.log(LogLevel::Info, "Took a group over.", fields);
    }

    fn grant_waiting_in_all(&mut self, context: &mut Context<'_>) {
        let ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in ids {
            if let Some(group) = self.groups.get_mut(&id) {
                group.grant_waiting(context, &mut self.shared);
            }
            self.group_changed(context, &id);
        }
    }

    /// Counts an upstream's crash against the requests that ran on it, and forwards it to the other brokers of the
    /// service.
    fn crash_observed(&mut self, context: &mut Context<'_>, from: &NodeId, crash: &CrashObserved) {
        if crash.on_board == 0 {
            return self.quarantine_received(context, crash);
        }
        self.reply_with_quarantine(context, from, crash);
        let held = self.groups.get(&crash.group);
        let mut forwarded = CrashObserved {
            fingerprints: Vec::new(),
            ..crash.clone()
        };
        let mut proved = Vec::new();
        for fingerprint in &crash.fingerprints {
            let known = match held {
                Some(group) => {
                    group.describe_crash(&crash.upstream, *fingerprint, crash.on_board, context.now)
                }
                None => Crash::of_another_group(crash),
            };
            match self
                .shared
                .quarantine
                .record_crash(*fingerprint, &known, context.now)
            {
                Finding::Repeated => continue,
                Finding::Counted => {}
                Finding::Proved => proved.push(*fingerprint),
            }
            forwarded.fingerprints.push(*fingerprint);
            forwarded.on_board = forwarded.on_board.max(known.request_count);
        }
        let Some(group) = self.groups.get_mut(&crash.group) else {
            return;
        };
        group.upstream_crashed(&crash.upstream);
        // Only the broker of the group forwards a crash, and it has already forwarded those that it counted before.
        let service = group.service().clone();
        if !forwarded.fingerprints.is_empty() {
            self.forward_crash(context, &service, &forwarded);
        }
        if !proved.is_empty() {
            broadcast_quarantine(context, crash, proved);
        }
        self.grant_waiting_in_all(context);
    }

    /// Forwards a crash to the other brokers of a service, even if one of them reported it as an entry node.
    fn forward_crash(&self, context: &mut Context<'_>, service: &str, crash: &CrashObserved) {
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

    fn quarantine_received(&mut self, context: &mut Context<'_>, crash: &CrashObserved) {
        for fingerprint in &crash.fingerprints {
            let quarantine = &mut self.shared.quarantine;
            quarantine.adopt(*fingerprint, &crash.upstream, context.now);
        }
        self.grant_waiting_in_all(context);
    }

    /// Tells the broker that forwarded a crash which of the requests are quarantined here, so that it learns of them.
    fn reply_with_quarantine(
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
    fn send_quarantine_to(&self, context: &mut Context<'_>, node: &NodeId) {
        for (upstream, fingerprints) in self.shared.quarantine.own_findings(context.now) {
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
fn broadcast_quarantine(
    context: &mut Context<'_>,
    crash: &CrashObserved,
    proved: Vec<Fingerprint>,
) {
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
