//! Guards against planned stops that cut off requests or leave groups without a holder.
//!
//! The tests send `SIGTERM` to nodes under traffic of 40 requests per second: to one node, and to all nodes in turn
//! with a restart of each. The process has to exit with code 0, and every request has to get its complete answer.

mod support;

use {
    rustix::process::Signal,
    std::time::Duration,
    support::{CONDITION_TIMEOUT, Site, SiteSettings, records_of, traffic, wait_for},
    tokio::time::sleep,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_cuts_off_no_request_and_hands_its_groups_over() {
    let mut site = Site::start(SiteSettings::default()).await;
    let (stopped, _) = site
        .holder(0, "assistant-a-1")
        .await
        .expect("the group is held");
    let asked = (stopped + 1) % site.nodes.len();
    let caller = site.caller(traffic(7, 320, 40.0));
    let running = tokio::spawn(async move { caller.run().await });
    sleep(Duration::from_secs(2)).await;
    site.nodes[stopped].process.signal(Signal::TERM);
    let status = site.nodes[stopped]
        .process
        .wait_for_exit(CONDITION_TIMEOUT)
        .await;
    assert_eq!(
        status.code(),
        Some(0),
        "{}",
        site.nodes[stopped].process.stderr()
    );
    wait_for(
        "the other nodes hold all groups",
        CONDITION_TIMEOUT,
        || async {
            let holders = site.nodes[asked].admin.holders().await;
            let name = &site.nodes[stopped].name;
            let others =
                |holder: &Option<String>| holder.as_ref().is_some_and(|holder| holder != name);
            (!holders.is_empty() && holders.iter().all(|(_, holder, _)| others(holder)))
                .then_some(())
        },
    )
    .await;
    let report = running.await.expect("the caller does not panic");
    let records = records_of(&site).await;
    records.assert_complete(&report);
    records.assert_guarantees(&report);
    records.assert_limits(site.settings.running_requests);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_node_is_replaced_one_after_the_other_under_traffic() {
    let mut site = Site::start(SiteSettings::default()).await;
    let caller = site.caller(traffic(8, 600, 40.0));
    let running = tokio::spawn(async move { caller.run().await });
    for index in 0..site.nodes.len() {
        sleep(Duration::from_secs(1)).await;
        let node = &mut site.nodes[index];
        node.process.signal(Signal::TERM);
        let status = node.process.wait_for_exit(CONDITION_TIMEOUT).await;
        assert_eq!(status.code(), Some(0), "{}", node.process.stderr());
        node.restart();
        site.wait_until_ready().await;
    }
    let report = running.await.expect("the caller does not panic");
    let records = records_of(&site).await;
    records.assert_complete(&report);
    records.assert_guarantees(&report);
    records.assert_limits(site.settings.running_requests);
}
