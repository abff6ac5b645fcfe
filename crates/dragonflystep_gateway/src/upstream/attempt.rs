//! One attempt to have a request answered by an upstream.

use {
    super::gate::Gate,
    crate::registry::lock,
    dragonflystep_core::{catalogue::ServiceKind, message::GrantName},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::task::AbortHandle,
};

/// Where a stream runs.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// IP number and port.
    pub(crate) address: Arc<str>,
    /// What kind of service it is.
    pub(crate) kind: ServiceKind,
    /// The grant that names the stream.
    pub(crate) grant: GrantName,
}

impl Target {
    /// Name of the stream at the upstream.
    pub(crate) fn stream_name(&self) -> String {
        let GrantName {
            group,
            epoch,
            grant,
        } = &self.grant;
        format!("{group}:{epoch}:{grant}")
    }
}

/// One attempt; a new one takes its place only when this one sent nothing.
pub(crate) struct Attempt {
    /// Where it goes.
    pub(crate) target: Target,
    /// Time of the node's clock at which the grant is dead.
    pub(crate) valid_until: Duration,
    /// Longest time without a byte.
    pub(crate) progress_timeout: Duration,
    /// The point of no return.
    pub(crate) gate: Gate,
    task: Mutex<Option<AbortHandle>>,
}

impl Attempt {
    /// An attempt that has not started.
    pub(crate) fn new(target: Target, valid_until: Duration, progress_timeout: Duration) -> Self {
        Self {
            target,
            valid_until,
            progress_timeout,
            gate: Gate::default(),
            task: Mutex::new(None),
        }
    }

    /// Keeps the handle of the task that works on it, and ends the one before.
    pub(crate) fn set_task(&self, task: AbortHandle) {
        if let Some(earlier) = lock(&self.task).replace(task) {
            earlier.abort();
        }
    }

    /// Ends the task; its connection is dropped with it.
    pub(crate) fn abort(&self) {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
    }
}
