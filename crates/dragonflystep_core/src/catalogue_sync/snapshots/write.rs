//! Writes snapshots and removes the change rows that no kept snapshot needs.

use {
    super::{
        format::{decode_snapshot, encode_snapshot},
        row::{KnownRow, NamedSnapshot, SnapshotRow, read_with_head},
    },
    crate::{
        catalogue_sync::{CatalogueSync, rows::read_head},
        context::Context,
        effect::{Effect, LogLevel},
        ids::{CatalogueVersion, NodeId},
        object::{ObjectCall, ObjectOperation, ObjectOutcome},
        table::{TableCall, TableOutcome, Write},
    },
    rand::Rng,
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Time that each node has to write a snapshot before the next one in the order tries.
const TURN_LENGTH: Duration = Duration::from_secs(20);
/// Wait after a step that failed.
const WRITE_RETRY: Duration = Duration::from_secs(5);
/// Wait between two removals.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(1);

/// Progress of writing a snapshot or removing change rows.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) enum WriteStep {
    /// Nothing is under way.
    #[default]
    Idle,
    /// The row is being read.
    ReadingRow,
    /// The object is being written.
    Storing(NamedSnapshot),
    /// The object is being read back.
    Checking(NamedSnapshot),
    /// The row that names the object is being written.
    Naming(NamedSnapshot),
    /// Change rows are being removed.
    Removing,
    /// More change rows have to be removed.
    RemovalDue,
}

impl CatalogueSync {
    /// Starts a check for a due snapshot, or the next removal of change rows, once the wait is over.
    pub(in crate::catalogue_sync) fn write_snapshot_when_due(&mut self, context: &mut Context<'_>) {
        if context.now < self.snapshots.write_at {
            return;
        }
        if self.snapshots.write == WriteStep::RemovalDue {
            self.remove_changes(context);
        } else if self.snapshots.write == WriteStep::Idle && self.is_snapshot_due(context) {
            self.snapshots.write = WriteStep::ReadingRow;
            context.effect(Effect::CallTable {
                call: TableCall::SnapshotCheck,
                operation: read_with_head(),
            });
        }
    }

    /// Whether it is this node's turn to write the snapshot that is due, or it knows of an invalid object.
    fn is_snapshot_due(&mut self, context: &Context<'_>) -> bool {
        let view = &context.view;
        if view.stopping || view.catalogue.version == 0 {
            return false;
        }
        let snapshots = &mut self.snapshots;
        if !snapshots.invalid_objects.is_empty() {
            return true;
        }
        let every = view.tuning.snapshot_every.max(1);
        let mark = view.catalogue.version / every * every;
        if mark <= snapshots.covered {
            return false;
        }
        let since = match snapshots.mark {
            Some((known, since)) if known == mark => since,
            _ => context.now,
        };
        snapshots.mark = Some((mark, since));
        context.now >= since + TURN_LENGTH.saturating_mul(turns_before(context, mark))
    }

    /// Handles the read of the row, before a snapshot or after a lost answer.
    pub(in crate::catalogue_sync) fn snapshot_row_read(
        &mut self,
        context: &mut Context<'_>,
        outcome: &TableOutcome,
    ) {
        if self.snapshots.write != WriteStep::ReadingRow {
            return;
        }
        let TableOutcome::Rows(rows) = outcome else {
            self.write_failed(context);
            return;
        };
        let head = rows.iter().find_map(read_head).unwrap_or(0);
        if head < context.view.catalogue.version {
            // The table was restored to an older state, and the row must not name a version that the table lacks.
            self.write_failed(context);
            return;
        }
        self.row_known(context, KnownRow::read(rows));
    }

    /// Decides from the row whether to write a snapshot, remove change rows or do nothing.
    fn row_known(&mut self, context: &mut Context<'_>, row: KnownRow) {
        self.snapshots.row = row;
        self.snapshots.write = WriteStep::Idle;
        let mark = self.snapshots.mark.map_or(0, |(mark, _)| mark);
        let Some(row) = self.snapshots.row.content.clone() else {
            context.log(
                LogLevel::Error,
                "the row of the snapshots can't be read by this program",
                Vec::new(),
            );
            self.snapshots.covered = mark;
            self.snapshots.invalid_objects.clear();
            return;
        };
        let named = [&row.newest, &row.previous];
        let is_named = |object: &str| {
            let mut named = named.iter().copied().flatten();
            named.any(|named| *named.object == *object)
        };
        self.snapshots
            .invalid_objects
            .retain(|object| is_named(object));
        let newest = row.newest.as_ref();
        let is_invalid =
            newest.is_some_and(|newest| self.snapshots.invalid_objects.contains(&newest.object));
        let covered = newest.map_or(0, |newest| newest.version);
        if is_invalid && covered > context.view.catalogue.version {
            // This node is still catching up, and writes a newer snapshot afterwards.
            self.write_failed(context);
            return;
        }
        if covered >= mark && !is_invalid {
            // An invalid object that is not the newest one is dropped from the row with the next snapshot.
            self.snapshots.invalid_objects.clear();
            self.snapshots.covered = covered;
            if row.with_removal().is_some() {
                self.snapshots.write = WriteStep::RemovalDue;
            }
            return;
        }
        self.store_snapshot(context);
    }

    fn store_snapshot(&mut self, context: &mut Context<'_>) {
        let object = encode_snapshot(&context.view.catalogue, context.random.random());
        let named = NamedSnapshot {
            version: context.view.catalogue.version,
            object: object.name.clone(),
        };
        self.snapshots.write = WriteStep::Storing(named);
        context.effect(Effect::CallObjects {
            call: ObjectCall::SnapshotStore,
            operation: ObjectOperation::Put {
                name: object.name,
                content: object.content,
            },
        });
    }

