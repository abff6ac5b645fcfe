//! Fetches missed versions: a few from a peer first and then from the table, many from a snapshot.
//!
//! A peer answers with the changes that it keeps or with its whole catalogue in one message. A node that is more
//! than one such answer behind therefore reads a snapshot and the changes after it from the platform. It asks
//! peers when the platform has no snapshot or does not answer in time.

use {
    super::{CatalogueSync, rows::change_key},
    crate::{
        context::Context,
        effect::Effect,
        ids::{CatalogueVersion, NodeId},
        message::Message,
        table::{TableCall, TableOperation, TableOutcome},
    },
    rand::seq::IteratorRandom,
    std::time::Duration,
};

/// Most changes in one answer or one read; a peer sends its whole catalogue to a node that is further behind.
const MOST_CHANGES: u64 = 64;
/// Time that a peer has to answer before the next attempt.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// State of catching up with the newest version.
#[derive(Debug, Default)]
pub(super) struct Fetch {
    /// Newest version that some peer is known to have.
    newest_at_peers: CatalogueVersion,
    asked_at: Option<Duration>,
    /// Whether the next attempt reads from the platform instead of asking a peer; each timeout of a peer toggles it.
    is_peer_skipped: bool,
    is_reading: bool,
    /// Whether a read showed that the change row after the version in force is absent.
    is_row_missing: bool,
}

impl Fetch {
    /// Resets the attempts after a newer version came into force.
    pub(super) fn made_progress(&mut self) {
        self.asked_at = None;
        self.is_peer_skipped = false;
        self.is_row_missing = false;
    }
}

impl CatalogueSync {
    /// Records that a peer has a newer version, and requests it unless a request is outstanding.
    pub(super) fn peer_has(
        &mut self,
        context: &mut Context<'_>,
        peer: &NodeId,
        version: CatalogueVersion,
    ) {
        self.fetch.newest_at_peers = self.fetch.newest_at_peers.max(version);
        let is_asked = self
            .fetch
            .asked_at
            .is_some_and(|asked_at| context.now.saturating_sub(asked_at) < PEER_TIMEOUT);
        if !is_asked && !self.prefers_platform(context) {
            self.ask_peer(context, peer);
        }
    }

    fn ask_peer(&mut self, context: &mut Context<'_>, peer: &NodeId) {
        self.fetch.asked_at = Some(context.now);
        let have_version = context.view.catalogue.version;
        context.send(peer, Message::CatalogueWanted { have_version });
    }

    /// Requests missing versions from a peer or the platform when this node is behind.
    pub(super) fn fetch_when_due(&mut self, context: &mut Context<'_>) {
        let in_force = context.view.catalogue.version;
        if self.newest_known() <= in_force {
            return;
        }
        if self.prefers_platform(context) {
            self.read_from_platform(context);
            return;
        }
        if let Some(asked_at) = self.fetch.asked_at {
            if context.now.saturating_sub(asked_at) < PEER_TIMEOUT {
                return;
            }
            self.fetch.asked_at = None;
            self.fetch.is_peer_skipped = !self.fetch.is_peer_skipped;
        }
        let peer = context
            .view
            .members
            .iter()
            .filter(|(_, member)| member.catalogue_version > in_force && !member.suspected)
            .map(|(node, _)| node.clone())
            .choose(context.random);
        match peer {
            Some(peer) if !self.fetch.is_peer_skipped => self.ask_peer(context, &peer),
            _ => self.read_from_platform(context),
        }
    }

    fn newest_known(&self) -> CatalogueVersion {
        self.head.newest().max(self.fetch.newest_at_peers)
    }

    /// Whether this node is so far behind that a peer would send its whole catalogue, and a snapshot may be usable.
    fn prefers_platform(&self, context: &Context<'_>) -> bool {
        let in_force = context.view.catalogue.version;
        let missing = self.newest_known().saturating_sub(in_force);
        missing > MOST_CHANGES && self.may_load_snapshot(context)
    }

    /// Reads a snapshot if the node is far behind or the next change row is absent, and changes otherwise.
    fn read_from_platform(&mut self, context: &mut Context<'_>) {
        let in_force = context.view.catalogue.version;
        let is_far = self.newest_known().saturating_sub(in_force) > MOST_CHANGES;
        let wants_snapshot = (is_far && !self.has_loaded_snapshot()) || self.fetch.is_row_missing;
        if wants_snapshot && !self.fetch.is_reading && self.load_snapshot(context) {
            return;
        }
        self.read_changes(context);
    }

    pub(super) fn read_changes(&mut self, context: &mut Context<'_>) {
        let first = context.view.catalogue.version + 1;
        let last = self.head.newest().min(first + MOST_CHANGES - 1);
        self.read_range(context, first, last);
    }

    /// Reads changes older than the kept ones, back to the one after `based_on`.
    pub(super) fn read_older(&mut self, context: &mut Context<'_>, based_on: CatalogueVersion) {
        let oldest = self.history.oldest(context.view.catalogue.version);
        let first = (based_on + 1).max(oldest.saturating_sub(MOST_CHANGES));
        self.read_range(context, first, oldest - 1);
    }

    fn read_range(
        &mut self,
        context: &mut Context<'_>,
        first: CatalogueVersion,
        last: CatalogueVersion,
    ) {
        if self.fetch.is_reading || last < first {
            return;
        }
        self.fetch.is_reading = true;
        context.effect(Effect::CallTable {
            call: TableCall::CatalogueChanges(first),
            operation: TableOperation::Read {
                keys: (first..=last).map(change_key).collect(),
            },
        });
    }

    /// Handles a read of changes.
    pub(super) fn changes_read(&mut self, context: &mut Context<'_>, outcome: &TableOutcome) {
        self.fetch.is_reading = false;
        let TableOutcome::Rows(rows) = outcome else {
            self.fetch.is_peer_skipped = false;
            self.snapshot_did_not_help();
            self.table_unavailable(context);
            return;
        };
        let in_force = context.view.catalogue.version;
        self.process_rows(context, rows);
        if context.view.catalogue.version > in_force {
            // Requests the remaining versions without waiting for the next round.
            self.fetch_when_due(context);
        } else {
            self.fetch.is_row_missing = self.head.newest() > in_force;
            if self.fetch.is_row_missing {
                self.snapshot_did_not_help();
            }
        }
        self.advance_pending_changes(context);
    }

    /// Sends a peer the changes that it lacks, or the whole catalogue if it is too far behind.
    pub(super) fn send_missing_changes(
        &mut self,
        context: &mut Context<'_>,
        peer: &NodeId,
        have_version: CatalogueVersion,
    ) {
        let in_force = context.view.catalogue.version;
        if have_version >= in_force {
            return;
        }
        let most = usize::try_from(MOST_CHANGES).unwrap_or(usize::MAX);
        let is_near = in_force - have_version <= MOST_CHANGES;
        if is_near && let Some(changes) = self.history.after(have_version, most) {
            context.send(peer, Message::CatalogueChanges(changes));
            return;
        }
        let catalogue = context.view.catalogue.clone();
        context.send(peer, Message::CatalogueSnapshot(catalogue));
    }
}
