//! How fast a cold upstream gets requests.
//!
//! It is designed for a whole data centre whose upstreams return cold in the middle of a burst. An upstream that has
//! just started, or that lost its caches, crashes under the load that it bears once it is warm. The limit holds for all
//! nodes together and from the first second on, while two nodes may be granting slots for a moment, and while requests
//! that a pause held back arrive together.

use crate::{
    catalogue::WarmUp,
    limits::{COLD_RATE_USE, MIN_COLD_RATE_PER_S},
    pacer::PACED_BURST_REQUESTS,
};

/// How many requests a cold upstream may get, beyond the rate that its service states.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmUpRules {
    /// Factor on the stated rate up to which requests are tolerated in any one second.
    pub tolerated_ratio: f64,
    /// Requests that are tolerated in any one second in addition.
    pub tolerated_requests: f64,
}

impl WarmUpRules {
    /// Returns the requests per second that one owner may send to a cold upstream.
    ///
    /// In any one second an owner sends at most this rate plus the burst of the pacer. Twice that stays within what is
    /// tolerated, so that two owners, or one whose requests of two seconds arrive together, do not exceed it.
    pub(crate) fn paced_rate_per_s(self, warm_up: WarmUp) -> f64 {
        let stated = warm_up.requests_per_s;
        let tolerated = (stated * self.tolerated_ratio + self.tolerated_requests).max(stated);
        let of_one_owner = tolerated / 2.0 - PACED_BURST_REQUESTS;
        (stated * COLD_RATE_USE)
            .min(of_one_owner)
            .max(MIN_COLD_RATE_PER_S)
    }
}
