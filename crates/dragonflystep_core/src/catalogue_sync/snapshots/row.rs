//! The table row that names the kept snapshots.

use {
    super::format::SNAPSHOT_FORMAT,
    crate::{
        catalogue_sync::{HEAD_KEY, change_key, history::KEPT_CHANGES},
        ids::{CatalogueVersion, RowVersion},
        lease::to_value,
        table::{Condition, Row, TableOperation, Write},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Key of the row that names the kept snapshots.
pub const SNAPSHOT_KEY: &str = "catalogue/snapshot";
/// Most change rows that one transaction removes.
pub const MOST_REMOVED: u64 = 64;

/// Returns a read of the row together with the head, whose version no named snapshot may exceed.
pub(super) fn read_with_head() -> TableOperation {
    TableOperation::Read {
        keys: vec![HEAD_KEY.into(), SNAPSHOT_KEY.into()],
    }
}

/// A reference to a snapshot that was written and verified.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedSnapshot {
    /// Version of the catalogue in the snapshot.
    pub version: CatalogueVersion,
    /// Name of the object in the object store.
    pub object: Arc<str>,
}

/// Content of the row that names the kept snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRow {
    /// Format version of the row and of the objects that it names.
    pub format: u32,
    /// The newest snapshot; `None` before the first one.
    pub newest: Option<NamedSnapshot>,
    /// The snapshot before the newest; all change rows after it are kept.
    pub previous: Option<NamedSnapshot>,
    /// Change rows up to and including this version are removed.
    pub removed_through: CatalogueVersion,
}

/// The row as it was last read or written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct KnownRow {
    /// Version of the row; `None` while the row does not exist.
    pub(super) row_version: Option<RowVersion>,
    /// Content; `None` when it is unreadable or a newer program wrote it, in which case it is never overwritten.
    pub(super) content: Option<SnapshotRow>,
}

impl KnownRow {
    /// Extracts the row from the rows of a table answer.
    pub(super) fn read(rows: &[Row]) -> Self {
        let Some(row) = rows.iter().find(|row| *row.key == *SNAPSHOT_KEY) else {
            return Self {
                row_version: None,
                content: Some(SnapshotRow::default()),
            };
        };
        let content = serde_json::from_str::<SnapshotRow>(&row.value).ok();
        Self {
            row_version: Some(row.version),
            content: content.filter(|content| content.format <= SNAPSHOT_FORMAT),
        }
    }

    /// Returns the transaction that writes the row and `others`, on condition that the row is unchanged.
    pub(super) fn commit(&self, next: &SnapshotRow, others: Vec<Write>) -> TableOperation {
        let mut writes = vec![Write {
            key: SNAPSHOT_KEY.into(),
            value: Some(to_value(next)),
        }];
        writes.extend(others);
        TableOperation::Commit {
            conditions: vec![Condition {
                key: SNAPSHOT_KEY.into(),
                version: self.row_version,
            }],
            writes,
        }
    }
}

impl SnapshotRow {
    /// Returns the row after adding a snapshot; the previous newest one is dropped if it is known to be invalid.
    pub(super) fn with_newest(&self, newest: NamedSnapshot, is_newest_invalid: bool) -> Self {
        let previous = match is_newest_invalid {
            true => &self.previous,
            false => &self.newest,
        };
        Self {
            format: SNAPSHOT_FORMAT,
            newest: Some(newest),
            previous: previous.clone(),
            removed_through: self.removed_through,
        }
    }

    /// Returns the row after the next removal of change rows, with the removals; `None` if nothing is to be removed.
    ///
    /// Every change after the previous snapshot is kept, and at least as many as nodes keep in memory. These are needed
    /// to settle a lost answer to a change and to validate an edit that is based on an older version.
    pub(super) fn with_removal(&self) -> Option<(Self, Vec<Write>)> {
        let newest = self.newest.as_ref()?.version;
        let previous = self.previous.as_ref()?.version;
        let last = previous.min(newest.saturating_sub(KEPT_CHANGES as u64));
        let first = self.removed_through + 1;
        if first > last {
            return None;
        }
        let last = last.min(self.removed_through + MOST_REMOVED);
        let removal = |version| Write {
            key: change_key(version),
            value: None,
        };
        let next = Self {
            removed_through: last,
            ..self.clone()
        };
        Some((next, (first..=last).map(removal).collect()))
    }
}
