//! The catalogue: the services, upstreams, tiers and client accounts that operators configure.
//!
//! A [`Catalogue`] is one immutable version, and a [`CatalogueChange`] leads from one version to the next. Nodes
//! normally exchange changes instead of whole catalogues, so a change costs the same whatever the catalogue's size.

mod change;
mod model;

pub use self::{
    change::{CatalogueChange, ChangeFault, Edit, ItemName},
    model::{
        Catalogue, ClientAccount, Objective, OverloadPolicy, Revised, Service, ServiceKind,
        TierSettings, Upstream, UpstreamLimits, UpstreamState,
    },
};
