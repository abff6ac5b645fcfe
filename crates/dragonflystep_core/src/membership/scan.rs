//! Builds the member list from scans of the node rows in the table service.

use {
    super::Membership,
    crate::{
        context::{Context, Member, Signal},
        effect::{Effect, LogLevel},
        ids::{NodeId, RowVersion},
        lease::{NODE_PREFIX, NodeRow, jittered, member_scan_interval, read_node_row},
        table::{Row, TableCall, TableOperation, TableOutcome},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Number of lease durations without a renewal and without a message after which a member is removed.
const LEASE_DURATIONS_UNTIL_REMOVAL: u32 = 3;

/// What this node last read in another node's row.
#[derive(Clone, Debug)]
pub(super) struct SeenNode {
    version: RowVersion,
    since: Duration,
    lease_duration: Duration,
    fenced: bool,
    /// Whether the node fenced its own row when it stopped, and so serves no requests any more.
    retired: bool,
    /// Name of the node's VM, if the row names one.
    pub(super) vm: Option<Arc<str>>,
}

impl Membership {
    /// When the latest scan was sent.
    pub fn scan_sent_at(&self) -> Duration {
        self.scan_sent_at
    }

    /// Scans the node rows when a scan is due.
    pub(super) fn scan_when_due(&mut self, context: &mut Context<'_>) {
        if self.scan_in_flight || context.now < self.next_scan_at {
            return;
        }
        let interval = member_scan_interval(context.view);
        self.next_scan_at = context.now + jittered(context.random, interval);
        self.scan_in_flight = true;
        self.scan_sent_at = context.now;
        context.effect(Effect::CallTable {
            call: TableCall::MemberScan,
            operation: TableOperation::Scan {
                prefix: NODE_PREFIX.into(),
            },
        });
    }

    /// Handles a scan of the node rows.
    pub fn scanned(&mut self, context: &mut Context<'_>, outcome: TableOutcome) {
        self.scan_in_flight = false;
        let TableOutcome::Rows(rows) = outcome else {
            context.log(LogLevel::Warn, "member list can't be read", Vec::new());
            self.last_scan_failed = true;
            return;
        };
        if std::mem::take(&mut self.last_scan_failed) {
            // No node could renew while the table was unavailable, so the time without a renewal starts again
            // for all.
            for seen in self.seen.values_mut() {
                seen.since = context.now;
            }
        }
        context.view.members_read = true;
        let mut found = BTreeSet::new();
        for row in &rows {
            let Some((node, content)) = read_node_row(row) else {
                continue;
            };
            found.insert(node.clone());
            if node != context.view.node.id {
                self.observe_row(context, &node, row, content);
            }
        }
        self.remove_silent(context, &found);
        self.update_silent_nodes(context, &found);
    }

    fn observe_row(
        &mut self,
        context: &mut Context<'_>,
        node: &NodeId,
        row: &Row,
        content: NodeRow,
    ) {
        let known = self.seen.get(node);
        if known.is_some_and(|known| known.version >= row.version) {
            return;
        }
        let seen = SeenNode {
            version: row.version,
            since: context.now,
            lease_duration: content.lease_duration(),
            fenced: content.fenced,
            retired: content.fenced && content.leaving,
            vm: content.vm.clone(),
        };
        self.seen.insert(node.clone(), seen);
        let is_replaced = context
            .view
            .members
            .get(node)
            .is_some_and(|member| member.incarnation != content.incarnation);
        if is_replaced {
            self.remove_member(context, node);
        }
        if !content.fenced {
            context.view.confirmed_gone.remove(node);
            self.update_member(context, node, content);
        }
    }

    fn update_member(&mut self, context: &mut Context<'_>, node: &NodeId, content: NodeRow) {
        if let Some(member) = context.view.members.get_mut(node) {
            member.leaving |= content.leaving;
            member.catalogue_version = member.catalogue_version.max(content.catalogue_version);
            return;
        }
        let member = Member {
            incarnation: content.incarnation,
            data_centre: content.data_centre,
            mesh_address: content.mesh_address,
            caller_address: content.caller_address,
            leaving: content.leaving,
            catalogue_version: content.catalogue_version,
            heard_at: None,
            suspected: false,
        };
        context.view.members.insert(node.clone(), member);
        context.signal(Signal::MemberJoined { node: node.clone() });
    }

    fn remove_silent(&mut self, context: &mut Context<'_>, found: &BTreeSet<NodeId>) {
        let gone: Vec<NodeId> = context
            .view
            .members
            .iter()
            .filter(|(node, member)| {
                let Some(seen) = self.seen.get(*node) else {
                    return false;
                };
                let silent_since = member.heard_at.unwrap_or(Duration::ZERO).max(seen.since);
                let silence = context.now.saturating_sub(silent_since);
                let is_absent = !found.contains(*node);
                let timeout = match is_absent || seen.fenced {
                    true => seen.lease_duration,
                    false => seen.lease_duration * LEASE_DURATIONS_UNTIL_REMOVAL,
                };
                silence >= timeout
            })
            .map(|(node, _)| node.clone())
            .collect();
        for node in gone {
            self.remove_member(context, &node);
        }
        let seen = &mut self.seen;
        seen.retain(|node, _| found.contains(node) || context.view.members.contains_key(node));
        let confirmed_gone = &mut context.view.confirmed_gone;
        confirmed_gone.retain(|node| seen.contains_key(node));
    }

    /// Updates the nodes that have a row and are not members, but whose process is not known to have ended.
    fn update_silent_nodes(&self, context: &mut Context<'_>, found: &BTreeSet<NodeId>) {
        let view = &context.view;
        let silent = self.seen.iter().filter(|(node, seen)| {
            let is_out = !view.members.contains_key(*node) && !view.confirmed_gone.contains(*node);
            found.contains(*node) && !seen.retired && is_out
        });
        context.view.silent = silent.map(|(node, _)| node.clone()).collect();
    }

    /// VM name of each node whose row was read and names one.
    pub(super) fn vms_of_nodes(&self) -> BTreeMap<NodeId, Arc<str>> {
        self.seen
            .iter()
            .filter_map(|(node, seen)| Some((node.clone(), seen.vm.clone()?)))
            .collect()
    }
}
