//! What can go wrong with an experiment.

use {std::path::PathBuf, thiserror::Error};

/// Why an experiment could not be made.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A file could not be read.
    #[error("can't read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A document is not what it should be.
    #[error("{path}: {source}")]
    Document {
        /// The file.
        path: PathBuf,
        /// The cause, with line and column.
        source: serde_json::Error,
    },
    /// A field of a document has a value that can't be used.
    #[error("{path}: {field}: {reason}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// No policy of this name.
    #[error("no policy is called {name}; known: {known}")]
    UnknownPolicy {
        /// The name.
        name: String,
        /// Names that there are.
        known: String,
    },
    /// The report could not be written as JSON.
    #[error("can't write the report: {0}")]
    Report(#[from] serde_json::Error),
}