    /// Handles the answer to the write of the object, and reads it back to verify it.
    pub(super) fn snapshot_stored(&mut self, context: &mut Context<'_>, outcome: &ObjectOutcome) {
        let step = std::mem::take(&mut self.snapshots.write);
        let WriteStep::Storing(named) = step else {
            self.snapshots.write = step;
            return;
        };
        if matches!(outcome, ObjectOutcome::Unavailable) {
            self.write_failed(context);
            return;
        }
        context.effect(Effect::CallObjects {
            call: ObjectCall::SnapshotCheck,
            operation: ObjectOperation::Get {
                name: named.object.clone(),
            },
        });
        self.snapshots.write = WriteStep::Checking(named);
    }

    /// Handles the read of the written object, and names it in the row if it is valid.
    pub(super) fn snapshot_checked(&mut self, context: &mut Context<'_>, outcome: &ObjectOutcome) {
        let step = std::mem::take(&mut self.snapshots.write);
        let WriteStep::Checking(named) = step else {
            self.snapshots.write = step;
            return;
        };
        let is_whole = matches!(outcome, ObjectOutcome::Found(content)
            if decode_snapshot(&named.object, content).is_ok());
        let Some(row) = self.snapshots.row.content.clone().filter(|_| is_whole) else {
            self.write_failed(context);
            return;
        };
        self.name(context, named, &row);
    }

    /// Names a verified object as the newest snapshot, based on the last known row.
    fn name(&mut self, context: &mut Context<'_>, named: NamedSnapshot, row: &SnapshotRow) {
        let newest = row.newest.as_ref();
        let is_invalid =
            newest.is_some_and(|newest| self.snapshots.invalid_objects.contains(&newest.object));
        let next = row.with_newest(named.clone(), is_invalid);
        self.snapshots.write = WriteStep::Naming(named);
        self.commit_row(context, TableCall::SnapshotName, &next, Vec::new());
    }

    fn commit_row(
        &self,
        context: &mut Context<'_>,
        call: TableCall,
        next: &SnapshotRow,
        removals: Vec<Write>,
    ) {
        let operation = self.snapshots.row.commit(next, removals);
        context.effect(Effect::CallTable { call, operation });
    }

    /// Handles the answer to the write of the row.
    pub(in crate::catalogue_sync) fn snapshot_named(
        &mut self,
        context: &mut Context<'_>,
        outcome: &TableOutcome,
    ) {
        let step = std::mem::take(&mut self.snapshots.write);
        let WriteStep::Naming(named) = step else {
            self.snapshots.write = step;
            return;
        };
        match outcome {
            TableOutcome::Committed(rows) => {
                context.log(
                    LogLevel::Info,
                    "wrote a snapshot of the catalogue",
                    vec![("object", named.object.to_string())],
                );
                self.row_known(context, KnownRow::read(rows));
            }
            TableOutcome::Conflicted(rows) => self.name_again(context, named, KnownRow::read(rows)),
            // The next read of the row shows whether the write took effect.
            _ => self.write_failed(context),
        }
    }

    /// Names an object again after its first naming conflicted with another write of the row, usually a removal.
    ///
    /// The object was verified and no other write uses its name, so it need not be written again.
    fn name_again(&mut self, context: &mut Context<'_>, named: NamedSnapshot, row: KnownRow) {
        let Some(content) = row.content.clone() else {
            self.write_failed(context);
            return;
        };
        let newest = content.newest.as_ref();
        if newest.is_some_and(|newest| newest.version >= named.version) {
            self.row_known(context, row);
            return;
        }
        self.snapshots.row = row;
        self.name(context, named, &content);
    }

    fn remove_changes(&mut self, context: &mut Context<'_>) {
        let row = self.snapshots.row.content.as_ref();
        let Some((next, removals)) = row.and_then(SnapshotRow::with_removal) else {
            self.snapshots.write = WriteStep::Idle;
            return;
        };
        self.snapshots.write = WriteStep::Removing;
        self.commit_row(context, TableCall::SnapshotRemoval, &next, removals);
    }

    /// Handles the answer to a removal; after a conflict the node that committed continues with the rest.
    pub(in crate::catalogue_sync) fn changes_removed(
        &mut self,
        context: &mut Context<'_>,
        outcome: &TableOutcome,
    ) {
        if self.snapshots.write != WriteStep::Removing {
            return;
        }
        self.snapshots.write = WriteStep::Idle;
        match outcome {
            TableOutcome::Committed(rows) => {
                self.snapshots.row = KnownRow::read(rows);
                self.snapshots.write = WriteStep::RemovalDue;
                self.snapshots.write_at = context.now + REMOVAL_INTERVAL;
            }
            TableOutcome::Unavailable => {
                self.snapshots.write = WriteStep::RemovalDue;
                self.snapshots.write_at = context.now + WRITE_RETRY;
            }
            TableOutcome::Unknown => {
                // Forces another read of the row, which shows whether the removal took effect.
                self.snapshots.covered = 0;
                self.snapshots.write_at = context.now + WRITE_RETRY;
            }
            TableOutcome::Conflicted(_) | TableOutcome::Rows(_) => {}
        }
    }

    fn write_failed(&mut self, context: &Context<'_>) {
        self.snapshots.write = WriteStep::Idle;
        self.snapshots.write_at = context.now + WRITE_RETRY;
    }
}

/// Returns the number of live nodes that come before this node in the order for a mark.
fn turns_before(context: &Context<'_>, mark: CatalogueVersion) -> u32 {
    let turn = |node: &NodeId| (xxh3_64_with_seed(node.as_bytes(), mark), node.clone());
    let own = turn(&context.view.node.id);
    let others = context.view.members.iter();
    let before = others.filter(|(node, member)| !member.suspected && turn(node) < own);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
