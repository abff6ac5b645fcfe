//! What a node believes of the catalogue and of the registry, with versions that only rise.

use {
    crate::{
        catalogue_list::{CatalogueEntry, catalogue_of, entries_of},
        versioned_list::{Changes, ListEntry, VersionedList},
    },
    dragonflystep_dispatch::{Catalogue, RoutingTable, Upstream},
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

/// A version of the registry.
#[derive(Clone, Default)]
pub(crate) struct RegistryView {
    pub(crate) version: u64,
    pub(crate) upstreams: Rc<Vec<Upstream>>,
}

/// What a node believes.
#[derive(Default)]
pub(crate) struct Views {
    /// The routing table of the catalogue in force.
    catalogue: RefCell<Option<Rc<RoutingTable>>>,
    catalogue_list: RefCell<VersionedList<CatalogueEntry>>,
    registry: RefCell<RegistryView>,
    registry_list: RefCell<VersionedList<Upstream>>,
}

impl Views {
    /// The catalogue in force.
    pub(crate) fn catalogue(&self) -> Option<Rc<RoutingTable>> {
        self.catalogue.borrow().clone()
    }

    /// Version of the catalogue in force; 0 is none.
    pub(crate) fn catalogue_version(&self) -> u64 {
        let catalogue = self.catalogue.borrow();
        catalogue
            .as_ref()
            .map_or(0, |table| table.catalogue().version)
    }

    /// Takes over a whole catalogue; says whether it is news.
    pub(crate) fn replace_catalogue(&self, catalogue: Catalogue) -> bool {
        let version = catalogue.version;
        let entries = entries_of(catalogue);
        let is_news = self.catalogue_list.borrow_mut().replace(version, entries);
        self.refresh_catalogue(is_news)
    }

    /// Applies what another node sent of the catalogue; says whether another one is in force.
    pub(crate) fn apply_catalogue(&self, changes: Changes<CatalogueEntry>) -> bool {
        let is_news = self.catalogue_list.borrow_mut().apply(changes);
        self.refresh_catalogue(is_news)
    }

    fn refresh_catalogue(&self, is_news: bool) -> bool {
        let list = self.catalogue_list.borrow();
        // Changes that do not lead to what the other node has are not put in force; the whole list comes next.
        if !is_news || !list.is_whole() {
            return false;
        }
        let catalogue = catalogue_of(list.version(), list.entries());
        self.catalogue
            .replace(Some(Rc::new(RoutingTable::new(catalogue))));
        true
    }

    /// The catalogue as a list of entries.
    pub(crate) fn catalogue_list(&self) -> Ref<'_, VersionedList<CatalogueEntry>> {
        self.catalogue_list.borrow()
    }

    pub(crate) fn registry(&self) -> RegistryView {
        self.registry.borrow().clone()
    }

    /// Takes over a whole registry; says whether it is news.
    pub(crate) fn replace_registry(&self, version: u64, upstreams: Vec<Upstream>) -> bool {
        let is_news = self.registry_list.borrow_mut().replace(version, upstreams);
        self.refresh_registry(is_news)
    }

    /// Applies what another node sent of the registry; says whether it is news.
    pub(crate) fn apply_registry(&self, changes: Changes<Upstream>) -> bool {
        let is_news = self.registry_list.borrow_mut().apply(changes);
        self.refresh_registry(is_news)
    }

    fn refresh_registry(&self, is_news: bool) -> bool {
        if is_news {
            let list = self.registry_list.borrow();
            self.registry.replace(RegistryView {
                version: list.version(),
                upstreams: Rc::new(list.entries().cloned().collect()),
            });
        }
        is_news
    }

    /// The registry as a list of entries.
    pub(crate) fn registry_list(&self) -> Ref<'_, VersionedList<Upstream>> {
        self.registry_list.borrow()
    }
}
