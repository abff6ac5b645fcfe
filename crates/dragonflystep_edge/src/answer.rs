//! Bodies of answers to callers, and the removal of hop-by-hop headers.

use {
    crate::{held_bytes::HeldChunk, limits::ANSWER_PIECE_BYTES},
    bytes::Bytes,
    http::{HeaderMap, HeaderName, header},
    http_body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// A stream to a caller can't be completed. The connection is closed without the end of the body, so that the caller
/// can tell that the answer is truncated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer can't be completed")]
pub struct IncompleteAnswer;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// The whole body.
    Buffered(HeldChunk),
    /// The body arrives in chunks while it is sent.
    Streamed(mpsc::Receiver<Result<HeldChunk, IncompleteAnswer>>),
}

impl AnswerBody {
    /// A body without content.
    pub fn empty() -> Self {
        Self::from(Bytes::new())
    }
}

impl From<Bytes> for AnswerBody {
    /// The whole body of a reply of the node itself.
    fn from(bytes: Bytes) -> Self {
        Self::Buffered(HeldChunk::uncounted(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteAnswer>>> {
        match self.get_mut() {
            Self::Buffered(body) if body.is_empty() => Poll::Ready(None),
            Self::Buffered(body) => {
                let piece = body.take_front(ANSWER_PIECE_BYTES);
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            Self::Streamed(chunks) => chunks.poll_recv(context).map(|chunk| {
                chunk.map(|chunk| chunk.map(|mut chunk| Frame::data(chunk.take_front(usize::MAX))))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(body) if body.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Headers that concern only one connection, in addition to those that [`end_to_end_headers`] checks itself.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// A copy of `headers` without hop-by-hop headers, which concern only one connection, and without the length of the
/// body.
///
/// # Examples
/// ```
/// use dragonflystep_edge::end_to_end_headers;
/// use http::{HeaderMap, HeaderValue};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", HeaderValue::from_static("keep-alive, x-hop"));
/// headers.insert("x-hop", HeaderValue::from_static("1"));
/// headers.insert("x-end", HeaderValue::from_static("1"));
/// let kept = end_to_end_headers(&headers);
/// assert_eq!(kept.keys().map(|name| name.as_str()).collect::<Vec<_>>(), ["x-end"]);
/// ```
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || named_by_connection.contains(name)
            || name == header::TRANSFER_ENCODING
            || name == header::CONTENT_LENGTH
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection";
        if !is_hop_by_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
