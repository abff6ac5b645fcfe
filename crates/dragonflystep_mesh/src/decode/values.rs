//! Parts that several messages share.

use {
    crate::{
        error::DecodeError,
        mesh_capnp::{self, ask_name, grant_name, optional_outcome, request_key},
    },
    capnp::text,
    dragonflystep_core::{
        message::{AskName, GrantName},
        request::{Outcome, RequestKey},
    },
    std::{sync::Arc, time::Duration},
};

pub(super) fn read_text(field: capnp::Result<text::Reader<'_>>) -> Result<Arc<str>, DecodeError> {
    Ok(Arc::from(field?.to_str()?))
}

pub(super) fn read_ask_name(source: ask_name::Reader<'_>) -> Result<AskName, DecodeError> {
    Ok(AskName {
        group: read_text(source.get_group())?,
        request: source.get_request(),
        asked_at: Duration::from_nanos(source.get_asked_at_nanoseconds()),
    })
}

pub(super) fn read_grant_name(source: grant_name::Reader<'_>) -> Result<GrantName, DecodeError> {
    Ok(GrantName {
        group: read_text(source.get_group())?,
        epoch: source.get_epoch(),
        grant: source.get_grant(),
    })
}

pub(super) fn read_request_key(source: request_key::Reader<'_>) -> Result<RequestKey, DecodeError> {
    Ok(RequestKey {
        account: read_text(source.get_account())?,
        text: read_text(source.get_text())?,
    })
}

pub(super) fn read_optional_outcome(
    source: optional_outcome::Reader<'_>,
) -> Result<Option<Outcome>, DecodeError> {
    match source.which()? {
        optional_outcome::None(()) => Ok(None),
        optional_outcome::Outcome(code) => Ok(Some(outcome(code?))),
    }
}

pub(super) fn outcome(code: mesh_capnp::Outcome) -> Outcome {
    match code {
        mesh_capnp::Outcome::Completed => Outcome::Completed,
        mesh_capnp::Outcome::Rejected => Outcome::Rejected,
        mesh_capnp::Outcome::Failed => Outcome::Failed,
        mesh_capnp::Outcome::Cancelled => Outcome::Cancelled,
    }
}
