//! What groups say of their room.

use {
    super::values::{list_length, nanoseconds},
    crate::mesh_capnp::{self, summary, yield_answer, yield_request},
    dragonflystep_core::message::{Summary, Yield, YieldAnswer, YieldState},
};

pub(super) fn write_summary(summary: &Summary, mut target: summary::Builder<'_>) {
    target.set_group(&*summary.group);
    target.set_epoch(summary.epoch);
    target.set_service(&*summary.service);
    target.set_free_slots(summary.free_slots);
    target.set_prefill_per_thousand_nanoseconds(nanoseconds(summary.prefill_per_thousand));
    let length = list_length(summary.predicted_wait.len());
    let mut waits = target.init_predicted_wait_nanoseconds(length);
    for (index, wait) in (0..).zip(&summary.predicted_wait) {
        waits.set(index, nanoseconds(*wait));
    }
}

pub(super) fn write_yield(wanted: &Yield, mut target: yield_request::Builder<'_>) {
    target.set_service(&*wanted.service);
    target.set_tier(wanted.tier);
    target.set_lasts_nanoseconds(nanoseconds(wanted.lasts));
    target.set_round(wanted.round);
}

pub(super) fn write_yield_answer(answer: &YieldAnswer, mut target: yield_answer::Builder<'_>) {
    target.set_service(&*answer.service);
    target.set_tier(answer.tier);
    target.set_round(answer.round);
    let mut groups = target.init_groups(list_length(answer.groups.len()));
    for (index, group) in (0..).zip(&answer.groups) {
        let mut entry = groups.reborrow().get(index);
        entry.set_group(&*group.group);
        entry.set_epoch(group.epoch);
        entry.set_answer(yield_state(group.answer));
    }
}

fn yield_state(state: YieldState) -> mesh_capnp::YieldState {
    match state {
        YieldState::Clear => mesh_capnp::YieldState::Clear,
        YieldState::Room => mesh_capnp::YieldState::Room,
        YieldState::Busy => mesh_capnp::YieldState::Busy,
    }
}
