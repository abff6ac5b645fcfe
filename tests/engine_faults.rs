//! Guards against a faulty engine that corrupts answers or harms requests that it does not run.
//!
//! The tests let one engine crash, go silent, slow down, close connections, or send pieces twice or out of order, 2 s
//! into the traffic; one more test sends a prompt that crashes every engine. Failed requests must get an explicit
//! failure, all other answers must be correct, and no upstream may exceed its limit of running requests.

mod support;

use {
    dragonflystep::fakes::{
        caller::{CallerReport, RequestOutcome, TrafficSettings},
        engine::{DispatchOutcome, EngineRecords},
    },
    futures::future::join_all,
    reqwest::Client,
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    support::{
        CONDITION_TIMEOUT, Site, SiteSettings, incomplete, prompt_request, records_of,
        send_request, traffic, wait_for,
    },
    tokio::time::sleep,
};

const FAULT_AFTER: Duration = Duration::from_secs(2);
/// Requests that run at the engine when the fault begins. With one, it might end just before.
const MIN_RUNNING: usize = 2;
/// Longest total time of a failed stream: the time without progress after which it counts as stalled, and some time for
/// the answer to its caller.
const STALLED_WITHIN_MS: u64 = 9_000;

fn completions(seed: u64) -> TrafficSettings {
    let mut settings = traffic(seed, 320, 40.0);
    settings.stock_share = 0.0;
    settings.order_share = 0.0;
    settings.output_tokens = 20..=150;
    settings
}

async fn run_with(site: &Site, seed: u64, fault: &Value) -> CallerReport {
    let caller = site.caller(completions(seed));
    let running = tokio::spawn(async move { caller.run().await });
    sleep(FAULT_AFTER).await;
    let engine = &site.engines[0].control;
    wait_for("the engine runs requests", CONDITION_TIMEOUT, || async {
        let records: EngineRecords = engine.records().await;
        (records.count(DispatchOutcome::Open) >= MIN_RUNNING).then_some(())
    })
    .await;
    engine.command("/faults", fault).await;
    running.await.expect("the caller does not panic")
}

/// Returns the code of a refusal, or of a failure reported within a stream.
fn code(outcome: &RequestOutcome) -> Option<&str> {
    match outcome {
        RequestOutcome::Refused { refusal } | RequestOutcome::Failed { refusal } => {
            Some(&refusal.code)
        }
        _ => None,
    }
}

/// Counts the requests to `upstream` that broke off, from the logs of the nodes.
fn count_broken_off(site: &Site, upstream: &str) -> usize {
    let logs = site.nodes.iter().map(|node| node.process.stderr());
    let lines: String = logs.collect();
    lines
        .lines()
        .filter(|line| line.contains("upstream broke off") && line.contains(upstream))
        .count()
}

