//! Streams and calls of an engine stand-in.

use {
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Where a stream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamState {
    Running,
    Finished,
    Cancelled,
    Lost,
}

/// How far a stream got.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamProgress {
    pub(super) tokens: u32,
    pub(super) cached_tokens: u32,
    pub(super) state: StreamState,
}

/// A stream that can be read, resumed and cancelled.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) name: String,
    pub(super) prompt: Arc<str>,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) progress: watch::Sender<StreamProgress>,
    /// Place of its record.
    pub(super) record: usize,
    /// Connections that read it.
    pub(super) connections: u32,
    /// When the last connection ended.
    pub(super) detached_at: Duration,
}

/// A completion call as it arrived.
#[derive(Debug, Clone)]
pub(super) struct Dispatch {
    pub(super) stream: String,
    pub(super) fencing_number: Option<u64>,
    pub(super) body_hash: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) idempotency_key: Option<String>,
    pub(super) idempotent: Option<String>,
}

/// Why a call was refused; it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RefusalReason {
    Fenced { highest: u64 },
    Duplicate,
    TooLong,
    Full,
    Told { status: u16 },
}

/// A crash that has to be carried out on the connections.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashOrder {
    pub(super) down: Duration,
}
