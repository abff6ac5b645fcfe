//! Timers that the reducer starts. A timer that is no longer needed is not cancelled but ignored when it fires.

use crate::ids::{GroupId, RequestId};

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Timer {
    /// The deadline of a request at its entry.
    RequestDeadline(RequestId),
    /// Time to check a request that waits for a broker, a key answer or a claim.
    RequestRetry(RequestId),
    /// Time for the entry to report its held grants and check for silent brokers.
    EntryRound,
    /// Time for a broker to check one of its groups for expired grants and deadlines, and to send a summary.
    BrokerRound(GroupId),
    /// Time to renew the node's row and leases.
    LeaseRound,
    /// Time to probe peers and to read the member list.
    MembershipRound,
    /// Time to read the head of the catalogue.
    CatalogueRound,
    /// Time to write all waiting claims in one group commit.
    ClaimRound,
    /// Time to check whether a stopping node may exit.
    StopRound,
}
