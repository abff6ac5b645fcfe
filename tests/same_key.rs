//! Guards against a second dispatch of a request that reaches several nodes with the same idempotency key.
//!
//! The tests send the same order or prompt through all nodes at once, and repeat an order that was refused in a
//! platform outage. They also kill a node 5, 60, 200 or 700 ms after it was sent an order, and repeat the order through
//! the other nodes. Each order or prompt must run at most once.

mod support;

use {
    futures::future::join_all,
    reqwest::Client,
    serde_json::json,
    std::time::{Duration, Instant},
    support::{
        Answer, CONDITION_TIMEOUT, Records, Site, SiteSettings, order_request, prompt_request,
        records_of, send_request, wait_for,
    },
    tokio::time::sleep,
};

fn client() -> Client {
    Client::builder()
        .no_proxy()
        .build()
        .expect("a client without TLS")
}

fn runs_of(records: &Records, body: &str) -> u32 {
    let runs = records
        .services
        .iter()
        .map(|service| service.runs_of(body.as_bytes()));
    runs.sum()
}

async fn order(site: &Site, index: usize, key: &str) -> Option<Answer> {
    let entry = site.nodes[index].caller_address;
    send_request(order_request(
        &client(),
        entry,
        key,
        &format!("order {key}"),
    ))
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_of_one_key_through_all_entries_at_once_run_once() {
    let site = Site::start(SiteSettings::default()).await;
    for round in 0..10 {
        let key = format!("at-once-{round}");
        let sent = (0..site.nodes.len()).map(|index| order(&site, index, &key));
        let answers: Vec<Answer> = join_all(sent).await.into_iter().flatten().collect();
        assert_eq!(answers.len(), site.nodes.len(), "not every node answered");
        let complete = answers.iter().filter(|answer| answer.status.is_success());
        assert_eq!(complete.count(), 1, "{answers:?}");
        for answer in answers.iter().filter(|answer| !answer.status.is_success()) {
            let refusal = answer.refusal().expect("a refusal");
            let is_expected = ["in_progress", "already_ran"].contains(&refusal.code.as_str());
            assert!(is_expected, "{refusal:?}");
        }
        let again = order(&site, round % site.nodes.len(), &key)
            .await
            .expect("an answer");
        assert_eq!(
            again.refusal().map(|refusal| refusal.code).as_deref(),
            Some("already_ran")
        );
        assert_eq!(
            runs_of(&records_of(&site).await, &format!("order {key}")),
            1
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_of_one_key_through_all_entries_at_once_are_dispatched_once() {
    let site = Site::start(SiteSettings::default()).await;
    for round in 0..10 {
        let key = format!("prompt-{round}");
        let client = client();
        let sent = site
            .nodes
            .iter()
            .map(|node| send_request(prompt_request(&client, node.caller_address, &key, &key, 40)));
        let answers: Vec<Answer> = join_all(sent).await.into_iter().flatten().collect();
        let whole = answers.iter().filter(|answer| answer.is_whole_stream());
        assert_eq!(whole.count(), 1, "{answers:?}");
    }
    let records = records_of(&site).await;
    let dispatches: usize = records
        .engines
        .iter()
        .map(|engine| engine.dispatches.len())
        .sum();
    assert_eq!(dispatches, 10);
}

/// Sends an order again, alternately through the second and the third node, until one runs it or answers `already_ran`.
async fn send_until_final(site: &Site, key: &str) -> Vec<Answer> {
    let began = Instant::now();
    let mut answers = Vec::new();
    loop {
        assert!(
            began.elapsed() < CONDITION_TIMEOUT,
            "no final answer: {answers:?}"
        );
        let answer = order(site, 1 + answers.len() % 2, key).await;
        let answer = answer.expect("the other nodes answer");
        let refusal = answer.refusal();
        answers.push(answer);
        if refusal.is_none_or(|refusal| refusal.code == "already_ran") {
            return answers;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_is_sent_again_after_its_entry_was_killed_runs_at_most_once() {
    for (kill_after_ms, latency_ms) in [(5, 400), (60, 400), (200, 400), (700, 400)] {
        let mut site = Site::start(SiteSettings {
            latency_ms,
            ..SiteSettings::default()
        })
        .await;
        let key = format!("killed-after-{kill_after_ms}");
        let body = format!("order {key}");
        let entry = site.nodes[0].caller_address;
        let first = tokio::spawn(send_request(order_request(&client(), entry, &key, &body)));
        sleep(Duration::from_millis(kill_after_ms)).await;
        site.nodes[0].process.kill();
        let first = first.await.expect("sending the request does not panic");
        let answers = send_until_final(&site, &key).await;
        let runs = runs_of(&records_of(&site).await, &body);
        assert!(
            runs <= 1,
            "the order ran {runs} times: {first:?} {answers:?}"
        );
        let complete = first.iter().chain(&answers);
        let complete = complete.filter(|answer| answer.status.is_success()).count();
        assert!(
            complete <= 1,
            "the order was answered with success {complete} times"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_order_that_did_not_run_can_be_sent_again_and_runs_once() {
    let site = Site::start(SiteSettings::default()).await;
    site.platform
        .control
        .command("/faults", &json!({"down": true}))
        .await;
    let refusal = wait_for("the node refuses the order", CONDITION_TIMEOUT, || async {
        order(&site, 0, "again").await?.refusal()
    })
    .await
    .0;
    assert_eq!(refusal.ran, "no", "{refusal:?}");
    site.platform
        .control
        .command("/faults", &json!({"clear": true}))
        .await;
    wait_for("the order succeeds", CONDITION_TIMEOUT, || async {
        let answer = order(&site, 1, "again").await?;
        answer.status.is_success().then_some(())
    })
    .await;
    assert_eq!(runs_of(&records_of(&site).await, "order again"), 1);
}
