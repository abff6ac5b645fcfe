//! Guards against violations of the guarantees that occur only when two failures overlap.
//!
//! Each test runs a system of separate processes under traffic of 30 requests per second and combines two failures,
//! such as a platform outage and a killed broker. No order may run twice, only nodes that were killed or frozen may
//! leave requests without a final answer, and after the failures every node must answer again within 60 s.

mod support;

use {
    dragonflystep::fakes::caller::CallerReport,
    futures::future::join_all,
    reqwest::Client,
    rustix::process::Signal,
    serde_json::{Value, json},
    std::{collections::BTreeSet, time::Duration},
    support::{
        CONDITION_TIMEOUT, Site, SiteSettings, order_request, prompt_request, records_of,
        send_request, traffic, unix_ms, wait_for,
    },
    tokio::{task::JoinHandle, time::sleep},
};

const GROUP: &str = "assistant-a-1";
/// Time of undisturbed traffic before the first failure.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Uptime of the nodes before an outage. A node that has just started may not confirm its catalogue version to others.
const UPTIME_BEFORE_OUTAGE: Duration = Duration::from_secs(12);
/// Duration of an outage; longer than a lease.
const OUTAGE: Duration = Duration::from_secs(5);
const RECOVERS_WITHIN: Duration = Duration::from_secs(60);
const REQUESTS_PER_S: f64 = 30.0;
/// Time for the other nodes to detect that a node does not answer.
const DETECTION_TIME: Duration = Duration::from_secs(4);
/// Duration of an outage that outlasts the deadlines of the requests that wait for its end.
const LONG_OUTAGE: Duration = Duration::from_secs(14);
const SHORT_DEADLINE: Duration = Duration::from_secs(4);
/// Least share of prompts answered in time. Half of the engines belong to a group whose broker is running.
const LEAST_IN_TIME_SHARE: f64 = 0.5;

/// Starts mixed traffic that lasts about 20 s.
fn start_traffic(site: &Site, seed: u64) -> JoinHandle<CallerReport> {
    let caller = site.caller(traffic(seed, 600, REQUESTS_PER_S));
    tokio::spawn(async move { caller.run().await })
}

async fn inject_platform_fault(site: &Site, fault: &Value) {
    site.platform.control.command("/faults", fault).await;
}

async fn inject_engine_fault(site: &Site, index: usize, fault: &Value) {
    site.engines[index].control.command("/faults", fault).await;
}

async fn holder(site: &Site) -> usize {
    let (holder, _) = site.holder(0, GROUP).await.expect("the group is held");
    holder
}

/// Waits until every node answers a prompt completely and an order successfully.
async fn wait_until_recovered(site: &Site) {
    let client = Client::builder().no_proxy().build().expect("a client");
    wait_for(
        "every node answers a prompt and an order",
        RECOVERS_WITHIN,
        || async {
            let asked = site.nodes.iter().map(|node| {
                let key = format!("well-{}-{}", node.name, unix_ms());
                let prompt = prompt_request(&client, node.caller_address, &key, &key, 3);
                let order_key = format!("{key}-order");
                let order = order_request(&client, node.caller_address, &order_key, &order_key);
                async move {
                    let prompt = send_request(prompt).await?;
                    let order = send_request(order).await?;
                    let succeeded = prompt.is_whole_stream() && order.status.is_success();
                    succeeded.then_some(())
                }
            });
            join_all(asked).await.into_iter().collect::<Option<()>>()
        },
    )
    .await;
}

/// Waits for the end of the traffic and checks guarantees, limits and orders. Only the nodes with the indices in
/// `affected` may leave requests without a final answer.
async fn assert_sound(
    site: &Site,
    running: JoinHandle<CallerReport>,
    affected: &[usize],
) -> CallerReport {
    let report = running.await.expect("the caller does not panic");
    let records = records_of(site).await;
    records.assert_guarantees(&report);
    records.assert_limits(site.settings.running_requests);
    let orders = records.services.iter().map(|service| service.most_runs());
    assert!(orders.max() <= Some(1), "an order ran twice");
    let affected: Vec<String> = affected
        .iter()
        .map(|index| site.nodes[*index].caller_address.to_string())
        .collect();
    for result in support::without_final_answer(&report) {
        let entry = result.entry.as_ref();
        assert!(
            entry.is_some_and(|entry| affected.contains(entry)),
            "{result:?}"
        );
    }
    report
}

