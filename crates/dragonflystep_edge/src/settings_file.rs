//! Reads and validates the JSON settings file of a node. Errors name the path of the wrong field.

use {
    crate::{limits::DEFAULT_MEMORY_BYTES, settings::NodeSettings},
    dragonflystep_dispatch::{
        CopyRules, DataCentreName, NodeName, QuotaRules, RegionName, RolloutRules, ShareRules,
        SharedLimits, WarmUpRules,
    },
    serde::Deserialize,
    std::{
        collections::BTreeMap,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// How long callers keep a list of addresses, if the operator's limit permits it. It is short because the listed
/// nodes may stop at any moment, and fetching the list costs a node far less than a request.
const MAX_ADDRESS_LIFETIME: Duration = Duration::from_secs(2);

/// Default share of a service's requests that a bad version may get; the usual first step of a progressive
/// delivery.
const DEFAULT_EXPOSED_SHARE: f64 = 0.05;

/// Share of the file descriptors that callers' connections may use. The rest is for upstreams and other nodes.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.5;

/// Why a settings file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, or a field is missing or of the wrong type.
    #[error("settings: {path}: {message}")]
    Parse {
        /// Path of the field.
        path: String,
        /// Error of the JSON parser.
        message: String,
    },
    /// A value is out of range.
    #[error("settings: {field}: {message}")]
    Value {
        /// Path of the field.
        field: &'static str,
        /// The permitted range.
        message: &'static str,
    },
}

/// The settings file as operators write it; the names of the fields are part of its format.
#[derive(Clone, Debug, Deserialize)]
struct SettingsFile {
    node: NodeName,
    data_centre: DataCentreName,
    /// May be absent if no route or account is bound to regions.
    #[serde(default)]
    regions: BTreeMap<DataCentreName, RegionName>,
    listen: Listen,
    cpu_share: f64,
    max_descriptors: usize,
    /// Memory of the VM in MB; 160 if absent.
    memory_mb: Option<f64>,
    stop_grace_s: f64,
    address_lifetime_limit_s: f64,
    retries: Retries,
    quotas: Quotas,
    /// May be absent if operators order no roll-outs.
    #[serde(default)]
    rollouts: Rollouts,
    /// May be absent if no service has a warm-up.
    #[serde(default)]
    warm_up: WarmUp,
    /// May be absent; then the defaults apply.
    #[serde(default)]
    run_copies: RunCopies,
    /// May be absent; then the defaults apply.
    #[serde(default)]
    account_shares: AccountShares,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    first_start: bool,
    /// Passed on to the adapter of the platform, which reads it.
    #[serde(default)]
    platform: serde_json::Value,
}

#[derive(Clone, Debug, Deserialize)]
struct Listen {
    ingress: SocketAddr,
    readiness: SocketAddr,
    directory: SocketAddr,
    peers: SocketAddr,
    /// Address at which other nodes reach this one, if it is not `peers`, as with a relay between them.
    peers_advertised: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
    /// Address from which connections to other nodes and upstreams are opened.
    outgoing_ip: Option<IpAddr>,
}

#[derive(Clone, Debug, Deserialize)]
struct Retries {
    ratio: f64,
    slack: f64,
    window_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
struct Quotas {
    window_s: f64,
    tolerated_share: f64,
    tolerated_units: f64,
}

/// How many requests a version may get before it is found to be bad.
#[derive(Clone, Debug, Deserialize)]
struct Rollouts {
    exposed_share: f64,
    exposed_slack: f64,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            exposed_share: DEFAULT_EXPOSED_SHARE,
            exposed_slack: 0.0,
        }
    }
}

/// How many requests a cold upstream may get in any one second, beyond the rate that its service states.
#[derive(Clone, Debug, Deserialize)]
struct WarmUp {
    tolerated_ratio: f64,
    tolerated_requests: f64,
}

impl Default for WarmUp {
    fn default() -> Self {
        Self {
            tolerated_ratio: 1.0,
            tolerated_requests: 0.0,
        }
    }
}

/// Which runs are copied to a second upstream, where the engines of the service can do that.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
struct RunCopies {
    min_break_probability: f64,
    max_memory_share: f64,
}

impl Default for RunCopies {
    fn default() -> Self {
        let rules = CopyRules::default();
        Self {
            min_break_probability: rules.min_break_probability,
            max_memory_share: rules.max_memory_share,
        }
    }
}

/// How the accounts of a tier share a service that is full.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
struct AccountShares {
    enabled: bool,
    memory_s: f64,
}

impl Default for AccountShares {
    fn default() -> Self {
        let rules = ShareRules::default();
        Self {
            enabled: rules.is_enabled,
            memory_s: rules.memory.as_secs_f64(),
        }
    }
}

