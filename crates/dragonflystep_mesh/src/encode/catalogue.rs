//! The catalogue and its changes.

use {
    crate::{error::EncodeError, mesh_capnp::catalogue_json},
    serde::Serialize,
};

/// Writes items of the catalogue as JSON.
///
/// The items are defined once, by serde, because the same text lies in the platform's store; a second
/// definition in the schema would have to follow every change of the first.
pub(super) fn write_json<T: Serialize>(
    content: &T,
    mut target: catalogue_json::Builder<'_>,
) -> Result<(), EncodeError> {
    target.set_json(&serde_json::to_vec(content)?);
    Ok(())
}
