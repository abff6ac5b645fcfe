//! Asks and what a broker says to them.

use {
    super::values::{nanoseconds, write_ask_name},
    crate::mesh_capnp::{self, ask, ask_refused, queued},
    dragonflystep_core::{
        message::{Ask, AskRefusal, AskRefused, Queued},
        request::RefusalCode,
    },
};

pub(super) fn write_ask(ask: &Ask, mut target: ask::Builder<'_>) {
    write_ask_name(&ask.name, target.reborrow().init_name());
    target.set_service(&*ask.service);
    target.set_account(&*ask.account);
    target.set_tier(ask.tier);
    target.set_time_left_nanoseconds(nanoseconds(ask.time_left));
    target.set_cancellable(ask.cancellable);
    target
        .set_prefix_blocks(&*ask.prefix_blocks)
        .expect("the queue and the reducer's tables bound every list");
    target.set_prompt_tokens(ask.prompt_tokens);
    target.set_output_tokens(ask.output_tokens);
    target.set_fingerprint(ask.fingerprint);
}

pub(super) fn write_queued(queued: &Queued, mut target: queued::Builder<'_>) {
    write_ask_name(&queued.ask, target.reborrow().init_ask());
    target.set_epoch(queued.epoch);
    target.set_predicted_wait_nanoseconds(nanoseconds(queued.predicted_wait));
}

pub(super) fn write_refused(refused: &AskRefused, mut target: ask_refused::Builder<'_>) {
    write_ask_name(&refused.ask, target.reborrow().init_ask());
    target.set_epoch(refused.epoch);
    let mut retry_after = target.reborrow().init_retry_after();
    match refused.retry_after {
        None => retry_after.set_unknown(()),
        Some(length) => retry_after.set_nanoseconds(nanoseconds(length)),
    }
    let mut reason = target.init_reason();
    match &refused.reason {
        AskRefusal::NotHolder { holder: None } => reason.set_not_holder(()),
        AskRefusal::NotHolder {
            holder: Some(holder),
        } => reason.set_held_by(&**holder),
        AskRefusal::Elsewhere { group } => reason.set_elsewhere(&**group),
        AskRefusal::Final { code } => reason.set_final(refusal_code(*code)),
    }
}

fn refusal_code(code: RefusalCode) -> mesh_capnp::RefusalCode {
    match code {
        RefusalCode::Overloaded => mesh_capnp::RefusalCode::Overloaded,
        RefusalCode::DeadlineUnreachable => mesh_capnp::RefusalCode::DeadlineUnreachable,
        RefusalCode::DeadlinePassed => mesh_capnp::RefusalCode::DeadlinePassed,
        RefusalCode::NotInCatalogue => mesh_capnp::RefusalCode::NotInCatalogue,
        RefusalCode::NoUpstream => mesh_capnp::RefusalCode::NoUpstream,
        RefusalCode::Stopping => mesh_capnp::RefusalCode::Stopping,
        RefusalCode::StoreUnavailable => mesh_capnp::RefusalCode::StoreUnavailable,
        RefusalCode::InProgress => mesh_capnp::RefusalCode::InProgress,
        RefusalCode::AlreadyRan => mesh_capnp::RefusalCode::AlreadyRan,
        RefusalCode::Preempted => mesh_capnp::RefusalCode::Preempted,
        RefusalCode::UpstreamFailed => mesh_capnp::RefusalCode::UpstreamFailed,
        RefusalCode::UpstreamRefused => mesh_capnp::RefusalCode::UpstreamRefused,
        RefusalCode::UpstreamStalled => mesh_capnp::RefusalCode::UpstreamStalled,
        RefusalCode::Quarantined => mesh_capnp::RefusalCode::Quarantined,
        RefusalCode::CallerLeft => mesh_capnp::RefusalCode::CallerLeft,
        RefusalCode::Isolated => mesh_capnp::RefusalCode::Isolated,
    }
}
