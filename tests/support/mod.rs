//! Runs a complete system as separate processes on loopback, for the end-to-end tests in the parent directory.
//!
//! Each test process listens on its own loopback address. Otherwise an outgoing connection of another program could
//! take the port of a stopped node before the node restarts and listens there again.

#![allow(
    dead_code,
    unused_imports,
    reason = "Each test file uses only some of these helpers."
)]

mod callers;
mod control;
mod operators;
mod process;
mod site;
mod verdict;

pub use {
    callers::{Answer, order_request, prompt_request, send_request, traffic},
    control::Control,
    operators::AdminClient,
    process::{Process, loopback_address},
    site::{
        ACCOUNT_KEY, EDIT_KEY, MODEL, MODEL_SERVICE, NodeProcess, PLAIN_SERVICE, READ_KEY, Site,
        SiteSettings, StandIn,
    },
    verdict::{Records, incomplete, records_of, without_final_answer},
};

use std::{
    future::Future,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Timeout for conditions that take a second or two on an idle machine; leaves room for a busy one.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls `check` until it returns a value, and returns that value with the time waited.
///
/// `what` describes the awaited condition in the panic message.
///
/// # Panics
///
/// Panics if `check` returns no value within `limit`.
pub async fn wait_for<T, F>(
    what: &str,
    limit: Duration,
    mut check: impl FnMut() -> F,
) -> (T, Duration)
where
    F: Future<Output = Option<T>>,
{
    let began = Instant::now();
    loop {
        if let Some(value) = check().await {
            return (value, began.elapsed());
        }
        assert!(
            began.elapsed() < limit,
            "timed out after {limit:?} waiting for: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the current Unix time in milliseconds, the clock that the records of the stand-ins use.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("the system clock is set to a time after 1970");
    u64::try_from(now.as_millis()).expect("milliseconds since 1970 fit into a u64")
}
