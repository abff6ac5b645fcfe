//! Settings and catalogue documents in JSON, checked with a path for every fault.
//!
//! [`NodeSettings`] is what one node is told at its start; [`CatalogueDocument`] is the whole catalogue as
//! operators keep it in a file, and becomes edits against the catalogue in force. Both are read field by
//! field, so that one reading names every fault and not only the first.

mod catalogue;
mod check;
mod fault;
mod fields;
mod json;
mod secret;
mod settings;

pub use self::{
    catalogue::{CatalogueDocument, DEFAULT_GROUP_SIZE, UpstreamEntry},
    fault::{DocumentError, Fault, SettingsError},
    fields::KnownField,
    secret::Secret,
    settings::{
        AdminKeys, Limits, LogFormat, LogSettings, MetricsSettings, NodeSettings, PlatformSection,
    },
};
