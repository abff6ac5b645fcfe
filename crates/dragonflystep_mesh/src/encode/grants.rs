//! Grants, from their birth to their end.

use {
    super::values::{list_length, nanoseconds, outcome_code, write_ask_name, write_grant_name},
    crate::mesh_capnp::{finished, granted, held_grant, holding, reregister},
    dragonflystep_core::message::{Finished, Granted, HeldGrant, Holding, Reregister},
};

pub(super) fn write_granted(granted: &Granted, mut target: granted::Builder<'_>) {
    write_ask_name(&granted.ask, target.reborrow().init_ask());
    write_grant_name(&granted.grant, target.reborrow().init_grant());
    target.set_upstream(&*granted.upstream);
    target.set_valid_for_nanoseconds(nanoseconds(granted.valid_for));
    target.set_queued_for_nanoseconds(nanoseconds(granted.queued_for));
    target.set_cached_tokens(granted.cached_tokens);
}

pub(super) fn write_finished(finished: &Finished, mut target: finished::Builder<'_>) {
    write_grant_name(&finished.grant, target.reborrow().init_grant());
    target.set_outcome(outcome_code(finished.outcome));
    let mut first_token_after = target.reborrow().init_first_token_after();
    match finished.first_token_after {
        None => first_token_after.set_none(()),
        Some(length) => first_token_after.set_nanoseconds(nanoseconds(length)),
    }
    target.set_streamed_for_nanoseconds(nanoseconds(finished.streamed_for));
    target.set_tokens(finished.tokens);
    let mut cached_tokens = target.init_cached_tokens();
    match finished.cached_tokens {
        None => cached_tokens.set_unknown(()),
        Some(count) => cached_tokens.set_count(count),
    }
}

pub(super) fn write_holding(holding: &Holding, mut target: holding::Builder<'_>) {
    target.set_group(&*holding.group);
    target.set_epoch(holding.epoch);
    target.set_seen_grant(holding.seen_grant);
    let mut grants = target.init_grants(list_length(holding.grants.len()));
    for (index, grant) in (0..).zip(&holding.grants) {
        write_held_grant(grant, grants.reborrow().get(index));
    }
}

fn write_held_grant(held: &HeldGrant, mut target: held_grant::Builder<'_>) {
    target.set_epoch(held.epoch);
    target.set_grant(held.grant);
    target.set_upstream(&*held.upstream);
    target.set_tier(held.tier);
    target.set_cancellable(held.cancellable);
    target.set_account(&*held.account);
    target.set_prompt_tokens(held.prompt_tokens);
    target.set_output_tokens(held.output_tokens);
    target.set_tokens(held.tokens);
    target.set_silent_for_nanoseconds(nanoseconds(held.silent_for));
}

pub(super) fn write_reregister(asked: &Reregister, mut target: reregister::Builder<'_>) {
    target.set_group(&*asked.group);
    target.set_epoch(asked.epoch);
}
