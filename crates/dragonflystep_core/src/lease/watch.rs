//! Records the node rows that this node has read, with times on its own clock.

use {
    super::{rows::NodeRow, timing::drift_margin},
    crate::{
        ids::{Incarnation, NodeId, RowVersion},
        state::Tuning,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// What this node knows of one node's row.
#[derive(Clone, Debug)]
pub struct WatchedNode {
    /// Newest version seen.
    pub version: RowVersion,
    /// Content of the row at that version.
    pub content: NodeRow,
    /// When this version was first seen.
    pub since: Duration,
    /// When this version was last seen; the row may have changed since then.
    seen_at: Duration,
    /// When the last read that returned this version was sent, if known.
    read_sent_at: Option<Duration>,
    /// Send time of the latest read that returned a version which has since been replaced by a newer one.
    ///
    /// A takeover agreed to before that time was agreed to for an older version of the row than the present one,
    /// so it can no longer be committed.
    pub cleared_from: Option<Duration>,
}

/// What this node knows of all node rows.
#[derive(Debug, Default)]
pub struct NodeWatch {
    nodes: BTreeMap<NodeId, WatchedNode>,
    absent_since: BTreeMap<NodeId, Duration>,
}

/// Whether the holder of a lease may still renew it by its node row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewals {
    /// The holder may still renew, or this is not known.
    Possible,
    /// The holder can't renew, provided that the row still has this version, or is still absent for `None`, when
    /// the takeover is committed.
    Ended {
        /// Version of the node's row; `None` when it is absent.
        version: Option<RowVersion>,
        /// How long the row has been unchanged.
        unchanged_for: Duration,
    },
    /// The holder can't renew, whatever happens to the row: it is fenced, or another incarnation wrote it.
    ///
    /// An incarnation can renew only a version that it has read, so it must first read that its leases are void.
    Replaced {
        /// How long the row has been unchanged.
        unchanged_for: Duration,
    },
    /// No row is known: it was never seen or was missing from the last scan. A read has to confirm its absence.
    Missing,
}

impl NodeWatch {
    /// What is known of one node's row; `None` when it was not seen.
    pub fn get(&self, node: &str) -> Option<&WatchedNode> {
        self.nodes.get(node)
    }

    /// Processes a row from a table answer. `read_sent_at` is when the read that returned it was sent, if known.
    pub fn seen(
        &mut self,
        now: Duration,
        node: &NodeId,
        version: RowVersion,
        content: NodeRow,
        read_sent_at: Option<Duration>,
    ) {
        self.absent_since.remove(node);
        let known = self.nodes.get_mut(node);
        if let Some(known) = known {
            if version < known.version {
                return;
            }
            if version == known.version {
                known.read_sent_at = known.read_sent_at.max(read_sent_at);
                known.seen_at = now;
                return;
            }
        }
        let before = self.nodes.get(node);
        // A fence is not a renewal by the holder, so the time since the last renewal continues.
        let since = before
            .filter(|before| content.is_fence_of(&before.content))
            .map_or(now, |before| before.since);
        let cleared_from = before.and_then(|before| before.cleared_from.max(before.read_sent_at));
        let watched = WatchedNode {
            version,
            content,
            since,
            seen_at: now,
            read_sent_at,
            cleared_from,
        };
        self.nodes.insert(node.clone(), watched);
    }

    /// Records that a read found no row for the node.
    pub fn seen_absent(&mut self, now: Duration, node: &NodeId) {
        self.nodes.remove(node);
        self.absent_since.entry(node.clone()).or_insert(now);
    }

    /// All nodes whose rows were seen, with what is known of them.
    pub fn all(&self) -> impl Iterator<Item = (&NodeId, &WatchedNode)> {
        self.nodes.iter()
    }

    /// Drops the nodes that a scan did not find.
    pub fn keep_only(&mut self, found: &BTreeSet<NodeId>) {
        self.nodes.retain(|node, _| found.contains(node));
    }

    /// Whether `incarnation` of `node` may still renew its leases by its row.
    ///
    /// `group_version` is the version of the group row that names them as the holder. A version of the node's
    /// row that is older than that may predate the incarnation.
    pub fn renewals_of(
        &self,
        now: Duration,
        tuning: &Tuning,
        node: &NodeId,
        incarnation: Incarnation,
        group_version: RowVersion,
    ) -> Renewals {
        let Some(watched) = self.nodes.get(node) else {
            return match self.absent_since.get(node) {
                Some(since) => Renewals::Ended {
                    version: None,
                    unchanged_for: now.saturating_sub(*since),
                },
                None => Renewals::Missing,
            };
        };
        let unchanged_for = watched.seen_at.saturating_sub(watched.since);
        let is_replaced = watched.content.fenced || watched.content.incarnation != incarnation;
        if is_replaced && watched.version > group_version {
            return Renewals::Replaced { unchanged_for };
        }
        let lease_duration = watched.content.lease_duration();
        if unchanged_for < lease_duration + drift_margin(tuning, lease_duration) {
            return Renewals::Possible;
        }
        Renewals::Ended {
            version: Some(watched.version),
            unchanged_for,
        }
    }
}
