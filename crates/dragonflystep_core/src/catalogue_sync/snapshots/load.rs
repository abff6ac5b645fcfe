//! Loads the newest usable snapshot on a node that is far behind.

use {
    super::{
        format::decode_snapshot,
        row::{KnownRow, NamedSnapshot, read_with_head},
    },
    crate::{
        catalogue_sync::{CatalogueSync, rows::read_head},
        context::Context,
        effect::{Effect, LogLevel},
        object::{ObjectCall, ObjectOperation, ObjectOutcome},
        table::{TableCall, TableOutcome},
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Wait before the row is read again, and the longest time that a load in progress delays requests to peers.
const LOAD_RETRY: Duration = Duration::from_secs(3);

/// Progress of loading a snapshot.
#[derive(Debug, Default)]
pub(super) enum LoadStep {
    /// Nothing is under way.
    #[default]
    Idle,
    /// The row is being read.
    ReadingRow,
    /// The first object is being read; the others are tried after it.
    ReadingObject(VecDeque<NamedSnapshot>),
}

impl CatalogueSync {
    /// Whether to prefer the platform over peers: a snapshot helped, is being read, or may be tried again.
    pub(in crate::catalogue_sync) fn may_load_snapshot(&self, context: &Context<'_>) -> bool {
        let snapshots = &self.snapshots;
        let is_tried = context.now >= snapshots.load_at;
        match snapshots.load {
            LoadStep::Idle => snapshots.has_loaded || is_tried,
            _ => !is_tried,
        }
    }

    /// Whether a snapshot was put in force and the changes after it could be read so far.
    pub(in crate::catalogue_sync) fn has_loaded_snapshot(&self) -> bool {
        self.snapshots.has_loaded
    }

    /// Records that reading from the platform made no progress.
    pub(in crate::catalogue_sync) fn snapshot_did_not_help(&mut self) {
        self.snapshots.has_loaded = false;
    }

    /// Starts loading a snapshot unless the last attempt is too recent; returns whether a load is in progress.
    pub(in crate::catalogue_sync) fn load_snapshot(&mut self, context: &mut Context<'_>) -> bool {
        let snapshots = &mut self.snapshots;
        if !matches!(snapshots.load, LoadStep::Idle) {
            return true;
        }
        if context.now < snapshots.load_at {
            return false;
        }
        snapshots.load_at = context.now + LOAD_RETRY;
        snapshots.load = LoadStep::ReadingRow;
        context.effect(Effect::CallTable {
            call: TableCall::SnapshotRead,
            operation: read_with_head(),
        });
        true
    }

    /// Handles the read of the row.
    pub(in crate::catalogue_sync) fn load_row_read(
        &mut self,
        context: &mut Context<'_>,
        outcome: &TableOutcome,
    ) {
        self.snapshots.load = LoadStep::Idle;
        let TableOutcome::Rows(rows) = outcome else {
            self.fetch_when_due(context);
            return;
        };
        self.process_rows(context, rows);
        let Some(row) = KnownRow::read(rows).content else {
            context.log(
                LogLevel::Error,
                "the row of the snapshots can't be read by this program",
                Vec::new(),
            );
            self.fetch_when_due(context);
            return;
        };
        let in_force = context.view.catalogue.version;
        let named = [row.newest, row.previous].into_iter().flatten();
        let head = rows.iter().find_map(read_head).unwrap_or(0);
        let named = named.filter(|named| named.version > in_force && named.version <= head);
        let named = named.collect();
        self.load_next(context, named);
    }

    fn load_next(&mut self, context: &mut Context<'_>, named: VecDeque<NamedSnapshot>) {
        let Some(first) = named.front() else {
            self.fetch_when_due(context);
            return;
        };
        context.effect(Effect::CallObjects {
            call: ObjectCall::SnapshotLoad,
            operation: ObjectOperation::Get {
                name: first.object.clone(),
            },
        });
        self.snapshots.load = LoadStep::ReadingObject(named);
    }

    /// Handles the read of an object.
    pub(super) fn load_object_read(&mut self, context: &mut Context<'_>, outcome: &ObjectOutcome) {
        let step = std::mem::take(&mut self.snapshots.load);
        let LoadStep::ReadingObject(mut named) = step else {
            self.snapshots.load = step;
            return;
        };
        let Some(first) = named.pop_front() else {
            return;
        };
        let fault = match outcome {
            ObjectOutcome::Found(content) => match decode_snapshot(&first.object, content) {
                Ok(catalogue) => {
                    self.snapshots.invalid_objects.remove(&first.object);
                    self.snapshots.has_loaded = true;
                    self.snapshot_received(context, Arc::new(catalogue));
                    self.fetch_when_due(context);
                    return;
                }
                Err(fault) => fault.to_string(),
            },
            ObjectOutcome::Absent => "there is no such object".into(),
            _ => {
                // The object store is unavailable, so the next object could not be read either.
                log_unusable(context, &first, "the object store can't be reached".into());
                self.fetch_when_due(context);
                return;
            }
        };
        log_unusable(context, &first, fault);
        self.snapshots.invalid_objects.insert(first.object);
        self.load_next(context, named);
    }
}

fn log_unusable(context: &mut Context<'_>, named: &NamedSnapshot, fault: String) {
    context.log(
        LogLevel::Warn,
        "a snapshot of the catalogue can't be used",
        vec![("object", named.object.to_string()), ("fault", fault)],
    );
}
