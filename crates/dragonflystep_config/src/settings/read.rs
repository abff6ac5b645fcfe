//! Reading of a node's settings.

use {
    super::{
        AdminKeys, Limits, LogFormat, LogSettings, MetricsSettings, NodeSettings, PlatformSection,
        tuning::read_tuning,
    },
    crate::{check, fields::Fields},
    log::LevelFilter,
    std::{path::PathBuf, sync::Arc, time::Duration},
};

const DEFAULT_PLATFORM_TIMEOUT_MS: u64 = 800;
const DEFAULT_LEVEL: &str = "info";
const DEFAULT_METRICS_PREFIX: &str = "dragonflystep";

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16 * KIB,
    max_body_bytes: 4 * MIB,
    max_answer_bytes: 16 * MIB,
    max_open_requests: 2_048,
};

pub(super) fn node_settings(mut fields: Fields<'_>) -> Option<NodeSettings> {
    let node = fields.required("node", check::id);
    let data_centre = fields.required("data_centre", check::id);
    let vm = fields.optional("vm", check::id);
    let caller_address = fields.required("caller_address", check::reachable);
    let mesh_address = fields.required("mesh_address", check::reachable);
    let admin_address = fields.required("admin_address", check::listenable);
    let addresses = [
        ("caller_address", &caller_address),
        ("mesh_address", &mesh_address),
        ("admin_address", &admin_address),
    ];
    check_distinct(&mut fields, &addresses);
    let platform = platform(fields.object("platform"));
    let mesh_key = fields.secret("mesh_key", check::key);
    let admin_keys = admin_keys(fields.object("admin_keys"));
    let log = log(fields.object("log"));
    let metrics = metrics(fields.object("metrics"));
    let limits = limits(fields.object("limits"));
    let tuning = read_tuning(fields.object("tuning"));
    if platform
        .as_ref()
        .is_some_and(|platform| platform.timeout >= tuning.lease_duration)
    {
        let reason = "must be below tuning.lease_duration_ms, or a slow renewal loses the lease";
        fields.fault("platform.timeout_ms", reason);
    }
    fields.finish();
    Some(NodeSettings {
        node: node?,
        data_centre: data_centre?,
        vm,
        caller_address: caller_address?,
        mesh_address: mesh_address?,
        admin_address: admin_address?,
        platform: platform?,
        mesh_key: mesh_key?,
        admin_keys: admin_keys?,
        log,
        metrics,
        limits,
        tuning,
    })
}

fn check_distinct(fields: &mut Fields<'_>, addresses: &[(&str, &Option<Arc<str>>)]) {
    for (number, (name, address)) in addresses.iter().enumerate() {
        let Some(address) = address else {
            continue;
        };
        let same = |(_, other): &&(&str, &Option<Arc<str>>)| other.as_ref() == Some(address);
        if let Some((first, _)) = addresses[..number].iter().find(same) {
            fields.fault(name, format!("is the same as {first}"));
        }
    }
}

fn platform(mut fields: Fields<'_>) -> Option<PlatformSection> {
    let address = fields.required("address", check::reachable);
    let key = fields.secret("key", check::key);
    let timeout_ms = fields.or("timeout_ms", DEFAULT_PLATFORM_TIMEOUT_MS, check::positive);
    fields.finish();
    Some(PlatformSection {
        address: address?,
        key: key?,
        timeout: Duration::from_millis(timeout_ms),
    })
}

fn admin_keys(mut fields: Fields<'_>) -> Option<AdminKeys> {
    let read = fields.secret("read", check::key);
    let edit = fields.secret("edit", check::key);
    if read.is_some() && read == edit {
        fields.fault("edit", "is the same as the read key");
    }
    fields.finish();
    Some(AdminKeys {
        read: read?,
        edit: edit?,
    })
}

fn log(mut fields: Fields<'_>) -> LogSettings {
    let format = fields.or("format", LogFormat::default(), check::any);
    let level = fields.or("level", DEFAULT_LEVEL.into(), |level: &Arc<str>| {
        let parsed = level.parse::<LevelFilter>();
        let is_lower_case = !level.bytes().any(|byte| byte.is_ascii_uppercase());
        match parsed {
            Ok(_) if is_lower_case => Ok(()),
            _ => Err("must be off, error, warn, info, debug or trace".into()),
        }
    });
    let file = fields.optional::<PathBuf>("file", check::any);
    fields.finish();
    LogSettings {
        format,
        level: level.parse().unwrap_or(LevelFilter::Info),
        file,
    }
}

fn metrics(mut fields: Fields<'_>) -> MetricsSettings {
    let address = fields.optional("address", check::reachable);
    let prefix = fields.or("prefix", DEFAULT_METRICS_PREFIX.into(), check::id);
    fields.finish();
    MetricsSettings { address, prefix }
}

fn limits(mut fields: Fields<'_>) -> Limits {
    let mut limit = |name, default| fields.or(name, default, check::positive);
    let limits = Limits {
        max_header_bytes: limit("max_header_bytes", DEFAULT_LIMITS.max_header_bytes),
        max_body_bytes: limit("max_body_bytes", DEFAULT_LIMITS.max_body_bytes),
        max_answer_bytes: limit("max_answer_bytes", DEFAULT_LIMITS.max_answer_bytes),
        max_open_requests: limit("max_open_requests", DEFAULT_LIMITS.max_open_requests),
    };
    fields.finish();
    limits
}
