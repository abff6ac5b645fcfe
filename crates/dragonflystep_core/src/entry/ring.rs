//! A consistent hash ring over group names.
//!
//! Groups persist while nodes join and leave, so a placement by group name changes only when an operator adds
//! or removes a group.

use {
    crate::catalogue::Catalogue,
    crate::ids::{GroupId, ServiceId},
    std::collections::{BTreeMap, BTreeSet},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Points of each group on the ring; more points even out the shares of the groups.
const POINTS_PER_GROUP: u64 = 32;

/// A consistent hash ring over the groups of one service.
#[derive(Clone, Debug, Default)]
pub struct GroupRing {
    points: Vec<(u64, GroupId)>,
    group_count: usize,
}

impl GroupRing {
    /// Builds a ring of the given groups.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::entry::GroupRing;
    /// let ring = GroupRing::new(["g-1".into(), "g-2".into()]);
    /// assert_eq!(ring.iter_from(7).count(), 2);
    /// ```
    pub fn new(groups: impl IntoIterator<Item = GroupId>) -> Self {
        let groups: BTreeSet<GroupId> = groups.into_iter().collect();
        let group_count = groups.len();
        let mut points: Vec<_> = groups
            .into_iter()
            .flat_map(|group| {
                (0..POINTS_PER_GROUP)
                    .map(move |seed| (xxh3_64_with_seed(group.as_bytes(), seed), group.clone()))
            })
            .collect();
        points.sort_unstable();
        Self {
            points,
            group_count,
        }
    }

    /// Iterates over each group once, in ring order starting at `hash`.
    pub fn iter_from(&self, hash: u64) -> impl Iterator<Item = &GroupId> {
        let start = self.points.partition_point(|(point, _)| *point < hash);
        let (before, after) = self.points.split_at(start);
        let mut seen = Vec::new();
        after
            .iter()
            .chain(before)
            .map(|(_, group)| group)
            .filter(move |group| {
                let new = !seen.contains(group);
                if new {
                    seen.push(group);
                }
                new
            })
            .take(self.group_count)
    }
}

/// The ring of each service in a catalogue, over all its groups, including those that take no requests.
///
/// # Examples
/// ```
/// use dragonflystep_core::{catalogue::Catalogue, entry::service_rings};
/// assert!(service_rings(&Catalogue::default()).is_empty());
/// ```
pub fn service_rings(catalogue: &Catalogue) -> BTreeMap<ServiceId, GroupRing> {
    let mut groups: BTreeMap<ServiceId, BTreeSet<GroupId>> = BTreeMap::new();
    for upstream in catalogue.all_upstreams() {
        groups
            .entry(upstream.service.clone())
            .or_default()
            .insert(upstream.group.clone());
    }
    groups
        .into_iter()
        .map(|(service, groups)| (service, GroupRing::new(groups)))
        .collect()
}
