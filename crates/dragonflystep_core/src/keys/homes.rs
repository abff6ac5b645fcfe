//! Chooses the homes of a key: two groups of the service, by the hash of the key.

use {
    crate::{
        catalogue::Catalogue,
        entry::{GroupRing, service_rings},
        ids::{CatalogueVersion, GroupId, ServiceId},
        request::RequestKey,
    },
    std::collections::BTreeMap,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Number of homes of each key; with two, the loss of one broker loses no key.
pub(super) const HOMES_OF_KEY: usize = 2;

/// The rings that choose the homes, rebuilt for each catalogue version.
#[derive(Debug, Default)]
pub(super) struct HomeRings {
    indexed: Option<CatalogueVersion>,
    rings: BTreeMap<ServiceId, GroupRing>,
    services: BTreeMap<GroupId, ServiceId>,
}

impl HomeRings {
    /// The homes of a key in ring order; fewer than two if the service has fewer groups.
    pub fn homes(
        &mut self,
        catalogue: &Catalogue,
        service: &str,
        key: &RequestKey,
    ) -> Vec<GroupId> {
        self.refresh(catalogue);
        let Some(ring) = self.rings.get(service) else {
            return Vec::new();
        };
        ring.iter_from(key_hash(key))
            .take(HOMES_OF_KEY)
            .cloned()
            .collect()
    }

    /// Whether `home` is a home of a key that is kept at `other`, a group of the same service.
    pub fn shares_home(
        &mut self,
        catalogue: &Catalogue,
        key: &RequestKey,
        home: &GroupId,
        other: &GroupId,
    ) -> bool {
        self.refresh(catalogue);
        let Some(service) = self.services.get(other).cloned() else {
            return false;
        };
        self.homes(catalogue, &service, key).contains(home)
    }

    fn refresh(&mut self, catalogue: &Catalogue) {
        if self.indexed == Some(catalogue.version) {
            return;
        }
        self.indexed = Some(catalogue.version);
        self.rings = service_rings(catalogue);
        self.services = catalogue
            .all_upstreams()
            .map(|upstream| (upstream.group.clone(), upstream.service.clone()))
            .collect();
    }
}

fn key_hash(key: &RequestKey) -> u64 {
    xxh3_64_with_seed(key.text.as_bytes(), xxh3_64(key.account.as_bytes()))
}
