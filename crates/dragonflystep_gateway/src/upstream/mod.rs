//! The node as a client of upstreams: dispatch, relay, resume, cancel, and reading of reports.

pub(crate) mod attempt;
pub(crate) mod cancel;
pub(crate) mod client;
pub(crate) mod dispatch;
pub(crate) mod gate;
pub(crate) mod plain;
pub(crate) mod progress;
pub(crate) mod relay;
pub(crate) mod resume;
pub(crate) mod sse;
pub(crate) mod watch;
