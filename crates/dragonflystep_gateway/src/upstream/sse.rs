//! Server-sent events: cutting a byte stream into events, and writing them.

use std::fmt::Write as _;

/// Largest event that is held in memory; a longer one is a fault of the upstream.
pub(crate) const MAX_EVENT_BYTES: usize = 128 * 1024;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SseEvent {
    /// Number of the event, where it has one.
    pub(crate) id: Option<u64>,
    /// Name of the event, where it has one.
    pub(crate) name: Option<String>,
    /// Data lines, joined.
    pub(crate) data: String,
}

/// Why a byte stream is no stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SseError {
    /// An event grew past the limit.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A line is no UTF-8.
    #[error("a line is not UTF-8")]
    NotText,
    /// An event's number is no number.
    #[error("an event's id is not a number")]
    BadId,
}

/// Cuts bytes into events, whatever the pieces in which they arrive.
#[derive(Debug, Default)]
pub(crate) struct SseParser {
    line: Vec<u8>,
    event: SseEvent,
    has_data: bool,
}

impl SseParser {
    /// Takes the next bytes and hands out the events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, SseError> {
        let mut events = Vec::new();
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            self.extend_line(&rest[..end])?;
            rest = &rest[end + 1..];
            if let Some(event) = self.end_line()? {
                events.push(event);
            }
        }
        self.extend_line(rest)?;
        Ok(events)
    }

    fn extend_line(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        if self.line.len() + self.event.data.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLong);
        }
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn end_line(&mut self) -> Result<Option<SseEvent>, SseError> {
        let mut line = std::mem::take(&mut self.line);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        if line.is_empty() {
            return Ok(self.end_event());
        }
        let line = std::str::from_utf8(&line).map_err(|_| SseError::NotText)?;
        self.field(line)?;
        Ok(None)
    }

    fn field(&mut self, line: &str) -> Result<(), SseError> {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.event.id = Some(value.parse().map_err(|_| SseError::BadId)?),
            "event" => self.event.name = Some(value.to_owned()),
            "data" => self.data(value),
            // A line that starts with a colon is a comment; other fields mean nothing here.
            _ => {}
        }
        Ok(())
    }

    fn data(&mut self, value: &str) {
        if self.has_data {
            self.event.data.push('\n');
        }
        self.event.data.push_str(value);
        self.has_data = true;
    }

    fn end_event(&mut self) -> Option<SseEvent> {
        let event = std::mem::take(&mut self.event);
        let had_data = std::mem::take(&mut self.has_data);
        had_data.then_some(event)
    }
}

/// Writes one event.
pub(crate) fn write_event(event: &SseEvent) -> String {
    let mut text = String::with_capacity(event.data.len() + 32);
    if let Some(id) = event.id {
        let _ = writeln!(text, "id: {id}");
    }
    if let Some(name) = &event.name {
        let _ = writeln!(text, "event: {name}");
    }
    for line in event.data.split('\n') {
        let _ = writeln!(text, "data: {line}");
    }
    text.push('\n');
    text
}
