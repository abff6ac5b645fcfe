//! What entries and homes say of request keys.

use {
    super::values::{list_length, outcome_code, write_optional_outcome, write_request_key},
    crate::mesh_capnp::{key_answer, key_ended, key_refill, key_register, known_key},
    dragonflystep_core::message::{
        KeyAnswer, KeyEnded, KeyRefill, KeyRegister, KeyState, KnownKey,
    },
};

pub(super) fn write_register(asked: &KeyRegister, mut target: key_register::Builder<'_>) {
    target.set_home(&*asked.home);
    write_request_key(&asked.key, target.reborrow().init_key());
    target.set_request(asked.request);
    target.set_incarnation(asked.incarnation);
}

pub(super) fn write_answer(answer: &KeyAnswer, mut target: key_answer::Builder<'_>) {
    target.set_home(&*answer.home);
    target.set_epoch(answer.epoch);
    write_request_key(&answer.key, target.reborrow().init_key());
    target.set_request(answer.request);
    let mut state = target.init_state();
    match &answer.state {
        KeyState::Owned => state.set_owned_by_asker(()),
        KeyState::Running { entry } => state.set_running(&**entry),
        KeyState::Ended { outcome } => state.set_ended(outcome_code(*outcome)),
        KeyState::NotReady => state.set_not_ready(()),
    }
}

pub(super) fn write_ended(ended: &KeyEnded, mut target: key_ended::Builder<'_>) {
    target.set_home(&*ended.home);
    write_request_key(&ended.key, target.reborrow().init_key());
    target.set_request(ended.request);
    write_optional_outcome(ended.outcome, target.init_outcome());
}

pub(super) fn write_refill(refill: &KeyRefill, mut target: key_refill::Builder<'_>) {
    target.set_home(&*refill.home);
    target.set_epoch(refill.epoch);
    let mut keys = target.init_keys(list_length(refill.keys.len()));
    for (index, known) in (0..).zip(&refill.keys) {
        write_known_key(known, keys.reborrow().get(index));
    }
}

fn write_known_key(known: &KnownKey, mut target: known_key::Builder<'_>) {
    write_request_key(&known.key, target.reborrow().init_key());
    target.set_entry(&*known.entry);
    target.set_request(known.request);
    write_optional_outcome(known.outcome, target.init_outcome());
}
