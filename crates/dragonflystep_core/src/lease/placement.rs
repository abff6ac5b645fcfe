//! Chooses which node should hold which group, and which nodes vote on its lease.
//!
//! Uses rendezvous hashing: each node has a weight for each group, and the node with the highest weight comes
//! first. All nodes compute nearly the same order without communicating, and the loss of a node moves only its
//! own groups.

use {
    crate::{
        context::View,
        ids::{DataCentreId, GroupId, NodeId},
    },
    std::collections::{BTreeMap, BTreeSet},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Maximum number of voters of one lease.
pub const MAX_VOTERS: usize = 7;

/// Rendezvous hash weight of a node for a name; the node with the highest weight comes first.
pub fn weight(name: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(name.as_bytes(), 0))
}

/// Members that are neither leaving nor suspected, and this node unless it is stopping.
pub fn live_nodes(view: &View) -> BTreeSet<NodeId> {
    let others = view
        .members
        .iter()
        .filter(|(_, member)| !member.leaving && !member.suspected)
        .map(|(node, _)| node.clone());
    let own = (!view.stopping).then(|| view.node.id.clone());
    others.chain(own).collect()
}

/// Number of groups that each live node holds.
pub fn loads<'a>(
    live: &BTreeSet<NodeId>,
    holders: impl Iterator<Item = &'a NodeId>,
) -> BTreeMap<NodeId, usize> {
    let mut loads: BTreeMap<NodeId, usize> = live.iter().map(|node| (node.clone(), 0)).collect();
    for holder in holders {
        if let Some(load) = loads.get_mut(holder) {
            *load += 1;
        }
    }
    loads
}

/// Number of live nodes that should try to take a group before `node` does.
///
/// Nodes that already hold their share of the groups come after those that do not.
pub fn rank(
    group: &str,
    node: &NodeId,
    loads: &BTreeMap<NodeId, usize>,
    all_groups: usize,
) -> usize {
    let share = all_groups.div_ceil(loads.len().max(1));
    let priority = |candidate: &NodeId, load: usize| (load < share, weight(group, candidate));
    let own = priority(node, loads.get(node).copied().unwrap_or(0));
    loads
        .iter()
        .filter(|(other, load)| *other != node && priority(other, **load) > own)
        .count()
}

/// Voters of a lease held by `holder`: an odd number of up to seven nodes, spread over the data centres.
///
/// The holder's own vote is lost when the holder dies, which is when a takeover needs votes; so the holder is a
/// voter only where this makes the number odd.
pub fn choose_voters(view: &View, group: &GroupId, holder: &NodeId) -> Vec<NodeId> {
    let mut by_data_centre: BTreeMap<DataCentreId, Vec<NodeId>> = BTreeMap::new();
    for node in live_nodes(view) {
        if node == *holder {
            continue;
        }
        let data_centre = match view.members.get(&node) {
            Some(member) => member.data_centre.clone(),
            None => view.node.data_centre.clone(),
        };
        by_data_centre.entry(data_centre).or_default().push(node);
    }
    let mut queues: Vec<Vec<NodeId>> = by_data_centre.into_values().collect();
    for queue in &mut queues {
        queue.sort_by_key(|node| weight(group, node));
    }
    queues.sort_by_key(|queue| queue.last().map(|node| weight(group, node)));
    let mut voters = take_round_robin(queues);
    if voters.len().is_multiple_of(2) {
        voters.push(holder.clone());
    }
    voters
}

fn take_round_robin(mut queues: Vec<Vec<NodeId>>) -> Vec<NodeId> {
    let mut taken = Vec::new();
    while taken.len() < MAX_VOTERS && queues.iter().any(|queue| !queue.is_empty()) {
        for queue in &mut queues {
            if taken.len() < MAX_VOTERS {
                taken.extend(queue.pop());
            }
        }
    }
    taken
}

/// Whether more than half of the voters are in `granted`.
pub fn is_majority(voters: &[NodeId], granted: impl Fn(&NodeId) -> bool) -> bool {
    let count = voters.iter().filter(|voter| granted(voter)).count();
    count * 2 > voters.len()
}
