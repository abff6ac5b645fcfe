//! What can go wrong in the mesh.

use {
    capnp::NotInSchema,
    std::{io, net::SocketAddr, str::Utf8Error, time::Duration},
    thiserror::Error,
};

/// Why a mesh can't be started.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum MeshError {
    /// Another process listens on the address.
    #[error("the address {address} is in use by another process; choose another port or stop it")]
    AddressInUse {
        /// The address.
        address: SocketAddr,
    },
    /// The address can't be listened on for another reason.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// The system gives no thread or no runtime.
    #[error("cannot start the thread of the mesh: {0}")]
    Thread(#[source] io::Error),
    /// A key without characters would let every node in.
    #[error("the key of the mesh is empty")]
    EmptyKey,
}

/// Why a message can't be written.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum EncodeError {
    /// An item of the catalogue has no JSON form.
    #[error("the catalogue can't be written as JSON: {0}")]
    Catalogue(#[from] serde_json::Error),
}

/// Why bytes are no message.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// The bytes break the rules of Cap'n Proto or its limits.
    #[error("not a well-formed message: {0}")]
    Malformed(#[from] capnp::Error),
    /// A text is not UTF-8.
    #[error("a text is not UTF-8: {0}")]
    Text(#[from] Utf8Error),
    /// A newer node sent a variant that this one does not know.
    #[error("unknown variant {0}")]
    UnknownVariant(u16),
    /// The envelope is empty.
    #[error("the envelope holds no message")]
    EmptyEnvelope,
    /// Items of the catalogue are not what serde defines.
    #[error("the catalogue's JSON does not fit: {0}")]
    Catalogue(#[from] serde_json::Error),
}

impl From<NotInSchema> for DecodeError {
    fn from(NotInSchema(ordinal): NotInSchema) -> Self {
        Self::UnknownVariant(ordinal)
    }
}

/// Why a link to a peer could not be opened or broke.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    /// The connection was refused or broke.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The connection did not stand in time.
    #[error("connecting took longer than {0:?}")]
    ConnectTimeout(Duration),
    /// A call was not answered in time.
    #[error("no answer within {0:?}")]
    CallTimeout(Duration),
    /// The other side refused a call, or the connection broke meanwhile.
    #[error("call failed: {0}")]
    Call(#[from] capnp::Error),
    /// The other side does not know the key, or bears another name.
    #[error("the peer did not prove its name and the key")]
    NotProven,
    /// The other side takes connections but no batch.
    #[error("the peer broke a connection that had carried nothing")]
    Unusable,
    /// The messages make more than one batch.
    #[error("larger than a batch may be")]
    BatchTooLarge,
    /// A message can't be written.
    #[error(transparent)]
    Encode(#[from] EncodeError),
}

impl LinkError {
    /// Whether the messages are at fault and not the connection.
    pub(crate) fn is_of_content(&self) -> bool {
        matches!(self, Self::BatchTooLarge | Self::Encode(_))
    }
}
