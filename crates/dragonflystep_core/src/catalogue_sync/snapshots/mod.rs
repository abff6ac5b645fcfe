//! Snapshots of whole catalogues in the object store, so that a starting node need not read every change.
//!
//! A node writes the catalogue in force as an object, reads it back, and only then names it in one row of the table by
//! compare-and-set. The row names the newest snapshot and the one before it. Change rows that neither snapshot needs
//! are removed in transactions that require the row to be unchanged, so the row alone determines what is removed.
//!
//! The name of an object consists of the version, the hash of the content and a random number for the attempt, so no
//! two writes use the same name. An object that was read back whole therefore stays whole, even if an earlier write
//! takes effect late or truncated. When two nodes write at the same time, one object remains that no row names. The
//! nodes take turns in a fixed order for each version that is due, so that another node takes over if one dies.
//!
//! A starting node reads the row, the newest object, and the changes after it. If an object is missing or does not
//! match its name, the previous snapshot is used, and if that fails, the change rows. A node that found the newest
//! object missing or invalid writes a new one at its next check; an invalid previous one is dropped from the row with
//! the next snapshot.

mod format;
mod load;
mod row;
mod write;

pub use self::{
    format::{SNAPSHOT_FORMAT, SnapshotError, SnapshotObject, decode_snapshot, encode_snapshot},
    row::{MOST_REMOVED, NamedSnapshot, SNAPSHOT_KEY, SnapshotRow},
};
use {
    self::{load::LoadStep, row::KnownRow, write::WriteStep},
    crate::{
        catalogue_sync::CatalogueSync,
        context::Context,
        ids::CatalogueVersion,
        object::{ObjectCall, ObjectOutcome},
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// State of reading and writing snapshots on one node.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    load: LoadStep,
    load_at: Duration,
    /// Whether a snapshot was put in force and the changes after it could be read so far.
    has_loaded: bool,
    /// Objects named by the row that were found missing or invalid.
    invalid_objects: BTreeSet<Arc<str>>,
    row: KnownRow,
    write: WriteStep,
    write_at: Duration,
    /// Newest multiple of the snapshot interval that this node reached, and when.
    mark: Option<(CatalogueVersion, Duration)>,
    /// Version up to which no snapshot is due.
    covered: CatalogueVersion,
}

impl CatalogueSync {
    /// Handles an answer of the object store.
    pub fn objects_answered(
        &mut self,
        context: &mut Context<'_>,
        call: ObjectCall,
        outcome: &ObjectOutcome,
    ) {
        match call {
            ObjectCall::SnapshotLoad => self.load_object_read(context, outcome),
            ObjectCall::SnapshotStore => self.snapshot_stored(context, outcome),
            ObjectCall::SnapshotCheck => self.snapshot_checked(context, outcome),
        }
    }
}
