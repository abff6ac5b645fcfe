//! What goes wrong, as a pure plan.

use {
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

const WINDOW: Duration = Duration::from_secs(1);

/// An order to change the faults; fields that are missing stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultOrder {
    /// Takes every fault back before the rest of the order is followed.
    pub clear: bool,
    /// Answers every call with 503.
    pub down: Option<bool>,
    /// Answers every call this many milliseconds late.
    pub slow_ms: Option<u64>,
    /// Carries out writes and closes the connection without an answer, at random.
    pub lose_answers: Option<LoseAnswers>,
    /// Carries out the next writes, as many as this, and closes their connections without an answer.
    pub lose_next_answers: Option<u32>,
    /// Answers writes above this number a second with 429; 0 refuses all.
    pub refuse_writes_per_s: Option<u32>,
    /// Answers reads above this number a second with 429; 0 refuses all.
    pub limit_reads_per_s: Option<u32>,
    /// Accepts calls and never answers them, also after the fault is taken back.
    pub silent: Option<bool>,
    /// Lets the connections that are open now go silent for good, while new ones work.
    pub silence_open_connections: bool,
}

/// How often the answer to a write is lost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoseAnswers {
    /// Share of the writes, between 0 and 1.
    pub share: f64,
    /// Seed of the draws.
    pub seed: u64,
}

/// What kind of call is decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A call that changes nothing.
    Read,
    /// A call that writes.
    Write,
}

/// How a call is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Carried out and answered.
    Serve,
    /// Carried out, and the connection is closed without an answer.
    LoseAnswer,
    /// Not carried out; too many calls.
    TooMany,
    /// Not carried out; out of service.
    Down,
    /// Not carried out and never answered.
    Silence,
}

/// The faults in force.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    down: bool,
    silent: bool,
    slow: Duration,
    losing: Option<Losing>,
    lose_next: u32,
    writes: Option<RateLimit>,
    reads: Option<RateLimit>,
}

impl FaultPlan {
    /// Changes the faults.
    pub fn order(&mut self, order: &FaultOrder) {
        if order.clear {
            *self = Self::default();
        }
        self.down = order.down.unwrap_or(self.down);
        self.silent = order.silent.unwrap_or(self.silent);
        if let Some(slow_ms) = order.slow_ms {
            self.slow = Duration::from_millis(slow_ms);
        }
        if let Some(lose) = order.lose_answers {
            self.losing = Some(Losing::new(lose));
        }
        self.lose_next = order.lose_next_answers.unwrap_or(self.lose_next);
        if let Some(calls_per_s) = order.refuse_writes_per_s {
            self.writes = Some(RateLimit::new(calls_per_s));
        }
        if let Some(calls_per_s) = order.limit_reads_per_s {
            self.reads = Some(RateLimit::new(calls_per_s));
        }
    }

    /// How late a call is carried out and answered.
    pub fn delay(&self) -> Duration {
        self.slow
    }

    /// Decides on a call that arrived at `now`.
    pub fn decide(&mut self, now: Duration, kind: CallKind) -> Verdict {
        if self.silent {
            return Verdict::Silence;
        }
        if self.down {
            return Verdict::Down;
        }
        let limit = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        if limit.as_mut().is_some_and(|limit| !limit.admit(now)) {
            return Verdict::TooMany;
        }
        if kind == CallKind::Write && self.loses_answer() {
            return Verdict::LoseAnswer;
        }
        Verdict::Serve
    }

    fn loses_answer(&mut self) -> bool {
        if self.lose_next > 0 {
            self.lose_next -= 1;
            return true;
        }
        self.losing.as_mut().is_some_and(Losing::draw)
    }
}

/// Draws of lost answers.
#[derive(Clone, Debug)]
struct Losing {
    share: f64,
    random: Pcg64Mcg,
}

impl Losing {
    fn new(lose: LoseAnswers) -> Self {
        Self {
            share: lose.share.clamp(0.0, 1.0),
            random: Pcg64Mcg::seed_from_u64(lose.seed),
        }
    }

    fn draw(&mut self) -> bool {
        self.random.random_bool(self.share)
    }
}

/// Counts calls in windows of one second.
#[derive(Clone, Debug)]
struct RateLimit {
    calls_per_s: u32,
    window_start: Duration,
    calls: u32,
}

impl RateLimit {
    fn new(calls_per_s: u32) -> Self {
        Self {
            calls_per_s,
            window_start: Duration::ZERO,
            calls: 0,
        }
    }

    fn admit(&mut self, now: Duration) -> bool {
        if now >= self.window_start + WINDOW {
            self.window_start = now;
            self.calls = 0;
        }
        if self.calls >= self.calls_per_s {
            return false;
        }
        self.calls += 1;
        true
    }
}
