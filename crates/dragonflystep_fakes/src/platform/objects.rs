//! The object store, as a pure model.

use {
    bytes::Bytes,
    std::{collections::BTreeMap, sync::Arc},
};

/// Objects by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObjectModel {
    objects: BTreeMap<Arc<str>, Bytes>,
}

impl ObjectModel {
    /// Adds or replaces an object.
    pub fn put(&mut self, name: Arc<str>, content: Bytes) {
        self.objects.insert(name, content);
    }

    /// The object of this name.
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }
}
