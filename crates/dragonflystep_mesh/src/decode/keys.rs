//! What entries and homes say of request keys.

use {
    super::values::{outcome, read_optional_outcome, read_request_key, read_text},
    crate::{
        error::DecodeError,
        mesh_capnp::{key_answer, key_ended, key_refill, key_register, known_key},
    },
    dragonflystep_core::message::{
        KeyAnswer, KeyEnded, KeyRefill, KeyRegister, KeyState, KnownKey,
    },
};

pub(super) fn read_register(source: key_register::Reader<'_>) -> Result<KeyRegister, DecodeError> {
    Ok(KeyRegister {
        home: read_text(source.get_home())?,
        key: read_request_key(source.get_key()?)?,
        request: source.get_request(),
        incarnation: source.get_incarnation(),
    })
}

pub(super) fn read_answer(source: key_answer::Reader<'_>) -> Result<KeyAnswer, DecodeError> {
    let state = match source.get_state().which()? {
        key_answer::state::OwnedByAsker(()) => KeyState::Owned,
        key_answer::state::Running(entry) => KeyState::Running {
            entry: read_text(entry)?,
        },
        key_answer::state::Ended(code) => KeyState::Ended {
            outcome: outcome(code?),
        },
        key_answer::state::NotReady(()) => KeyState::NotReady,
    };
    Ok(KeyAnswer {
        home: read_text(source.get_home())?,
        epoch: source.get_epoch(),
        key: read_request_key(source.get_key()?)?,
        request: source.get_request(),
        state,
    })
}

pub(super) fn read_ended(source: key_ended::Reader<'_>) -> Result<KeyEnded, DecodeError> {
    Ok(KeyEnded {
        home: read_text(source.get_home())?,
        key: read_request_key(source.get_key()?)?,
        request: source.get_request(),
        outcome: read_optional_outcome(source.get_outcome()?)?,
    })
}

pub(super) fn read_refill(source: key_refill::Reader<'_>) -> Result<KeyRefill, DecodeError> {
    let keys: Result<Vec<_>, _> = source.get_keys()?.iter().map(read_known_key).collect();
    Ok(KeyRefill {
        home: read_text(source.get_home())?,
        epoch: source.get_epoch(),
        keys: keys?,
    })
}

fn read_known_key(source: known_key::Reader<'_>) -> Result<KnownKey, DecodeError> {
    Ok(KnownKey {
        key: read_request_key(source.get_key()?)?,
        entry: read_text(source.get_entry())?,
        request: source.get_request(),
        outcome: read_optional_outcome(source.get_outcome()?)?,
    })
}
