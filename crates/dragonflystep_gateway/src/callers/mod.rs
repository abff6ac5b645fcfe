//! HTTP towards callers.

pub(crate) mod accounts;
pub(crate) mod admission;
pub(crate) mod answer;
pub(crate) mod body;
pub(crate) mod cut;
pub(crate) mod entries;
pub(crate) mod facts;
pub(crate) mod headers;
pub(crate) mod intake;
pub(crate) mod refusal;

use {
    crate::gateway::Shared,
    salvo::{Router, Service},
    std::sync::Arc,
};

/// The service for callers.
pub(crate) fn service(shared: &Arc<Shared>) -> Service {
    let router = Router::new()
        .push(Router::with_path("v1/entries").get(entries::Entries::new(shared)))
        .push(Router::with_path("{**rest}").goal(intake::Intake::new(shared)));
    Service::new(router)
}
