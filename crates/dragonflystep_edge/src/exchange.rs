//! Exchanges views with other nodes, which also shows who is there.

use {
    crate::{
        limits::{
            EXCHANGE_INTERVAL, EXCHANGE_TIMEOUT, MOST_FAILED_RETRIED, PAUSE_NOTICED,
            PLATFORM_UNHEARD, REACH_LOOK, SMALL_SYSTEM_NODES,
        },
        list_fetch::fetch_if_newer,
        node::Node,
    },
    dragonflystep_dispatch::NodeName,
    dragonflystep_peer::{Digest, PeerLink},
    futures::{StreamExt, stream::FuturesUnordered},
    std::rc::Rc,
    tokio::{task::spawn_local, time::sleep},
};

/// Exchanges views with this node's neighbours for as long as the node runs.
pub(crate) async fn exchange_views(node: Rc<Node>) {
    discover_peers(&node).await;
    loop {
        let interval = if node.members.listed_count() > SMALL_SYSTEM_NODES {
            EXCHANGE_INTERVAL * 2
        } else {
            EXCHANGE_INTERVAL
        };
        sleep(node.jittered(interval, 0.8..1.2)).await;
        for neighbour in partners(&node) {
            spawn_local(exchange_with(node.clone(), neighbour));
        }
    }
}

/// Looks again and again at how much of the system this node sees, for as long as it runs.
pub(crate) async fn watch_reach(node: Rc<Node>) {
    loop {
        let looked_at = node.owner.now();
        sleep(REACH_LOOK).await;
        let now = node.owner.now();
        if now.saturating_sub(looked_at) > REACH_LOOK + PAUSE_NOTICED {
            log::warn!(paused_ms = (now - looked_at).as_millis() as u64; "this node did not run for a while");
            node.metrics.count("pauses_total", "process");
            node.members.resumed(now);
        }
        node.update_reach();
    }
}

/// Tries the neighbours as soon as the first list of nodes is known, so that the node soon knows what it sees.
async fn discover_peers(node: &Rc<Node>) {
    tokio::select! {
        () = node.members.first_listed() => {}
        () = sleep(EXCHANGE_INTERVAL) => return,
    }
    let exchanges = partners(node)
        .into_iter()
        .map(|partner| exchange_with(node.clone(), partner));
    let mut exchanges: FuturesUnordered<_> = exchanges.collect();
    while exchanges.next().await.is_some() {
        if node.members.has_discovered_peers() {
            node.update_reach();
        }
    }
}

/// Tells all neighbours at once, for example that this node is stopping.
pub(crate) fn tell_neighbours(node: &Rc<Node>) {
    for neighbour in partners(node) {
        spawn_local(exchange_with(node.clone(), neighbour));
    }
}

/// Neighbours, and in a large system the owners, who pass on who is unavailable.
fn partners(node: &Rc<Node>) -> Vec<NodeName> {
    let mut partners = node.members.direct_partners();
    if node.members.listed_count() > SMALL_SYSTEM_NODES {
        partners.extend(node.ranked_owners(1));
        // Who failed once and is no neighbour would otherwise count as gone for good.
        let failed = node.members.failed_nodes().into_iter();
        partners.extend(failed.take(MOST_FAILED_RETRIED));
    }
    partners.retain(|partner| *partner != node.settings.node);
    partners.sort();
    partners.dedup();
    partners
}

/// Sends what the other node is missing; it may have no other way to learn it.
async fn tell_more(node: &Rc<Node>, peer: &NodeName, link: &PeerLink, theirs: &Digest) {
    let digest = node.digest_to_tell(theirs);
    if let Err(error) = link.exchange(&digest, EXCHANGE_TIMEOUT).await {
        log::info!(peer:%, error:%; "a node was not told what it lacks");
    }
}

/// Exchanges views with a node, and notes whether it answers.
pub(crate) async fn exchange_with(node: Rc<Node>, peer: NodeName) {
    let Some(link) = node.members.link(&peer) else {
        return;
    };
    let mut digest = node.empty_digest();
    digest.unavailable = node.members.own_unavailable();
    // If this arrives, the other node can be called.
    digest.unavailable.retain(|other| *other != peer);
    let asked_at = node.owner.now();
    match link.exchange(&digest, EXCHANGE_TIMEOUT).await {
        Ok(mut theirs) => {
            let now = node.owner.now();
            let is_owner = node.is_owner_for_all(&peer);
            if node.members.answered(now, &peer, theirs.is_leaving) {
                node.metrics.count("cuts_ended_total", "first_owner");
            }
            // Counted from the call on: what is on the way does not grow younger from node to node.
            node.note_platform_heard(asked_at.saturating_sub(theirs.platform_silence));
            if theirs.platform_silence <= PLATFORM_UNHEARD {
                node.note_platform_up(asked_at.saturating_sub(theirs.platform_up_for));
            }
            node.note_exchange();
            node.answered_by(&theirs, is_owner);
            // The age of what it knows is counted from the call on as well.
            let mut notices = std::mem::take(&mut theirs.notices);
            for notice in &mut notices {
                notice.age += now.saturating_sub(asked_at);
            }
            node.learn_notices(notices, &peer);
            fetch_if_newer(&node, &theirs);
            if node.knows_more_than(&theirs) {
                tell_more(&node, &peer, &link, &theirs).await;
            }
        }
        Err(error) => {
            node.metrics.count("peer_failures_total", "exchange");
            node.members.failed(node.owner.now(), &peer, &error);
        }
    }
}
