//! Selection of the route by host and longest prefix, of the account by key, of the service by weight, and of the
//! tier by account and route.

use {
    dragonflystep_dispatch::{
        Account, Catalogue, Route, RouteKind, RoutingError, RoutingTable, Target,
    },
    proptest::proptest,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: std::time::Duration::from_secs(1),
        objective: std::time::Duration::from_millis(300),
        tier: 2,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        max_attempts: 2,
        is_anonymous: false,
        allowed_regions: Vec::new(),
    }
}

fn account(name: &str, key: &str, tier: Option<u8>) -> Account {
    Account {
        name: name.into(),
        keys: vec![key.to_owned()],
        tier,
        quota: None,
        allowed_regions: Vec::new(),
    }
}

fn table() -> RoutingTable {
    let mut split = route("split", "b.example", "/");
    split.targets = vec![
        Target {
            service: "large".into(),
            weight: 90,
        },
        Target {
            service: "small".into(),
            weight: 10,
        },
    ];
    split.is_anonymous = true;
    RoutingTable::new(Catalogue {
        version: 1,
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            split,
        ],
        accounts: vec![account("mill", "k1", Some(0)), account("pump", "k2", None)],
        ..Catalogue::default()
    })
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let table = table();
    let name = |path| {
        let found = table
            .find("a.example", path, Some("k1"), 0)
            .expect("a route matches");
        found.route.name.to_string()
    };
    assert_eq!(name("/x/y/z"), "long");
    assert_eq!(name("/x/z"), "short");
    let none = table.find("a.example", "/xy", Some("k1"), 0);
    assert_eq!(none.expect_err("no route matches"), RoutingError::NoRoute);
    let with_port = table.find("A.example:80", "/x/", Some("k1"), 0);
    assert_eq!(&*with_port.expect("a route matches").route.name, "short");
}

#[test]
fn keys_identify_the_account_and_are_required_unless_the_route_is_anonymous() {
    let table = table();
    let found = table
        .find("a.example", "/x/", Some("k2"), 0)
        .expect("a route matches");
    assert_eq!(
        &*found.account.expect("the key identifies an account").name,
        "pump"
    );
    for key in [None, Some("k3")] {
        let refused = table.find("a.example", "/x/", key, 0);
        assert_eq!(
            refused.expect_err("the key is missing or unknown"),
            RoutingError::UnknownKey
        );
    }
    assert!(
        table
            .find("b.example", "/", None, 0)
            .expect("a route matches")
            .account
            .is_none()
    );
}

#[test]
fn weights_split_a_route_among_services() {
    let table = table();
    let small = (0..1_000)
        .filter(|draw| {
            let found = table
                .find("b.example", "/", None, *draw)
                .expect("a route matches");
            &*found.service == "small"
        })
        .count();
    assert_eq!(small, 100);
}

#[test]
fn the_tier_of_the_account_overrides_that_of_the_route() {
    let table = table();
    let tier = |key| {
        table
            .find("a.example", "/x/", Some(key), 0)
            .expect("a route matches")
            .tier()
    };
    assert!(tier("k1") < tier("k2"));
}

fn anonymous_route(prefix: &str) -> Route {
    Route {
        is_anonymous: true,
        ..route(prefix, "a.example", prefix)
    }
}

proptest! {
    #[test]
    fn the_longest_prefix_wins_whatever_its_last_character(
        prefixes in proptest::collection::hash_set("/([ab]{0,2}/?){0,3}", 0..12),
        path in "/([ab]{0,2}/?){0,4}",
    ) {
        let table = RoutingTable::new(Catalogue {
            routes: prefixes.iter().map(|prefix| anonymous_route(prefix)).collect(),
            ..Catalogue::default()
        });
        let expected = prefixes
            .iter()
            .filter(|prefix| path.starts_with(prefix.as_str()))
            .max_by_key(|prefix| prefix.len());
        let found = table.find("a.example", &path, None, 0).ok();
        let found = found.map(|found| found.route.prefix.clone());
        assert_eq!(found.as_ref(), expected);
    }
}
