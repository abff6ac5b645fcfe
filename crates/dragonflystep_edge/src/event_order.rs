//! Where an event belongs in its stream, by its id.

/// Where an event belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventPlace {
    /// It follows what the caller has, as far as ids show.
    Next,
    /// The caller has it already.
    Received,
}

/// The order of the events of a stream, which may come from several runs in turn.
#[derive(Debug, Default)]
pub(crate) struct EventOrder {
    /// The id of the last event that the caller has; none if it has none with an id.
    last_id: Option<String>,
    /// The number of the current run's last event; none before the first one with a number.
    run_last: Option<u64>,
}

impl EventOrder {
    /// A stream of which the caller has the events up to `last_id`.
    pub(crate) fn after(last_id: Option<String>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// The id of the last event that the caller has.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// The next events are those of another run.
    pub(crate) fn begin_run(&mut self) {
        self.run_last = None;
    }

    /// Whether the current run lags behind what the caller has. If it ends there, it is not the whole stream.
    pub(crate) fn is_behind(&self) -> bool {
        let last = self.last_id().and_then(number);
        matches!((self.run_last, last), (Some(run), Some(last)) if run < last)
    }

    /// Places the next event of the current run; the caller has it afterwards if it is the next one. Numeric ids are taken to
    /// increase from event to event; other ids are compared with that of the last event only.
    pub(crate) fn place(&mut self, id: &str) -> EventPlace {
        self.run_last = number(id).or(self.run_last);
        let is_received = match (self.last_id().and_then(number), number(id)) {
            (Some(last), Some(id)) => id <= last,
            _ => self.last_id() == Some(id),
        };
        if is_received {
            return EventPlace::Received;
        }
        self.last_id = Some(id.to_owned());
        EventPlace::Next
    }
}

fn number(id: &str) -> Option<u64> {
    id.parse().ok()
}
