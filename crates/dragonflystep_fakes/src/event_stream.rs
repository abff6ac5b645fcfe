//! Reads server-sent events from pieces of any length.

use std::mem;

/// One event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerEvent {
    /// Number of the event, where it has one.
    pub id: Option<u64>,
    /// Kind of the event, where it has one.
    pub event: Option<String>,
    /// Its data; several lines are joined by line feeds.
    pub data: String,
}

/// Takes bytes and gives whole events.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::event_stream::EventParser;
///
/// let mut parser = EventParser::default();
/// assert!(parser.push(b"id: 7\ndata: he").is_empty());
/// let events = parser.push(b"llo\n\n");
/// assert_eq!((events[0].id, events[0].data.as_str()), (Some(7), "hello"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct EventParser {
    rest: Vec<u8>,
    event: ServerEvent,
    has_data: bool,
}

impl EventParser {
    /// Takes the next bytes and gives the events that they end.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<ServerEvent> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            events.extend(self.line(line.trim_end_matches(['\r', '\n'])));
        }
        events
    }

    fn line(&mut self, line: &str) -> Option<ServerEvent> {
        if line.is_empty() {
            let event = mem::take(&mut self.event);
            return mem::take(&mut self.has_data).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = value.parse().ok(),
            "event" => self.event.event = Some(value.to_owned()),
            "data" => self.data(value),
            _ => {}
        }
        None
    }

    fn data(&mut self, value: &str) {
        if self.has_data {
            self.event.data.push('\n');
        }
        self.event.data.push_str(value);
        self.has_data = true;
    }
}
