//! Splits a list of edits that is too long for one change into consecutive changes.

use {
    super::checks::{MOST_EDITS, find_faults},
    crate::catalogue::{Catalogue, CatalogueChange, ChangeFault, Edit},
};

/// Splits edits, in order, into parts that each fit into one change.
///
/// A change is validated as a whole, so edits that are valid together may be invalid when split, for example a rank
/// that moves from one tier to another. Several parts are therefore validated one after the other before any is
/// sent. A single part is left to the node to validate.
///
/// # Errors
/// Returns the faults of the first part that would be rejected after the parts before it were applied.
///
/// # Examples
/// ```
/// use dragonflystep_core::{catalogue::Catalogue, catalogue_sync::split_edits};
/// let parts = split_edits(&Catalogue::default(), &[]).expect("there is nothing to refuse");
/// assert!(parts.is_empty());
/// ```
pub fn split_edits(
    current: &Catalogue,
    edits: &[Edit],
) -> Result<Vec<Vec<Edit>>, Vec<ChangeFault>> {
    let parts: Vec<Vec<Edit>> = edits.chunks(MOST_EDITS).map(<[Edit]>::to_vec).collect();
    if parts.len() < 2 {
        return Ok(parts);
    }
    let mut reached = current.clone();
    for part in &parts {
        let change = CatalogueChange {
            version: reached.version + 1,
            token: "check".into(),
            author: "check".into(),
            reason: "check".into(),
            edits: part.clone(),
        };
        let faults = find_faults(&reached, &change);
        if !faults.is_empty() {
            return Err(faults);
        }
        reached = reached.with_change(&change);
    }
    Ok(parts)
}
