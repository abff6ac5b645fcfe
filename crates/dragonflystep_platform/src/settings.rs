//! How the platform is reached.

use std::{fmt, sync::Arc, time::Duration};

/// How the platform is reached.
#[derive(Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// IP number and port.
    pub address: Arc<str>,
    /// Key that the platform asks for; it never shows in errors or logs.
    pub key: Arc<str>,
    /// Longest duration of one call, from its start to the last byte of its answer.
    pub timeout: Duration,
}

impl fmt::Debug for PlatformSettings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PlatformSettings")
            .field("address", &self.address)
            .field("key", &"redacted")
            .field("timeout", &self.timeout)
            .finish()
    }
}
