//! Faults of an engine stand-in, by handle or as JSON to `POST /faults`.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One fault, in force from the time it is given.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::engine::EngineFault;
///
/// let fault: EngineFault = serde_json::from_str(r#"{"fault":"slow","factor":8.0}"#)?;
/// assert_eq!(fault, EngineFault::Slow { factor: 8.0 });
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum EngineFault {
    /// All work takes `factor` times as long, running streams included.
    Slow {
        /// 1 is the usual speed.
        factor: f64,
    },
    /// Connections that are open now go silent for good; new ones work.
    SilenceExisting,
    /// While on, connections are accepted and never answered.
    SilenceNew {
        /// Whether it is in force.
        on: bool,
    },
    /// The first connection of each stream closes after this many tokens; the stream goes on and can be resumed.
    CloseAfter {
        /// Tokens sent before; `null` ends the fault.
        tokens: Option<u32>,
    },
    /// All streams are lost and their connections break; new requests are taken.
    DropStreams,
    /// The engine loses all streams and its cache, and refuses connections for a while.
    Crash {
        /// Time until it takes connections again.
        down_ms: u64,
    },
    /// Each prompt that contains `text` crashes the engine when it would give its first token.
    CrashOn {
        /// What marks the prompt; an empty text ends the fault.
        text: String,
        /// Time until the engine takes connections again.
        down_ms: u64,
    },
    /// Pieces of answers are sent twice, in the wrong order, or not at all, each with a probability.
    Pieces {
        /// Probability that a piece is sent twice.
        #[serde(default)]
        duplicate: f64,
        /// Probability that a piece is sent after the next one.
        #[serde(default)]
        reorder: f64,
        /// Probability that a piece is left out.
        #[serde(default)]
        lose: f64,
    },
    /// Cache events come late, and some never.
    CacheEvents {
        /// Time until an event can be asked for.
        #[serde(default)]
        late_ms: u64,
        /// Probability that an event is lost.
        #[serde(default)]
        lose: f64,
    },
    /// The reported load is this old.
    LoadLag {
        /// Age of the load.
        lag_ms: u64,
    },
    /// Whether orders with a lower fencing number are refused.
    Fencing {
        /// Whether it checks.
        on: bool,
    },
    /// The next requests are refused with a status, without running.
    Refuse {
        /// Status of the refusals.
        status: u16,
        /// How many.
        count: u32,
    },
    /// Ends all faults that last, but not those of connections that are silent already.
    Clear,
}

/// Faults that are in force.
#[derive(Debug, Clone, Default)]
pub(super) struct FaultsInForce {
    pub(super) close_after_tokens: Option<u32>,
    pub(super) crash_on: Option<CrashMark>,
    pub(super) pieces: PieceFaults,
    pub(super) refuse: Option<(u16, u32)>,
}

#[derive(Debug, Clone)]
pub(super) struct CrashMark {
    pub(super) text: String,
    pub(super) down: Duration,
}

/// Probabilities of what happens to a piece of an answer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PieceFaults {
    pub(super) duplicate: f64,
    pub(super) reorder: f64,
    pub(super) lose: f64,
}
