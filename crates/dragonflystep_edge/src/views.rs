//! What a node believes of the catalogue and of the registry, with versions that only rise.

use {
    crate::versioned_list::{Changes, ListEntry, VersionedList},
    dragonflystep_dispatch::{RoutingTable, Upstream},
    std::{cell::RefCell, rc::Rc, sync::Arc},
};

/// A version of the catalogue.
#[derive(Clone)]
pub(crate) struct CatalogueView {
    pub(crate) table: Rc<RoutingTable>,
    /// As the platform wrote it, for other nodes.
    pub(crate) document: Rc<Vec<u8>>,
}

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
    catalogue: RefCell<Option<CatalogueView>>,
    registry: RefCell<RegistryView>,
    registry_list: RefCell<VersionedList<Upstream>>,
}

impl Views {
    pub(crate) fn catalogue(&self) -> Option<CatalogueView> {
        self.catalogue.borrow().clone()
    }

    pub(crate) fn catalogue_version(&self) -> u64 {
        let catalogue = self.catalogue.borrow();
        catalogue
            .as_ref()
            .map_or(0, |view| view.table.catalogue().version)
    }

    pub(crate) fn set_catalogue(&self, view: CatalogueView) {
        self.catalogue.replace(Some(view));
    }

    pub(crate) fn registry(&self) -> RegistryView {
        self.registry.borrow().clone()
    }

    /// Takes over a whole registry; says whether it is news.
    pub(crate) fn replace_registry(&self, version: u64, upstreams: Vec<Upstream>) -> bool {
        let is_news = self.registry_list.borrow_mut().replace(version, upstreams);
        self.refresh_registry(is_news)
    }

    /// Takes over what another node told of the registry; says whether it is news.
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

    /// The registry's version to tell other nodes.
    pub(crate) fn told_registry_version(&self) -> u64 {
        self.registry_list.borrow().told_version()
    }

    /// What a node lacks that has the registry of a version.
    pub(crate) fn registry_since(&self, version: u64) -> Option<Changes<Upstream>> {
        self.registry_list.borrow().changes_since(version)
    }
}
