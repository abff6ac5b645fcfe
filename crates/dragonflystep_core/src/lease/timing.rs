//! Intervals and durations of the lease and membership protocols, scaled with the number of nodes.
//!
//! The platform's table service handles several hundred writes and about two thousand reads a second from all
//! nodes together, so the load of each node has to fall as the number of nodes rises.

use {
    crate::{context::View, state::Tuning},
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
};

/// Renewal interval per node of the system; keeps the renewals of all nodes together below 170 writes a second.
const RENEWAL_PER_NODE: Duration = Duration::from_millis(6);
/// Minimum interval between two scans of the member list, and between two scans of the group rows.
const SHORTEST_MEMBER_SCAN: Duration = Duration::from_secs(1);
/// Member scan interval per node of the system; keeps the bytes that a node reads per second constant.
///
/// A row takes about 330 bytes, so this makes 8 KB a second. At 20 ms per node the two scans together would take
/// 19 of the 25 KB a second that a node may use for all its control traffic.
const MEMBER_SCAN_PER_NODE: Duration = Duration::from_millis(40);
/// Lease scan interval per node of the system. Holders announce themselves, so scans are only a fallback.
const LEASE_SCAN_PER_NODE: Duration = Duration::from_millis(120);

/// Number of nodes, this one included.
pub fn cluster_size(view: &View) -> u32 {
    u32::try_from(view.members.len() + 1).unwrap_or(u32::MAX)
}

/// How often this node renews its row.
pub fn renewal_interval(view: &View) -> Duration {
    let scaled = RENEWAL_PER_NODE.saturating_mul(cluster_size(view));
    view.tuning.lease_renewal.max(scaled)
}

/// How long a renewal is valid; scaled together with the renewal interval.
pub fn lease_duration(view: &View) -> Duration {
    let tuning = &view.tuning;
    let stretch = renewal_interval(view).as_secs_f64() / tuning.lease_renewal.as_secs_f64();
    tuning.lease_duration.mul_f64(stretch.max(1.0))
}

/// How often this node scans the member list.
pub fn member_scan_interval(view: &View) -> Duration {
    let scaled = MEMBER_SCAN_PER_NODE.saturating_mul(cluster_size(view));
    SHORTEST_MEMBER_SCAN.max(scaled)
}

/// How often this node scans the rows of the groups.
pub fn lease_scan_interval(view: &View) -> Duration {
    let scaled = LEASE_SCAN_PER_NODE.saturating_mul(cluster_size(view));
    SHORTEST_MEMBER_SCAN.max(scaled)
}

/// Margin to add to a duration so that another node's clock has certainly counted that duration too.
///
/// Two clocks may drift apart by `drift_margin` over one `lease_duration`, and proportionally more over longer
/// times.
///
/// # Examples
/// ```
/// use dragonflystep_core::{Tuning, lease::drift_margin};
/// use std::time::Duration;
/// let tuning = Tuning::default();
/// assert_eq!(drift_margin(&tuning, tuning.lease_duration), Duration::from_millis(100));
/// assert_eq!(drift_margin(&tuning, tuning.lease_duration * 200), Duration::from_secs(20));
/// ```
pub fn drift_margin(tuning: &Tuning, length: Duration) -> Duration {
    let stretch = length.as_secs_f64() / tuning.lease_duration.as_secs_f64();
    tuning.drift_margin.mul_f64(stretch.max(1.0))
}

/// A duration changed at random by up to 10 %, so that nodes that started together do not act in step.
pub fn jittered(random: &mut SmallRng, length: Duration) -> Duration {
    length.mul_f64(random.random_range(0.9..1.1))
}
