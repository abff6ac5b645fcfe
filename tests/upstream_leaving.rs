//! Guards against new dispatches to an upstream that is leaving, and against requests that it cuts off.
//!
//! Under traffic, the catalogue or the platform's VM list announces that one engine leaves. Later than 4 s after that,
//! the engine may get no dispatch; every request has to be answered completely, also those that the engine was running.

mod support;

use {
    dragonflystep::fakes::engine::DispatchOutcome,
    serde_json::json,
    std::time::Duration,
    support::{Site, SiteSettings, incomplete, records_of, traffic, unix_ms},
    tokio::time::sleep,
};

/// Longest time from the announcement until the last dispatch to the leaving engine.
const LAST_DISPATCH_WITHIN_MS: u64 = 4_000;
const LEAVING: usize = 1;
const ANNOUNCED_AFTER: Duration = Duration::from_secs(2);

/// Where the leaving of an upstream is announced.
enum Announcement {
    Catalogue,
    VmList,
}

async fn assert_leaves_under_traffic(announcement: &Announcement) {
    let site = Site::start(SiteSettings::default()).await;
    let mut settings = traffic(9, 480, 40.0);
    // Long answers, so that some are running when the engine starts to leave.
    settings.output_tokens = 50..=300;
    let caller = site.caller(settings);
    let running = tokio::spawn(async move { caller.run().await });
    sleep(ANNOUNCED_AFTER).await;
    let announced_ms = unix_ms();
    match announcement {
        Announcement::Catalogue => {
            let mut document = site.catalogue();
            document["upstreams"][LEAVING]["state"] = json!("leaving");
            site.nodes[0].admin.apply(&document).await;
        }
        Announcement::VmList => {
            let vms = json!({"live": [], "leaving": [format!("vm-engine-{LEAVING}")]});
            site.platform.control.command("/vms", &vms).await;
        }
    }
    let report = running.await.expect("the caller does not panic");
    assert!(incomplete(&report).is_empty(), "{:?}", incomplete(&report));
    let records = records_of(&site).await;
    records.assert_guarantees(&report);
    records.assert_limits(site.settings.running_requests);
    let leaving = &records.engines[LEAVING];
    let before = leaving
        .dispatches
        .iter()
        .filter(|dispatch| dispatch.arrived_unix_ms < announced_ms);
    assert!(
        before.count() > 5,
        "the engine got too few requests before the announcement"
    );
    let last_ms = leaving
        .dispatches
        .iter()
        .map(|dispatch| dispatch.arrived_unix_ms)
        .max();
    let late_ms = last_ms.unwrap_or_default().saturating_sub(announced_ms);
    assert!(
        late_ms <= LAST_DISPATCH_WITHIN_MS,
        "the last dispatch came {late_ms} ms after the announcement"
    );
    assert_eq!(
        leaving.count(DispatchOutcome::Finished),
        leaving.dispatches.len()
    );
    let others = records.engines[0].dispatches.iter();
    let after =
        others.filter(|dispatch| dispatch.arrived_unix_ms > announced_ms + LAST_DISPATCH_WITHIN_MS);
    assert!(
        after.count() > 5,
        "another engine got too few requests afterwards"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_marked_leaving_in_the_catalogue_gets_no_new_requests() {
    assert_leaves_under_traffic(&Announcement::Catalogue).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_whose_vm_leaves_gets_no_new_requests() {
    assert_leaves_under_traffic(&Announcement::VmList).await;
}
