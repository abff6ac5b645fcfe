//! Probes, support of leases, and crashes that were observed.

use {
    super::values::read_text,
    crate::{
        error::DecodeError,
        mesh_capnp::{crash_observed, probe, support_answer, support_request},
    },
    capnp::text_list,
    dragonflystep_core::message::{CrashObserved, Probe, SupportAnswer, SupportRequest},
    std::{sync::Arc, time::Duration},
};

pub(super) fn read_crash(source: crash_observed::Reader<'_>) -> Result<CrashObserved, DecodeError> {
    Ok(CrashObserved {
        upstream: read_text(source.get_upstream())?,
        group: read_text(source.get_group())?,
        fingerprints: source.get_fingerprints()?.iter().collect(),
        on_board: source.get_on_board(),
    })
}

pub(super) fn read_support_request(
    source: support_request::Reader<'_>,
) -> Result<SupportRequest, DecodeError> {
    Ok(SupportRequest {
        group: read_text(source.get_group())?,
        epoch: source.get_epoch(),
        node: read_text(source.get_node())?,
        takeover: source.get_takeover(),
        lasts: Duration::from_nanos(source.get_lasts_nanoseconds()),
        sent_at: Duration::from_nanos(source.get_sent_at_nanoseconds()),
    })
}

pub(super) fn read_support_answer(
    source: support_answer::Reader<'_>,
) -> Result<SupportAnswer, DecodeError> {
    Ok(SupportAnswer {
        group: read_text(source.get_group())?,
        epoch: source.get_epoch(),
        takeover: source.get_takeover(),
        granted: source.get_granted(),
        sent_at: Duration::from_nanos(source.get_sent_at_nanoseconds()),
    })
}

pub(super) fn read_probe(source: probe::Reader<'_>) -> Result<Probe, DecodeError> {
    let catalogue_age = match source.get_catalogue_age().which()? {
        probe::catalogue_age::Unknown(()) => None,
        probe::catalogue_age::Nanoseconds(age) => Some(Duration::from_nanos(age)),
    };
    Ok(Probe {
        incarnation: source.get_incarnation(),
        data_centre: read_text(source.get_data_centre())?,
        catalogue_version: source.get_catalogue_version(),
        catalogue_age,
        change_in_flight: source.get_change_in_flight(),
        leaving: source.get_leaving(),
        sent_at: Duration::from_nanos(source.get_sent_at_nanoseconds()),
    })
}

pub(super) fn read_vms(source: text_list::Reader<'_>) -> Result<Vec<Arc<str>>, DecodeError> {
    source.iter().map(read_text).collect()
}
