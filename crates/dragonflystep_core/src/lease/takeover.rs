//! Takes over groups that have no row yet and groups whose holder no longer renews its lease.

use {
    super::{
        Leases,
        groups::KnownGroup,
        placement::{is_majority, live_nodes, loads, rank},
        rows::{GroupRow, NodeRow, group_key, node_key, to_value},
        timing::drift_margin,
        watch::Renewals,
    },
    crate::{
        context::Context,
        ids::{Epoch, GroupId, NodeId, RowVersion},
        message::{Message, SupportAnswer, SupportRequest},
        table::{Condition, Write},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Extra delay per rank before a node attempts a takeover, so that candidates do not all try at once.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// Interval at which a candidate asks again those voters that have not agreed yet.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Row versions that a candidate has observed. Votes and the transaction are valid only for these versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ObservedVersions {
    /// Version of the group's row; `None` when the row is absent.
    group: Option<RowVersion>,
    /// Condition that the transaction places on the holder's row.
    holder: HolderCondition,
}

/// Condition on the holder's row in a takeover transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderCondition {
    /// No condition: there is no holder, or it can no longer renew, whatever happens to its row.
    Unconditional,
    /// The row must still be at this version, or still be absent for `None`.
    AtVersion(Option<RowVersion>),
}

/// This node's attempt to take a group.
#[derive(Clone, Debug)]
pub(super) struct Candidacy {
    observed: ObservedVersions,
    due_at: Duration,
    /// Whether this node has rank 0, so that no other node should try before it.
    is_first: bool,
    /// Whether the rows were read again after `due_at`, since another node may have taken the group meanwhile.
    has_read: bool,
    asked_from: Option<Duration>,
    ask_next_at: Duration,
    agreed: BTreeSet<NodeId>,
}

impl Leases {
    /// Groups for which this node may have to act: those without a row, those whose row names this node although
    /// it
    /// does not hold them, those with a newer announced holder, and those whose holder may no longer renew.
    /// The result is nearly always empty and cheap to compute.
    pub(super) fn groups_to_check(&self, context: &Context<'_>) -> Vec<GroupId> {
        let view = &context.view;
        let may_need_action = |group: &GroupId| {
            let Some(known) = self.rows.get(group) else {
                return self.has_scanned;
            };
            let holder = &known.row.holder;
            let announced = view.holders.get(group);
            *holder == view.node.id
                || announced.is_some_and(|announced| announced.epoch > known.row.epoch)
                || self.renewals(context, known) != Renewals::Possible
        };
        self.groups
            .iter()
            .filter(|group| !view.held.contains_key(*group) && may_need_action(group))
            .cloned()
            .collect()
    }

    fn renewals(&self, context: &Context<'_>, known: &KnownGroup) -> Renewals {
        if known.row.is_released() {
            // Nobody ever held a released epoch, so a takeover needs neither a wait nor votes.
            return Renewals::Replaced {
                unchanged_for: Duration::MAX,
            };
        }
        if known.row.holder == context.view.node.id {
            // This incarnation's row has replaced the row of the earlier one.
            let joined_at = self.own.joined_at().unwrap_or(context.now);
            return Renewals::Replaced {
                unchanged_for: context.now - joined_at,
            };
        }
        self.watch.renewals_of(
            context.now,
            &context.view.tuning,
            &known.row.holder,
            known.row.incarnation,
            known.version,
        )
    }

    /// Checks whether this node should take or resume the lease of a group, and takes the next step if so.
    pub(super) fn check_group(&mut self, context: &mut Context<'_>, group: &GroupId) {
        if !self.can_change(context, group) {
            return;
        }
        let Some(known) = self.rows.get(group).cloned() else {
            if self.has_scanned {
                let observed = ObservedVersions {
                    group: None,
                    holder: HolderCondition::Unconditional,
                };
                self.attempt_when_due(context, group, observed, None);
            }
            return;
        };
        let announced = context.view.holders.get(group);
        if announced.is_some_and(|holder| holder.epoch > known.row.epoch) {
            self.read_group(context, group);
            return;
        }
        let own = &context.view.node;
        if known.row.holder == own.id && known.row.incarnation == own.incarnation {
            self.resume_or_reclaim(context, group, &known);
            return;
        }
        self.take_over_when_ended(context, group, &known);
    }

