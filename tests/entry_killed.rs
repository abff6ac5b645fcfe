//! Guards against a killed node that loses more than its open requests, or causes a second run.
//!
//! The test kills one of three nodes 3 s into traffic of 50 requests per second. Only requests that were open at the
//! killed node may fail, and no request may run twice.

mod support;

use {
    std::time::{Duration, Instant},
    support::{Site, SiteSettings, incomplete, records_of, traffic},
    tokio::time::sleep,
};

const KILLED_AFTER: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn only_the_open_requests_of_the_killed_entry_are_lost() {
    let mut site = Site::start(SiteSettings::default()).await;
    let killed = site.nodes[1].caller_address.to_string();
    let caller = site.caller(traffic(2, 400, 50.0));
    let began = Instant::now();
    let running = tokio::spawn(async move { caller.run().await });
    sleep(KILLED_AFTER).await;
    site.nodes[1].process.kill();
    let killed_at = began.elapsed();
    let report = running.await.expect("the caller does not panic");

    let plan = dragonflystep::fakes::caller::plan(&traffic(2, 400, 50.0));
    for result in incomplete(&report) {
        let sent_at = plan[result.number as usize].at;
        assert_eq!(result.entry.as_ref(), Some(&killed), "{result:?}");
        assert!(sent_at <= killed_at, "sent after the kill: {result:?}");
        let ended_at = sent_at + Duration::from_millis(result.total_ms);
        assert!(
            ended_at + Duration::from_millis(500) >= killed_at,
            "ended before the kill: {result:?}"
        );
    }
    let after_the_kill = plan.iter().filter(|request| request.at > killed_at).count();
    assert!(
        after_the_kill > 100,
        "only {after_the_kill} requests were sent after the kill"
    );
    let records = records_of(&site).await;
    records.assert_guarantees(&report);
    records.assert_limits(site.settings.running_requests);
}
