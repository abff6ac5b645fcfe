//! Chooses the node that owns a service, by weighted rendezvous hashing over the members that a node sees.
//!
//! There is no agreement protocol: two nodes with different views may choose different owners for a moment. Each owner
//! enforces the limits on its own, and upstreams refuse excess requests, so that no request has to wait for a lease.

use {
    crate::{
        ids::NodeName,
        limits::{ALL_MINORITIES_QUOTA_SHARE, MINORITY_LIMIT_SHARE},
    },
    std::{
        cmp::Ordering,
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// A node that may own services.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the node.
    pub node: NodeName,
    /// The node's CPU share; a node with a larger share owns more services.
    pub weight: f64,
}

/// Returns the members in the order in which they would own `service`, the owner first.
///
/// # Examples
/// ```
/// use dragonflystep_dispatch::{Member, rank_owners};
///
/// let members: Vec<Member> = ["a", "b", "c"]
///     .map(|name| Member { node: name.into(), weight: 0.25 })
///     .into();
/// let ranked = rank_owners("search", &members);
/// let others: Vec<Member> = members.iter().filter(|m| m.node != ranked[0]).cloned().collect();
/// // When the owner leaves, the next member in the order takes over, for every node that sees the owner gone.
/// assert_eq!(rank_owners("search", &others)[0], ranked[1]);
/// ```
pub fn rank_owners(service: &str, members: &[Member]) -> Vec<NodeName> {
    let mut scored: Vec<(f64, &NodeName)> = members
        .iter()
        .map(|member| (score(service, member), &member.node))
        .collect();
    scored.sort_by(|a, b| {
        b.0.partial_cmp(&a.0)
            .unwrap_or(Ordering::Equal)
            .then_with(|| a.1.cmp(b.1))
    });
    scored.into_iter().map(|(_, node)| node.clone()).collect()
}

/// Returns the weighted rendezvous score; the member with the largest score is the owner.
fn score(service: &str, member: &Member) -> f64 {
    let mut hasher = DefaultHasher::new();
    service.hash(&mut hasher);
    member.node.hash(&mut hasher);
    // 53 bits give an exact fraction strictly between 0 and 1.
    let fraction = ((hasher.finish() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -member.weight.max(f64::MIN_POSITIVE) / fraction.ln()
}

/// Returns the share of the limits common to all nodes that this node's network partition may use.
///
/// A partition with a majority of the members uses the limits in full. Any other partition uses a small share, so that
/// all partitions together stay close to the limits.
///
/// Nodes that refuse connections have ended, or are behind a network that resets connections. In that case they see this
/// partition in the same way, so that each side uses the share of its nodes: together they use the limits once. A majority
/// gives up nothing for few of them, since the tolerance covers them as it covers a small partition.
///
/// # Examples
/// ```
/// use dragonflystep_dispatch::{Visibility, partition_limit_share};
///
/// let visible = |visible, refusing| Visibility { visible, known: 8, refusing };
/// assert_eq!(partition_limit_share(visible(5, 0)), 1.0);
/// assert_eq!(partition_limit_share(visible(1, 0)), 0.03125);
/// assert_eq!(partition_limit_share(visible(5, 3)), 0.625);
/// assert_eq!(partition_limit_share(visible(3, 5)), 0.375);
/// assert_eq!(partition_limit_share(visible(7, 1)), 1.0);
/// ```
pub fn partition_limit_share(visibility: Visibility) -> f64 {
    let refusing_fraction = visibility.refusing as f64 / visibility.known.max(1) as f64;
    if visibility.is_majority() {
        let is_covered = refusing_fraction <= ALL_MINORITIES_QUOTA_SHARE;
        return if is_covered {
            1.0
        } else {
            1.0 - refusing_fraction
        };
    }
    let has_silent_nodes = visibility.visible + visibility.refusing < visibility.known;
    if has_silent_nodes {
        MINORITY_LIMIT_SHARE * visibility.fraction()
    } else {
        visibility.fraction()
    }
}

/// How many of the listed nodes a node sees, itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Visibility {
    /// Number of nodes that are visible.
    pub visible: usize,
    /// Number of nodes that are listed.
    pub known: usize,
    /// Number of listed nodes that refuse connections.
    pub refusing: usize,
}

impl Visibility {
    /// The same without the nodes that refuse connections.
    ///
    /// Usually no process runs there, but a network that resets connections looks the same. So this is only for limits that
    /// something else enforces too, and never for what all nodes together may use once.
    pub fn without_refusing(self) -> Self {
        Self {
            visible: self.visible,
            known: self.known - self.refusing,
            refusing: 0,
        }
    }

    /// Whether more than half of the listed nodes are visible. Nodes that refuse connections count: they may be a majority of
    /// their own behind a network that resets connections.
    pub fn is_majority(self) -> bool {
        self.visible * 2 > self.known
    }

    /// Returns the visible fraction of the listed nodes.
    pub fn fraction(self) -> f64 {
        self.visible as f64 / self.known.max(1) as f64
    }
}
