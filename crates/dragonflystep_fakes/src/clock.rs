//! Times as the records and reports write them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Whole milliseconds of `time`.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The machine's clock, in milliseconds since 1970.
pub(crate) fn unix_millis() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    millis(since_1970.unwrap_or_default())
}
