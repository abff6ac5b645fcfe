//! Asks and what a broker says to them.

use {
    super::values::{read_ask_name, read_text},
    crate::{
        error::DecodeError,
        mesh_capnp::{self, ask, ask_refused, queued},
    },
    dragonflystep_core::{
        message::{Ask, AskRefusal, AskRefused, Queued},
        request::RefusalCode,
    },
    std::time::Duration,
};

pub(super) fn read_ask(source: ask::Reader<'_>) -> Result<Ask, DecodeError> {
    Ok(Ask {
        name: read_ask_name(source.get_name()?)?,
        service: read_text(source.get_service())?,
        account: read_text(source.get_account())?,
        tier: source.get_tier(),
        time_left: Duration::from_nanos(source.get_time_left_nanoseconds()),
        cancellable: source.get_cancellable(),
        prefix_blocks: source.get_prefix_blocks()?.iter().collect(),
        prompt_tokens: source.get_prompt_tokens(),
        output_tokens: source.get_output_tokens(),
        fingerprint: source.get_fingerprint(),
    })
}

pub(super) fn read_queued(source: queued::Reader<'_>) -> Result<Queued, DecodeError> {
    Ok(Queued {
        ask: read_ask_name(source.get_ask()?)?,
        epoch: source.get_epoch(),
        predicted_wait: Duration::from_nanos(source.get_predicted_wait_nanoseconds()),
    })
}

pub(super) fn read_refused(source: ask_refused::Reader<'_>) -> Result<AskRefused, DecodeError> {
    let retry_after = match source.get_retry_after().which()? {
        ask_refused::retry_after::Unknown(()) => None,
        ask_refused::retry_after::Nanoseconds(length) => Some(Duration::from_nanos(length)),
    };
    Ok(AskRefused {
        ask: read_ask_name(source.get_ask()?)?,
        epoch: source.get_epoch(),
        reason: read_reason(source.get_reason())?,
        retry_after,
    })
}

fn read_reason(source: ask_refused::reason::Reader<'_>) -> Result<AskRefusal, DecodeError> {
    let reason = match source.which()? {
        ask_refused::reason::NotHolder(()) => AskRefusal::NotHolder { holder: None },
        ask_refused::reason::HeldBy(holder) => AskRefusal::NotHolder {
            holder: Some(read_text(holder)?),
        },
        ask_refused::reason::Elsewhere(group) => AskRefusal::Elsewhere {
            group: read_text(group)?,
        },
        ask_refused::reason::Final(code) => AskRefusal::Final {
            code: refusal_code(code?),
        },
    };
    Ok(reason)
}

fn refusal_code(code: mesh_capnp::RefusalCode) -> RefusalCode {
    match code {
        mesh_capnp::RefusalCode::Overloaded => RefusalCode::Overloaded,
        mesh_capnp::RefusalCode::DeadlineUnreachable => RefusalCode::DeadlineUnreachable,
        mesh_capnp::RefusalCode::DeadlinePassed => RefusalCode::DeadlinePassed,
        mesh_capnp::RefusalCode::NotInCatalogue => RefusalCode::NotInCatalogue,
        mesh_capnp::RefusalCode::NoUpstream => RefusalCode::NoUpstream,
        mesh_capnp::RefusalCode::Stopping => RefusalCode::Stopping,
        mesh_capnp::RefusalCode::StoreUnavailable => RefusalCode::StoreUnavailable,
        mesh_capnp::RefusalCode::InProgress => RefusalCode::InProgress,
        mesh_capnp::RefusalCode::AlreadyRan => RefusalCode::AlreadyRan,
        mesh_capnp::RefusalCode::Preempted => RefusalCode::Preempted,
        mesh_capnp::RefusalCode::UpstreamFailed => RefusalCode::UpstreamFailed,
        mesh_capnp::RefusalCode::UpstreamRefused => RefusalCode::UpstreamRefused,
        mesh_capnp::RefusalCode::UpstreamStalled => RefusalCode::UpstreamStalled,
        mesh_capnp::RefusalCode::Quarantined => RefusalCode::Quarantined,
        mesh_capnp::RefusalCode::CallerLeft => RefusalCode::CallerLeft,
        mesh_capnp::RefusalCode::Isolated => RefusalCode::Isolated,
    }
}
