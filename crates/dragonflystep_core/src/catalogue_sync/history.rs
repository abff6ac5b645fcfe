//! The most recent changes, kept for peers that are behind, for operators, and to detect conflicting edits.

use {
    crate::{
        catalogue::{CatalogueChange, ChangeFault, Edit, ItemName},
        ids::CatalogueVersion,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// Number of changes that a node keeps in memory.
pub const KEPT_CHANGES: usize = 256;

/// The most recent changes, oldest first, with consecutive versions.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<Arc<CatalogueChange>>,
}

impl History {
    /// Appends the change that created the version in force, and drops the oldest one beyond the limit.
    pub fn push(&mut self, change: Arc<CatalogueChange>) {
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Prepends a change if it directly precedes the oldest kept one and there is room.
    pub fn extend_back(&mut self, change: &Arc<CatalogueChange>, in_force: CatalogueVersion) {
        let oldest = self.oldest(in_force);
        if change.version + 1 == oldest && self.changes.len() < KEPT_CHANGES {
            self.changes.push_front(change.clone());
        }
    }

    /// Returns the version of the oldest kept change, or the one after the version in force when none is kept.
    pub fn oldest(&self, in_force: CatalogueVersion) -> CatalogueVersion {
        let oldest = self.changes.front();
        oldest.map_or(in_force + 1, |oldest| oldest.version)
    }

    /// Drops all changes after versions were skipped, since they would no longer be consecutive.
    pub fn clear(&mut self) {
        self.changes.clear();
    }

    /// Returns up to `most` changes after a version, oldest first; `None` when the oldest of them is not kept.
    pub fn after(
        &self,
        version: CatalogueVersion,
        most: usize,
    ) -> Option<Vec<Arc<CatalogueChange>>> {
        let first = self.changes.front()?.version;
        if version + 1 < first {
            return None;
        }
        let wanted = self
            .changes
            .iter()
            .filter(|change| change.version > version);
        Some(wanted.take(most).cloned().collect())
    }

    /// Returns all kept changes from `version` on, oldest first.
    pub fn since(&self, version: CatalogueVersion) -> Vec<Arc<CatalogueChange>> {
        let wanted = self
            .changes
            .iter()
            .filter(|change| change.version >= version);
        wanted.cloned().collect()
    }

    /// Finds the kept change that was made by the administration call with this token.
    pub fn by_token(&self, token: &str) -> Option<&Arc<CatalogueChange>> {
        self.changes.iter().find(|change| *change.token == *token)
    }

    /// Returns the conflicts of edits that are based on an older version.
    ///
    /// They are found in the kept changes, because a removed item has no revision in the catalogue any more.
    pub fn conflicts(&self, based_on: CatalogueVersion, edits: &[Edit]) -> Vec<ChangeFault> {
        let mut revisions: BTreeMap<ItemName, CatalogueVersion> = BTreeMap::new();
        for change in self.since(based_on + 1) {
            for edit in &change.edits {
                revisions.insert(edit.item(), change.version);
            }
        }
        let conflict = |edit: &Edit| {
            let item = edit.item();
            let revision = *revisions.get(&item)?;
            Some(ChangeFault::Conflict { item, revision })
        };
        edits.iter().filter_map(conflict).collect()
    }

    /// Whether every change after `based_on` is kept.
    pub fn reaches_back_to(&self, based_on: CatalogueVersion, in_force: CatalogueVersion) -> bool {
        let oldest = self.oldest(in_force);
        based_on + 1 >= oldest
    }
}
