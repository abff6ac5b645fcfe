//! Polls the head row and puts new versions in force.

use {
    super::{
        CatalogueSync,
        rows::{HEAD_KEY, read_change, read_head},
    },
    crate::{
        catalogue::{Catalogue, CatalogueChange},
        context::{Context, Signal},
        effect::{Effect, LogLevel, Record},
        ids::{CatalogueVersion, NodeId, RowVersion},
        lease::{cluster_size, jittered},
        message::Message,
        table::{Row, TableCall, TableOperation, TableOutcome},
    },
    rand::seq::IteratorRandom,
    std::{sync::Arc, time::Duration},
};

/// Shortest interval between two reads of the head.
const SHORTEST_POLL: Duration = Duration::from_millis(2000);
/// Longest interval between two reads of the head; with jitter it stays well below the promised 7 s.
const LONGEST_POLL: Duration = Duration::from_millis(2700);
/// Added to the poll interval for each node, so that the load on the table stays bounded.
const POLL_PER_NODE: Duration = Duration::from_millis(7);
/// Number of nodes to which the committing node pushes a change.
const FIRST_PUSH: usize = 16;
/// Number of nodes to which a node forwards changes that it has just learned.
const NEXT_PUSH: usize = 4;
/// A node that learned more changes than this at once was behind, and does not forward them.
const MOST_PUSHED_ON: usize = 4;

/// The last known state of the head row.
#[derive(Debug, Default)]
pub(super) struct Head {
    /// Whether the head row was ever read or seen in an answer.
    pub(super) is_known: bool,
    /// Version of the row; `None` while the row does not exist.
    pub(super) row_version: Option<RowVersion>,
    /// The newest catalogue version; `newest_at` is when the call that showed it was sent, until it is in force.
    newest: CatalogueVersion,
    newest_at: Option<Duration>,
    in_flight_since: Option<Duration>,
    next_at: Duration,
}

impl Head {
    /// Returns the newest version that the table is known to have.
    pub(super) fn newest(&self) -> CatalogueVersion {
        self.newest
    }

    /// Schedules a read for the next round.
    pub(super) fn read_soon(&mut self) {
        self.next_at = Duration::ZERO;
    }
}

impl CatalogueSync {
    /// Reads the head row if the poll interval has passed and no read is outstanding.
    pub(super) fn read_head_when_due(&mut self, context: &mut Context<'_>) {
        if self.head.in_flight_since.is_some() || context.now < self.head.next_at {
            return;
        }
        let scaled = POLL_PER_NODE.saturating_mul(cluster_size(context.view));
        let interval = scaled.clamp(SHORTEST_POLL, LONGEST_POLL);
        self.head.next_at = context.now + jittered(context.random, interval);
        self.head.in_flight_since = Some(context.now);
        context.effect(Effect::CallTable {
            call: TableCall::CatalogueHead,
            operation: TableOperation::Read {
                keys: vec![HEAD_KEY.into()],
            },
        });
    }

    /// Handles a read of the head.
    pub(super) fn head_read(&mut self, context: &mut Context<'_>, outcome: &TableOutcome) {
        let sent_at = self.head.in_flight_since.take();
        match outcome {
            TableOutcome::Rows(rows) => {
                self.head.is_known = true;
                self.process_rows(context, rows);
                if let Some(sent_at) = sent_at {
                    let shown = rows.iter().find_map(read_head).unwrap_or(0);
                    self.confirm_newest(context, shown, sent_at);
                }
                self.fetch_when_due(context);
            }
            _ => self.table_unavailable(context),
        }
        self.advance_pending_changes(context);
    }

    /// Processes head and change rows that a table answer contained.
    pub(super) fn process_rows(&mut self, context: &mut Context<'_>, rows: &[Row]) {
        let mut changes: Vec<Arc<CatalogueChange>> = Vec::new();
        for row in rows {
            if let Some(version) = read_head(row) {
                self.process_head(context, row.version, version);
            } else if let Some(change) = read_change(row) {
                changes.push(Arc::new(change));
            }
        }
        self.changes_received(context, &changes);
    }