/// Like `assert_sound`, and also requires that more than half of the requests were answered completely.
async fn assert_mostly_whole(
    site: &Site,
    running: JoinHandle<CallerReport>,
    affected: &[usize],
) -> CallerReport {
    let report = assert_sound(site, running, affected).await;
    let complete = report.results.len() - support::incomplete(&report).len();
    assert!(
        complete * 2 > report.results.len(),
        "only {complete} of {} requests were answered completely",
        report.results.len()
    );
    report
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platform_is_out_while_a_broker_is_killed() {
    let mut site = Site::start(SiteSettings::default()).await;
    sleep(UPTIME_BEFORE_OUTAGE).await;
    let broker = holder(&site).await;
    let running = start_traffic(&site, 31);
    sleep(QUIET_TIME).await;
    inject_platform_fault(&site, &json!({"down": true})).await;
    sleep(Duration::from_secs(1)).await;
    site.nodes[broker].process.kill();
    sleep(OUTAGE).await;
    inject_platform_fault(&site, &json!({"clear": true})).await;
    site.nodes[broker].restart();
    wait_until_recovered(&site).await;
    assert_mostly_whole(&site, running, &[broker]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platform_is_out_while_an_entry_is_frozen_and_resumes() {
    let site = Site::start(SiteSettings::default()).await;
    sleep(UPTIME_BEFORE_OUTAGE).await;
    let frozen = holder(&site).await;
    let running = start_traffic(&site, 32);
    sleep(QUIET_TIME).await;
    site.nodes[frozen].process.signal(Signal::STOP);
    inject_platform_fault(&site, &json!({"down": true})).await;
    sleep(OUTAGE).await;
    site.nodes[frozen].process.signal(Signal::CONT);
    sleep(Duration::from_secs(2)).await;
    inject_platform_fault(&site, &json!({"clear": true})).await;
    wait_until_recovered(&site).await;
    assert_mostly_whole(&site, running, &[frozen]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broker_is_killed_while_an_engine_straggles() {
    let mut site = Site::start(SiteSettings::default()).await;
    let broker = holder(&site).await;
    let running = start_traffic(&site, 33);
    sleep(QUIET_TIME).await;
    inject_engine_fault(&site, 0, &json!({"fault": "slow", "factor": 20.0})).await;
    sleep(Duration::from_secs(1)).await;
    site.nodes[broker].process.kill();
    sleep(OUTAGE).await;
    site.nodes[broker].restart();
    sleep(QUIET_TIME).await;
    inject_engine_fault(&site, 0, &json!({"fault": "clear"})).await;
    wait_until_recovered(&site).await;
    assert_mostly_whole(&site, running, &[broker]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_to_writes_are_lost_while_the_catalogue_changes_and_a_node_is_replaced() {
    let mut site = Site::start(SiteSettings::default()).await;
    let running = start_traffic(&site, 34);
    sleep(QUIET_TIME).await;
    let lose = json!({"lose_answers": {"share": 0.3, "seed": 34}});
    inject_platform_fault(&site, &lose).await;
    let replaced = holder(&site).await;
    let asked = (replaced + 1) % site.nodes.len();
    site.nodes[replaced].process.signal(Signal::TERM);
    let mut document = site.catalogue();
    document["upstreams"][3]["state"] = json!("leaving");
    let version = site.nodes[asked].admin.apply(&document).await;
    let status = site.nodes[replaced]
        .process
        .wait_for_exit(CONDITION_TIMEOUT)
        .await;
    let errors = site.nodes[replaced].process.stderr();
    assert_eq!(status.code(), Some(0), "{errors}");
    site.nodes[replaced].restart();
    for node in &site.nodes {
        wait_for(
            "every node has the accepted version in force",
            CONDITION_TIMEOUT,
            || async { (node.admin.version().await? >= version).then_some(()) },
        )
        .await;
    }
    inject_platform_fault(&site, &json!({"clear": true})).await;
    wait_until_recovered(&site).await;
    let before = records_of(&site).await.engines[3].dispatches.len();
    assert_mostly_whole(&site, running, &[]).await;
    let after = records_of(&site).await.engines[3].dispatches.len();
    assert_eq!(before, after, "the leaving engine got new requests");
    for node in &site.nodes {
        let seen = node.admin.version().await;
        assert!(
            seen >= Some(version),
            "{} went back to version {seen:?}",
            node.name
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_are_cut_while_a_node_stops_as_planned() {
    let mut site = Site::start(SiteSettings::default()).await;
    let stopped = holder(&site).await;
    let running = start_traffic(&site, 35);
    sleep(QUIET_TIME).await;
    for index in 0..site.engines.len() {
        inject_engine_fault(&site, index, &json!({"fault": "close_after", "tokens": 5})).await;
    }
    site.nodes[stopped].process.signal(Signal::TERM);
    let status = site.nodes[stopped]
        .process
        .wait_for_exit(CONDITION_TIMEOUT)
        .await;
    let errors = site.nodes[stopped].process.stderr();
    assert_eq!(status.code(), Some(0), "{errors}");
    site.nodes[stopped].restart();
    wait_until_recovered(&site).await;
    let resumed: u64 = records_of(&site)
        .await
        .engines
        .iter()
        .map(|engine| u64::from(engine.resumed > 0))
        .sum();
    assert!(resumed > 0, "no stream was cut off and resumed");
    let report = assert_mostly_whole(&site, running, &[]).await;
    records_of(&site).await.assert_complete(&report);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_of_a_data_centre_are_killed_at_once() {
    let settings = SiteSettings {
        nodes: 6,
        data_centres: 3,
        ..SiteSettings::default()
    };
    let mut site = Site::start(settings).await;
    let lost = site.data_centre_of(holder(&site).await);
    let affected: Vec<usize> = (0..site.nodes.len())
        .filter(|index| site.data_centre_of(*index) == lost)
        .collect();
    let running = start_traffic(&site, 36);
    sleep(QUIET_TIME).await;
    for index in &affected {
        site.nodes[*index].process.kill();
    }
    let asked = (0..site.nodes.len()).find(|index| !affected.contains(index));
    let asked = asked.expect("other data centres have nodes");
    let killed: BTreeSet<usize> = affected.iter().copied().collect();
    wait_for(
        "a running node holds the group",
        RECOVERS_WITHIN,
        || async {
            let (holder, _) = site.holder(asked, GROUP).await?;
            (!killed.contains(&holder)).then_some(())
        },
    )
    .await;
    for index in &affected {
        site.nodes[*index].restart();
    }
    wait_until_recovered(&site).await;
    assert_mostly_whole(&site, running, &affected).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_are_answered_while_the_platform_is_out_and_one_broker_does_not_answer() {
    let site = Site::start(SiteSettings::default()).await;
    sleep(UPTIME_BEFORE_OUTAGE).await;
    let (frozen, _) = wait_for(
        "the two groups have different holders",
        CONDITION_TIMEOUT,
        || async {
            let (first, _) = site.holder(0, GROUP).await?;
            let (second, _) = site.holder(0, "assistant-a-2").await?;
            (first != second).then_some(first)
        },
    )
    .await;
    let mut prompts = traffic(37, 540, REQUESTS_PER_S);
    prompts.stock_share = 0.0;
    prompts.order_share = 0.0;
    for tier in &mut prompts.tiers {
        tier.deadline = SHORT_DEADLINE;
    }
    let plan = dragonflystep::fakes::caller::plan(&prompts);
    let caller = site.caller(prompts);
    let running = tokio::spawn(async move { caller.run().await });
    sleep(QUIET_TIME).await;
    inject_platform_fault(&site, &json!({"down": true})).await;
    site.nodes[frozen].process.signal(Signal::STOP);
    sleep(LONG_OUTAGE).await;
    site.nodes[frozen].process.signal(Signal::CONT);
    inject_platform_fault(&site, &json!({"clear": true})).await;
    let report = assert_sound(&site, running, &[frozen]).await;
    let address = site.nodes[frozen].caller_address.to_string();
    let span = QUIET_TIME + DETECTION_TIME..QUIET_TIME + LONG_OUTAGE - SHORT_DEADLINE;
    let in_span: Vec<_> = report
        .results
        .iter()
        .filter(|result| span.contains(&plan[result.number as usize].at))
        .filter(|result| result.entry.as_ref() != Some(&address))
        .collect();
    let in_time = in_span.iter().filter(|result| result.in_time).count();
    let share = in_time as f64 / in_span.len() as f64;
    assert!(
        share >= LEAST_IN_TIME_SHARE,
        "{in_time} of {} prompts through the other entries were answered in time",
        in_span.len()
    );
}
