//! Grants, from their birth to their end.

use {
    super::values::{outcome, read_ask_name, read_grant_name, read_text},
    crate::{
        error::DecodeError,
        mesh_capnp::{finished, granted, held_grant, holding, reregister},
    },
    dragonflystep_core::message::{Finished, Granted, HeldGrant, Holding, Reregister},
    std::time::Duration,
};

pub(super) fn read_granted(source: granted::Reader<'_>) -> Result<Granted, DecodeError> {
    Ok(Granted {
        ask: read_ask_name(source.get_ask()?)?,
        grant: read_grant_name(source.get_grant()?)?,
        upstream: read_text(source.get_upstream())?,
        valid_for: Duration::from_nanos(source.get_valid_for_nanoseconds()),
        queued_for: Duration::from_nanos(source.get_queued_for_nanoseconds()),
        cached_tokens: source.get_cached_tokens(),
    })
}

pub(super) fn read_finished(source: finished::Reader<'_>) -> Result<Finished, DecodeError> {
    let first_token_after = match source.get_first_token_after().which()? {
        finished::first_token_after::None(()) => None,
        finished::first_token_after::Nanoseconds(length) => Some(Duration::from_nanos(length)),
    };
    let cached_tokens = match source.get_cached_tokens().which()? {
        finished::cached_tokens::Unknown(()) => None,
        finished::cached_tokens::Count(count) => Some(count),
    };
    Ok(Finished {
        grant: read_grant_name(source.get_grant()?)?,
        outcome: outcome(source.get_outcome()?),
        first_token_after,
        streamed_for: Duration::from_nanos(source.get_streamed_for_nanoseconds()),
        tokens: source.get_tokens(),
        cached_tokens,
    })
}

pub(super) fn read_holding(source: holding::Reader<'_>) -> Result<Holding, DecodeError> {
    let grants: Result<Vec<_>, _> = source.get_grants()?.iter().map(read_held_grant).collect();
    Ok(Holding {
        group: read_text(source.get_group())?,
        epoch: source.get_epoch(),
        grants: grants?,
        seen_grant: source.get_seen_grant(),
    })
}

fn read_held_grant(source: held_grant::Reader<'_>) -> Result<HeldGrant, DecodeError> {
    Ok(HeldGrant {
        epoch: source.get_epoch(),
        grant: source.get_grant(),
        upstream: read_text(source.get_upstream())?,
        tier: source.get_tier(),
        cancellable: source.get_cancellable(),
        account: read_text(source.get_account())?,
        prompt_tokens: source.get_prompt_tokens(),
        output_tokens: source.get_output_tokens(),
        tokens: source.get_tokens(),
        silent_for: Duration::from_nanos(source.get_silent_for_nanoseconds()),
    })
}

pub(super) fn read_reregister(source: reregister::Reader<'_>) -> Result<Reregister, DecodeError> {
    Ok(Reregister {
        group: read_text(source.get_group())?,
        epoch: source.get_epoch(),
    })
}
