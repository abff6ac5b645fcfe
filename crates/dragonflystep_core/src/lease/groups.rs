//! Tracks the group rows as this node last read them, and the groups that it holds.

use {
    super::{
        Leases,
        rows::{GroupRow, group_key, node_key, read_group_row, read_node_row},
    },
    crate::{
        context::{Context, HeldLease, Holder, Signal},
        effect::{Effect, Record},
        ids::{Epoch, GroupId, NodeId, RowVersion},
        table::{Condition, Row, TableCall, TableOperation, Write},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// A group's row as last read, with its version.
#[derive(Clone, Debug)]
pub(super) struct KnownGroup {
    pub(super) version: RowVersion,
    pub(super) row: GroupRow,
}

/// Voter lists from writes of this node whose outcome is not known.
///
/// Until the row is read with a newer version than the one that the write was based on, the write may still take
/// effect, and a candidate may count either list.
#[derive(Clone, Debug)]
pub(super) struct UnsettledVoters {
    pub(super) based_on: RowVersion,
    pub(super) lists: Vec<Vec<NodeId>>,
}

impl Leases {
    /// Processes rows from any table answer. `read_sent_at` is when the read that returned them was sent, if
    /// known.
    pub(super) fn observe_rows(
        &mut self,
        context: &mut Context<'_>,
        rows: &[Row],
        read_sent_at: Option<Duration>,
    ) {
        for row in rows {
            if let Some((node, content)) = read_node_row(row) {
                self.watch
                    .seen(context.now, &node, row.version, content, read_sent_at);
                let change = self.own.seen(context, row);
                self.own_row_changed(context, change);
            } else if let Some((group, content)) = read_group_row(row) {
                self.observe_group(context, group, row.version, content);
            }
        }
    }

    fn observe_group(
        &mut self,
        context: &mut Context<'_>,
        group: GroupId,
        version: RowVersion,
        row: GroupRow,
    ) {
        if self
            .rows
            .get(&group)
            .is_some_and(|known| known.version >= version)
        {
            return;
        }
        if self
            .unsettled_voters
            .get(&group)
            .is_some_and(|unsettled| version > unsettled.based_on)
        {
            self.unsettled_voters.remove(&group);
        }
        let own = &context.view.node;
        let is_own = row.holder == own.id && row.incarnation == own.incarnation;
        if let Some(held) = context.view.held.get(&group)
            && (!is_own || held.epoch != row.epoch)
        {
            self.lose(context, &group);
        }
        set_holder(context, &group, &row.holder, row.epoch);
        self.rows.insert(group, KnownGroup { version, row });
    }

    /// Starts to hold a group whose row names this incarnation. The caller has checked that the epoch was not
    /// given up.
    pub(super) fn acquire(&mut self, context: &mut Context<'_>, group: &GroupId, epoch: Epoch) {
        let Some(valid_until) = self.own.valid_until() else {
            return;
        };
        let lease = HeldLease { epoch, valid_until };
        context.view.held.insert(group.clone(), lease);
        self.candidacies.remove(group);
        context.signal(Signal::LeaseAcquired {
            group: group.clone(),
            epoch,
        });
        context.effect(Effect::Record(Record::LeaseChanged { held: true }));
    }

    /// Stops holding a group. This node never acquires the same epoch of the group again.
    pub(super) fn lose(&mut self, context: &mut Context<'_>, group: &GroupId) {
        let Some(lease) = context.view.held.remove(group) else {
            return;
        };
        self.given_up.insert(group.clone(), lease.epoch);
        self.extensions.remove(group);
        context.signal(Signal::LeaseLost {
            group: group.clone(),
        });
        context.effect(Effect::Record(Record::LeaseChanged { held: false }));
    }

    /// Stops holding all groups.
    pub(super) fn lose_all(&mut self, context: &mut Context<'_>) {
        let groups: Vec<GroupId> = context.view.held.keys().cloned().collect();
        for group in groups {
            self.lose(context, &group);
        }
    }

    /// Whether this node has given up this epoch of the group or a later one.
    pub(super) fn has_given_up(&self, group: &str, epoch: Epoch) -> bool {
        self.given_up
            .get(group)
            .is_some_and(|given_up| *given_up >= epoch)
    }

    /// Reads the rows of a group and of its last known holder, unless such a read is in flight.
    pub(super) fn read_group(&mut self, context: &mut Context<'_>, group: &GroupId) {
        if !self.reading.insert(group.clone()) {
            return;
        }
        let holder = self
            .rows
            .get(group)
            .map(|known| node_key(&known.row.holder));
        let keys = [Some(group_key(group)), holder];
        context.effect(Effect::CallTable {
            call: TableCall::LeaseRead(group.clone()),
            operation: TableOperation::Read {
                keys: keys.into_iter().flatten().collect(),
            },
        });
    }

    /// Commits changes of several groups in one transaction, which is named after the first group.
    pub(super) fn commit_change(
        &mut self,
        context: &mut Context<'_>,
        groups: &[GroupId],
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) {
        let Some(name) = groups.first() else {
            return;
        };
        for group in groups {
            self.changing.insert(group.clone(), name.clone());
        }
        context.effect(Effect::CallTable {
            call: TableCall::LeaseChange(name.clone()),
            operation: TableOperation::Commit { conditions, writes },
        });
    }

    /// Condition that a group's row still has the version that was last read.
    pub(super) fn row_condition(&self, group: &str) -> Condition {
        Condition {
            key: group_key(group),
            version: self.rows.get(group).map(|known| known.version),
        }
    }

    /// Groups whose row names this incarnation as the holder.
    pub(super) fn own_groups(&self, context: &Context<'_>) -> BTreeSet<GroupId> {
        let own = &context.view.node;
        self.rows
            .iter()
            .filter(|(_, known)| {
                known.row.holder == own.id && known.row.incarnation == own.incarnation
            })
            .map(|(group, _)| group.clone())
            .collect()
    }
}

/// Records the holder of a group if its epoch is newer than the known one.
pub(super) fn set_holder(context: &mut Context<'_>, group: &GroupId, node: &NodeId, epoch: Epoch) {
    let holders = &mut context.view.holders;
    if holders.get(group).is_some_and(|known| known.epoch >= epoch) {
        return;
    }
    let holder = Holder {
        node: node.clone(),
        epoch,
    };
    holders.insert(group.clone(), holder);
    context.signal(Signal::HolderChanged {
        group: group.clone(),
    });
}
