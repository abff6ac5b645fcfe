//! Assignment of upstreams to groups.

use {
    super::UpstreamEntry,
    crate::{fault::Fault, json},
    dragonflystep_core::{
        catalogue::{Catalogue, Upstream},
        ids::{DataCentreId, GroupId, ServiceId, UpstreamId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Most upstreams that are assigned to one group.
///
/// A broker's queue and its lease are the unit that fails over, so a group stays small.
pub const DEFAULT_GROUP_SIZE: usize = 4;

/// What all upstreams of one group have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Home {
    service: ServiceId,
    data_centre: DataCentreId,
}

impl Home {
    fn of(upstream: &UpstreamEntry) -> Self {
        Self {
            service: upstream.service.clone(),
            data_centre: upstream.data_centre.clone(),
        }
    }

    fn of_known(upstream: &Upstream) -> Self {
        Self {
            service: upstream.service.clone(),
            data_centre: upstream.data_centre.clone(),
        }
    }
}

/// The groups as they fill up.
#[derive(Debug, Default)]
struct Assignment {
    groups: BTreeMap<UpstreamId, GroupId>,
    members: BTreeMap<GroupId, usize>,
    homes: BTreeMap<GroupId, Home>,
}

/// The group of each upstream.
///
/// An upstream keeps the group that it has in `current`, then the one that the document names. The others
/// fill the groups of their service and data centre evenly, and new groups when those are full. The order of
/// the document plays no part.
///
/// # Errors
/// With every upstream that would change its group, or whose group belongs elsewhere.
pub(super) fn assign(
    upstreams: &[UpstreamEntry],
    current: &Catalogue,
) -> Result<BTreeMap<UpstreamId, GroupId>, Vec<Fault>> {
    let mut faults = check_kept(upstreams, current);
    let mut assignment = Assignment::default();
    let mut open: BTreeMap<Home, BTreeSet<&UpstreamId>> = BTreeMap::new();
    // The upstreams that are known say where a group belongs, before any that wants to join it.
    for known in upstreams
        .iter()
        .filter_map(|entry| current.upstream(&entry.id))
    {
        assignment.add(&known.id, known.group.clone(), Home::of_known(known));
    }
    for (number, upstream) in upstreams.iter().enumerate() {
        if assignment.groups.contains_key(&upstream.id) {
            continue;
        }
        let home = Home::of(upstream);
        let Some(group) = upstream.group.clone() else {
            open.entry(home).or_default().insert(&upstream.id);
            continue;
        };
        if assignment.belongs_elsewhere(&group, &home) {
            let path = format!("upstreams[{number}].group");
            let reason = format!("{group} belongs to another service or data centre");
            faults.push(Fault { path, reason });
        }
        assignment.add(&upstream.id, group, home);
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    for (home, ids) in open {
        assignment.fill(&home, &ids);
    }
    Ok(assignment.groups)
}

impl Assignment {
    fn belongs_elsewhere(&self, group: &GroupId, home: &Home) -> bool {
        let known = self.homes.get(group);
        known.is_some_and(|known| known != home)
    }

    fn add(&mut self, upstream: &UpstreamId, group: GroupId, home: Home) {
        *self.members.entry(group.clone()).or_default() += 1;
        self.homes.entry(group.clone()).or_insert(home);
        self.groups.insert(upstream.clone(), group);
    }

    fn fill(&mut self, home: &Home, upstreams: &BTreeSet<&UpstreamId>) {
        while self.room(home) < upstreams.len() {
            self.open_group(home);
        }
        for upstream in upstreams {
            let group = self.emptiest(home).expect("there is room for all of them");
            self.add(upstream, group, home.clone());
        }
    }

    fn room(&self, home: &Home) -> usize {
        let groups = self.groups_of(home);
        let room = groups.map(|group| DEFAULT_GROUP_SIZE.saturating_sub(self.members[group]));
        room.sum()
    }

    fn groups_of<'a>(&'a self, home: &'a Home) -> impl Iterator<Item = &'a GroupId> {
        let groups = self.homes.iter().filter(move |(_, other)| *other == home);
        groups.map(|(group, _)| group)
    }

    fn emptiest(&self, home: &Home) -> Option<GroupId> {
        let groups = self.groups_of(home);
        groups.min_by_key(|group| self.members[*group]).cloned()
    }

    /// Adds a group under the first number that is free, also among the groups of other homes.
    fn open_group(&mut self, home: &Home) {
        let Home {
            service,
            data_centre,
        } = home;
        let group = (1_u64..)
            .map(|number| GroupId::from(format!("{service}-{data_centre}-{number}")))
            .find(|group| !self.homes.contains_key(group))
            .expect("numbers do not run out");
        self.members.insert(group.clone(), 0);
        self.homes.insert(group, home.clone());
    }
}

/// Every upstream that does not stay where it is in `current`.
fn check_kept(upstreams: &[UpstreamEntry], current: &Catalogue) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (number, upstream) in upstreams.iter().enumerate() {
        let path = json::index("upstreams", number);
        let mut fault = |field, reason| {
            let path = json::join(&path, field);
            faults.push(Fault { path, reason });
        };
        let Some(known) = current.upstream(&upstream.id) else {
            continue;
        };
        let advice = "an upstream that moves needs a new name";
        if upstream
            .group
            .as_ref()
            .is_some_and(|group| *group != known.group)
        {
            fault("group", format!("is {} now; {advice}", known.group));
        }
        if upstream.service != known.service {
            fault("service", format!("is {} now; {advice}", known.service));
        }
        if upstream.data_centre != known.data_centre {
            fault(
                "data_centre",
                format!("is {} now; {advice}", known.data_centre),
            );
        }
    }
    faults
}
