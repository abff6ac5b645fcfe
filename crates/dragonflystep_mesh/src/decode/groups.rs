//! What groups say of their room.

use {
    super::values::read_text,
    crate::{
        error::DecodeError,
        mesh_capnp::{self, group_yield, summary, yield_answer, yield_request},
    },
    dragonflystep_core::message::{GroupYield, Summary, Yield, YieldAnswer, YieldState},
    std::time::Duration,
};

pub(super) fn read_summary(source: summary::Reader<'_>) -> Result<Summary, DecodeError> {
    let waits = source.get_predicted_wait_nanoseconds()?;
    Ok(Summary {
        group: read_text(source.get_group())?,
        epoch: source.get_epoch(),
        service: read_text(source.get_service())?,
        free_slots: source.get_free_slots(),
        predicted_wait: waits.iter().map(Duration::from_nanos).collect(),
        prefill_per_thousand: Duration::from_nanos(source.get_prefill_per_thousand_nanoseconds()),
    })
}

pub(super) fn read_yield(source: yield_request::Reader<'_>) -> Result<Yield, DecodeError> {
    Ok(Yield {
        service: read_text(source.get_service())?,
        tier: source.get_tier(),
        lasts: Duration::from_nanos(source.get_lasts_nanoseconds()),
        round: source.get_round(),
    })
}

pub(super) fn read_yield_answer(
    source: yield_answer::Reader<'_>,
) -> Result<YieldAnswer, DecodeError> {
    let groups: Result<Vec<_>, _> = source.get_groups()?.iter().map(read_group_yield).collect();
    Ok(YieldAnswer {
        service: read_text(source.get_service())?,
        tier: source.get_tier(),
        round: source.get_round(),
        groups: groups?,
    })
}

fn read_group_yield(source: group_yield::Reader<'_>) -> Result<GroupYield, DecodeError> {
    let answer = match source.get_answer()? {
        mesh_capnp::YieldState::Clear => YieldState::Clear,
        mesh_capnp::YieldState::Room => YieldState::Room,
        mesh_capnp::YieldState::Busy => YieldState::Busy,
    };
    Ok(GroupYield {
        group: read_text(source.get_group())?,
        epoch: source.get_epoch(),
        answer,
    })
}
