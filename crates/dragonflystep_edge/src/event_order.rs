//! Where an event belongs in its stream, by its id.
//!
//! Ids increase from event to event; that they increase by one is not promised. So an event whose id is not above the last
//! one that the caller has was received already. Events are taken to be missing only where the events of one run are
//! joined to those of another, and only if the ids of this stream have gone up by one so far: within a run, events arrive as
//! the upstream sent them, and an upstream may number tokens of which an event holds several.

/// Where an event belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventPlace {
    /// It follows what the caller has, as far as ids show.
    Next,
    /// The caller has it already.
    Received,
    /// Events are missing between what the caller has and this one, or the one before it.
    AfterGap,
    /// The event after it shows whether events are missing before it.
    Unproved,
}

/// The order of the events of a stream, which may come from several runs in turn.
#[derive(Debug, Default)]
pub(crate) struct EventOrder {
    /// The id of the last event that the caller has; none if it has none with an id.
    last_id: Option<String>,
    /// The number of the current run's last event; none before the first one with a number.
    run_last: Option<u64>,
    /// Whether an event of the current run was joined to what the caller has.
    is_joined: bool,
    /// The number and the id of the first event that would be joined, while the next event has to show whether it may be.
    unproved: Option<(u64, String)>,
    /// A number that was taken to follow a gap. A second run that goes on with the same one confirms that nothing is missing.
    doubted: Option<u64>,
    has_steps_of_one: bool,
    has_larger_steps: bool,
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
        self.is_joined = false;
        self.unproved = None;
    }

    /// Whether the current run lags behind what the caller has. If it ends there, it is not the whole stream.
    pub(crate) fn is_behind(&self) -> bool {
        matches!((self.run_last, self.last_number()), (Some(run), Some(last)) if run < last)
    }

    /// Places the next event of the current run; the caller has it afterwards if it is the next one.
    pub(crate) fn place(&mut self, id: &str) -> EventPlace {
        let number = number(id);
        let earlier = self.run_last;
        self.run_last = number.or(earlier);
        if let (Some(earlier), Some(number)) = (earlier, number) {
            // A step from what the caller has to what it lacks may be the gap itself.
            let is_inside = self.is_joined || self.last_number().is_none_or(|last| number <= last);
            self.has_steps_of_one |= number.checked_sub(earlier) == Some(1);
            self.has_larger_steps |= is_inside && number.saturating_sub(earlier) > 1;
        }
        if let Some((unproved, _)) = self.unproved.take() {
            let is_larger_step = number.is_none_or(|number| number.saturating_sub(unproved) > 1);
            if !is_larger_step {
                self.doubted = Some(unproved);
                return EventPlace::AfterGap;
            }
            self.has_larger_steps |= number.is_some();
            return self.join(id);
        }
        let (Some(last), Some(number)) = (self.last_number(), number) else {
            return if self.last_id() == Some(id) {
                EventPlace::Received
            } else {
                self.join(id)
            };
        };
        if number <= last {
            return EventPlace::Received;
        }
        let may_join = self.is_joined
            || number - last == 1
            || self.has_larger_steps
            || self.doubted == Some(number);
        if may_join {
            return self.join(id);
        }
        if self.has_steps_of_one {
            self.doubted = Some(number);
            return EventPlace::AfterGap;
        }
        self.unproved = Some((number, id.to_owned()));
        EventPlace::Unproved
    }

    /// The event that was [`EventPlace::Unproved`] is passed on, as nothing shows that events are missing.
    pub(crate) fn join_unproved(&mut self) {
        if let Some((_, id)) = self.unproved.take() {
            self.join(&id);
        }
    }

    fn join(&mut self, id: &str) -> EventPlace {
        self.is_joined = true;
        self.last_id = Some(id.to_owned());
        EventPlace::Next
    }

    fn last_number(&self) -> Option<u64> {
        self.last_id().and_then(number)
    }
}

fn number(id: &str) -> Option<u64> {
    id.parse().ok()
}
