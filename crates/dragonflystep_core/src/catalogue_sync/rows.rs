//! Keys and contents of the catalogue's rows in the table service.

use {
    crate::{
        catalogue::CatalogueChange,
        ids::CatalogueVersion,
        lease::to_value,
        table::{Row, Write},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Key of the head row, which holds the newest version.
pub const HEAD_KEY: &str = "catalogue/head";

/// Content of the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Version that the last committed change created.
    pub version: CatalogueVersion,
}

/// Returns the key of the row that holds the change to `version`.
///
/// # Examples
/// ```
/// let key = dragonflystep_core::catalogue_sync::change_key(7);
/// assert_eq!(&*key, "catalogue/change/00000000000000000007");
/// ```
pub fn change_key(version: CatalogueVersion) -> Arc<str> {
    format!("catalogue/change/{version:020}").into()
}

/// Returns the newest version if the row is a readable head row.
pub fn read_head(row: &Row) -> Option<CatalogueVersion> {
    if *row.key != *HEAD_KEY {
        return None;
    }
    let head: HeadRow = serde_json::from_str(&row.value).ok()?;
    Some(head.version)
}

/// Returns the change if the row is a readable change row.
pub fn read_change(row: &Row) -> Option<CatalogueChange> {
    let change: CatalogueChange = serde_json::from_str(&row.value).ok()?;
    (row.key == change_key(change.version)).then_some(change)
}

/// Returns the writes that commit a change: the head row and the change's row.
pub fn commit_writes(change: &CatalogueChange) -> Vec<Write> {
    let head = HeadRow {
        version: change.version,
    };
    vec![
        Write {
            key: HEAD_KEY.into(),
            value: Some(to_value(&head)),
        },
        Write {
            key: change_key(change.version),
            value: Some(to_value(change)),
        },
    ]
}
