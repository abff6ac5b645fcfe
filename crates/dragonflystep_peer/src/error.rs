//! Errors of calls between nodes.

use std::{io, time::Duration};

/// Why a call to another node failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection to the node could be opened.
    #[error("can't connect to {address}: {source}")]
    Connect {
        /// Address of the node that was called, as IP:PORT.
        address: String,
        /// Error that the operating system reported.
        source: io::Error,
    },
    /// The node did not answer within this time limit.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The connection broke, or the node answered the call with an error.
    #[error("call failed: {0}")]
    Call(#[from] capnp::Error),
    /// A message could not be decoded; the text names the cause.
    #[error("message not understood: {0}")]
    Decode(String),
}

impl PeerError {
    /// Whether the connection was refused: nothing listens at the address, or a network resets connections to it.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl From<capnp::NotInSchema> for PeerError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Decode(error.to_string())
    }
}

impl From<std::str::Utf8Error> for PeerError {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Decode(error.to_string())
    }
}