async fn assert_guarantees_and_limits(site: &Site, report: &CallerReport) {
    let records = records_of(site).await;
    records.assert_guarantees(report);
    records.assert_limits(site.settings.running_requests);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_crash_fails_only_its_own_streams_with_upstream_failed() {
    let site = Site::start(SiteSettings::default()).await;
    let report = run_with(&site, 11, &json!({"fault": "crash", "down_ms": 1_500})).await;
    // The count comes from the nodes' logs and not from the engine's records: requests in transit when the engine dies
    // are lost too, but the engine never reads them.
    let broken: Vec<usize> = site
        .engines
        .iter()
        .map(|engine| count_broken_off(&site, &engine.address.to_string()))
        .collect();
    assert!(
        broken[0] > 0,
        "no request was running when the engine crashed"
    );
    let failed = incomplete(&report);
    assert!(
        failed.len() <= broken[0],
        "{} requests failed, broken off per engine {broken:?}: {failed:?}",
        failed.len()
    );
    assert_eq!(
        broken[1..].iter().sum::<usize>(),
        0,
        "streams of other engines broke off: {broken:?}"
    );
    for result in failed {
        assert_eq!(code(&result.outcome), Some("upstream_failed"), "{result:?}");
    }
    assert_guarantees_and_limits(&site, &report).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_whose_connection_goes_silent_end_within_seconds() {
    let site = Site::start(SiteSettings::default()).await;
    let report = run_with(&site, 12, &json!({"fault": "silence_existing"})).await;
    for result in incomplete(&report) {
        let expected = ["upstream_stalled", "upstream_failed"];
        assert!(
            code(&result.outcome).is_some_and(|code| expected.contains(&code)),
            "{result:?}"
        );
        assert!(result.total_ms <= STALLED_WITHIN_MS, "{result:?}");
    }
    assert_guarantees_and_limits(&site, &report).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn new_work_avoids_a_slow_engine() {
    let site = Site::start(SiteSettings::default()).await;
    let report = run_with(&site, 13, &json!({"fault": "slow", "factor": 20.0})).await;
    assert!(
        incomplete(&report).len() <= report.results.len() / 50,
        "{:?}",
        incomplete(&report)
    );
    let records = records_of(&site).await;
    let counts: Vec<usize> = records
        .engines
        .iter()
        .map(|engine| engine.dispatches.len())
        .collect();
    assert!(
        counts[0] * 2 < counts[1],
        "the slow engine got more than half as much work as its neighbour: {counts:?}"
    );
    assert_guarantees_and_limits(&site, &report).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_can_be_resumed_end_whole() {
    let site = Site::start(SiteSettings::default()).await;
    let report = run_with(&site, 14, &json!({"fault": "close_after", "tokens": 7})).await;
    assert!(incomplete(&report).is_empty(), "{:?}", incomplete(&report));
    let records = records_of(&site).await;
    assert!(records.engines[0].resumed > 0, "no stream was resumed");
    assert_guarantees_and_limits(&site, &report).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicated_and_reordered_pieces_give_a_correct_answer_or_an_explicit_failure() {
    let site = Site::start(SiteSettings::default()).await;
    let fault = json!({"fault": "pieces", "duplicate": 0.1, "reorder": 0.05});
    let report = run_with(&site, 15, &fault).await;
    assert_eq!(report.broken_answers(), 0);
    for result in incomplete(&report) {
        assert!(code(&result.outcome).is_some(), "{result:?}");
    }
    assert_guarantees_and_limits(&site, &report).await;
}

/// Most engine crashes that one prompt may cause in total, through all entries.
const MOST_CRASHES: u64 = 4;

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_crashes_engines_is_quarantined_and_other_prompts_are_not() {
    let site = Site::start(SiteSettings::default()).await;
    let crash_prompt = "the mark that crashes an engine";
    for engine in &site.engines {
        let fault = json!({"fault": "crash_on", "text": crash_prompt, "down_ms": 400});
        engine.control.command("/faults", &fault).await;
    }
    let mut other_prompts = completions(16);
    other_prompts.requests = 200;
    other_prompts.requests_per_s = 15.0;
    let caller = site.caller(other_prompts);
    let running = tokio::spawn(async move { caller.run().await });
    let client = Client::builder()
        .no_proxy()
        .build()
        .expect("a client without TLS");
    let began = Instant::now();
    let mut quarantined = 0;
    let mut sent = 0;
    while began.elapsed() < Duration::from_secs(11) {
        let node = &site.nodes[sent % site.nodes.len()];
        let key = format!("crash-{sent}");
        let answer = send_request(prompt_request(
            &client,
            node.caller_address,
            &key,
            crash_prompt,
            20,
        ))
        .await;
        let refusal = answer.and_then(|answer| answer.refusal());
        quarantined += usize::from(refusal.is_some_and(|refusal| refusal.code == "quarantined"));
        sent += 1;
        sleep(Duration::from_millis(200)).await;
    }
    let report = running.await.expect("the caller does not panic");
    let records = records_of(&site).await;
    let crashes: u64 = records.engines.iter().map(|engine| engine.crashes).sum();
    assert!(
        crashes <= MOST_CRASHES,
        "{crashes} engine crashes after sending the prompt {sent} times"
    );
    assert!(quarantined > 0, "the prompt was never quarantined");
    for result in incomplete(&report) {
        assert_ne!(code(&result.outcome), Some("quarantined"), "{result:?}");
        assert!(code(&result.outcome).is_some(), "{result:?}");
    }
    assert_guarantees_and_limits(&site, &report).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_an_engine_do_not_hold_up_new_requests() {
    let site = Site::start(SiteSettings::default()).await;
    site.engines[0]
        .control
        .command("/faults", &json!({"fault": "silence_existing"}))
        .await;
    let client = Client::builder()
        .no_proxy()
        .build()
        .expect("a client without TLS");
    let keys: Vec<String> = (0..12)
        .map(|number| format!("after-silence-{number}"))
        .collect();
    let sent = keys.iter().enumerate().map(|(number, key)| {
        let node = &site.nodes[number % site.nodes.len()];
        send_request(prompt_request(&client, node.caller_address, key, key, 5))
    });
    let answers = tokio::time::timeout(CONDITION_TIMEOUT, join_all(sent))
        .await
        .expect("all answers arrive in time");
    let complete = answers
        .iter()
        .flatten()
        .filter(|answer| answer.is_whole_stream())
        .count();
    assert_eq!(
        complete,
        keys.len(),
        "requests on new connections failed: {answers:?}"
    );
}
