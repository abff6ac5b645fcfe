//! Splits a byte stream of server-sent events into whole events, so that a stream can be resumed between two of them.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered as a whole, in bytes; a longer one is passed on in several chunks.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A whole event, or a chunk of one that is too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    /// The raw bytes, with the empty line that ends an event.
    pub(crate) bytes: Bytes,
    /// The value of the first `id:` line; none without one, and for a chunk that does not begin its event.
    pub(crate) id: Option<String>,
    /// Whether the event ends with these bytes.
    pub(crate) is_end: bool,
}

impl StreamEvent {
    /// Whether the bytes hold a part of an event, and not only empty lines and comments.
    pub(crate) fn has_content(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.any(|line| !line.starts_with(b":") && !line.trim_ascii_end().is_empty())
    }
}

/// Buffers incoming bytes and splits them at the empty lines that end events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no event can end.
    scanned: usize,
    /// Bytes of the event at the start of the buffer that were returned already, in chunks.
    returned_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event, or the whole buffer if it exceeds the length limit; none until then.
    pub(crate) fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end();
        if end.is_none() {
            self.scanned = self.buffer.len().saturating_sub(3);
            if self.buffer.len() <= MAX_EVENT_BYTES {
                return None;
            }
        }
        self.scanned = 0;
        let bytes = self
            .buffer
            .split_to(end.unwrap_or(self.buffer.len()))
            .freeze();
        let id = event_id(&bytes).filter(|_| !self.is_split());
        self.returned_bytes = match end {
            Some(_) => 0,
            None => self.returned_bytes + bytes.len(),
        };
        Some(StreamEvent {
            bytes,
            id,
            is_end: end.is_some(),
        })
    }

    /// Whether the bytes so far end in the middle of an event. Empty lines and comments belong to none.
    pub(crate) fn is_inside_event(&self) -> bool {
        let has_field = |line: &[u8]| {
            let text = line.trim_ascii_end();
            let is_comment = text.starts_with(b":") && line.ends_with(b"\n");
            !text.is_empty() && !is_comment
        };
        self.is_split()
            || self
                .buffer
                .split_inclusive(|byte| *byte == b'\n')
                .any(has_field)
    }

    /// Length of the current event so far, with what follows it in the buffer.
    pub(crate) fn event_bytes(&self) -> usize {
        self.returned_bytes + self.buffer.len()
    }

    /// Whether a chunk of the event at the start of the buffer was returned already.
    fn is_split(&self) -> bool {
        self.returned_bytes > 0
    }

    /// Removes and returns what is buffered after the last event.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// The position after the first end of an event in the buffer.
    fn find_end(&self) -> Option<usize> {
        let bytes = &self.buffer[self.scanned..];
        let end = bytes
            .windows(2)
            .position(|pair| pair == b"\n\n")
            .map(|at| at + 2);
        let end_crlf = bytes
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .map(|at| at + 4);
        let first = match (end, end_crlf) {
            (Some(one), Some(other)) => one.min(other),
            (one, other) => one.or(other)?,
        };
        Some(first + self.scanned)
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?.trim_ascii();
        Some(String::from_utf8_lossy(value).into_owned())
    })
}
