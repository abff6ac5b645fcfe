//! Probes selected nodes with small requests of each kind, to find out when the system has recovered from a fault.

use {
    super::support::{Answer, Site, order_request, prompt_request, send_request},
    futures::future::join_all,
    reqwest::Client,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Timeout of one round of probes.
const ROUND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the wait for a successful round ends.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Prompts sent through each node in a round; more than one, so that several engines get a prompt.
const PROMPTS_PER_NODE: usize = 3;

/// Probes `nodes` until all requests of a round succeed, and returns the time until that round began. Returns `None`
/// after a minute without success. Orders are sent only if `with_orders` is set.
pub async fn time_to_recover(site: &Site, nodes: &[usize], with_orders: bool) -> Option<Duration> {
    let began = std::time::Instant::now();
    while began.elapsed() < RECOVERY_TIMEOUT {
        let started = began.elapsed();
        if round_succeeds(site, nodes, with_orders).await {
            return Some(started);
        }
    }
    None
}

async fn round_succeeds(site: &Site, nodes: &[usize], with_orders: bool) -> bool {
    static NEXT_KEY: AtomicU64 = AtomicU64::new(0);
    let client = Client::builder().no_proxy().build();
    let client = client.expect("a client without TLS can always be made");
    let mut requests = Vec::new();
    for index in nodes {
        let entry = site.nodes[*index].caller_address;
        for _ in 0..PROMPTS_PER_NODE {
            let key = format!("probe-{}", NEXT_KEY.fetch_add(1, Ordering::Relaxed));
            requests.push(send_request(prompt_request(&client, entry, &key, &key, 3)));
        }
        if with_orders {
            let key = format!("probe-{}", NEXT_KEY.fetch_add(1, Ordering::Relaxed));
            requests.push(send_request(order_request(&client, entry, &key, &key)));
        }
    }
    let answers = tokio::time::timeout(ROUND_TIMEOUT, join_all(requests)).await;
    answers.is_ok_and(|answers| {
        let succeeded = |answer: &Option<Answer>| {
            answer
                .as_ref()
                .is_some_and(|answer| answer.status.is_success() && answer.refusal().is_none())
        };
        answers.iter().all(succeeded)
    })
}
