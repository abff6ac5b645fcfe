//! The catalogue as operators keep it in one file.

mod consistency;
mod edits;
mod groups;
mod items;

use {
    crate::{
        fault::DocumentError,
        fields::{Fields, Findings, KnownField},
        json,
    },
    dragonflystep_core::{
        catalogue::{
            Catalogue, ClientAccount, Revised, Service, TierSettings, Upstream, UpstreamLimits,
            UpstreamState,
        },
        ids::{DataCentreId, GroupId, ServiceId, UpstreamId},
    },
    serde::Serialize,
    serde_json::{Map, json},
    std::{collections::BTreeMap, fs, path::Path, sync::Arc},
};

pub use self::groups::DEFAULT_GROUP_SIZE;

/// One upstream of a document; like an upstream of the catalogue, but its group may be left open.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamEntry {
    /// Name.
    pub id: UpstreamId,
    /// Service that it answers for.
    pub service: ServiceId,
    /// Department that owns it.
    pub owner: Arc<str>,
    /// Class of its hardware and engine.
    pub class: Arc<str>,
    /// IP number and port.
    pub address: Arc<str>,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Group whose broker grants it; assigned when it is left open.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupId>,
    /// Limits.
    pub limits: UpstreamLimits,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// Name of its VM in the platform's VM list, where it has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm: Option<Arc<str>>,
}

/// A whole catalogue as operators keep it in one file.
///
/// A document that exists has passed every check that needs no other document.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CatalogueDocument {
    tiers: Vec<TierSettings>,
    services: Vec<Service>,
    upstreams: Vec<UpstreamEntry>,
    accounts: Vec<ClientAccount>,
}

impl CatalogueDocument {
    /// A document from a file.
    ///
    /// # Errors
    /// When the file can't be read or is no JSON, and with every fault of its content.
    pub fn read(path: &Path) -> Result<Self, DocumentError> {
        let text = fs::read_to_string(path);
        let text = text.map_err(|source| DocumentError::Unreadable {
            path: path.into(),
            source,
        })?;
        Self::parse(&text)
    }

    /// A document from a text.
    ///
    /// # Errors
    /// When it is no JSON, and with every fault of its content.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_config::CatalogueDocument;
    /// let text = r#"{"services": [{"id": "ledger", "kind": "plain", "model": "m-1"}]}"#;
    /// let error = CatalogueDocument::parse(text).expect_err("a plain service has no model");
    /// assert_eq!(error.faults()[0].path, "services[0].model");
    /// ```
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let (value, repeated) = json::parse(text)?;
        let mut findings = Findings::starting_with(repeated);
        let names = consistency::Names::of(&value);
        let items = items::read(Fields::root(value, &mut findings));
        consistency::check(&names, &items, &mut findings);
        findings.conclude(items.into_document())
    }

    /// Every field that a document may have, in the order of the reading; `[]` stands for each item of a list.
    pub fn known_fields() -> Vec<KnownField> {
        // Reading one item of nothing asks for every field of such items.
        let lists = ["tiers", "services", "upstreams", "accounts"];
        let lists = lists.map(|list| (list.to_string(), json!([{}])));
        let mut findings = Findings::default();
        items::read(Fields::root(Map::from_iter(lists).into(), &mut findings));
        let known = findings.known.into_iter().map(|field| KnownField {
            path: field.path.replace("[0]", "[]"),
            ..field
        });
        known.collect()
    }

    /// The text of the document, from which [`CatalogueDocument::parse`] makes it again.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("texts and finite numbers have a JSON form")
    }

    /// Tiers.
    pub fn tiers(&self) -> &[TierSettings] {
        &self.tiers
    }

    /// Services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Upstreams.
    pub fn upstreams(&self) -> &[UpstreamEntry] {
        &self.upstreams
    }

    /// Client accounts.
    pub fn accounts(&self) -> &[ClientAccount] {
        &self.accounts
    }
}

impl From<&Catalogue> for CatalogueDocument {
    fn from(catalogue: &Catalogue) -> Self {
        let upstreams = catalogue.all_upstreams().cloned();
        Self {
            tiers: items_of(&catalogue.tiers),
            services: items_of(&catalogue.services),
            upstreams: upstreams.map(UpstreamEntry::from).collect(),
            accounts: items_of(&catalogue.accounts),
        }
    }
}

fn items_of<T: Clone>(items: &BTreeMap<Arc<str>, Revised<T>>) -> Vec<T> {
    items
        .values()
        .map(|entry| entry.item.as_ref().clone())
        .collect()
}

impl From<Upstream> for UpstreamEntry {
    fn from(upstream: Upstream) -> Self {
        Self {
            id: upstream.id,
            service: upstream.service,
            owner: upstream.owner,
            class: upstream.class,
            address: upstream.address,
            data_centre: upstream.data_centre,
            group: Some(upstream.group),
            limits: upstream.limits,
            state: upstream.state,
            checks_fencing: upstream.checks_fencing,
            vm: upstream.vm,
        }
    }
}

impl UpstreamEntry {
    /// The upstream of the catalogue, granted by the broker of `group`.
    fn into_upstream(self, group: GroupId) -> Upstream {
        Upstream {
            id: self.id,
            service: self.service,
            owner: self.owner,
            class: self.class,
            address: self.address,
            data_centre: self.data_centre,
            group,
            limits: self.limits,
            state: self.state,
            checks_fencing: self.checks_fencing,
            vm: self.vm,
        }
    }
}
