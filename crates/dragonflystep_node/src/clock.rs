//! The node's clock.

use {
    rustix::time::{ClockId, clock_gettime},
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// A clock that starts at zero with the node and never goes back.
///
/// It goes on while the VM is suspended, unlike the monotonic clock: a holder that wakes after the
/// platform froze its VM has to see that its lease ran out.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    started_at: Duration,
}

impl NodeClock {
    /// A clock that starts now.
    ///
    /// # Examples
    /// ```
    /// let clock = dragonflystep_node::NodeClock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self {
            started_at: boot_time(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.started_at)
    }

    /// The clock as a function, for the drivers.
    pub fn as_function(self) -> Arc<dyn Fn() -> Duration + Send + Sync> {
        Arc::new(move || self.now())
    }
}

/// Seconds since the Unix epoch, for reports that people read; no decision depends on it.
pub fn unix_time_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}
