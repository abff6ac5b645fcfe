//! The difference between two versions of the catalogue, and who made it.

use {
    dragonflystep_core::{
        catalogue::{CatalogueChange, Edit, ItemName},
        ids::CatalogueVersion,
    },
    serde::Serialize,
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
    thiserror::Error,
};

/// Why two versions can't be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DiffError {
    /// The versions are in the wrong order.
    #[error("version {from} is newer than {to}; name the older one first")]
    WrongOrder {
        /// Version named first.
        from: CatalogueVersion,
        /// Version named second.
        to: CatalogueVersion,
    },
    /// A change between the versions is not in the history.
    #[error(
        "the change to version {0} is not in the history of this node; ask a node that runs longer, or read \
         `catalogue/change/{0}` in the table service"
    )]
    MissingChange(CatalogueVersion),
}

/// Difference between two versions of the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CatalogueDiff {
    /// The older version.
    pub from: CatalogueVersion,
    /// The newer version.
    pub to: CatalogueVersion,
    /// Items that differ, by kind and name.
    pub items: Vec<ItemDiff>,
}

/// Difference of one item.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ItemDiff {
    /// The item, such as `upstreams/engine-01`.
    pub item: String,
    /// Changes between the two versions that touched it, oldest first.
    pub changes: Vec<ItemChange>,
    /// What became of the item.
    #[serde(flatten)]
    pub outcome: ItemOutcome,
}

/// A change that touched an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ItemChange {
    /// Version that the change made.
    pub version: CatalogueVersion,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// What became of an item between two versions.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ItemOutcome {
    /// It is new.
    Added {
        /// The item.
        after: Value,
    },
    /// It is gone.
    Removed {
        /// The item; none when its last change is older than the history.
        before: Option<Value>,
    },
    /// Some of its fields differ.
    Changed {
        /// The fields.
        fields: Vec<FieldDiff>,
    },
    /// It was put; what it was before is older than the history.
    Put {
        /// The item.
        after: Value,
    },
}

/// Difference of one field.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldDiff {
    /// Path of the field within the item.
    pub path: String,
    /// Its value before; none when it was missing.
    pub before: Option<Value>,
    /// Its value after; none when it is missing.
    pub after: Option<Value>,
}

/// State of an item at a version, as far as the history tells.
#[derive(Clone, Debug, PartialEq)]
enum Known {
    Present(Value),
    Absent,
    Unknown,
}

impl CatalogueDiff {
    /// Compares two versions by the `history` of changes, oldest first.
    ///
    /// # Errors
    /// When a change between the versions is missing, or the versions are in the wrong order.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_report::CatalogueDiff;
    /// assert!(CatalogueDiff::between(&[], 3, 3)?.items.is_empty());
    /// assert!(CatalogueDiff::between(&[], 3, 4).is_err());
    /// # Ok::<(), dragonflystep_report::DiffError>(())
    /// ```
    pub fn between(
        history: &[CatalogueChange],
        from: CatalogueVersion,
        to: CatalogueVersion,
    ) -> Result<Self, DiffError> {
        if from > to {
            return Err(DiffError::WrongOrder { from, to });
        }
        let versions: BTreeSet<_> = history.iter().map(|change| change.version).collect();
        if let Some(missing) = (from + 1..=to).find(|version| !versions.contains(version)) {
            return Err(DiffError::MissingChange(missing));
        }
        let mut touched: BTreeMap<ItemName, Vec<ItemChange>> = BTreeMap::new();
        for change in history
            .iter()
            .filter(|change| change.version > from && change.version <= to)
        {
            let names: BTreeSet<_> = change.edits.iter().map(Edit::item).collect();
            for name in names {
                touched.entry(name).or_default().push(item_change(change));
            }
        }
        let items = touched.into_iter().filter_map(|(name, changes)| {
            let before = state_at(history, &name, from);
            let after = state_at(history, &name, to);
            Some(ItemDiff {
                item: name.to_string(),
                changes,
                outcome: outcome(before, after)?,
            })
        });
        Ok(Self {
            from,
            to,
            items: items.collect(),
        })
    }
}

