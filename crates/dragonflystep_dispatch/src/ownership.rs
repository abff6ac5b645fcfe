//! Which node owns a service: the first by weighted rendezvous hash among the members that one sees.
//!
//! Nothing is agreed on: two nodes with different views may name different owners for a moment. Each owner
//! keeps the limits by itself, and upstreams refuse what is too much, so that nothing waits for a lease.

use {
    crate::ids::NodeName,
    std::{
        cmp::Ordering,
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// A node as far as ownership is concerned.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub node: NodeName,
    /// Its processor share; a larger node owns more.
    pub weight: f64,
}

/// Members in the order in which they own `service`, the owner first.
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
/// // When the owner goes, the next by rank takes over, for every node that sees it gone.
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

/// Weighted rendezvous score; larger goes first.
fn score(service: &str, member: &Member) -> f64 {
    let mut hasher = DefaultHasher::new();
    service.hash(&mut hasher);
    member.node.hash(&mut hasher);
    // 53 bits make an exact fraction strictly between 0 and 1.
    let fraction = ((hasher.finish() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -member.weight.max(f64::MIN_POSITIVE) / fraction.ln()
}

/// Share of the limits common to all nodes that this node's part of the members may use.
///
/// A part with most of the members uses the limits whole; any other part uses a share that leaves room
/// for the rest, so that all parts together stay close to the limit.
///
/// # Examples
/// ```
/// use dragonflystep_dispatch::partition_limit_share;
///
/// assert_eq!(partition_limit_share(5, 8), 1.0);
/// assert_eq!(partition_limit_share(1, 8), 0.03125);
/// ```
pub fn partition_limit_share(visible: usize, known: usize) -> f64 {
    let visibility = Visibility { visible, known };
    if visibility.is_majority() {
        return 1.0;
    }
    crate::limits::MINORITY_QUOTA_SHARE * visibility.fraction()
}

/// How many of the system's nodes one sees, itself included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Visibility {
    /// Nodes that are seen.
    pub visible: usize,
    /// Nodes that are listed.
    pub known: usize,
}

impl Visibility {
    /// Whether most of the nodes are seen.
    pub fn is_majority(self) -> bool {
        self.visible * 2 > self.known
    }

    /// The part of the nodes that is seen.
    pub fn fraction(self) -> f64 {
        self.visible as f64 / self.known.max(1) as f64
    }
}
