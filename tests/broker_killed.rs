//! Guards against a group that stays without a broker, or disturbs other groups, after its broker is killed.
//!
//! The test kills the node that holds a group 4 s into the traffic. Another node has to take the group over within 5 s:
//! 3 s until the lease expires, the rest for the takeover. Meanwhile, the other group must dispatch without a pause of
//! more than 1.5 s, and only requests that the killed node had open may fail.

mod support;

use {
    dragonflystep::fakes::{
        caller::{CallerTier, TrafficSettings, plan},
        engine::EngineRecords,
    },
    std::time::{Duration, Instant},
    support::{Site, SiteSettings, incomplete, records_of, traffic, unix_ms},
    tokio::time::sleep,
};

const GROUP: &str = "assistant-a-1";
const KILLED_AFTER: Duration = Duration::from_secs(4);
/// Longest pause of dispatches to the group of the killed broker: 3 s until the lease expires, the rest for the
/// takeover.
const TAKEOVER_WITHIN_MS: u64 = 5_000;
/// Longest pause between two dispatches to a group whose broker lives on.
const UNAFFECTED_PAUSE_MS: u64 = 1_500;

fn completions() -> TrafficSettings {
    let mut settings = traffic(3, 600, 40.0);
    settings.stock_share = 0.0;
    settings.order_share = 0.0;
    settings.output_tokens = 20..=120;
    settings.tiers = vec![CallerTier {
        name: "routine".to_owned(),
        weight: 1.0,
        deadline: Duration::from_secs(15),
    }];
    settings
}

/// Returns the longest time without a dispatch to any of `engines` between two Unix times.
fn longest_pause_ms(engines: &[&EngineRecords], from_ms: u64, until_ms: u64) -> u64 {
    let mut arrivals: Vec<u64> = engines
        .iter()
        .flat_map(|engine| &engine.dispatches)
        .map(|dispatch| dispatch.arrived_unix_ms)
        .filter(|at_ms| (from_ms..=until_ms).contains(at_ms))
        .collect();
    arrivals.push(from_ms);
    arrivals.push(until_ms);
    arrivals.sort_unstable();
    let pauses = arrivals.windows(2).map(|pair| pair[1] - pair[0]);
    pauses
        .max()
        .expect("the list contains both ends of the span")
}

#[tokio::test(flavor = "multi_thread")]
async fn the_queue_of_a_killed_broker_goes_on_and_other_groups_are_not_disturbed() {
    let mut site = Site::start(SiteSettings::default()).await;
    let (killed, _) = site.holder(0, GROUP).await.expect("the group is held");
    let other_holder = site.holder(0, "assistant-a-2").await;
    let (other_holder, _) = other_holder.expect("the other group is held");
    let address = site.nodes[killed].caller_address.to_string();
    let caller = site.caller(completions());
    let began = Instant::now();
    let running = tokio::spawn(async move { caller.run().await });
    sleep(KILLED_AFTER).await;
    let killed_ms = unix_ms();
    site.nodes[killed].process.kill();
    let killed_at = began.elapsed();
    let report = running.await.expect("the caller does not panic");

    let plan = plan(&completions());
    for result in incomplete(&report) {
        let sent_at = plan[result.number as usize].at;
        assert_eq!(result.entry.as_ref(), Some(&address), "{result:?}");
        assert!(sent_at <= killed_at, "sent after the kill: {result:?}");
    }
    let records = records_of(&site).await;
    records.assert_guarantees(&report);
    records.assert_limits(site.settings.running_requests);
    let [first, second, third, fourth] = &records.engines[..] else {
        panic!("the site must have four engines");
    };
    let ends_ms = killed_ms + 8_000;
    let pause_ms = longest_pause_ms(&[first, second], killed_ms, ends_ms);
    assert!(
        pause_ms <= TAKEOVER_WITHIN_MS,
        "no dispatch to the group of the killed broker for {pause_ms} ms"
    );
    if other_holder != killed {
        let pause_ms = longest_pause_ms(&[third, fourth], killed_ms, ends_ms);
        assert!(
            pause_ms <= UNAFFECTED_PAUSE_MS,
            "no dispatch to the other group for {pause_ms} ms"
        );
    }
}
