//! Periodic work of the lease rounds: scans, watched holders, and dead nodes and their rows.

use {
    super::{
        Leases,
        placement::{live_nodes, loads, rank, weight},
        rows::{GROUP_PREFIX, node_key},
        timing::{cluster_size, jittered, lease_scan_interval},
    },
    crate::{
        catalogue_sync::version_probe,
        context::Context,
        effect::Effect,
        ids::{GroupId, NodeId},
        message::Message,
        table::{Condition, TableCall, TableOperation, TableOutcome, Write},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Number of nodes that watch the holder of each group.
const WATCHERS: usize = 3;
/// Interval at which the list of watched holders is recomputed.
const WATCH_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between two checks of a watched holder.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a watched holder is probed.
const PROBE_SILENCE: Duration = Duration::from_millis(500);
/// Silence after which a watched holder's row is read.
const READ_SILENCE: Duration = Duration::from_millis(900);
/// Maximum number of new groups that are read one by one; more are read by one scan.
const MAX_SINGLE_READS: usize = 8;
/// Wait before a scan for new groups, per node of the system, so that not all nodes scan at once.
const SHORTEST_SCAN_WAIT: Duration = Duration::from_millis(15);
/// How long the row of a dead node is kept, so that other nodes can read it.
const DEAD_ROW_KEPT: Duration = Duration::from_secs(180);

impl Leases {
    /// Updates the set of groups from the catalogue, and gives up held groups that it no longer names.
    pub(super) fn catalogue_applied(&mut self, context: &mut Context<'_>) {
        self.groups = context
            .view
            .catalogue
            .all_upstreams()
            .map(|upstream| upstream.group.clone())
            .collect();
        self.next_watch_list_at = Duration::ZERO;
        let new_groups = self
            .groups
            .iter()
            .filter(|group| !self.rows.contains_key(*group));
        if new_groups.count() > MAX_SINGLE_READS {
            self.awaits_scan = true;
            let wait = jittered(
                context.random,
                SHORTEST_SCAN_WAIT * cluster_size(context.view),
            );
            self.next_scan_at = self.next_scan_at.min(context.now + wait);
        }
        let dropped: Vec<GroupId> = context
            .view
            .held
            .keys()
            .filter(|group| !self.groups.contains(*group))
            .cloned()
            .collect();
        for group in dropped {
            self.lose(context, &group);
        }
    }

    /// Scans the group rows when a scan is due.
    pub(super) fn scan_when_due(&mut self, context: &mut Context<'_>) {
        if self.scan_in_flight || context.now < self.next_scan_at {
            return;
        }
        let interval = lease_scan_interval(context.view);
        self.next_scan_at = context.now + jittered(context.random, interval);
        self.scan_in_flight = true;
        context.effect(Effect::CallTable {
            call: TableCall::LeaseScan,
            operation: TableOperation::Scan {
                prefix: GROUP_PREFIX.into(),
            },
        });
    }

    /// Records since when each node has been confirmed dead.
    pub(super) fn record_dead_nodes(&mut self, context: &mut Context<'_>) {
        let confirmed = &context.view.confirmed_gone;
        self.dead_since.retain(|node, _| confirmed.contains(node));
        for node in confirmed {
            self.dead_since.entry(node.clone()).or_insert(context.now);
        }
    }

    /// Probes silent holders, and reads their rows, for the groups that this node would be among the first to
    /// take over.
    ///
    /// Each holder is thus watched by a few nodes, at a constant cost per node.
    pub(super) fn watch_holders(&mut self, context: &mut Context<'_>) {
        if context.now >= self.next_watch_list_at {
            self.next_watch_list_at = context.now + jittered(context.random, WATCH_LIST_INTERVAL);
            self.watched_holders = self.holders_to_watch(context);
            self.remove_dead_rows(context);
        }
        if context.now < self.next_watch_at {
            return;
        }
        self.next_watch_at = context.now + WATCH_INTERVAL;
        for holder in self.watched_holders.clone() {
            let heard_at = context
                .view
                .members
                .get(&holder)
                .and_then(|member| member.heard_at);
            let silence = heard_at.map(|heard_at| context.now.saturating_sub(heard_at));
            if silence.is_none_or(|silence| silence >= PROBE_SILENCE) {
                probe(context, &holder);
            }
            if silence.is_none_or(|silence| silence >= READ_SILENCE) {
                self.read_node(context, &holder);
            }
        }
    }

    fn holders_to_watch(&self, context: &Context<'_>) -> BTreeSet<NodeId> {
        let own = &context.view.node.id;
        let live = live_nodes(context.view);
        let loads = loads(&live, self.rows.values().map(|known| &known.row.holder));
        self.rows
            .iter()
            .filter(|(group, known)| known.row.holder != *own && self.groups.contains(*group))
            .filter(|(group, _)| rank(group, own, &loads, self.groups.len()) < WATCHERS)
            .map(|(_, known)| known.row.holder.clone())
            .collect()
    }

    /// Reads the row of one node, unless a read or removal of it is in flight.
    pub(super) fn read_node(&mut self, context: &mut Context<'_>, node: &NodeId) {
        if self.node_reads.contains_key(node) {
            return;
        }
        self.node_reads.insert(node.clone(), context.now);
        context.effect(Effect::CallTable {
            call: TableCall::SuspectRead(node.clone()),
            operation: TableOperation::Read {
                keys: vec![node_key(node)],
            },
        });
    }

    /// Handles the answer to a read of one node's row, or to its removal.
    pub(super) fn node_read(
        &mut self,
        context: &mut Context<'_>,
        node: &NodeId,
        outcome: &TableOutcome,
    ) {
        let read_sent_at = self.node_reads.remove(node);
        match outcome {
            TableOutcome::Rows(rows) if rows.is_empty() => {
                self.watch.seen_absent(context.now, node);
            }
            TableOutcome::Rows(rows) => self.observe_rows(context, rows, read_sent_at),
            TableOutcome::Conflicted(rows) => self.observe_rows(context, rows, None),
            _ => {}
        }
    }

    /// Removes the rows of nodes that died long ago. For each row, one node does so, chosen by rendezvous
    /// hashing.
    fn remove_dead_rows(&mut self, context: &mut Context<'_>) {
        let own = context.view.node.id.clone();
        let live = live_nodes(context.view);
        let rows = self.rows.values().map(|known| &known.row);
        // The row of a voter is kept, since proof of the voter's death counts as its vote.
        let named: BTreeSet<&NodeId> = rows
            .flat_map(|row| std::iter::once(&row.holder).chain(&row.voters))
            .collect();
        let dead: Vec<(NodeId, u64)> = self
            .watch
            .all()
            .filter(|(node, watched)| {
                context.now.saturating_sub(watched.since) >= DEAD_ROW_KEPT
                    && !context.view.members.contains_key(*node)
                    && !named.contains(node)
                    && !self.node_reads.contains_key(*node)
                    && **node != own
            })
            .filter(|(node, _)| live.iter().max_by_key(|other| weight(node, other)) == Some(&own))
            .map(|(node, watched)| (node.clone(), watched.version))
            .collect();
        for (node, version) in dead {
            self.node_reads.insert(node.clone(), context.now);
            let key = node_key(&node);
            context.effect(Effect::CallTable {
                call: TableCall::SuspectRead(node),
                operation: TableOperation::Commit {
                    conditions: vec![Condition {
                        key: key.clone(),
                        version: Some(version),
                    }],
                    writes: vec![Write { key, value: None }],
                },
            });
        }
    }
}

fn probe(context: &mut Context<'_>, node: &NodeId) {
    let probe = version_probe(context);
    context.send(node, Message::Probe(probe));
}