impl fmt::Display for CatalogueDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "from version {} to {}", self.from, self.to)?;
        if self.items.is_empty() {
            write!(formatter, ": no difference")?;
        }
        for item in &self.items {
            write!(formatter, "\n{item}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ItemDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.item)?;
        match &self.outcome {
            ItemOutcome::Added { after } => write!(formatter, ": added {after}")?,
            ItemOutcome::Removed { before: None } => write!(formatter, ": removed")?,
            ItemOutcome::Removed {
                before: Some(before),
            } => write!(formatter, ": removed {before}")?,
            ItemOutcome::Put { after } => write!(
                formatter,
                ": put {after}; what it was before is older than this node's history"
            )?,
            ItemOutcome::Changed { fields } => {
                for field in fields {
                    write!(formatter, "\n  {field}")?;
                }
            }
        }
        for change in &self.changes {
            write!(
                formatter,
                "\n  version {} by {}: {}",
                change.version, change.author, change.reason
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for FieldDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |value: &Option<Value>| match value {
            Some(value) => value.to_string(),
            None => "(missing)".to_owned(),
        };
        let before = shown(&self.before);
        let after = shown(&self.after);
        write!(formatter, "{}: {before} -> {after}", self.path)
    }
}

fn item_change(change: &CatalogueChange) -> ItemChange {
    ItemChange {
        version: change.version,
        author: change.author.to_string(),
        reason: change.reason.to_string(),
    }
}

fn state_at(history: &[CatalogueChange], name: &ItemName, version: CatalogueVersion) -> Known {
    let earlier = history.iter().filter(|change| change.version <= version);
    let last_edit = earlier
        .flat_map(|change| &change.edits)
        .rfind(|edit| edit.item() == *name);
    match last_edit {
        Some(edit) => content(edit).map_or(Known::Absent, Known::Present),
        // Before the first version there was nothing.
        None if version == 0 || history.first().is_some_and(|first| first.version == 1) => {
            Known::Absent
        }
        None => Known::Unknown,
    }
}

/// The item that the edit puts; none when it removes one.
fn content(edit: &Edit) -> Option<Value> {
    let value = match edit {
        Edit::PutService(service) => serde_json::to_value(service),
        Edit::PutUpstream(upstream) => serde_json::to_value(upstream),
        Edit::PutTier(tier) => serde_json::to_value(tier),
        Edit::PutAccount(account) => serde_json::to_value(account),
        Edit::Remove(_) => return None,
    };
    Some(value.expect("items hold only text, numbers and lists, which JSON can always express"))
}

fn outcome(before: Known, after: Known) -> Option<ItemOutcome> {
    match (before, after) {
        (before, after) if before == after => None,
        (Known::Absent, Known::Present(after)) => Some(ItemOutcome::Added { after }),
        (Known::Unknown, Known::Present(after)) => Some(ItemOutcome::Put { after }),
        (Known::Present(before), Known::Present(after)) => {
            let mut fields = Vec::new();
            compare("", Some(&before), Some(&after), &mut fields);
            Some(ItemOutcome::Changed { fields })
        }
        (Known::Present(before), _) => Some(ItemOutcome::Removed {
            before: Some(before),
        }),
        (Known::Absent | Known::Unknown, _) => Some(ItemOutcome::Removed { before: None }),
    }
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, fields: &mut Vec<FieldDiff>) {
    if let (Some(Value::Object(older)), Some(Value::Object(newer))) = (before, after) {
        let names: BTreeSet<_> = older.keys().chain(newer.keys()).collect();
        for name in names {
            let below = match path {
                "" => name.clone(),
                _ => format!("{path}/{name}"),
            };
            compare(&below, older.get(name), newer.get(name), fields);
        }
        return;
    }
    if before != after {
        fields.push(FieldDiff {
            path: path.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        });
    }
}
