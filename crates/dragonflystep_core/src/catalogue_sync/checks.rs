//! Validation of a change against the catalogue in force; reports every fault with its path.

use {
    crate::catalogue::{Catalogue, CatalogueChange, ChangeFault, Edit, ItemName, Upstream},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// Longest name of an item, in bytes.
const LONGEST_ID: usize = 64;
/// Most edits in one change; bounded because a change has to fit into one table row.
pub const MOST_EDITS: usize = 1000;

/// Collects the faults of a change, each with the path of the field.
#[derive(Debug, Default)]
struct Faults {
    faults: Vec<ChangeFault>,
}

impl Faults {
    fn add(&mut self, path: String, reason: impl Into<String>) {
        self.faults.push(ChangeFault::Invalid {
            path,
            reason: reason.into(),
        });
    }

    fn require(&mut self, holds: bool, path: &str, field: &str, reason: &str) {
        if !holds {
            self.add(format!("{path}/{field}"), reason);
        }
    }

    fn require_id(&mut self, id: &str, path: &str, field: &str) {
        let is_id = (1..=LONGEST_ID).contains(&id.len())
            && id
                .bytes()
                .all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'));
        let reason = "must be 1 to 64 of a-z, 0-9, '-', '_' and '.'";
        self.require(is_id, path, field, reason);
    }
}

/// Returns every fault of a change to `current`; `change.version` is the version that the change would create.
///
/// # Examples
/// ```
/// use dragonflystep_core::{
///     catalogue::{Catalogue, CatalogueChange, Edit, ItemName},
///     catalogue_sync::find_faults,
/// };
/// let change = CatalogueChange {
///     version: 1,
///     token: "t".into(),
///     author: "ops".into(),
///     reason: "clean up".into(),
///     edits: vec![Edit::Remove(ItemName::Service("chat".into()))],
/// };
/// assert_eq!(find_faults(&Catalogue::default(), &change).len(), 1);
/// ```
pub fn find_faults(current: &Catalogue, change: &CatalogueChange) -> Vec<ChangeFault> {
    let mut faults = Faults::default();
    check_heading(&mut faults, change);
    let mut touched = BTreeSet::new();
    for (index, edit) in change.edits.iter().enumerate() {
        let path = format!("edits/{index}");
        if !touched.insert(edit.item()) {
            faults.add(path.clone(), "the item is edited twice in one change");
        }
        check_edit(&mut faults, current, edit, &path);
    }
    let next = current.with_change(change);
    check_references(&mut faults, &next, &touched);
    check_ranks(&mut faults, &next, &touched);
    check_groups(&mut faults, &next, &touched);
    check_removals(&mut faults, &next, change);
    faults.faults
}

fn check_heading(faults: &mut Faults, change: &CatalogueChange) {
    if change.edits.is_empty() {
        faults.add("edits".into(), "must not be empty");
    }
    if change.edits.len() > MOST_EDITS {
        faults.add("edits".into(), format!("must be at most {MOST_EDITS}"));
    }
    for (field, text) in [
        ("author", &change.author),
        ("reason", &change.reason),
        ("token", &change.token),
    ] {
        if text.trim().is_empty() {
            faults.add(field.into(), "must not be empty");
        }
    }
}

fn check_edit(faults: &mut Faults, current: &Catalogue, edit: &Edit, path: &str) {
    match edit {
        Edit::PutService(service) => faults.require_id(&service.id, path, "put_service/id"),
        Edit::PutUpstream(upstream) => {
            check_upstream(faults, current, upstream, &format!("{path}/put_upstream"));
        }
        Edit::PutTier(tier) => {
            let path = format!("{path}/put_tier");
            let share = tier.objective.good_share;
            faults.require_id(&tier.id, &path, "id");
            let has_deadline = tier.default_deadline_ms >= 1;
            faults.require(
                has_deadline,
                &path,
                "default_deadline_ms",
                "must be at least 1",
            );
            let is_share = (0.0..=1.0).contains(&share);
            faults.require(
                is_share,
                &path,
                "objective/good_share",
                "must be between 0 and 1",
            );
        }
        Edit::PutAccount(account) => {
            let path = format!("{path}/put_account");
            faults.require_id(&account.id, &path, "id");
            let key = &account.key_sha256;
            let is_hash = key.len() == 64 && key.bytes().all(|byte| byte.is_ascii_hexdigit());
            faults.require(
                is_hash,
                &path,
                "key_sha256",
                "must be 64 hexadecimal digits",
            );
            faults.require(account.weight >= 1, &path, "weight", "must be at least 1");
        }
        Edit::Remove(name) => {
            if current.revision_of(name) == 0 {
                faults.add(format!("{path}/remove"), format!("there is no {name}"));
            }
        }
    }
}

fn check_upstream(faults: &mut Faults, current: &Catalogue, upstream: &Upstream, path: &str) {
    faults.require_id(&upstream.id, path, "id");
    faults.require_id(&upstream.group, path, "group");
    faults.require_id(&upstream.data_centre, path, "data_centre");
    faults.require(
        !upstream.owner.trim().is_empty(),
        path,
        "owner",
        "must not be empty",
    );
    faults.require(
        !upstream.class.trim().is_empty(),
        path,
        "class",
        "must not be empty",
    );
    let is_address = upstream
        .address
        .parse::<SocketAddr>()
        .is_ok_and(|address| address.port() != 0);
    faults.require(
        is_address,
        path,
        "address",
        "must be an IP number and a port",
    );
    let limits = &upstream.limits;
    let running = limits.running_requests >= 1;
    faults.require(
        running,
        path,
        "limits/running_requests",
        "must be at least 1",
    );
    let tokens = limits.held_tokens.is_none_or(|tokens| tokens >= 1);
    faults.require(tokens, path, "limits/held_tokens", "must be at least 1");
    let Some(known) = current.upstream(&upstream.id) else {
        return;
    };
    let keeps_group = known.group == upstream.group;
    faults.require(
        keeps_group,
        path,
        "group",
        "an upstream never changes its group",
    );
    let keeps_service = known.service == upstream.service;
    faults.require(
        keeps_service,
        path,
        "service",
        "an upstream never changes its service",
    );
}

fn check_references(faults: &mut Faults, next: &Catalogue, touched: &BTreeSet<ItemName>) {
    for upstream in next.all_upstreams() {
        if next.service(&upstream.service).is_some() {
            continue;
        }
        let is_touched = touched.contains(&ItemName::Upstream(upstream.id.clone()));
        if is_touched {
            let path = format!("upstreams/{}/service", upstream.id);
            faults.add(path, format!("there is no services/{}", upstream.service));
        }
    }
    for account in next.accounts.values() {
        let account = &account.item;
        if !touched.contains(&ItemName::Account(account.id.clone())) {
            continue;
        }
        for tier in account
            .tiers
            .iter()
            .filter(|tier| next.tier(tier).is_none())
        {
            let path = format!("accounts/{}/tiers", account.id);
            faults.add(path, format!("there is no tiers/{tier}"));
        }
    }
}

fn check_ranks(faults: &mut Faults, next: &Catalogue, touched: &BTreeSet<ItemName>) {
    let mut by_rank: BTreeMap<u8, Vec<Arc<str>>> = BTreeMap::new();
    for tier in next.tiers.values() {
        let names = by_rank.entry(tier.item.rank).or_default();
        names.push(tier.item.id.clone());
    }
    for (rank, names) in by_rank.iter().filter(|(_, names)| names.len() > 1) {
        let changed = names
            .iter()
            .filter(|name| touched.contains(&ItemName::Tier((*name).clone())));
        for name in changed {
            let path = format!("tiers/{name}/rank");
            faults.add(path, format!("rank {rank} belongs to another tier as well"));
        }
    }
}

fn check_groups(faults: &mut Faults, next: &Catalogue, touched: &BTreeSet<ItemName>) {
    let mut services: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for upstream in next.all_upstreams() {
        let names = services.entry(&upstream.group).or_default();
        names.insert(&upstream.service);
    }
    for upstream in next.all_upstreams() {
        let is_touched = touched.contains(&ItemName::Upstream(upstream.id.clone()));
        if is_touched && services[&*upstream.group].len() > 1 {
            let path = format!("upstreams/{}/group", upstream.id);
            faults.add(path, "the group has upstreams of another service");
        }
    }
}

fn check_removals(faults: &mut Faults, next: &Catalogue, change: &CatalogueChange) {
    for (index, edit) in change.edits.iter().enumerate() {
        let path = || format!("edits/{index}/remove");
        match edit {
            Edit::Remove(ItemName::Service(id)) => {
                let users = next.all_upstreams().filter(|user| user.service == *id);
                for user in users {
                    faults.add(path(), format!("upstreams/{} still uses it", user.id));
                }
            }
            Edit::Remove(ItemName::Tier(id)) => {
                let users = next.accounts.values().map(|account| &account.item);
                for user in users.filter(|account| account.tiers.contains(id)) {
                    faults.add(path(), format!("accounts/{} still uses it", user.id));
                }
            }
            Edit::Remove(_) | Edit::PutService(_) | Edit::PutUpstream(_) => {}
            Edit::PutTier(_) | Edit::PutAccount(_) => {}
        }
    }
}
