//! What is wrong with a document.

use {
    std::{fmt, io, path::PathBuf},
    thiserror::Error,
};

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Path of the field, for example `upstreams[3].address`.
    pub path: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.reason)
    }
}

/// Why a document can't be used.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The file can't be read.
    #[error("can't read {}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The text is no JSON.
    #[error("no JSON at line {line}, column {column}: {reason}")]
    BrokenJson {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What is wrong there.
        reason: String,
    },
    /// The document has faults; all of them are listed.
    #[error("{} found:{}", count(faults), list(faults))]
    Faulty {
        /// Every fault, in the order of the reading.
        faults: Vec<Fault>,
    },
}

/// Why settings can't be used.
pub type SettingsError = DocumentError;

impl DocumentError {
    /// Every fault of the content; empty when it could not be read at all.
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Faulty { faults } => faults,
            Self::Unreadable { .. } | Self::BrokenJson { .. } => &[],
        }
    }
}

fn count(faults: &[Fault]) -> String {
    match faults.len() {
        1 => "1 fault".into(),
        many => format!("{many} faults"),
    }
}

fn list(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}