    fn process_head(
        &mut self,
        context: &mut Context<'_>,
        row_version: RowVersion,
        version: CatalogueVersion,
    ) {
        if self
            .head
            .row_version
            .is_some_and(|known| known > row_version)
        {
            return;
        }
        if version < self.head.newest {
            context.log(
                LogLevel::Error,
                "the head of the catalogue went back; the version in force stays",
                vec![("head", version.to_string())],
            );
            return;
        }
        self.head.is_known = true;
        self.head.row_version = Some(row_version);
        self.head.newest = version;
        self.note_version(context, version);
    }

    /// Records that no version above `version` was committed before `at`.
    pub(super) fn confirm_newest(
        &mut self,
        context: &mut Context<'_>,
        version: CatalogueVersion,
        at: Duration,
    ) {
        if context.view.catalogue.version >= version {
            let confirmed_at = &mut context.view.catalogue_confirmed_at;
            *confirmed_at = (*confirmed_at).max(Some(at));
        } else if version >= self.head.newest {
            self.head.newest = version;
            self.head.newest_at = Some(at);
        }
    }

    /// Applies changes that follow the version in force; older ones only extend the history.
    pub(super) fn changes_received(
        &mut self,
        context: &mut Context<'_>,
        changes: &[Arc<CatalogueChange>],
    ) {
        let mut sorted = changes.to_vec();
        sorted.sort_by_key(|change| change.version);
        let in_force = context.view.catalogue.version;
        for change in sorted
            .iter()
            .rev()
            .filter(|change| change.version <= in_force)
        {
            self.history.extend_back(change, in_force);
        }
        let mut applied = Vec::new();
        for change in sorted {
            if change.version == context.view.catalogue.version + 1 {
                let next = context.view.catalogue.with_change(&change);
                self.history.push(change.clone());
                put_in_force(context, next);
                applied.push(change);
            }
        }
        if applied.is_empty() {
            return;
        }
        self.applied(context);
        if applied.len() <= MOST_PUSHED_ON {
            push(context, &applied, NEXT_PUSH);
        }
    }

    /// Applies a change that this node has committed, and pushes it to other nodes.
    pub(super) fn own_change_committed(
        &mut self,
        context: &mut Context<'_>,
        change: &Arc<CatalogueChange>,
    ) {
        if change.version == context.view.catalogue.version + 1 {
            let next = context.view.catalogue.with_change(change);
            self.history.push(change.clone());
            put_in_force(context, next);
            self.applied(context);
        }
        push(context, std::slice::from_ref(change), FIRST_PUSH);
    }

    /// Replaces the catalogue in force by a newer one.
    pub(super) fn snapshot_received(
        &mut self,
        context: &mut Context<'_>,
        catalogue: Arc<Catalogue>,
    ) {
        if catalogue.version <= context.view.catalogue.version {
            return;
        }
        self.history.clear();
        put_in_force(context, Arc::unwrap_or_clone(catalogue));
        self.applied(context);
    }

    fn applied(&mut self, context: &mut Context<'_>) {
        context.signal(Signal::CatalogueApplied);
        self.update_change_in_flight(context);
        self.fetch.made_progress();
        let version = context.view.catalogue.version;
        if version >= self.head.newest
            && let Some(at) = self.head.newest_at.take()
        {
            self.confirm_newest(context, version, at);
        }
    }
}

fn put_in_force(context: &mut Context<'_>, catalogue: Catalogue) {
    let version = catalogue.version;
    context.view.catalogue = Arc::new(catalogue);
    context.effect(Effect::Record(Record::CatalogueApplied { version }));
}

fn push(context: &mut Context<'_>, changes: &[Arc<CatalogueChange>], most: usize) {
    let version = context.view.catalogue.version;
    let behind = context
        .view
        .members
        .iter()
        .filter(|(_, member)| member.catalogue_version < version)
        .map(|(node, _)| node.clone());
    let receivers: Vec<NodeId> = behind.choose_multiple(context.random, most);
    for node in receivers {
        context.send(&node, Message::CatalogueChanges(changes.to_vec()));
    }
}
