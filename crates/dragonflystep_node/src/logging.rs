//! Structured logs: one line for each thing that happened, as text or JSON.

use {
    crate::error::NodeError,
    log::{
        Level, LevelFilter, Record,
        kv::{Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::{
        fmt::{Arguments, Write},
        path::PathBuf,
        time::SystemTime,
    },
};

/// Targets of the project's own crates begin with this.
const OWN_TARGETS: &str = "dragonflystep";

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Words and `name=value` pairs.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Where log lines go and how they look.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// How they look.
    pub format: LogFormat,
    /// The least grave lines that are written.
    pub level: LevelFilter,
    /// A file; none is standard error.
    pub file: Option<PathBuf>,
    /// Name of the node, written into each line.
    pub node: String,
}

/// Starts the log of this process.
///
/// # Errors
/// When the file can't be opened, or when the process has a log already.
pub fn start(settings: &LogSettings) -> Result<(), NodeError> {
    let node = settings.node.clone();
    let format = settings.format;
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        // Libraries tell of every connection; only their warnings are of use to operators.
        .filter(|metadata| {
            metadata.target().starts_with(OWN_TARGETS) || metadata.level() <= Level::Warn
        })
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!("{}", text_line(&node, message, record))),
            LogFormat::Json => out.finish(format_args!("{}", json_line(&node, message, record))),
        });
    let dispatch = match &settings.file {
        Some(path) => {
            let file = fern::log_file(path)
                .map_err(|error| NodeError::Log(format!("{}: {error}", path.display())))?;
            dispatch.chain(file)
        }
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch
        .apply()
        .map_err(|error| NodeError::Log(error.to_string()))
}

fn timestamp() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}

/// One line as text.
pub fn text_line(node: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = format!("{} {:5} node={node} {message}", timestamp(), record.level());
    for (name, value) in pairs(record) {
        // Writing to a string does not fail.
        let _ = write!(line, " {name}={value}");
    }
    line
}

/// One line as JSON.
pub fn json_line(node: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let mut object = Map::new();
    object.insert("time".to_owned(), json!(timestamp()));
    object.insert("level".to_owned(), json!(record.level().as_str()));
    object.insert("node".to_owned(), json!(node));
    object.insert("message".to_owned(), json!(message.to_string()));
    for (name, value) in pairs(record) {
        object.entry(name).or_insert(json!(value));
    }
    serde_json::Value::Object(object).to_string()
}

fn pairs(record: &Record<'_>) -> Vec<(String, String)> {
    let mut collector = PairCollector(Vec::new());
    // The collector accepts every pair.
    let _ = record.key_values().visit(&mut collector);
    collector.0
}

struct PairCollector(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for PairCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}
