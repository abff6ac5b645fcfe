//! Confirms the version in force by a majority while the table service can't be read.
//!
//! When the table is unavailable to every node, no node can read the head, but no change can be committed either,
//! so service has to continue. A node that alone is cut off from the table can't distinguish this from a change
//! that others commit meanwhile. A change therefore needs acknowledgements from a majority before its commit is sent,
//! and a version stays confirmed while a majority vouches that no change may be in flight:
//!
//! - A node that wants to commit first announces this to all members by probes with `change_in_flight`, and commits
//!   only when a majority, itself included, has answered. It keeps announcing it until the outcome is known.
//! - A member that received the announcement answers that a change may be in flight, until the same process withdraws
//!   the announcement or the member has a version that rules out that change. A read of the head is no proof,
//!   because a write whose answer was lost may take effect later. A member answers the same while it knows of a
//!   version newer than its own.
//! - A node considers the answers of members, itself included, that know of no newer version and of no change in
//!   flight. Its version is confirmed as of the time at which it sent the oldest of the probes that the most recent
//!   majority answered.
//!
//! - A process that has just started may lack announcements that its predecessor received, so it answers for a while
//!   that a change may be in flight. An answer counts only from the process that the list of members names. A commit
//!   is assumed to take effect within that time after it was sent, even if its answer was lost.
//!
//! Any two majorities share a member. If a change had been committed before the time that the second majority vouches
//! for, the shared member would have received the announcement earlier and would not have vouched. The members are
//! those of [`View::members`](crate::View), this node, and those of [`View::silent`](crate::View): a node that can
//! neither be reached nor renew its row may still be working with others. While the table is unavailable to all, that
//! list does not change. While it is unavailable to some, two lists may differ; two majorities still share a member as
//! long as the nodes that came or went are fewer than the sum of what each majority has beyond half of its list. A node
//! therefore trusts a majority only when its list has been stable for a while, and commits only when it has read the
//! list.

