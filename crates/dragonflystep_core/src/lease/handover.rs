//! Hands groups over to other nodes when this node stops or holds more than its share, and refreshes voter
//! lists.

use {
    super::{
        Leases,
        groups::UnsettledVoters,
        placement::{live_nodes, loads, weight},
        rows::{GroupRow, group_key, to_value},
        timing::{jittered, lease_scan_interval},
    },
    crate::{
        context::{Context, View},
        ids::{GroupId, NodeId},
        message::{Message, SupportAnswer},
        table::Write,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Minimum interval between two checks of how the groups are balanced over the nodes.
const SHORTEST_BALANCE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two checks of the voters of the held groups.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum difference in the number of held groups between the giving and the receiving node for a group to
/// move.
const MIN_LOAD_DIFFERENCE: usize = 2;
/// Silence after which a voter is replaced.
const VOTER_SILENCE: Duration = Duration::from_secs(3);

impl Leases {
    /// Hands all groups over in one transaction, or releases them when no other node is live.
    pub(super) fn hand_over_all(&mut self, context: &mut Context<'_>) {
        let groups: Vec<GroupId> = self
            .own_groups(context)
            .into_iter()
            .filter(|group| !self.changing.contains_key(group))
            .collect();
        let Some(first) = groups.first() else {
            return;
        };
        if self
            .not_before
            .get(first)
            .is_some_and(|at| context.now < *at)
        {
            return;
        }
        let live = live_nodes(context.view);
        if live.is_empty() {
            self.release(context, &groups);
            return;
        }
        let mut loads = self.loads_of(&live);
        let mut moves = Vec::new();
        for group in groups {
            let target = loads
                .iter()
                .min_by_key(|(node, load)| (**load, u64::MAX - weight(&group, node)))
                .map(|(node, _)| node.clone());
            let Some(target) = target else {
                return;
            };
            *loads.entry(target.clone()).or_default() += 1;
            moves.push((group, target));
        }
        self.hand_over(context, moves);
    }

    /// Releases groups so that the next holder can take them without waiting. This node stops granting before it
    /// writes the rows.
    fn release(&mut self, context: &mut Context<'_>, groups: &[GroupId]) {
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        for group in groups {
            let Some(known) = self.rows.get(group) else {
                continue;
            };
            let epoch = known.row.epoch;
            writes.push(Write {
                key: group_key(group),
                value: Some(to_value(&known.row.released())),
            });
            conditions.push(self.row_condition(group));
            self.lose(context, group);
            self.given_up.insert(group.clone(), epoch);
        }
        self.commit_change(context, groups, conditions, writes);
    }

    /// Fences the own row once this node is stopping, holds no group and has no unsettled handover.
    ///
    /// The next process under the same node name then does not have to wait for the lease of this incarnation to
    /// expire.
    pub fn retire(&mut self, context: &mut Context<'_>) {
        let is_done = context.view.held.is_empty() && self.unsettled_handovers(context.view) == 0;
        if context.view.stopping && is_done {
            self.own.retire(context);
        }
    }

    /// Whether the final write that fences the own row is still to be done.
    pub fn is_retiring(&self) -> bool {
        self.own.is_retiring()
    }

    /// Number of groups whose last known row names this incarnation, whether it still holds them or not.
    ///
    /// A stopping node stops granting before it writes the handover. Unless that write takes effect, no other
    /// node can grant until the lease has expired.
    pub fn unsettled_handovers(&self, view: &View) -> usize {
        let own = &view.node;
        let rows = self.rows.values().map(|known| &known.row);
        rows.filter(|row| row.holder == own.id && row.incarnation == own.incarnation)
            .count()
    }

    fn loads_of(&self, live: &BTreeSet<NodeId>) -> BTreeMap<NodeId, usize> {
        loads(live, self.rows.values().map(|known| &known.row.holder))
    }

    /// Hands groups over to other nodes. This node stops granting before it writes the rows.
    fn hand_over(&mut self, context: &mut Context<'_>, moves: Vec<(GroupId, NodeId)>) {
        let mut groups = Vec::new();
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        for (group, target) in moves {
            let (Some(known), Some(member)) =
                (self.rows.get(&group), context.view.members.get(&target))
            else {
                continue;
            };
            let row = GroupRow {
                holder: target.clone(),
                incarnation: member.incarnation,
                epoch: known.row.epoch + 1,
                voters: self.voters_for(context, &group, &target),
            };
            conditions.push(self.row_condition(&group));
            writes.push(Write {
                key: group_key(&group),
                value: Some(to_value(&row)),
            });
            self.lose(context, &group);
            self.given_up.insert(group.clone(), row.epoch - 1);
            groups.push(group);
        }
        self.commit_change(context, &groups, conditions, writes);
    }

    /// Notifies the new holders, so that they need not wait for their next scan.
    pub(super) fn notify_new_holders(&mut self, context: &mut Context<'_>, groups: &[GroupId]) {
        for group in groups {
            let Some(known) = self.rows.get(group) else {
                continue;
            };
            if known.row.holder == context.view.node.id {
                continue;
            }
            let answer = SupportAnswer {
                group: group.clone(),
                epoch: known.row.epoch,
                takeover: true,
                granted: true,
                sent_at: Duration::ZERO,
            };
            let target = known.row.holder.clone();
            context.send(&target, Message::SupportAnswer(answer));
        }
    }

    /// Hands one group over to the node with the fewest groups if the groups are spread unevenly.
    pub(super) fn balance(&mut self, context: &mut Context<'_>) {
        if context.now < self.next_balance_at || !self.has_scanned {
            return;
        }
        let interval = lease_scan_interval(context.view).max(SHORTEST_BALANCE_INTERVAL);
        self.next_balance_at = context.now + jittered(context.random, interval);
        if !self.own.is_valid(context.now) {
            return;
        }
        if let Some(moved) = self.next_balancing_move(context) {
            self.hand_over(context, vec![moved]);
        }
    }

    /// Replaces lost voters promptly, because a takeover needs a majority of the voters.
    pub(super) fn refresh_all_voters(&mut self, context: &mut Context<'_>) {
        let Some(renewed_until) = self.own.valid_until() else {
            return;
        };
        if context.now < self.next_refresh_at || renewed_until <= context.now {
            return;
        }
        self.next_refresh_at = context.now + jittered(context.random, REFRESH_INTERVAL);
        // Voters that extended a lease are bound by their promises; new voters would not be. So the list changes
        // only while the lease is based on a renewal, which keeps candidates waiting whoever the voters are.
        let held: Vec<GroupId> = context
            .view
            .held
            .iter()
            .filter(|(_, lease)| lease.valid_until <= renewed_until)
            .map(|(group, _)| group.clone())
            .collect();
        for group in held {
            self.refresh_voters(context, &group);
        }
    }

    /// The group that this node should hand over, and the node that should receive it.
    ///
    /// Every node computes this from the same rows, and one giving node is chosen for each receiving node, so
    /// that a node that has just joined does not receive groups from all others at once.
    fn next_balancing_move(&self, context: &Context<'_>) -> Option<(GroupId, NodeId)> {
        let own = &context.view.node.id;
        let loads = self.loads_of(&live_nodes(context.view));
        let (target, least) = loads
            .iter()
            .min_by_key(|(node, load)| (**load, (*node).clone()))?;
        let most = loads.values().max()?;
        if *most < least + MIN_LOAD_DIFFERENCE {
            return None;
        }
        let source = loads
            .iter()
            .filter(|(_, load)| *load == most)
            .max_by_key(|(node, _)| weight(target, node))?;
        if source.0 != own {
            return None;
        }
        let group = context
            .view
            .held
            .keys()
            .filter(|group| !self.changing.contains_key(*group))
            .max_by_key(|group| weight(group, target))?;
        Some((group.clone(), target.clone()))
    }

    fn refresh_voters(&mut self, context: &mut Context<'_>, group: &GroupId) {
        if self.changing.contains_key(group) {
            return;
        }
        let Some(known) = self.rows.get(group) else {
            return;
        };
        let own = context.view.node.id.clone();
        let voters = self.voters_for(context, group, &own);
        let has_lost_voter = known
            .row
            .voters
            .iter()
            .any(|voter| needs_replacement(context, voter));
        if !has_lost_voter && voters.len() <= known.row.voters.len() {
            return;
        }
        let row = GroupRow {
            voters: voters.clone(),
            ..known.row.clone()
        };
        let based_on = known.version;
        // Until the outcome of the write is known, a candidate may count either list.
        let unsettled = self
            .unsettled_voters
            .entry(group.clone())
            .or_insert(UnsettledVoters {
                based_on,
                lists: Vec::new(),
            });
        if !unsettled.lists.contains(&voters) {
            unsettled.lists.push(voters);
        }
        let conditions = vec![self.row_condition(group)];
        let write = Write {
            key: group_key(group),
            value: Some(to_value(&row)),
        };
        self.commit_change(
            context,
            std::slice::from_ref(group),
            conditions,
            vec![write],
        );
    }
}

/// Whether a voter should be replaced: it is not a member, is leaving, or is suspected and silent.
fn needs_replacement(context: &Context<'_>, voter: &NodeId) -> bool {
    if *voter == context.view.node.id {
        return false;
    }
    let Some(member) = context.view.members.get(voter) else {
        return true;
    };
    let is_silent = member
        .heard_at
        .is_none_or(|heard_at| context.now.saturating_sub(heard_at) >= VOTER_SILENCE);
    member.leaving || member.suspected && is_silent
}
