//! Gossip exchanges with other nodes, which also serve as the failure detector.
//!
//! A node calls each of its partners at intervals with a digest of its state, and the partner answers with its own
//! digest. A partner that does not answer counts as failed until it answers again.

use {
    crate::{
        limits::{
            EXCHANGE_INTERVAL, EXCHANGE_TIMEOUT, MAX_FAILED_RETRIED, MAX_PLATFORM_SILENCE,
            MIN_DETECTED_PAUSE, SMALL_SYSTEM_NODES, VISIBILITY_CHECK_INTERVAL,
        },
        list_fetch::fetch_if_newer,
        node::Node,
        upstream_path_checks::{check_silent_upstreams, probe_blocked_upstreams},
    },
    dragonflystep_dispatch::NodeName,
    dragonflystep_peer::{Digest, PeerLink},
    futures::{StreamExt, stream::FuturesUnordered},
    std::rc::Rc,
    tokio::{task::spawn_local, time::sleep},
};

/// Exchanges digests with this node's partners at intervals, for as long as the node runs.
pub(crate) async fn exchange_views(node: Rc<Node>) {
    discover_peers(&node).await;
    loop {
        let interval = if node.members.listed_count() > SMALL_SYSTEM_NODES {
            EXCHANGE_INTERVAL * 2
        } else {
            EXCHANGE_INTERVAL
        };
        sleep(node.jittered(interval, 0.8..1.2)).await;
        for partner in exchange_partners(&node) {
            spawn_local(exchange_with(node.clone(), partner));
        }
    }
}

/// Updates at intervals how many nodes are visible, detects pauses of this process and checks the paths to upstreams that have
/// fallen silent or are out of reach, for as long as the node runs.
pub(crate) async fn watch_visibility(node: Rc<Node>) {
    loop {
        let checked_at = node.owner.now();
        sleep(VISIBILITY_CHECK_INTERVAL).await;
        let now = node.owner.now();
        if now.saturating_sub(checked_at) > VISIBILITY_CHECK_INTERVAL + MIN_DETECTED_PAUSE {
            log::warn!(paused_ms = (now - checked_at).as_millis() as u64; "this node did not run for a while");
            node.metrics.count("pauses_total", "process");
            node.members.record_pause(now);
        }
        node.update_visibility();
        check_silent_upstreams(&node);
        probe_blocked_upstreams(&node);
    }
}

/// Tries all partners as soon as the first list of nodes is known, so that the node soon knows which ones are
/// visible.
async fn discover_peers(node: &Rc<Node>) {
    tokio::select! {
        () = node.members.wait_for_list() => {}
        () = sleep(EXCHANGE_INTERVAL) => return,
    }
    let exchanges = exchange_partners(node)
        .into_iter()
        .map(|partner| exchange_with(node.clone(), partner));
    let mut exchanges: FuturesUnordered<_> = exchanges.collect();
    while exchanges.next().await.is_some() {
        if node.members.has_discovered_peers() {
            node.update_visibility();
        }
    }
}

/// Exchanges digests with all partners at once, for example to announce that this node is stopping.
pub(crate) fn notify_partners(node: &Rc<Node>) {
    for partner in exchange_partners(node) {
        spawn_local(exchange_with(node.clone(), partner));
    }
}

/// The nodes to exchange digests with: the neighbours, and in a large system also the owners, which pass on
/// suspicions, and a few failed nodes.
fn exchange_partners(node: &Rc<Node>) -> Vec<NodeName> {
    let mut partners = node.members.direct_partners();
    if node.members.listed_count() > SMALL_SYSTEM_NODES {
        partners.extend(node.ranked_owners(1));
        // A node that failed once and is no neighbour would otherwise never be tried again.
        let failed = node.members.failed_nodes().into_iter();
        partners.extend(failed.take(MAX_FAILED_RETRIED));
    }
    partners.retain(|partner| *partner != node.settings.node);
    partners.sort();
    partners.dedup();
    partners
}

/// Pushes to another node what it lacks, since it may have no other way to learn it.
async fn push_missing(node: &Rc<Node>, peer: &NodeName, link: &PeerLink, theirs: &Digest) {
    let digest = node.push_digest(theirs);
    if let Err(error) = link.exchange(&digest, EXCHANGE_TIMEOUT).await {
        log::info!(peer:%, error:%; "newer lists could not be pushed to a node");
    }
}

/// Exchanges digests with a node and records whether it answers.
pub(crate) async fn exchange_with(node: Rc<Node>, peer: NodeName) {
    let had_failed = node.members.has_failed(&peer);
    exchange_once(&node, &peer).await;
    if had_failed && !node.members.has_failed(&peer) {
        // The call stated that the one before it had failed. The other node waits to hear that its answer has arrived
        // before it counts this one to its majority.
        exchange_once(&node, &peer).await;
    }
}

async fn exchange_once(node: &Rc<Node>, peer: &NodeName) {
    let Some(link) = node.members.link(peer) else {
        return;
    };
    let mut digest = node.empty_digest();
    digest.unavailable = node.members.unavailable_for_call(peer);
    let called_at = node.owner.now();
    match link.exchange(&digest, EXCHANGE_TIMEOUT).await {
        Ok(mut theirs) => {
            let now = node.owner.now();
            let is_owner = node.is_preferred_or_current_owner(peer);
            if node.members.record_answer(now, peer, theirs.is_leaving) {
                node.metrics.count("cuts_ended_total", "first_owner");
            }
            // Ages count from the time of the call, so that the transit time is added at each hop.
            node.record_platform_answer(called_at.saturating_sub(theirs.platform_silence));
            if theirs.platform_silence <= MAX_PLATFORM_SILENCE {
                node.record_platform_uptime(called_at.saturating_sub(theirs.platform_up_for));
            }
            node.note_peer_answered();
            node.handle_exchange_answer(&theirs, is_owner);
            // The ages of the notices count from the time of the call as well.
            let mut notices = std::mem::take(&mut theirs.notices);
            for notice in &mut notices {
                notice.age += now.saturating_sub(called_at);
            }
            node.apply_notices(notices, peer);
            let mut crashes = std::mem::take(&mut theirs.crashes);
            crashes.add_age(now.saturating_sub(called_at));
            node.apply_evidence(crashes);
            fetch_if_newer(node, &theirs);
            if node.has_newer_lists_than(&theirs) {
                push_missing(node, peer, &link, &theirs).await;
            }
        }
        Err(error) => {
            node.metrics.count("peer_failures_total", "exchange");
            node.members.record_failure(node.owner.now(), peer, &error);
        }
    }
}
