//! Routes by host and longest prefix, keys by account, services by weight, ranks by account and route.

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
    }
}

fn account(name: &str, key: &str, tier: Option<u8>) -> Account {
    Account {
        name: name.into(),
        keys: vec![key.to_owned()],
        tier,
        quota: None,
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
fn the_longest_prefix_of_the_host_decides() {
    let table = table();
    let name = |path| {
        let found = table
            .find("a.example", path, Some("k1"), 0)
            .expect("a route");
        found.route.name.to_string()
    };
    assert_eq!(name("/x/y/z"), "long");
    assert_eq!(name("/x/z"), "short");
    let none = table.find("a.example", "/xy", Some("k1"), 0);
    assert_eq!(none.expect_err("no route"), RoutingError::NoRoute);
    let port = table.find("A.example:80", "/x/", Some("k1"), 0);
    assert_eq!(&*port.expect("a route").route.name, "short");
}

#[test]
fn keys_decide_the_account_and_are_needed_where_a_route_says_so() {
    let table = table();
    let found = table
        .find("a.example", "/x/", Some("k2"), 0)
        .expect("a route");
    assert_eq!(&*found.account.expect("an account").name, "pump");
    for key in [None, Some("k3")] {
        let refused = table.find("a.example", "/x/", key, 0);
        assert_eq!(refused.expect_err("no key"), RoutingError::UnknownKey);
    }
    assert!(
        table
            .find("b.example", "/", None, 0)
            .expect("a route")
            .account
            .is_none()
    );
}

#[test]
fn weights_share_a_route_among_services() {
    let table = table();
    let small = (0..1_000)
        .filter(|draw| {
            let found = table.find("b.example", "/", None, *draw).expect("a route");
            &*found.service == "small"
        })
        .count();
    assert_eq!(small, 100);
}

#[test]
fn the_rank_of_the_account_goes_before_that_of_the_route() {
    let table = table();
    let tier = |key| {
        table
            .find("a.example", "/x/", Some(key), 0)
            .expect("a route")
            .tier()
    };
    assert!(tier("k1") < tier("k2"));
}

fn route_of(prefix: &str) -> Route {
    Route {
        is_anonymous: true,
        ..route(prefix, "a.example", prefix)
    }
}

proptest! {
    #[test]
    fn the_longest_prefix_wins_whatever_its_last_letter(
        prefixes in proptest::collection::hash_set("/([ab]{0,2}/?){0,3}", 0..12),
        path in "/([ab]{0,2}/?){0,4}",
    ) {
        let table = RoutingTable::new(Catalogue {
            routes: prefixes.iter().map(|prefix| route_of(prefix)).collect(),
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
