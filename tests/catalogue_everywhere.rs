//! Guards against lost and conflicting catalogue changes when six operators change the catalogue at the same time.
//!
//! Changes of the same item race through different nodes: exactly one is accepted, and the others are refused with the
//! current version. Changes of different items are all accepted. Every accepted change has to be in force on every node
//! within 7 s, also on a node that restarts meanwhile, and no node may go back to an older version.

mod support;

use {
    futures::future::join_all,
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    support::{CONDITION_TIMEOUT, Site, SiteSettings, wait_for},
};

/// Longest time from the acceptance of a change until it is in force on every node.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(7);
const OPERATORS: usize = 6;

fn account(name: &str, weight: u32) -> Value {
    json!({"id": name, "weight": weight, "key_sha256": format!("{:064x}", name.len())})
}

/// Returns a copy of the document in which the account `name` is added or replaced.
fn with_account(document: &Value, name: &str, weight: u32) -> Value {
    let mut document = document.clone();
    let accounts = document["accounts"].as_array_mut().expect("a list");
    accounts.retain(|account| account["id"] != name);
    accounts.push(account(name, weight));
    document
}

async fn edits(site: &Site, document: &Value) -> (u64, Value) {
    let current = wait_for("the node returns its catalogue", CONDITION_TIMEOUT, || {
        site.nodes[0].admin.catalogue()
    })
    .await
    .0;
    let document = dragonflystep::config::CatalogueDocument::parse(&document.to_string());
    let edits = document
        .expect("the document is valid")
        .edits_against(&current)
        .expect("the document has no faults");
    (
        current.version,
        serde_json::to_value(edits).expect("edits are JSON"),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_the_conflicting_changes_is_accepted_and_the_others_get_the_current_version() {
    let mut site = Site::start(SiteSettings::default()).await;
    let base = site.catalogue();
    let mut changes = Vec::new();
    for operator in 0..OPERATORS {
        changes.push(edits(&site, &with_account(&base, "raced", 1 + operator as u32)).await);
    }
    let sent = changes
        .iter()
        .enumerate()
        .map(|(operator, (based_on, edits))| {
            let node = &site.nodes[operator % site.nodes.len()];
            async move {
                node.admin
                    .change(*based_on, "race", edits)
                    .await
                    .expect("an answer")
            }
        });
    let answers = join_all(sent).await;
    let accepted_at = Instant::now();
    let accepted: Vec<u64> = answers
        .iter()
        .filter(|(status, _)| status.is_success())
        .map(|(_, answer)| answer["version"].as_u64().expect("a version"))
        .collect();
    assert_eq!(accepted.len(), 1, "{answers:?}");
    for (status, answer) in answers.iter().filter(|(status, _)| !status.is_success()) {
        assert_eq!(status.as_u16(), 409, "{answer}");
        assert_eq!(answer["current"].as_u64(), Some(accepted[0]), "{answer}");
        assert_eq!(answer["faults"][0]["fault"], "conflict", "{answer}");
    }
    // A node that restarts meanwhile must have the change in force within the same time.
    site.nodes[2].process.kill();
    site.nodes[2].restart();
    wait_in_force(&site, accepted[0], accepted_at).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_of_different_items_are_all_accepted_and_none_reverts() {
    let site = Site::start(SiteSettings::default()).await;
    let base = site.catalogue();
    let mut changes = Vec::new();
    for operator in 0..OPERATORS {
        let name = format!("account-{operator}");
        let mut change = edits(&site, &with_account(&base, &name, 2)).await;
        let list = change.1.as_array_mut().expect("edits are a list");
        list.retain(|edit| edit.to_string().contains(&name));
        changes.push(change);
    }
    let sent = changes
        .iter()
        .enumerate()
        .map(|(operator, (based_on, edits))| {
            let node = &site.nodes[operator % site.nodes.len()];
            async move {
                node.admin
                    .change(*based_on, "no race", edits)
                    .await
                    .expect("an answer")
            }
        });
    let answers = join_all(sent).await;
    let accepted_at = Instant::now();
    assert!(
        answers.iter().all(|(status, _)| status.is_success()),
        "{answers:?}"
    );
    let versions = answers
        .iter()
        .filter_map(|(_, answer)| answer["version"].as_u64());
    let newest = versions.max().expect("the accepted changes have versions");
    wait_in_force(&site, newest, accepted_at).await;
    for node in &site.nodes {
        let catalogue = node.admin.get("/admin/catalogue").await.expect("a page");
        let text = catalogue.to_string();
        for operator in 0..OPERATORS {
            assert!(
                text.contains(&format!("account-{operator}")),
                "{} lost the change of operator {operator}",
                node.name
            );
        }
    }
}

/// Waits until every node has at least `version` in force. Fails if a node goes back to an older version.
async fn wait_in_force(site: &Site, version: u64, accepted_at: Instant) {
    for node in &site.nodes {
        let mut newest = 0;
        wait_for(
            "the node returns its catalogue version",
            CONDITION_TIMEOUT,
            || node.admin.version(),
        )
        .await;
        loop {
            let seen = node.admin.version().await.unwrap_or(newest);
            assert!(
                seen >= newest,
                "{} went back from version {newest} to {seen}",
                node.name
            );
            newest = seen;
            if seen >= version {
                break;
            }
            assert!(
                accepted_at.elapsed() <= IN_FORCE_WITHIN,
                "{} still has version {seen}, not {version}, after {IN_FORCE_WITHIN:?}",
                node.name
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(
            accepted_at.elapsed() <= IN_FORCE_WITHIN,
            "{} needed more than {IN_FORCE_WITHIN:?} for version {version}",
            node.name
        );
    }
}
