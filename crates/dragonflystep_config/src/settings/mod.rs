//! Settings of one node.

mod read;
mod tuning;

use {
    crate::{
        fault::SettingsError,
        fields::{Fields, Findings, KnownField},
        json,
        secret::Secret,
    },
    dragonflystep_core::{
        NodeIdentity, Tuning,
        ids::{DataCentreId, Incarnation, NodeId},
    },
    log::LevelFilter,
    serde::{Deserialize, Serialize},
    serde_json::{Map, Value},
    std::{
        fs,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
};

/// Settings of one node; `docs/SETTINGS.md` lists the fields of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: NodeId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Name of its VM in the platform's VM list.
    pub vm: Option<Arc<str>>,
    /// IP number and port for callers.
    pub caller_address: Arc<str>,
    /// IP number and port for other nodes.
    pub mesh_address: Arc<str>,
    /// IP number and port for operators.
    pub admin_address: Arc<str>,
    /// How the platform is reached.
    pub platform: PlatformSection,
    /// Key that all nodes share.
    pub mesh_key: Secret,
    /// Keys of the operators.
    pub admin_keys: AdminKeys,
    /// The log.
    pub log: LogSettings,
    /// The metrics.
    pub metrics: MetricsSettings,
    /// Limits of one node against callers that ask for too much.
    pub limits: Limits,
    tuning: Tuning,
}

/// How the platform is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSection {
    /// IP number and port.
    pub address: Arc<str>,
    /// Key that the platform asks for.
    pub key: Secret,
    /// Longest duration of one call.
    pub timeout: Duration,
}

/// Keys of the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminKeys {
    /// Key that may look.
    pub read: Secret,
    /// Key that may look and change.
    pub edit: Secret,
}

/// Form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text for each entry.
    #[default]
    Text,
    /// One JSON object for each entry.
    Json,
}

/// The log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least grave entry that is written.
    pub level: LevelFilter,
    /// File that is appended to; standard error when there is none.
    pub file: Option<PathBuf>,
}

/// The metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsSettings {
    /// IP number and port of a StatsD receiver; none sends no metrics.
    pub address: Option<Arc<str>>,
    /// First part of the name of each metric.
    pub prefix: Arc<str>,
}

/// Limits of one node against callers that ask for too much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request.
    pub max_header_bytes: u64,
    /// Longest body of a request.
    pub max_body_bytes: u64,
    /// Longest answer that is kept for one request.
    pub max_answer_bytes: u64,
    /// Most requests that are open at one time.
    pub max_open_requests: u64,
}

impl NodeSettings {
    /// Settings from a file.
    ///
    /// # Errors
    /// When the file can't be read or is no JSON, and with every fault of its content.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path);
        let text = text.map_err(|source| SettingsError::Unreadable {
            path: path.into(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Settings from a text.
    ///
    /// # Errors
    /// When it is no JSON, and with every fault of its content.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_config::NodeSettings;
    /// let text = r#"{"node": "Entry 1", "caller_address": "localhost:80", "colour": "red"}"#;
    /// let error = NodeSettings::parse(text).expect_err("there are faults");
    /// let faults: Vec<_> = error.faults().iter().map(ToString::to_string).collect();
    /// assert!(faults.contains(&"caller_address: not an IP number and port".to_string()));
    /// assert!(faults.contains(&"colour: is not a known field".to_string()));
    /// ```
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let (value, repeated) = json::parse(text)?;
        let mut findings = Findings::starting_with(repeated);
        let settings = read::node_settings(Fields::root(value, &mut findings));
        findings.conclude(settings)
    }

    /// Every field that settings may have, in the order of the reading.
    pub fn known_fields() -> Vec<KnownField> {
        let mut findings = Findings::default();
        // Reading nothing asks for every field.
        let nothing = Value::Object(Map::new());
        read::node_settings(Fields::root(nothing, &mut findings));
        findings.known
    }

    /// Times of the protocols.
    pub fn tuning(&self) -> Tuning {
        self.tuning.clone()
    }

    /// Who the node is in its present run.
    pub fn identity(&self, incarnation: Incarnation) -> NodeIdentity {
        NodeIdentity {
            id: self.node.clone(),
            incarnation,
            data_centre: self.data_centre.clone(),
            mesh_address: self.mesh_address.clone(),
            caller_address: self.caller_address.clone(),
            vm: self.vm.clone(),
        }
    }
}