    fn can_change(&self, context: &Context<'_>, group: &GroupId) -> bool {
        let is_early = self
            .not_before
            .get(group)
            .is_some_and(|at| context.now < *at);
        let is_held = context.view.held.contains_key(group);
        let is_changing = self.changing.contains_key(group);
        let can_choose = self.has_seen_members && self.own.is_valid(context.now);
        can_choose && !is_held && !is_changing && !is_early
    }

    /// Attempts a takeover of a group whose holder can no longer renew its lease.
    fn take_over_when_ended(
        &mut self,
        context: &mut Context<'_>,
        group: &GroupId,
        known: &KnownGroup,
    ) {
        let (holder, unchanged_for) = match self.renewals(context, known) {
            Renewals::Possible => {
                self.candidacies.remove(group);
                return;
            }
            Renewals::Missing => {
                self.read_node(context, &known.row.holder);
                return;
            }
            Renewals::Replaced { unchanged_for } => (HolderCondition::Unconditional, unchanged_for),
            Renewals::Ended {
                version,
                unchanged_for,
            } => (HolderCondition::AtVersion(version), unchanged_for),
        };
        let observed = ObservedVersions {
            group: Some(known.version),
            holder,
        };
        self.attempt_when_due(context, group, observed, Some((known, unchanged_for)));
    }

    /// Acquires a lease that the table assigns to this incarnation, or writes the next epoch if this one was
    /// given up.
    fn resume_or_reclaim(
        &mut self,
        context: &mut Context<'_>,
        group: &GroupId,
        known: &KnownGroup,
    ) {
        let is_void = known.version < self.own.voided_version();
        if !is_void && !self.has_given_up(group, known.row.epoch) {
            self.acquire(context, group, known.row.epoch);
            return;
        }
        // Nobody holds the epoch that this node gave up, so the next epoch needs no votes.
        let epoch = known.row.epoch + 1;
        let write = self.takeover_write(context, group, epoch);
        let conditions = vec![self.row_condition(group)];
        self.commit_change(
            context,
            std::slice::from_ref(group),
            conditions,
            vec![write],
        );
    }

    fn attempt_when_due(
        &mut self,
        context: &mut Context<'_>,
        group: &GroupId,
        observed: ObservedVersions,
        lapsed: Option<(&KnownGroup, Duration)>,
    ) {
        let is_same = self
            .candidacies
            .get(group)
            .is_some_and(|candidacy| candidacy.observed == observed);
        if !is_same {
            let candidacy = self.new_candidacy(context, group, observed);
            self.candidacies.insert(group.clone(), candidacy);
        }
        let Some(candidacy) = self.candidacies.get_mut(group) else {
            return;
        };
        if context.now < candidacy.due_at || self.reading.contains(group) {
            return;
        }
        if self.awaits_scan && lapsed.is_none() && !candidacy.is_first {
            return;
        }
        if !std::mem::replace(&mut candidacy.has_read, true) {
            self.read_group(context, group);
            return;
        }
        let Some((known, unchanged_for)) = lapsed else {
            self.create(context, group);
            return;
        };
        if self.may_take(context, group, known, unchanged_for) {
            self.take_over(context, group, known, observed);
        } else {
            self.ask_voters(context, group, known);
        }
    }

    fn new_candidacy(
        &self,
        context: &Context<'_>,
        group: &GroupId,
        observed: ObservedVersions,
    ) -> Candidacy {
        let live = live_nodes(context.view);
        let holders = self.rows.values().map(|known| &known.row.holder);
        let mut loads = loads(&live, holders);
        if let Some(own_load) = loads.get_mut(&context.view.node.id) {
            *own_load += self.changing.len();
        }
        let rank = rank(group, &context.view.node.id, &loads, self.groups.len());
        let delay = RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        Candidacy {
            observed,
            due_at: context.now + delay,
            is_first: rank == 0,
            has_read: false,
            asked_from: None,
            ask_next_at: context.now + delay,
            agreed: BTreeSet::new(),
        }
    }

    fn may_take(
        &self,
        context: &Context<'_>,
        group: &GroupId,
        known: &KnownGroup,
        unchanged_for: Duration,
    ) -> bool {
        let tuning = &context.view.tuning;
        let longest = tuning.longest_extension;
        if unchanged_for >= longest + drift_margin(tuning, longest) {
            return true;
        }
        if known.row.voters.is_empty() {
            return true;
        }
        let candidacy = &self.candidacies[group];
        is_majority(&known.row.voters, |voter| {
            candidacy.agreed.contains(voter) || self.is_dead_voter(context, voter)
        })
    }

