//! The catalogue and its changes, which travel as JSON.

use {
    crate::{error::DecodeError, mesh_capnp::catalogue_json},
    serde::de::DeserializeOwned,
};

pub(super) fn read_json<T: DeserializeOwned>(
    source: catalogue_json::Reader<'_>,
) -> Result<T, DecodeError> {
    Ok(serde_json::from_slice(source.get_json()?)?)
}
