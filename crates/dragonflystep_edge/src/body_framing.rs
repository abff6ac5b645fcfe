//! How the end of an answer's body is marked.

use http::{HeaderMap, header};

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// The head states the length.
    Length,
    /// The body arrives in chunks, of which the last one is empty.
    Chunks,
    /// The end of the connection. An upstream that fails may end it as well, so that the body may lack its rest.
    Connection,
}

impl BodyFraming {
    /// The framing of an answer to a request other than HEAD.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Its name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