    /// Whether the voter's process has been known to be dead for so long that its promises have expired.
    fn is_dead_voter(&self, context: &Context<'_>, voter: &NodeId) -> bool {
        let tuning = &context.view.tuning;
        let promises_last = tuning.lease_duration + drift_margin(tuning, tuning.lease_duration);
        self.dead_since
            .get(voter)
            .is_some_and(|since| context.now >= *since + promises_last)
    }

    fn ask_voters(&mut self, context: &mut Context<'_>, group: &GroupId, known: &KnownGroup) {
        let Some(candidacy) = self.candidacies.get_mut(group) else {
            return;
        };
        if context.now < candidacy.ask_next_at {
            return;
        }
        candidacy.ask_next_at = context.now + ASK_INTERVAL;
        candidacy.asked_from.get_or_insert(context.now);
        let request = SupportRequest {
            group: group.clone(),
            epoch: known.row.epoch,
            node: context.view.node.id.clone(),
            takeover: true,
            lasts: context.view.tuning.lease_duration,
            sent_at: context.now,
        };
        let agreed = candidacy.agreed.clone();
        for voter in known
            .row
            .voters
            .iter()
            .filter(|voter| !agreed.contains(*voter))
        {
            self.ask_voter(context, voter, &request);
        }
    }

    /// Counts a vote for a takeover and attempts the takeover again.
    pub(super) fn takeover_answered(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        answer: &SupportAnswer,
    ) {
        let Some(known) = self.rows.get(&answer.group) else {
            return;
        };
        if answer.epoch > known.row.epoch {
            // The group was handed over to this node, or the voter knows of a newer holder.
            self.read_group(context, &answer.group);
            return;
        }
        let Some(candidacy) = self.candidacies.get_mut(&answer.group) else {
            return;
        };
        // A vote for an earlier attempt applies to other versions of the rows.
        let is_for_this = candidacy
            .asked_from
            .is_some_and(|asked_from| answer.sent_at >= asked_from);
        if answer.granted && answer.epoch == known.row.epoch && is_for_this {
            candidacy.agreed.insert(from.clone());
            self.check_group(context, &answer.group);
        }
    }

    fn create(&mut self, context: &mut Context<'_>, group: &GroupId) {
        let write = self.takeover_write(context, group, 1);
        let conditions = vec![self.row_condition(group)];
        self.commit_change(
            context,
            std::slice::from_ref(group),
            conditions,
            vec![write],
        );
    }

    fn take_over(
        &mut self,
        context: &mut Context<'_>,
        group: &GroupId,
        known: &KnownGroup,
        observed: ObservedVersions,
    ) {
        let mut conditions = vec![self.row_condition(group)];
        let mut writes = vec![self.takeover_write(context, group, known.row.epoch + 1)];
        if let HolderCondition::AtVersion(version) = observed.holder {
            let key = node_key(&known.row.holder);
            conditions.push(Condition {
                key: key.clone(),
                version,
            });
            writes.extend(self.fence_write(&known.row.holder));
        }
        self.commit_change(context, std::slice::from_ref(group), conditions, writes);
    }

    fn fence_write(&self, holder: &NodeId) -> Option<Write> {
        let fenced = NodeRow {
            fenced: true,
            ..self.watch.get(holder)?.content.clone()
        };
        Some(Write {
            key: node_key(holder),
            value: Some(to_value(&fenced)),
        })
    }

    fn takeover_write(&self, context: &Context<'_>, group: &GroupId, epoch: Epoch) -> Write {
        let own = &context.view.node;
        let row = GroupRow {
            holder: own.id.clone(),
            incarnation: own.incarnation,
            epoch,
            voters: self.voters_for(context, group, &own.id),
        };
        Write {
            key: group_key(group),
            value: Some(to_value(&row)),
        }
    }

    /// Sends a support request to a voter; if the voter is this node, answers it directly.
    pub(super) fn ask_voter(
        &mut self,
        context: &mut Context<'_>,
        voter: &NodeId,
        request: &SupportRequest,
    ) {
        if *voter == context.view.node.id {
            let own_id = voter.clone();
            let answer = self.vote(context, &own_id, request);
            self.support_answered(context, &own_id, &answer);
        } else {
            context.send(voter, Message::SupportRequest(request.clone()));
        }
    }
}
