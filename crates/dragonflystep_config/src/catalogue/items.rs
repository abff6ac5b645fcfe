//! Reading of the items of a catalogue document.

use {
    super::{CatalogueDocument, UpstreamEntry},
    crate::{check, fields::Fields, secret::Secret},
    dragonflystep_core::catalogue::{
        ClientAccount, Objective, OverloadPolicy, Service, ServiceKind, TierSettings,
        UpstreamLimits, UpstreamState,
    },
    sha2::{Digest, Sha256},
    std::sync::Arc,
};

const DAY_MS: u64 = 86_400_000;

/// The items that were read; none stands in the place of an item with faults.
#[derive(Debug)]
pub(super) struct Items {
    pub(super) tiers: Vec<Option<TierSettings>>,
    pub(super) services: Vec<Option<Service>>,
    pub(super) upstreams: Vec<Option<UpstreamEntry>>,
    pub(super) accounts: Vec<Option<ClientAccount>>,
}

impl Items {
    /// The document, when no item has a fault.
    pub(super) fn into_document(self) -> Option<CatalogueDocument> {
        Some(CatalogueDocument {
            tiers: self.tiers.into_iter().collect::<Option<_>>()?,
            services: self.services.into_iter().collect::<Option<_>>()?,
            upstreams: self.upstreams.into_iter().collect::<Option<_>>()?,
            accounts: self.accounts.into_iter().collect::<Option<_>>()?,
        })
    }
}

pub(super) fn read(mut fields: Fields<'_>) -> Items {
    let items = Items {
        tiers: fields.list("tiers", tier),
        services: fields.list("services", service),
        upstreams: fields.list("upstreams", upstream),
        accounts: fields.list("accounts", account),
    };
    fields.finish();
    items
}

fn tier(mut fields: Fields<'_>) -> Option<TierSettings> {
    let id = fields.required("id", check::id);
    let rank = fields.required("rank", check::any);
    let default_deadline_ms = fields.required("default_deadline_ms", check::within(1..=DAY_MS));
    let objective = objective(fields.object("objective"));
    fields.finish();
    Some(TierSettings {
        id: id?,
        rank: rank?,
        default_deadline_ms: default_deadline_ms?,
        objective: objective?,
    })
}

fn objective(mut fields: Fields<'_>) -> Option<Objective> {
    let first_token_ms = fields.required("first_token_ms", check::within(1..=DAY_MS));
    let token_gap_ms = fields.required("token_gap_ms", check::within(1..=DAY_MS));
    let good_share = fields.required("good_share", check::open_share);
    fields.finish();
    Some(Objective {
        first_token_ms: first_token_ms?,
        token_gap_ms: token_gap_ms?,
        good_share: good_share?,
    })
}

fn service(mut fields: Fields<'_>) -> Option<Service> {
    let id = fields.required("id", check::id);
    let kind = fields.required("kind", check::any);
    let overload_policy = fields.or("overload_policy", OverloadPolicy::default(), check::any);
    let model: Option<Arc<str>> = fields.optional("model", check::text);
    match (kind, &model) {
        (Some(ServiceKind::Plain), Some(_)) => {
            fields.fault("model", "a plain service has no model")
        }
        (Some(ServiceKind::Engine), None) => fields.fault("model", "is missing for an engine"),
        _ => {}
    }
    fields.finish();
    Some(Service {
        id: id?,
        kind: kind?,
        overload_policy,
        model,
    })
}

fn upstream(mut fields: Fields<'_>) -> Option<UpstreamEntry> {
    let id = fields.required("id", check::id);
    let service = fields.required("service", check::id);
    let owner = fields.required("owner", check::text);
    let class = fields.required("class", check::text);
    let address = fields.required("address", check::reachable);
    let data_centre = fields.required("data_centre", check::id);
    let group = fields.optional("group", check::group);
    let limits = limits(fields.object("limits"));
    let state = fields.or("state", UpstreamState::default(), check::any);
    let checks_fencing = fields.or("checks_fencing", false, check::any);
    let vm = fields.optional("vm", check::id);
    fields.finish();
    Some(UpstreamEntry {
        id: id?,
        service: service?,
        owner: owner?,
        class: class?,
        address: address?,
        data_centre: data_centre?,
        group,
        limits: limits?,
        state,
        checks_fencing,
        vm,
    })
}

fn limits(mut fields: Fields<'_>) -> Option<UpstreamLimits> {
    let running_requests = fields.required("running_requests", check::positive);
    let held_tokens = fields.optional("held_tokens", check::positive);
    fields.finish();
    Some(UpstreamLimits {
        running_requests: running_requests?,
        held_tokens,
    })
}

fn account(mut fields: Fields<'_>) -> Option<ClientAccount> {
    let id = fields.required("id", check::id);
    let key_sha256 = account_key(&mut fields);
    let weight = fields.or("weight", 1, check::positive);
    let tiers = fields.or("tiers", Vec::new(), check::any);
    fields.finish();
    Some(ClientAccount {
        id: id?,
        key_sha256: key_sha256?,
        weight,
        tiers,
    })
}

/// Hash of the account's key, given as it is or as the key itself, which is kept nowhere.
fn account_key(fields: &mut Fields<'_>) -> Option<Arc<str>> {
    let is_key_given = fields.has("key");
    let is_hash_given = fields.has("key_sha256");
    let key = fields.optional_secret("key", check::key);
    let hash = fields.optional("key_sha256", check::sha256);
    match (is_key_given, is_hash_given) {
        (true, true) => {
            fields.fault("key", "must not be given together with key_sha256");
            None
        }
        (false, false) => {
            fields.fault("key_sha256", "is missing, and so is key");
            None
        }
        (true, false) => Some(sha256_of(&key?)),
        (false, true) => hash,
    }
}

fn sha256_of(key: &Secret) -> Arc<str> {
    let hash = Sha256::digest(key.reveal().as_bytes());
    hex::encode(hash).into()
}
