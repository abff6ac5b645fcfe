//! Whether the items of one document fit each other.

use {
    super::{UpstreamEntry, items::Items},
    crate::fields::Findings,
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The names that a document declares, also those of items with faults.
///
/// A reference to an item that is wrong in itself is no fault of its own.
#[derive(Debug)]
pub(super) struct Names {
    tiers: Vec<Option<String>>,
    services: Vec<Option<String>>,
    upstreams: Vec<Option<String>>,
    accounts: Vec<Option<String>>,
}

impl Names {
    pub(super) fn of(document: &Value) -> Self {
        let names = |list: &str| {
            let items = document.get(list).and_then(Value::as_array);
            let items = items.map(Vec::as_slice).unwrap_or_default();
            items.iter().map(name_of).collect()
        };
        Self {
            tiers: names("tiers"),
            services: names("services"),
            upstreams: names("upstreams"),
            accounts: names("accounts"),
        }
    }
}

fn name_of(item: &Value) -> Option<String> {
    let name = item.get("id").and_then(Value::as_str);
    name.map(Into::into)
}

/// Notes every fault between items.
pub(super) fn check(names: &Names, items: &Items, findings: &mut Findings) {
    check_unique("tiers", "id", &names.tiers, findings);
    check_unique("services", "id", &names.services, findings);
    check_unique("upstreams", "id", &names.upstreams, findings);
    check_unique("accounts", "id", &names.accounts, findings);
    let ranks = values(&items.tiers, |tier| tier.rank);
    check_unique("tiers", "rank", &ranks, findings);
    // Two upstreams at one address would together exceed what stands behind it.
    let addresses = values(&items.upstreams, |upstream| upstream.address.clone());
    check_unique("upstreams", "address", &addresses, findings);
    // A key that two accounts share would not tell whose request it is.
    let keys = values(&items.accounts, |account| account.key_sha256.clone());
    check_unique("accounts", "key_sha256", &keys, findings);
    check_services(names, items, findings);
    check_tiers(names, items, findings);
    check_groups(&items.upstreams, findings);
}

fn values<T, V>(items: &[Option<T>], value: impl Fn(&T) -> V) -> Vec<Option<V>> {
    let values = items.iter().map(|item| item.as_ref().map(&value));
    values.collect()
}

fn check_unique<V: Ord>(list: &str, field: &str, values: &[Option<V>], findings: &mut Findings) {
    let mut first_uses = BTreeMap::new();
    for (number, value) in values.iter().enumerate() {
        let Some(value) = value else {
            continue;
        };
        let first = *first_uses.entry(value).or_insert(number);
        if first != number {
            let path = format!("{list}[{number}].{field}");
            findings.add(path, format!("is the same as {list}[{first}].{field}"));
        }
    }
}

fn check_services(names: &Names, items: &Items, findings: &mut Findings) {
    let declared = declared(&names.services);
    for (number, upstream) in present(&items.upstreams) {
        if !declared.contains(upstream.service.as_ref()) {
            let path = format!("upstreams[{number}].service");
            findings.add(path, format!("no service {} is declared", upstream.service));
        }
    }
}

fn check_tiers(names: &Names, items: &Items, findings: &mut Findings) {
    let declared = declared(&names.tiers);
    for (number, account) in present(&items.accounts) {
        let mut seen = BTreeSet::new();
        for (place, tier) in account.tiers.iter().enumerate() {
            let path = format!("accounts[{number}].tiers[{place}]");
            if !declared.contains(tier.as_ref()) {
                findings.add(path, format!("no tier {tier} is declared"));
            } else if !seen.insert(tier) {
                findings.add(path, "stands twice in the list");
            }
        }
    }
}

/// A broker grants for one service in one data centre, so a group must not span two.
fn check_groups(upstreams: &[Option<UpstreamEntry>], findings: &mut Findings) {
    let mut homes: BTreeMap<&Arc<str>, (&UpstreamEntry, usize)> = BTreeMap::new();
    for (number, upstream) in present(upstreams) {
        let Some(group) = &upstream.group else {
            continue;
        };
        let (first, first_number) = *homes.entry(group).or_insert((upstream, number));
        if !is_same_home(first, upstream) {
            let path = format!("upstreams[{number}].group");
            let reason = "has another service or data centre at";
            findings.add(path, format!("{reason} upstreams[{first_number}]"));
        }
    }
}

fn is_same_home(one: &UpstreamEntry, other: &UpstreamEntry) -> bool {
    one.service == other.service && one.data_centre == other.data_centre
}

fn declared(names: &[Option<String>]) -> BTreeSet<&str> {
    names.iter().flatten().map(String::as_str).collect()
}

fn present<T>(items: &[Option<T>]) -> impl Iterator<Item = (usize, &T)> {
    let numbered = items.iter().enumerate();
    numbered.filter_map(|(number, item)| Some((number, item.as_ref()?)))
}
