//! Why a node can't start.

use {
    dragonflystep_gateway::GatewayError,
    dragonflystep_mesh::MeshError,
    dragonflystep_platform::PlatformError,
    std::{io, sync::Arc},
    thiserror::Error,
};

/// Why a node can't start or had to end.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address of the settings can't be listened on.
    #[error("can't listen on {field} {address}: {source}")]
    Listen {
        /// Field of the settings.
        field: &'static str,
        /// The address.
        address: Arc<str>,
        /// What the operating system says.
        source: io::Error,
    },
    /// The links to other nodes can't start.
    #[error("can't start the links to other nodes: {0}")]
    Mesh(#[from] MeshError),
    /// The HTTP side can't start.
    #[error("can't start the HTTP side: {0}")]
    Gateway(#[from] GatewayError),
    /// The platform's client can't start.
    #[error("can't start the platform's client: {0}")]
    Platform(#[from] PlatformError),
    /// The metrics can't be sent.
    #[error("can't open a socket for metrics: {0}")]
    Metrics(io::Error),
    /// The log can't be written.
    #[error("can't open the log: {0}")]
    Log(String),
}
