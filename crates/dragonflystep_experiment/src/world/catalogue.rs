//! The catalogue of a site, as the edits that an operator would send.

use {
    super::fleet::FleetMember,
    crate::scenario::Plan,
    dragonflystep_core::catalogue::{
        Catalogue, CatalogueChange, ClientAccount, Edit, Objective, Service, ServiceKind,
        TierSettings,
    },
    std::sync::Arc,
};

/// Share of a tier's requests that must be good, as the catalogue states it.
const GOOD_SHARE: f64 = 0.95;

/// The edits that make a site's catalogue from nothing.
pub fn edits(plan: &Plan, fleet: &[FleetMember]) -> Vec<Edit> {
    let services = plan.site.services.iter().map(|service| {
        Edit::PutService(Arc::new(Service {
            id: service.id.as_str().into(),
            kind: service.kind,
            overload_policy: service.overload_policy,
            model: (service.kind == ServiceKind::Engine).then(|| "assistant-1".into()),
        }))
    });
    let upstreams = fleet
        .iter()
        .map(|member| Edit::PutUpstream(member.entry.clone()));
    let tiers = plan.site.tiers.iter().enumerate().map(|(rank, tier)| {
        Edit::PutTier(Arc::new(TierSettings {
            id: tier.id.as_str().into(),
            rank: rank as u8,
            default_deadline_ms: tier.deadline_ms,
            objective: Objective {
                first_token_ms: tier.first_token_ms,
                token_gap_ms: tier.token_gap_ms,
                good_share: GOOD_SHARE,
            },
        }))
    });
    let accounts = plan
        .site
        .accounts
        .iter()
        .enumerate()
        .map(|(number, account)| {
            Edit::PutAccount(Arc::new(ClientAccount {
                id: account.id.as_str().into(),
                key_sha256: format!("{:064x}", number + 1).into(),
                weight: account.weight,
                tiers: Vec::new(),
            }))
        });
    services
        .chain(upstreams)
        .chain(tiers)
        .chain(accounts)
        .collect()
}

/// The catalogue that the edits make.
pub fn catalogue(edits: &[Edit]) -> Catalogue {
    Catalogue::default().with_change(&CatalogueChange {
        version: 1,
        token: "experiment".into(),
        author: "experiment".into(),
        reason: "site".into(),
        edits: edits.to_vec(),
    })
}
