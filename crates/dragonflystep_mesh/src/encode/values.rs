//! Parts that several messages share.

use {
    crate::mesh_capnp,
    dragonflystep_core::{
        message::{AskName, GrantName},
        request::{Outcome, RequestKey},
    },
    std::time::Duration,
};

/// Whole nanoseconds; a length beyond the field's range, about 584 years, becomes the longest one.
pub(super) fn nanoseconds(length: Duration) -> u64 {
    u64::try_from(length.as_nanos()).unwrap_or(u64::MAX)
}

/// Length of a list as the schema counts it.
pub(super) fn list_length(length: usize) -> u32 {
    u32::try_from(length).expect("the queue and the reducer's tables bound every list")
}

pub(super) fn write_ask_name(name: &AskName, mut target: mesh_capnp::ask_name::Builder<'_>) {
    target.set_group(&*name.group);
    target.set_request(name.request);
    target.set_asked_at_nanoseconds(nanoseconds(name.asked_at));
}

pub(super) fn write_grant_name(name: &GrantName, mut target: mesh_capnp::grant_name::Builder<'_>) {
    target.set_group(&*name.group);
    target.set_epoch(name.epoch);
    target.set_grant(name.grant);
}

pub(super) fn write_request_key(
    key: &RequestKey,
    mut target: mesh_capnp::request_key::Builder<'_>,
) {
    target.set_account(&*key.account);
    target.set_text(&*key.text);
}

pub(super) fn write_optional_outcome(
    outcome: Option<Outcome>,
    mut target: mesh_capnp::optional_outcome::Builder<'_>,
) {
    match outcome {
        None => target.set_none(()),
        Some(outcome) => target.set_outcome(outcome_code(outcome)),
    }
}

pub(super) fn outcome_code(outcome: Outcome) -> mesh_capnp::Outcome {
    match outcome {
        Outcome::Completed => mesh_capnp::Outcome::Completed,
        Outcome::Rejected => mesh_capnp::Outcome::Rejected,
        Outcome::Failed => mesh_capnp::Outcome::Failed,
        Outcome::Cancelled => mesh_capnp::Outcome::Cancelled,
    }
}
