//! Guards against separate processes that don't work together end to end, and against nodes that fail without a reason.
//!
//! Mixed traffic through two nodes must be answered completely. A node must name each fault of its settings and a port
//! that is in use, and must start while the platform is down, report that, and serve once the platform is back.

mod support;

use {
    reqwest::Client,
    std::{fs, time::Duration},
    support::{
        CONDITION_TIMEOUT, Process, Site, SiteSettings, order_request, prompt_request, records_of,
        send_request, traffic, wait_for,
    },
};

fn small_site() -> SiteSettings {
    SiteSettings {
        nodes: 2,
        engines: 2,
        services: 1,
        ..SiteSettings::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn separate_processes_answer_traffic_of_both_kinds_completely() {
    let site = Site::start(small_site()).await;
    let report = site.caller(traffic(1, 120, 40.0)).run().await;
    let incomplete = support::incomplete(&report);
    assert!(incomplete.is_empty(), "{incomplete:?}");
    let records = records_of(&site).await;
    records.assert_guarantees(&report);
    records.assert_limits(site.settings.running_requests);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_settings_file_ends_the_start_with_code_2_and_names_each_path() {
    let directory = tempfile::TempDir::new().expect("a directory for temporary files");
    let path = directory.path().join("bad.json");
    fs::write(&path, r#"{"node":"Entry 1","colour":"red"}"#)
        .expect("the test directory is writable");
    let log = directory.path().join("bad.log");
    let settings = path
        .to_str()
        .expect("the path of a temporary file is valid UTF-8");
    let mut process = Process::start(&["node", "--settings", settings], &log);
    let status = process.wait_for_exit(CONDITION_TIMEOUT).await;
    assert_eq!(status.code(), Some(2));
    let stderr = process.stderr();
    for part in [settings, "node", "colour", "caller_address", "platform"] {
        assert!(stderr.contains(part), "{part:?} is missing in {stderr}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_port_in_use_is_named_and_ends_the_start() {
    let site = Site::start_without_catalogue(small_site()).await;
    let node = &site.nodes[0];
    wait_for(
        "the first node listens on its ports",
        CONDITION_TIMEOUT,
        || node.admin.get("/health"),
    )
    .await;
    let settings = node
        .settings_path()
        .to_str()
        .expect("the path of a temporary file is valid UTF-8");
    let log = site.directory.path().join("second.log");
    let mut second = Process::start(&["node", "--settings", settings], &log);
    let status = second.wait_for_exit(CONDITION_TIMEOUT).await;
    assert_eq!(status.code(), Some(1));
    let stderr = second.stderr();
    let address = node.caller_address.to_string();
    assert!(stderr.contains("caller_address"), "{stderr}");
    assert!(stderr.contains(&address), "{stderr}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_starts_while_the_platform_is_down_and_serves_once_it_is_back() {
    let mut site = Site::start(small_site()).await;
    let client = Client::builder().no_proxy().build().expect("a client");
    site.platform
        .control
        .command("/faults", &serde_json::json!({"down": true}))
        .await;
    for node in &mut site.nodes {
        node.process.kill();
        node.restart();
    }
    let entry = site.nodes[0].caller_address;
    wait_for(
        "the node refuses an order that did not run",
        CONDITION_TIMEOUT,
        || {
            let order = order_request(&client, entry, "early-order", "an early order");
            async {
                let refusal = send_request(order).await?.refusal()?;
                assert_eq!(refusal.ran, "no");
                Some(())
            }
        },
    )
    .await;
    let node = &site.nodes[0];
    wait_for(
        "the node's log names the platform",
        CONDITION_TIMEOUT,
        || async {
            node.process
                .stderr()
                .to_lowercase()
                .contains("platform")
                .then_some(())
        },
    )
    .await;
    site.platform
        .control
        .command("/faults", &serde_json::json!({"clear": true}))
        .await;
    let mut attempt = 0;
    wait_for(
        "a prompt is answered completely",
        Duration::from_secs(20),
        || {
            attempt += 1;
            let key = format!("late-{attempt}");
            let prompt = prompt_request(&client, entry, &key, &key, 5);
            async { send_request(prompt).await?.is_whole_stream().then_some(()) }
        },
    )
    .await;
    let records = records_of(&site).await;
    assert_eq!(records.services[0].runs_of(b"an early order"), 0);
}
