//! The edits that lead from the catalogue in force to a document.

use {
    super::{CatalogueDocument, groups::assign},
    crate::fault::DocumentError,
    dragonflystep_core::catalogue::{Catalogue, Edit, ItemName, Revised, Upstream},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

impl CatalogueDocument {
    /// The edits that make `current` what the document says: a put for each item that differs, a removal for
    /// each that is gone.
    ///
    /// # Errors
    /// With every upstream that would change its group, service or data centre.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_config::CatalogueDocument;
    /// use dragonflystep_core::catalogue::Catalogue;
    /// let text = r#"{"services": [{"id": "ledger", "kind": "plain"}]}"#;
    /// let document = CatalogueDocument::parse(text).expect("it has no faults");
    /// let edits = document.edits_against(&Catalogue::default()).expect("nothing moves");
    /// assert_eq!(edits[0].item().to_string(), "services/ledger");
    /// ```
    pub fn edits_against(&self, current: &Catalogue) -> Result<Vec<Edit>, DocumentError> {
        let upstreams = self.assigned_upstreams(current)?;
        let mut edits = Vec::new();
        put(
            &mut edits,
            &self.tiers,
            &current.tiers,
            |tier| &tier.id,
            Edit::PutTier,
        );
        put(
            &mut edits,
            &self.services,
            &current.services,
            |item| &item.id,
            Edit::PutService,
        );
        put(
            &mut edits,
            &self.accounts,
            &current.accounts,
            |item| &item.id,
            Edit::PutAccount,
        );
        put(
            &mut edits,
            &upstreams,
            &current.upstreams,
            |item| &item.id,
            Edit::PutUpstream,
        );
        // What refers to others goes first, so that the list reads well in every order of application.
        remove(
            &mut edits,
            &upstreams,
            &current.upstreams,
            |item| &item.id,
            ItemName::Upstream,
        );
        remove(
            &mut edits,
            &self.accounts,
            &current.accounts,
            |item| &item.id,
            ItemName::Account,
        );
        remove(
            &mut edits,
            &self.services,
            &current.services,
            |item| &item.id,
            ItemName::Service,
        );
        remove(
            &mut edits,
            &self.tiers,
            &current.tiers,
            |tier| &tier.id,
            ItemName::Tier,
        );
        Ok(edits)
    }

    fn assigned_upstreams(&self, current: &Catalogue) -> Result<Vec<Upstream>, DocumentError> {
        let groups = assign(&self.upstreams, current);
        let groups = groups.map_err(|faults| DocumentError::Faulty { faults })?;
        let upstreams = self.upstreams.iter().cloned().map(|upstream| {
            let group = groups[&upstream.id].clone();
            upstream.into_upstream(group)
        });
        Ok(upstreams.collect())
    }
}

fn put<T: Clone + PartialEq>(
    edits: &mut Vec<Edit>,
    wanted: &[T],
    current: &BTreeMap<Arc<str>, Revised<T>>,
    id: impl Fn(&T) -> &Arc<str>,
    edit: impl Fn(Arc<T>) -> Edit,
) {
    let differs = |item: &&T| {
        let known = current.get(id(item));
        known.is_none_or(|known| known.item.as_ref() != *item)
    };
    let puts = wanted.iter().filter(differs);
    edits.extend(puts.map(|item| edit(Arc::new(item.clone()))));
}

fn remove<T>(
    edits: &mut Vec<Edit>,
    wanted: &[T],
    current: &BTreeMap<Arc<str>, Revised<T>>,
    id: impl Fn(&T) -> &Arc<str>,
    name: impl Fn(Arc<str>) -> ItemName,
) {
    let wanted: BTreeSet<_> = wanted.iter().map(id).collect();
    let gone = current.keys().filter(|known| !wanted.contains(known));
    edits.extend(gone.map(|known| Edit::Remove(name(known.clone()))));
}