/// Reads the settings of a node. The second value is the part for the adapter of the platform.
///
/// # Errors
/// If the text is not a valid settings file. The error names the field.
///
/// # Examples
/// ```
/// use dragonflystep_edge::read_settings;
///
/// let text = r#"{
///   "node": "n1", "data_centre": "a", "cpu_share": 0.25, "max_descriptors": 4100,
///   "stop_grace_s": 8, "address_lifetime_limit_s": 5,
///   "listen": {"ingress": "127.0.0.1:1", "readiness": "127.0.0.1:2",
///              "directory": "127.0.0.1:3", "peers": "127.0.0.1:4"},
///   "retries": {"ratio": 0.2, "slack": 50, "window_s": 10},
///   "quotas": {"window_s": 8, "tolerated_share": 0.1, "tolerated_units": 1000}
/// }"#;
/// let (settings, _) = read_settings(text).unwrap();
/// assert_eq!(&*settings.node, "n1");
/// let error = read_settings(&text.replace("0.25", "-1")).unwrap_err();
/// assert_eq!(error.to_string(), "settings: cpu_share: must be above 0");
/// ```
pub fn read_settings(text: &str) -> Result<(NodeSettings, serde_json::Value), SettingsError> {
    let mut input = serde_json::Deserializer::from_str(text);
    let file: SettingsFile =
        serde_path_to_error::deserialize(&mut input).map_err(|error| SettingsError::Parse {
            path: error.path().to_string(),
            message: error.into_inner().to_string(),
        })?;
    validate(&file)?;
    let settings = NodeSettings {
        node: file.node,
        data_centre: file.data_centre,
        regions: file.regions,
        ingress: file.listen.ingress,
        readiness: file.listen.readiness,
        directory: file.listen.directory,
        peers: file.listen.peers,
        outgoing_ip: file.listen.outgoing_ip,
        peers_advertised: file.listen.peers_advertised.unwrap_or(file.listen.peers),
        metrics: file.listen.metrics,
        cpu_share: file.cpu_share,
        is_first_start: file.first_start,
        shared_limits: SharedLimits {
            retry_ratio: file.retries.ratio,
            retry_slack: file.retries.slack,
            retry_window_s: file.retries.window_s.ceil() as u64,
            quota: QuotaRules {
                window: Duration::from_secs_f64(file.quotas.window_s),
                tolerated_share: file.quotas.tolerated_share,
                tolerated_units: file.quotas.tolerated_units,
            },
            rollout: RolloutRules {
                exposed_share: file.rollouts.exposed_share,
                exposed_slack: file.rollouts.exposed_slack,
            },
            warm_up: WarmUpRules {
                tolerated_ratio: file.warm_up.tolerated_ratio,
                tolerated_requests: file.warm_up.tolerated_requests,
            },
            copies: CopyRules {
                min_break_probability: file.run_copies.min_break_probability,
                max_memory_share: file.run_copies.max_memory_share,
            },
            shares: ShareRules {
                is_enabled: file.account_shares.enabled,
                memory: Duration::from_secs_f64(file.account_shares.memory_s),
            },
        },
        stop_grace: Duration::from_secs_f64(file.stop_grace_s),
        address_lifetime: MAX_ADDRESS_LIFETIME
            .min(Duration::from_secs_f64(file.address_lifetime_limit_s)),
        memory_bytes: file
            .memory_mb
            .map_or(DEFAULT_MEMORY_BYTES, |megabytes| (megabytes * 1e6) as usize),
        max_client_connections: (file.max_descriptors as f64 * CLIENT_DESCRIPTOR_SHARE) as usize,
        seed: None,
    };
    Ok((settings, file.platform))
}

fn validate(file: &SettingsFile) -> Result<(), SettingsError> {
    let is_duration = |seconds: f64| (0.0..=1e6).contains(&seconds);
    let checks = [
        (file.node.is_empty(), "node", "must not be empty"),
        (
            file.cpu_share <= 0.0 || !file.cpu_share.is_finite(),
            "cpu_share",
            "must be above 0",
        ),
        (
            file.max_descriptors < 64,
            "max_descriptors",
            "must be 64 or more",
        ),
        (
            !(16.0..=1e9).contains(&file.memory_mb.unwrap_or(16.0)),
            "memory_mb",
            "must be 16 or more",
        ),
        (
            !is_duration(file.stop_grace_s),
            "stop_grace_s",
            "must be 0 to 1000000 seconds",
        ),
        (
            !is_duration(file.address_lifetime_limit_s),
            "address_lifetime_limit_s",
            "must be 0 to 1000000 seconds",
        ),
        (
            !(0.0..=100.0).contains(&file.retries.ratio),
            "retries.ratio",
            "must be 0 to 100",
        ),
        (
            !(0.0..=1e9).contains(&file.retries.slack),
            "retries.slack",
            "must be 0 or more",
        ),
        (
            !is_duration(file.quotas.window_s),
            "quotas.window_s",
            "must be 0 to 1000000 seconds",
        ),
        (
            !(0.0..=100.0).contains(&file.quotas.tolerated_share),
            "quotas.tolerated_share",
            "must be 0 to 100",
        ),
        (
            !(0.0..=1e12).contains(&file.quotas.tolerated_units),
            "quotas.tolerated_units",
            "must be 0 or more",
        ),
        (
            !(0.0..=1.0).contains(&file.rollouts.exposed_share),
            "rollouts.exposed_share",
            "must be 0 to 1",
        ),
        (
            !(0.0..=1e9).contains(&file.rollouts.exposed_slack),
            "rollouts.exposed_slack",
            "must be 0 or more",
        ),
        (
            !(0.0..=100.0).contains(&file.warm_up.tolerated_ratio),
            "warm_up.tolerated_ratio",
            "must be 0 to 100",
        ),
        (
            !(0.0..=1e9).contains(&file.warm_up.tolerated_requests),
            "warm_up.tolerated_requests",
            "must be 0 or more",
        ),
        (
            !(0.0..=1.0).contains(&file.run_copies.min_break_probability),
            "run_copies.min_break_probability",
            "must be 0 to 1",
        ),
        (
            !(0.0..=1.0).contains(&file.run_copies.max_memory_share),
            "run_copies.max_memory_share",
            "must be 0 to 1",
        ),
        (
            !(0.1..=3_600.0).contains(&file.account_shares.memory_s),
            "account_shares.memory_s",
            "must be 0.1 to 3600 seconds",
        ),
        (
            !is_duration(file.retries.window_s),
            "retries.window_s",
            "must be 0 to 1000000 seconds",
        ),
    ];
    for (is_invalid, field, message) in checks {
        if is_invalid {
            return Err(SettingsError::Value { field, message });
        }
    }
    Ok(())
}
