//! Reading of the times of the protocols, which must fit each other.

use {
    crate::{check, fields::Fields},
    dragonflystep_core::Tuning,
    std::time::Duration,
};

/// Renewals that must fit into a lease, so that one lost renewal does not lose it.
const RENEWALS_A_LEASE: u32 = 2;

pub(super) fn read_tuning(mut fields: Fields<'_>) -> Tuning {
    let default = Tuning::default();
    let tuning = Tuning {
        lease_duration: read(&mut fields, "lease_duration_ms", default.lease_duration),
        lease_renewal: read(&mut fields, "lease_renewal_ms", default.lease_renewal),
        grant_validity: read(&mut fields, "grant_validity_ms", default.grant_validity),
        drift_margin: read(&mut fields, "drift_margin_ms", default.drift_margin),
        round: read(&mut fields, "round_ms", default.round),
        probe_interval: read(&mut fields, "probe_interval_ms", default.probe_interval),
        catalogue_trust: read(&mut fields, "catalogue_trust_ms", default.catalogue_trust),
        progress_timeout: read(&mut fields, "progress_timeout_ms", default.progress_timeout),
        key_memory: read(&mut fields, "key_memory_ms", default.key_memory),
        longest_extension: read(
            &mut fields,
            "longest_extension_ms",
            default.longest_extension,
        ),
        snapshot_every: default.snapshot_every,
        policy: default.policy,
    };
    check_fit(&mut fields, &tuning);
    fields.finish();
    tuning
}

fn read(fields: &mut Fields<'_>, name: &str, default: Duration) -> Duration {
    let default_ms = default.as_millis().try_into().unwrap_or(u64::MAX);
    Duration::from_millis(fields.or(name, default_ms, check::positive))
}

fn check_fit(fields: &mut Fields<'_>, tuning: &Tuning) {
    if tuning.lease_renewal.saturating_mul(RENEWALS_A_LEASE) > tuning.lease_duration {
        let reason = "must be at most half of lease_duration_ms";
        fields.fault("lease_renewal_ms", reason);
    }
    let grant_end = tuning.grant_validity.saturating_add(tuning.drift_margin);
    if grant_end >= tuning.lease_duration {
        let reason = "must be, with drift_margin_ms, below lease_duration_ms";
        fields.fault("grant_validity_ms", reason);
    }
}
