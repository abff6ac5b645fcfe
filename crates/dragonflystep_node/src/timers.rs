//! Timers that the reducer asked for.

use {
    dragonflystep_core::timer::Timer,
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// Timers in the order in which they fire; equal times keep the order in which they were started.
#[derive(Debug, Default)]
pub struct Timers {
    waiting: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    started: u64,
}

impl Timers {
    /// Starts a timer that fires at `at`.
    pub fn start(&mut self, at: Duration, timer: Timer) {
        self.started += 1;
        self.waiting.push(Reverse((at, self.started, timer)));
    }

    /// When the next timer fires.
    pub fn next_at(&self) -> Option<Duration> {
        self.waiting.peek().map(|Reverse((at, ..))| *at)
    }

    /// Takes the next timer whose time has come.
    pub fn take_due(&mut self, now: Duration) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        let Reverse((_, _, timer)) = self.waiting.pop()?;
        Some(timer)
    }
}
