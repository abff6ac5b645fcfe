//! Probes, support of leases, and crashes that were observed.

use {
    super::values::nanoseconds,
    crate::mesh_capnp::{crash_observed, probe, support_answer, support_request},
    capnp::text_list,
    dragonflystep_core::message::{CrashObserved, Probe, SupportAnswer, SupportRequest},
    std::sync::Arc,
};

pub(super) fn write_crash(crash: &CrashObserved, mut target: crash_observed::Builder<'_>) {
    target.set_upstream(&*crash.upstream);
    target.set_group(&*crash.group);
    target
        .set_fingerprints(&*crash.fingerprints)
        .expect("the queue and the reducer's tables bound every list");
    target.set_on_board(crash.on_board);
}

pub(super) fn write_support_request(
    request: &SupportRequest,
    mut target: support_request::Builder<'_>,
) {
    target.set_group(&*request.group);
    target.set_epoch(request.epoch);
    target.set_node(&*request.node);
    target.set_takeover(request.takeover);
    target.set_lasts_nanoseconds(nanoseconds(request.lasts));
    target.set_sent_at_nanoseconds(nanoseconds(request.sent_at));
}

pub(super) fn write_support_answer(
    answer: &SupportAnswer,
    mut target: support_answer::Builder<'_>,
) {
    target.set_group(&*answer.group);
    target.set_epoch(answer.epoch);
    target.set_takeover(answer.takeover);
    target.set_granted(answer.granted);
    target.set_sent_at_nanoseconds(nanoseconds(answer.sent_at));
}

pub(super) fn write_probe(probe: &Probe, mut target: probe::Builder<'_>) {
    target.set_incarnation(probe.incarnation);
    target.set_data_centre(&*probe.data_centre);
    target.set_catalogue_version(probe.catalogue_version);
    target.set_leaving(probe.leaving);
    target.set_sent_at_nanoseconds(nanoseconds(probe.sent_at));
    target.set_change_in_flight(probe.change_in_flight);
    let mut catalogue_age = target.init_catalogue_age();
    match probe.catalogue_age {
        None => catalogue_age.set_unknown(()),
        Some(age) => catalogue_age.set_nanoseconds(nanoseconds(age)),
    }
}

pub(super) fn write_vms(vms: &[Arc<str>], mut target: text_list::Builder<'_>) {
    for (index, vm) in (0..).zip(vms) {
        target.set(index, &**vm);
    }
}
