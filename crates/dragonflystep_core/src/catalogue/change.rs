//! Changes to the catalogue: validated against the version they are based on, then applied atomically.

use {
    super::model::{Catalogue, ClientAccount, Revised, Service, TierSettings, Upstream},
    crate::ids::CatalogueVersion,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt, sync::Arc},
};

/// Kind and name of one item of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemName {
    /// A service.
    Service(Arc<str>),
    /// An upstream.
    Upstream(Arc<str>),
    /// A tier.
    Tier(Arc<str>),
    /// A client account.
    Account(Arc<str>),
}

impl fmt::Display for ItemName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(id) => write!(formatter, "services/{id}"),
            Self::Upstream(id) => write!(formatter, "upstreams/{id}"),
            Self::Tier(id) => write!(formatter, "tiers/{id}"),
            Self::Account(id) => write!(formatter, "accounts/{id}"),
        }
    }
}

/// An edit of one item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Adds or replaces a service.
    PutService(Arc<Service>),
    /// Adds or replaces an upstream.
    PutUpstream(Arc<Upstream>),
    /// Adds or replaces a tier.
    PutTier(Arc<TierSettings>),
    /// Adds or replaces a client account.
    PutAccount(Arc<ClientAccount>),
    /// Removes an item.
    Remove(ItemName),
}

impl Edit {
    /// Returns the name of the item that the edit changes.
    pub fn item(&self) -> ItemName {
        match self {
            Self::PutService(service) => ItemName::Service(service.id.clone()),
            Self::PutUpstream(upstream) => ItemName::Upstream(upstream.id.clone()),
            Self::PutTier(tier) => ItemName::Tier(tier.id.clone()),
            Self::PutAccount(account) => ItemName::Account(account.id.clone()),
            Self::Remove(name) => name.clone(),
        }
    }
}

/// A change that leads from version `version - 1` to `version`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueChange {
    /// Version that the change creates.
    pub version: CatalogueVersion,
    /// Unique text of the administration call, which identifies the change after its commit answer was lost.
    pub token: Arc<str>,
    /// Who made the change.
    pub author: Arc<str>,
    /// Reason that the operator gave.
    pub reason: Arc<str>,
    /// The edits, applied atomically.
    pub edits: Vec<Edit>,
}

/// Reason why a change was rejected or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum ChangeFault {
    /// Another change touched the item after the version that the edit is based on.
    Conflict {
        /// The item that both changes edit.
        item: ItemName,
        /// The version that last changed it.
        revision: CatalogueVersion,
    },
    /// An item is invalid in itself or inconsistent with other items.
    Invalid {
        /// Path of the field.
        path: String,
        /// What is invalid about the field.
        reason: String,
    },
    /// The platform's table service can't be reached; the change was not made.
    StoreUnavailable,
    /// The platform's answer was lost and could not be settled; the change may have been made.
    Unsettled,
}

impl Catalogue {
    /// Returns the next version, created by `change`.
    ///
    /// The caller must have validated the change; this function applies the edits without further checks.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::catalogue::{Catalogue, CatalogueChange};
    /// let change = CatalogueChange {
    ///     version: 1,
    ///     token: "t".into(),
    ///     author: "ops".into(),
    ///     reason: "first".into(),
    ///     edits: Vec::new(),
    /// };
    /// assert_eq!(Catalogue::default().with_change(&change).version, 1);
    /// ```
    pub fn with_change(&self, change: &CatalogueChange) -> Self {
        let mut next = self.clone();
        next.version = change.version;
        for edit in &change.edits {
            next.apply_edit(edit, change.version);
        }
        next
    }

    /// Version that last changed the item; 0 when there is none.
    pub fn revision_of(&self, name: &ItemName) -> CatalogueVersion {
        let revision = match name {
            ItemName::Service(id) => self.services.get(id).map(|entry| entry.revision),
            ItemName::Upstream(id) => self.upstreams.get(id).map(|entry| entry.revision),
            ItemName::Tier(id) => self.tiers.get(id).map(|entry| entry.revision),
            ItemName::Account(id) => self.accounts.get(id).map(|entry| entry.revision),
        };
        revision.unwrap_or(0)
    }

    fn apply_edit(&mut self, edit: &Edit, revision: CatalogueVersion) {
        match edit {
            Edit::PutService(item) => put(&mut self.services, item.id.clone(), item, revision),
            Edit::PutUpstream(item) => put(&mut self.upstreams, item.id.clone(), item, revision),
            Edit::PutTier(item) => put(&mut self.tiers, item.id.clone(), item, revision),
            Edit::PutAccount(item) => put(&mut self.accounts, item.id.clone(), item, revision),
            Edit::Remove(name) => self.remove(name),
        }
    }

    fn remove(&mut self, name: &ItemName) {
        match name {
            ItemName::Service(id) => drop(self.services.remove(id)),
            ItemName::Upstream(id) => drop(self.upstreams.remove(id)),
            ItemName::Tier(id) => drop(self.tiers.remove(id)),
            ItemName::Account(id) => drop(self.accounts.remove(id)),
        }
    }
}

fn put<T>(
    items: &mut BTreeMap<Arc<str>, Revised<T>>,
    id: Arc<str>,
    item: &Arc<T>,
    revision: CatalogueVersion,
) {
    items.insert(
        id,
        Revised {
            revision,
            item: item.clone(),
        },
    );
}
