//! Faults of a plain-service stand-in, by handle or as JSON to `POST /faults`.

use serde::{Deserialize, Serialize};

/// One fault, in force from the time it is given.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::service::ServiceFault;
///
/// let fault: ServiceFault = serde_json::from_str(r#"{"fault":"close_before_answer","count":1}"#)?;
/// assert_eq!(fault, ServiceFault::CloseBeforeAnswer { count: 1 });
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceFault {
    /// Time that each call takes.
    Latency {
        /// Time between the effect of a call and its answer.
        latency_ms: u64,
    },
    /// Connections that are open now go silent for good; new ones work.
    SilenceExisting,
    /// While on, connections are accepted and never answered.
    SilenceNew {
        /// Whether it is in force.
        on: bool,
    },
    /// The connections of the next calls go silent after the calls took effect.
    SilenceBeforeAnswer {
        /// How many.
        count: u32,
    },
    /// The next calls take effect, and their connections break before the answers.
    CloseBeforeAnswer {
        /// How many.
        count: u32,
    },
    /// The next calls take effect, and their connections break in the middle of the answers.
    CloseMidAnswer {
        /// How many.
        count: u32,
        /// Whether the answers are chunked; else they carry their length.
        #[serde(default)]
        chunked: bool,
    },
    /// The next calls are answered with a status.
    Status {
        /// Status of the answers.
        status: u16,
        /// How many.
        count: u32,
        /// Whether the calls took effect all the same.
        ran: bool,
    },
    /// All connections break, and new ones are refused for a while.
    Crash {
        /// Time until it takes connections again.
        down_ms: u64,
    },
    /// Each call whose body contains `text` takes effect and crashes the service.
    CrashOn {
        /// What marks the body; an empty text ends the fault.
        text: String,
        /// Time until the service takes connections again.
        down_ms: u64,
    },
    /// Whether calls with a lower fencing number are refused.
    Fencing {
        /// Whether it checks.
        on: bool,
    },
    /// Ends all faults that last, but not those of connections that are silent already.
    Clear,
}
