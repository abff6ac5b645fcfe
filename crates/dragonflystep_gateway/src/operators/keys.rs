//! What a key allows an operator to do.

use {
    crate::settings::GatewaySettings,
    sha2::{Digest, Sha256},
    subtle::{Choice, ConstantTimeEq},
};

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Nothing.
    Nobody,
    /// Calls that change nothing.
    Reader,
    /// Everything.
    Editor,
}

/// The role of whoever shows this key.
///
/// Keys are compared by their hashes in constant time, so that neither their content nor their length can
/// be measured. An empty key in the settings lets nobody in.
pub(crate) fn role(settings: &GatewaySettings, key: &str) -> Role {
    let is_reader = same(key, &settings.read_key);
    let is_editor = same(key, &settings.edit_key);
    match (bool::from(is_editor), bool::from(is_reader)) {
        (true, _) => Role::Editor,
        (false, true) => Role::Reader,
        (false, false) => Role::Nobody,
    }
}

fn same(shown: &str, expected: &str) -> Choice {
    let is_set = Choice::from(u8::from(!expected.is_empty()));
    is_set & Sha256::digest(shown).ct_eq(&Sha256::digest(expected))
}
