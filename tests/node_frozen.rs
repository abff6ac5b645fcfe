//! Guards against a node that acts on outdated state after it was frozen for longer than its lease.
//!
//! The test stops the process that holds a group with `SIGSTOP` until another node takes the group over, changes the
//! catalogue, and resumes the process 1 s later. From then on no engine of the group may get a dispatch with a fencing
//! number of the old epoch, and the upstream that the catalogue marked as leaving may get no dispatch.

mod support;

use {
    rustix::process::Signal,
    serde_json::json,
    std::time::Duration,
    support::{CONDITION_TIMEOUT, Site, SiteSettings, incomplete, records_of, traffic, wait_for},
    tokio::time::sleep,
};

const GROUP: &str = "assistant-a-1";
const FROZEN_AFTER: Duration = Duration::from_secs(2);
const FROZEN_PAST_TAKEOVER: Duration = Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_holder_grants_nothing_by_its_old_epoch() {
    let site = Site::start(SiteSettings::default()).await;
    let (frozen, old_epoch) = site.holder(0, GROUP).await.expect("the group is held");
    let asked = (frozen + 1) % site.nodes.len();
    let address = site.nodes[frozen].caller_address.to_string();
    let caller = site.caller(traffic(4, 600, 40.0));
    let running = tokio::spawn(async move { caller.run().await });
    sleep(FROZEN_AFTER).await;
    site.nodes[frozen].process.signal(Signal::STOP);
    let ((holder, epoch), _) = wait_for(
        "another node holds the group",
        CONDITION_TIMEOUT,
        || async {
            let (holder, epoch) = site.holder(asked, GROUP).await?;
            (holder != frozen).then_some((holder, epoch))
        },
    )
    .await;
    assert_ne!(holder, frozen);
    assert!(
        epoch > old_epoch,
        "the new epoch {epoch} is not above {old_epoch}"
    );

    // While the node is frozen, a catalogue change makes engine-3 leave: it must get no new requests.
    let mut document = site.catalogue();
    document["upstreams"][3]["state"] = json!("leaving");
    let version = site.nodes[asked].admin.apply(&document).await;
    sleep(FROZEN_PAST_TAKEOVER).await;
    let before: Vec<usize> = dispatches(&site).await;
    site.nodes[frozen].process.signal(Signal::CONT);
    wait_for(
        "the resumed node has the new version in force",
        CONDITION_TIMEOUT,
        || async { (site.nodes[frozen].admin.version().await? >= version).then_some(()) },
    )
    .await;
    let report = running.await.expect("the caller does not panic");

    for result in incomplete(&report) {
        assert_eq!(result.entry.as_ref(), Some(&address), "{result:?}");
    }
    let records = records_of(&site).await;
    records.assert_guarantees(&report);
    records.assert_limits(site.settings.running_requests);
    for (number, engine) in records.engines.iter().enumerate() {
        let since = &engine.dispatches[before[number]..];
        let is_in_group = number < site.settings.engines_per_group;
        let by_old_epoch = since.iter().filter(|dispatch| {
            is_in_group
                && dispatch
                    .fencing_number
                    .is_some_and(|number| number <= old_epoch)
        });
        assert_eq!(
            by_old_epoch.count(),
            0,
            "engine-{number} got dispatches of the old epoch"
        );
    }
    let late = records.engines[3].dispatches.len() - before[3];
    assert_eq!(late, 0, "engine-3 got dispatches by the old catalogue");
}

async fn dispatches(site: &Site) -> Vec<usize> {
    let records = records_of(site).await;
    records
        .engines
        .iter()
        .map(|engine| engine.dispatches.len())
        .collect()
}