use {
    super::{CatalogueSync, version_probe},
    crate::{
        context::Context,
        ids::{CatalogueVersion, Incarnation, NodeId},
        message::{Message, Probe},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time for which the list of members must be unchanged before a majority is trusted.
const MEMBERS_STABLE_FOR: Duration = Duration::from_secs(8);
/// Time after its start during which a process does not vouch for any version.
const NO_VOUCH_AFTER_START: Duration = Duration::from_secs(12);
/// Longest time between an announcement and the commit that relies on its acknowledgement.
const ACKNOWLEDGEMENT_VALIDITY: Duration = Duration::from_secs(2);
/// Wait before a change is announced again when a majority has not acknowledged it.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// A member's last answer to a probe of this node, when it knew of no newer version and no change in flight.
#[derive(Clone, Copy, Debug)]
struct Vouch {
    sent_at: Duration,
    version: CatalogueVersion,
}

/// A change that a process announced and has not withdrawn.
#[derive(Clone, Copy, Debug, Default)]
struct AnnouncedChange {
    /// Newest version that the process had when it announced the change.
    version: CatalogueVersion,
    /// Time of the newest announcement by the process's clock; older probes can't withdraw it.
    announced_at: Duration,
}

/// This node's announcement that it wants to commit.
#[derive(Debug, Default)]
struct Proposal {
    /// Version that this node had at each announcement, by the time of the announcement.
    sent: BTreeMap<Duration, CatalogueVersion>,
    announced_at: Duration,
    /// Time and version of the newest announcement that each member acknowledged.
    acknowledged: BTreeMap<NodeId, (Duration, CatalogueVersion)>,
}

/// Answers of the members and announcements of changes that may be in flight.
#[derive(Debug, Default)]
pub(super) struct Quorum {
    vouches: BTreeMap<NodeId, Vouch>,
    /// Announced changes by the process that may be committing them.
    committing: BTreeMap<(NodeId, Incarnation), AnnouncedChange>,
    newest_heard: CatalogueVersion,
    proposal: Option<Proposal>,
    members: BTreeSet<(NodeId, Incarnation)>,
    silent: BTreeSet<NodeId>,
    members_since: Option<Duration>,
    started_at: Option<Duration>,
    /// Newest version that a commit of this node may still make after its operator was answered.
    unsettled: Option<CatalogueVersion>,
}

impl CatalogueSync {
    /// Records whether a member announces a change or withdraws its announcement.
    pub(super) fn peer_announced(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        probe: &Probe,
    ) {
        // Only the process that announced a commit knows its outcome.
        let process = (from.clone(), probe.incarnation);
        if probe.change_in_flight {
            let announced = self.quorum.committing.entry(process).or_default();
            announced.version = probe.catalogue_version.max(announced.version);
            announced.announced_at = probe.sent_at.max(announced.announced_at);
        } else if let Some(announced) = self.quorum.committing.get(&process)
            && announced.announced_at < probe.sent_at
        {
            self.quorum.committing.remove(&process);
        }
        self.update_change_in_flight(context);
    }

    /// Records whether a member's answer to a probe of this node vouches for its version.
    pub(super) fn peer_vouched(&mut self, context: &mut Context<'_>, from: &NodeId, probe: &Probe) {
        let member = context.view.members.get(from);
        let is_listed = member.is_some_and(|member| member.incarnation == probe.incarnation);
        if probe.change_in_flight || !is_listed {
            self.quorum.vouches.remove(from);
            return;
        }
        let vouch = Vouch {
            sent_at: probe.sent_at,
            version: probe.catalogue_version,
        };
        self.quorum.vouches.insert(from.clone(), vouch);
        self.confirm_by_majority(context);
    }

    /// Records that a member acknowledged this node's announcement.
    pub(super) fn proposal_answered(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        probe: &Probe,
    ) {
        let Some(proposal) = self.quorum.proposal.as_mut() else {
            return;
        };
        if let Some(version) = proposal.sent.get(&probe.sent_at) {
            let told = proposal.acknowledged.entry(from.clone()).or_default();
            *told = (*told).max((probe.sent_at, *version));
            self.advance_pending_changes(context);
        }
    }

    /// Records a version that some node has.
    pub(super) fn note_version(&mut self, context: &mut Context<'_>, version: CatalogueVersion) {
        self.quorum.newest_heard = self.quorum.newest_heard.max(version);
        self.update_change_in_flight(context);
    }

    /// Tracks how long the list of members has been unchanged.
    pub(super) fn note_members(&mut self, context: &Context<'_>) {
        let members = context.view.members.iter();
        let processes = || {
            members
                .clone()
                .map(|(node, member)| (node, member.incarnation))
        };
        let known = self
            .quorum
            .members
            .iter()
            .map(|(node, incarnation)| (node, *incarnation));
        let is_same = known.eq(processes()) && self.quorum.silent == context.view.silent;
        if self.quorum.members_since.is_none() || !is_same {
            self.quorum.silent = context.view.silent.clone();
            self.quorum.members = processes()
                .map(|(node, number)| (node.clone(), number))
                .collect();
            self.quorum.members_since = Some(context.now);
        }
    }

    /// Whether a majority has acknowledged this node's announcement; repeats the announcement if it is due.
    pub(super) fn may_commit(&mut self, context: &mut Context<'_>) -> bool {
        if !context.view.members_read {
            return false;
        }
        let needed = majority(context) - 1;
        let proposal = self.quorum.proposal.get_or_insert_default();
        let members = &context.view.members;
        let acknowledged = &proposal.acknowledged;
        // Members drop announcements that were made at a version older than their own.
        let in_force = context.view.catalogue.version;
        let count = acknowledged
            .iter()
            .filter(|(node, (announced_at, version))| {
                let is_current =
                    *version >= in_force && context.now <= *announced_at + ACKNOWLEDGEMENT_VALIDITY;
                members.contains_key(*node) && is_current
            });
        if count.count() >= needed {
            return true;
        }
        let announced_version = proposal.sent.get(&proposal.announced_at).copied();
        let is_due = announced_version.is_none_or(|version| version < in_force)
            || context.now >= proposal.announced_at + ANNOUNCE_INTERVAL;
        if is_due {
            proposal.announced_at = context.now;
            proposal.sent.insert(context.now, in_force);
            self.update_change_in_flight(context);
            self.probe_members(context);
        }
        false
    }

    /// Records that an operator was answered before the outcome of a commit was known.
    pub(super) fn left_unsettled(&mut self, version: CatalogueVersion) {
        self.quorum.unsettled = self.quorum.unsettled.max(Some(version));
    }

    /// Withdraws the announcement once no commit of this node can still take effect.
    pub(super) fn end_proposal_when_done(&mut self, context: &mut Context<'_>) {
        let in_force = context.view.catalogue.version;
        if self
            .quorum
            .unsettled
            .is_some_and(|version| version <= in_force)
        {
            self.quorum.unsettled = None;
        }
        let is_done = self.pending.is_empty() && self.quorum.unsettled.is_none();
        if !is_done || self.quorum.proposal.take().is_none() {
            return;
        }
        self.update_change_in_flight(context);
        self.probe_members(context);
    }

    fn probe_members(&self, context: &mut Context<'_>) {
        let members: Vec<NodeId> = context.view.members.keys().cloned().collect();
        for node in members {
            let probe = version_probe(context);
            context.send(&node, Message::Probe(probe));
        }
    }

    pub(super) fn update_change_in_flight(&mut self, context: &mut Context<'_>) {
        let in_force = context.view.catalogue.version;
        let quorum = &mut self.quorum;
        // The announced change would have created the next version, which another change has taken.
        quorum
            .committing
            .retain(|_, announced| announced.version >= in_force);
        context.view.own_change_in_flight = quorum.proposal.is_some();
        let started_at = *quorum.started_at.get_or_insert(context.now);
        let is_new = context.now < started_at + NO_VOUCH_AFTER_START;
        context.view.known_change_in_flight = is_new
            || !quorum.committing.is_empty()
            || quorum.newest_heard > context.view.catalogue.version;
    }

    fn confirm_by_majority(&mut self, context: &mut Context<'_>) {
        self.update_change_in_flight(context);
        let view = &context.view;
        if view.own_change_in_flight || view.known_change_in_flight {
            return;
        }
        let since = self.quorum.members_since;
        if since.is_none_or(|since| context.now < since + MEMBERS_STABLE_FOR) {
            return;
        }
        let in_force = view.catalogue.version;
        let vouches = self.quorum.vouches.iter();
        let mut times: Vec<Duration> = vouches
            .filter(|(node, vouch)| view.members.contains_key(*node) && vouch.version <= in_force)
            .map(|(_, vouch)| vouch.sent_at)
            .collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        // This node vouches for its own version as of now.
        let needed = majority(context) - 1;
        let vouched_at = match needed.checked_sub(1) {
            None => Some(context.now),
            Some(last) => times.get(last).copied(),
        };
        if let Some(at) = vouched_at {
            self.confirm_newest(context, in_force, at);
        }
    }
}

/// Returns the smallest majority of all nodes: this node, the members, and the silent ones.
fn majority(context: &Context<'_>) -> usize {
    let view = &context.view;
    let nodes = view.members.len() + view.silent.len() + 1;
    nodes / 2 + 1
}
