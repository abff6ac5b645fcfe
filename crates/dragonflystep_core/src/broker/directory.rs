//! Index of the catalogue by service and by group, rebuilt once per catalogue version.

use {
    crate::{
        catalogue::{Catalogue, Upstream},
        ids::{CatalogueVersion, GroupId, ServiceId, Tier, UpstreamId},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Index over the catalogue, so that a scheduling decision does not iterate over all upstreams.
#[derive(Debug, Default)]
pub struct Directory {
    version: CatalogueVersion,
    groups_of_service: BTreeMap<ServiceId, Vec<GroupId>>,
    upstreams_of_group: BTreeMap<GroupId, Vec<Arc<Upstream>>>,
    token_gap_of_tier: BTreeMap<Tier, Duration>,
}

impl Directory {
    /// Rebuilds the index if the catalogue has changed.
    pub fn refresh(&mut self, catalogue: &Catalogue) {
        if self.version == catalogue.version && !self.upstreams_of_group.is_empty() {
            return;
        }
        *self = Self::default();
        self.version = catalogue.version;
        for entry in catalogue.upstreams.values() {
            self.add(&entry.item);
        }
        for entry in catalogue.tiers.values() {
            let gap = Duration::from_millis(entry.item.objective.token_gap_ms);
            self.token_gap_of_tier.insert(entry.item.rank, gap);
        }
    }

    fn add(&mut self, upstream: &Arc<Upstream>) {
        let groups = self
            .groups_of_service
            .entry(upstream.service.clone())
            .or_default();
        if !groups.contains(&upstream.group) {
            groups.push(upstream.group.clone());
        }
        self.upstreams_of_group
            .entry(upstream.group.clone())
            .or_default()
            .push(upstream.clone());
    }

    /// Ids of the groups of a service; empty for an unknown service.
    pub fn groups(&self, service: &str) -> &[GroupId] {
        self.groups_of_service.get(service).map_or(&[], |all| all)
    }

    /// Catalogue entries of a group's upstreams; empty for an unknown group.
    pub fn upstreams(&self, group: &str) -> &[Arc<Upstream>] {
        self.upstreams_of_group.get(group).map_or(&[], |all| all)
    }

    /// Catalogue entry of the group's upstream with this id.
    pub fn upstream(&self, group: &str, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        self.upstreams(group).iter().find(|each| each.id == *id)
    }

    /// Longest mean time between tokens that the tier promises; `None` for an unknown tier.
    pub fn token_gap(&self, tier: Tier) -> Option<Duration> {
        self.token_gap_of_tier.get(&tier).copied()
    }

    /// Rank of the least urgent tier, which is the highest rank number; 0 without tiers.
    pub fn least_urgent_tier(&self) -> Tier {
        self.token_gap_of_tier
            .keys()
            .next_back()
            .copied()
            .unwrap_or(0)
    }
}
