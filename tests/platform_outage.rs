//! Guards against a platform outage that stops idempotent work or lets an order run twice.
//!
//! In a 9 s outage, idempotent requests must go on with a goodput of at least 98 %. Orders, which are not idempotent,
//! must be refused within 2 s with the code `store_unavailable` and must not run. When the platform loses 30 % of its
//! answers to writes, orders must run at most once.

mod support;

use {
    dragonflystep::fakes::caller::RequestOutcome,
    reqwest::Client,
    serde_json::json,
    std::time::{Duration, Instant},
    support::{
        CONDITION_TIMEOUT, Site, SiteSettings, order_request, records_of, send_request, traffic,
        wait_for,
    },
    tokio::time::sleep,
};

/// Duration of the outage: longer than a lease, and longer than a node trusts its catalogue without a confirmation.
const OUTAGE: Duration = Duration::from_secs(9);
/// Uptime of the nodes when the outage begins.
const UPTIME_BEFORE_OUTAGE: Duration = Duration::from_secs(15);
/// Longest time in which an order must be refused.
const REFUSED_WITHIN: Duration = Duration::from_secs(2);
const LEAST_GOODPUT: f64 = 0.98;

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_work_goes_on_and_orders_are_refused_at_once_while_the_platform_is_out() {
    let site = Site::start(SiteSettings::default()).await;
    // A node that has just started confirms no catalogue version to other nodes, see `catalogue_sync::quorum`.
    sleep(UPTIME_BEFORE_OUTAGE).await;
    let mut lookups = traffic(5, 480, 40.0);
    lookups.order_share = 0.0;
    let caller = site.caller(lookups);
    let running = tokio::spawn(async move { caller.run().await });
    sleep(Duration::from_secs(1)).await;
    site.platform
        .control
        .command("/faults", &json!({"down": true}))
        .await;
    let client = Client::builder().no_proxy().build().expect("a client");
    let down_at = Instant::now();
    let mut orders = Vec::new();
    while down_at.elapsed() < OUTAGE {
        let node = &site.nodes[orders.len() % site.nodes.len()];
        let body = format!("an order in the outage, {}", orders.len());
        let asked_at = Instant::now();
        let answer = send_request(order_request(
            &client,
            node.caller_address,
            &body.replace([' ', ','], "-"),
            &body,
        ))
        .await;
        orders.push((body, answer, asked_at.elapsed()));
        sleep(Duration::from_millis(300)).await;
    }
    site.platform
        .control
        .command("/faults", &json!({"clear": true}))
        .await;
    let report = running.await.expect("the caller does not panic");

    let records = records_of(&site).await;
    for (body, answer, took) in &orders {
        let answer = answer.as_ref().expect("the connection does not break");
        let refusal = answer
            .refusal()
            .unwrap_or_else(|| panic!("no refusal: {answer:?}"));
        let actual = (refusal.code.as_str(), refusal.ran.as_str());
        let expected = ("store_unavailable", "no");
        assert_eq!(actual, expected, "{body} after {took:?}: {refusal:?}");
        assert!(*took <= REFUSED_WITHIN, "refused after {took:?}");
        let runs: u32 = records
            .services
            .iter()
            .map(|service| service.runs_of(body.as_bytes()))
            .sum();
        assert_eq!(runs, 0, "{body} ran");
    }
    let in_time = report
        .results
        .iter()
        .filter(|result| result.in_time)
        .count();
    let goodput = in_time as f64 / report.results.len() as f64;
    assert!(
        goodput >= LEAST_GOODPUT,
        "goodput {goodput}: {:?}",
        support::incomplete(&report)
    );
    records.assert_guarantees(&report);
    records.assert_limits(site.settings.running_requests);
    wait_for("an order succeeds again", CONDITION_TIMEOUT, || async {
        let key = format!("after-{}", support::unix_ms());
        let answer = send_request(order_request(
            &client,
            site.nodes[0].caller_address,
            &key,
            &key,
        ))
        .await?;
        answer.status.is_success().then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_run_at_most_once_while_answers_of_the_platform_are_lost() {
    let site = Site::start(SiteSettings::default()).await;
    let lose = json!({"lose_answers": {"share": 0.3, "seed": 6}});
    site.platform.control.command("/faults", &lose).await;
    let mut orders = traffic(6, 300, 30.0);
    orders.order_share = 0.8;
    let report = site.caller(orders).run().await;
    let records = records_of(&site).await;
    records.assert_guarantees(&report);
    let most = records
        .services
        .iter()
        .map(|service| service.most_runs())
        .max();
    assert!(most <= Some(1), "an order ran {most:?} times");
    let ran = report.results.iter().filter(|result| !result.idempotent);
    let complete = ran
        .filter(|result| result.outcome == RequestOutcome::Complete)
        .count();
    assert!(
        complete > 100,
        "only {complete} orders were answered completely"
    );
}
