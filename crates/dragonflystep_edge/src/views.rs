//! The catalogue and the registry that a node has in force. Their versions only rise.

use {
    crate::{
        catalogue_list::{CatalogueEntry, catalogue_of, entries_of},
        left_upstreams::LeftUpstreams,
        list_version::awaits_entries,
        versioned_list::{Changes, ListEntry, VersionedList},
    },
    dragonflystep_dispatch::{Catalogue, DataCentreName, RoutingTable, Upstream, UpstreamId},
    std::{
        cell::{Ref, RefCell},
        rc::Rc,
        sync::Arc,
    },
};

impl ListEntry for Upstream {
    fn key(&self) -> &Arc<str> {
        &self.id
    }
}

/// A version of the registry, shared without copying its upstreams.
#[derive(Clone, Default)]
pub(crate) struct RegistryView {
    pub(crate) version: u64,
    pub(crate) upstreams: Rc<Vec<Upstream>>,
}

/// The catalogue and the registry in force, each also as a versioned list for other nodes.
pub(crate) struct Views {
    /// The routing table of the catalogue in force; `None` before the first catalogue.
    catalogue: RefCell<Option<Rc<RoutingTable>>>,
    catalogue_list: RefCell<VersionedList<CatalogueEntry>>,
    registry: RefCell<RegistryView>,
    registry_list: RefCell<VersionedList<Upstream>>,
    left_upstreams: LeftUpstreams,
}

impl Default for Views {
    fn default() -> Self {
        Self {
            catalogue: RefCell::default(),
            catalogue_list: RefCell::new(VersionedList::with_numbers()),
            registry: RefCell::default(),
            registry_list: RefCell::default(),
            left_upstreams: LeftUpstreams::default(),
        }
    }
}

impl Views {
    /// The routing table of the catalogue in force.
    pub(crate) fn catalogue(&self) -> Option<Rc<RoutingTable>> {
        self.catalogue.borrow().clone()
    }

    /// Version of the catalogue in force; 0 if there is none.
    pub(crate) fn catalogue_version(&self) -> u64 {
        let catalogue = self.catalogue.borrow();
        catalogue
            .as_ref()
            .map_or(0, |table| table.catalogue().version)
    }

    /// Replaces the catalogue by a newer one. Returns whether it was replaced.
    pub(crate) fn replace_catalogue(&self, catalogue: Catalogue) -> bool {
        let version = catalogue.version;
        let entries = entries_of(catalogue);
        let has_changed = self.catalogue_list.borrow_mut().replace(version, entries);
        self.refresh_catalogue(has_changed)
    }

    /// Applies changes of the catalogue that another node sent. Returns whether a new catalogue is in force.
    pub(crate) fn apply_catalogue(&self, changes: Changes<CatalogueEntry>) -> bool {
        let has_changed = self.catalogue_list.borrow_mut().apply(changes);
        self.refresh_catalogue(has_changed)
    }

    fn refresh_catalogue(&self, has_changed: bool) -> bool {
        let list = self.catalogue_list.borrow();
        // A list whose digest differs from the sender's is not put in force. The node fetches the whole list next.
        if !has_changed || !list.is_complete() {
            return false;
        }
        let catalogue = catalogue_of(list.version(), list.entries());
        self.catalogue
            .replace(Some(Rc::new(RoutingTable::new(catalogue))));
        true
    }

    /// The catalogue as a versioned list, to be sent to other nodes.
    pub(crate) fn catalogue_list(&self) -> Ref<'_, VersionedList<CatalogueEntry>> {
        self.catalogue_list.borrow()
    }

    pub(crate) fn registry(&self) -> RegistryView {
        self.registry.borrow().clone()
    }

    /// The data centre of an upstream; `None` if the registry does not list the upstream.
    pub(crate) fn data_centre_of(&self, upstream: &UpstreamId) -> Option<DataCentreName> {
        let registry = self.registry.borrow();
        let mut upstreams = registry.upstreams.iter();
        let found = upstreams.find(|listed| listed.id == *upstream);
        found.map(|listed| listed.data_centre.clone())
    }

    /// Replaces the registry by a newer one. Returns whether it was replaced.
    pub(crate) fn replace_registry(&self, version: u64, upstreams: Vec<Upstream>) -> bool {
        let has_changed = self.registry_list.borrow_mut().replace(version, upstreams);
        self.refresh_registry(has_changed)
    }

    /// Applies changes of the registry that another node sent. Returns whether it changed.
    pub(crate) fn apply_registry(&self, changes: Changes<Upstream>) -> bool {
        let has_changed = self.registry_list.borrow_mut().apply(changes);
        self.refresh_registry(has_changed)
    }

    fn refresh_registry(&self, has_changed: bool) -> bool {
        if has_changed {
            let list = self.registry_list.borrow();
            let mut upstreams: Vec<_> = list.entries().cloned().collect();
            // A list that differs from the sender's may lack its removals.
            let awaits_entries = awaits_entries(list.version()) || !list.is_complete();
            self.left_upstreams.correct(&mut upstreams, awaits_entries);
            self.registry.replace(RegistryView {
                version: list.version(),
                upstreams: Rc::new(upstreams),
            });
        }
        has_changed
    }

    /// The upstreams of which this node has read itself that they leave.
    pub(crate) fn left_upstreams(&self) -> &LeftUpstreams {
        &self.left_upstreams
    }

    /// The registry as a versioned list, to be sent to other nodes.
    pub(crate) fn registry_list(&self) -> Ref<'_, VersionedList<Upstream>> {
        self.registry_list.borrow()
    }
}
