//! Extends held leases while the platform is unavailable, with the support of a majority of the lease's voters.

use {
    super::{
        Leases,
        placement::is_majority,
        support::SeenLease,
        timing::{drift_margin, jittered},
    },
    crate::{
        context::Context,
        ids::{Epoch, GroupId, NodeId},
        message::{Message, SupportAnswer, SupportRequest},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Number of open rounds of support requests per lease; answers to older rounds are dropped.
const OPEN_ROUNDS: usize = 4;

/// Support requests for one lease: send time of each round, and the voters that granted support in it.
#[derive(Clone, Debug, Default)]
pub(super) struct Extension {
    rounds: BTreeMap<Duration, BTreeSet<NodeId>>,
}

impl Leases {
    /// Asks for support of all held leases when less than half the lease duration of the last renewal is left.
    pub(super) fn extend(&mut self, context: &mut Context<'_>) {
        let (Some(valid_until), Some(lease_duration)) =
            (self.own.valid_until(), self.own.lease_duration())
        else {
            return;
        };
        let is_safe = valid_until.saturating_sub(context.now) >= lease_duration / 2;
        if is_safe || context.now < self.next_support_at {
            return;
        }
        let interval = context.view.tuning.lease_renewal;
        self.next_support_at = context.now + jittered(context.random, interval);
        let held: Vec<(GroupId, Epoch)> = context
            .view
            .held
            .iter()
            .map(|(group, lease)| (group.clone(), lease.epoch))
            .collect();
        for (group, epoch) in held {
            self.ask_support(context, group, epoch);
        }
    }

    fn ask_support(&mut self, context: &mut Context<'_>, group: GroupId, epoch: Epoch) {
        let rounds = &mut self.extensions.entry(group.clone()).or_default().rounds;
        rounds.insert(context.now, BTreeSet::new());
        while rounds.len() > OPEN_ROUNDS {
            rounds.pop_first();
        }
        let request = SupportRequest {
            group,
            epoch,
            node: context.view.node.id.clone(),
            takeover: false,
            lasts: context.view.tuning.lease_duration,
            sent_at: context.now,
        };
        let voters: BTreeSet<NodeId> = self
            .voter_lists(&request.group)
            .into_iter()
            .flatten()
            .collect();
        for voter in voters {
            self.ask_voter(context, &voter, &request);
        }
    }

    /// All voter lists that a candidate may count: the one in the row and those of unsettled writes.
    fn voter_lists(&self, group: &str) -> Vec<Vec<NodeId>> {
        let written = self.rows.get(group).map(|known| known.row.voters.clone());
        let unsettled = self.unsettled_voters.get(group);
        let unsettled = unsettled.map_or(&[] as &[_], |unsettled| &unsettled.lists);
        written
            .into_iter()
            .chain(unsettled.iter().cloned())
            .collect()
    }

    /// Counts a vote of support. A majority of every list that a candidate may count extends the lease.
    pub(super) fn support_answered(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        answer: &SupportAnswer,
    ) {
        if answer.takeover {
            self.takeover_answered(context, from, answer);
            return;
        }
        let lists = self.voter_lists(&answer.group);
        let (Some(extension), Some(renewed_at)) = (
            self.extensions.get_mut(&answer.group),
            self.own.renewed_at(),
        ) else {
            return;
        };
        let Some(granted) = extension.rounds.get_mut(&answer.sent_at) else {
            return;
        };
        if !answer.granted {
            return;
        }
        granted.insert(from.clone());
        let is_supported = !lists.is_empty()
            && lists
                .iter()
                .all(|list| is_majority(list, |voter| granted.contains(voter)));
        let Some(lease) = context.view.held.get_mut(&answer.group) else {
            return;
        };
        if !is_supported || lease.epoch != answer.epoch {
            return;
        }
        let tuning = &context.view.tuning;
        let lasts = tuning.lease_duration;
        let supported_until = answer.sent_at + lasts - drift_margin(tuning, lasts);
        let extended = supported_until.min(renewed_at + tuning.longest_extension);
        lease.valid_until = lease.valid_until.max(extended);
    }

    /// This node's vote on a support request.
    pub(super) fn vote(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        request: &SupportRequest,
    ) -> SupportAnswer {
        let is_held = context
            .view
            .held
            .get(&request.group)
            .is_some_and(|lease| lease.epoch >= request.epoch);
        let row = self.rows.get(&request.group).map(|known| &known.row);
        let node = row.and_then(|row| self.watch.get(&row.holder));
        let lease = row.zip(node).map(|(row, node)| SeenLease { row, node });
        let is_refused = request.takeover && is_held;
        let granted = !is_refused
            && self
                .votes
                .answer(context.now, &context.view.tuning, lease, from, request);
        SupportAnswer {
            group: request.group.clone(),
            epoch: request.epoch,
            takeover: request.takeover,
            granted,
            sent_at: request.sent_at,
        }
    }

    /// Handles a support request or its answer.
    pub fn message(&mut self, context: &mut Context<'_>, from: &NodeId, message: Message) {
        match message {
            Message::SupportRequest(request) => {
                let answer = self.vote(context, from, &request);
                context.send(from, Message::SupportAnswer(answer));
            }
            Message::SupportAnswer(answer) => self.support_answered(context, from, &answer),
            _ => {}
        }
    }
}
