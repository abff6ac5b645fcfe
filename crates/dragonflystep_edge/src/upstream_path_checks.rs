//! Checks whether upstreams are reached directly, by health checks on new connections.
//!
//! A connection that opens may still carry nothing, so that only an answer counts. A full upstream answers late on any
//! path; a path counts as blocked only if another node gets an answer in the meantime.

use {
    crate::{
        limits::{
            DIRECT_PROBE_INTERVAL, MAX_FORWARDERS_TRIED, PATH_CHECK_TIMEOUT, TUNNEL_CHECK_DELAY,
            TUNNEL_CHECK_INTERVAL, TUNNEL_CHECK_TIMEOUT,
        },
        node::Node,
        upstream_connections::SendError,
        upstream_dialer::{Forwarder, dial, open_tunnel_through},
        upstream_health::{HealthCheck, HealthError},
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::rc::Rc,
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Tries a direct connection, to notice when it works again, and keeps it for the next request.
pub(crate) async fn probe(node: Rc<Node>, address: String) {
    let check = HealthCheck::of_address(&node, &address);
    let result = timeout(
        DIRECT_PROBE_INTERVAL,
        check_directly(&node, &address, check.as_ref()),
    )
    .await;
    match result {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            log::debug!(address, error:%; "an upstream can't be reached directly yet");
        }
        Err(_) => log::debug!(address; "an upstream does not answer directly yet"),
    }
}

/// Checks the paths to upstreams at which requests wait while all upstreams are silent, to notice whether this node is
/// cut off from them.
pub(crate) fn check_silent_upstreams(node: &Rc<Node>) {
    let runs = node.entry_runs.runs.borrow();
    let registry = node.views.registry();
    let waiting_runs = runs
        .values()
        .map(|run| (run.upstream.clone(), run.started_at));
    let tunnels = node.open_tunnels.borrow();
    let waiting_tunnels = tunnels.waiting().filter_map(|(address, since)| {
        let mut upstreams = registry.upstreams.iter();
        let upstream = upstreams.find(|upstream| upstream.address == address)?;
        Some((upstream.id.clone(), since))
    });
    let silent = node
        .upstream_paths
        .borrow_mut()
        .silent_upstreams(node.owner.now(), waiting_runs.chain(waiting_tunnels));
    if silent.is_empty() {
        return;
    }
    node.metrics.count("upstream_silence_checks_total", "all");
    log::info!(upstreams:? = silent; "no upstream has sent anything for a while; checking the paths to some");
    let upstreams = registry.upstreams.iter();
    for upstream in upstreams.filter(|upstream| silent.contains(&upstream.id)) {
        spawn_local(check_path(node.clone(), upstream.address.clone()));
    }
}

/// Records whether the upstream at an address answers directly, or only through another node.
async fn check_path(node: Rc<Node>, address: String) {
    let Some(check) = HealthCheck::of_address(&node, &address) else {
        dial_and_keep(&node, &address).await;
        return;
    };
    let direct = check_directly(&node, &address, Some(&check));
    let tunnels = async {
        sleep(TUNNEL_CHECK_DELAY).await;
        is_answered_by_tunnel(&node, &address, &check).await
    };
    let is_blocked = async {
        tokio::select! {
            biased;
            Ok(()) = direct => false,
            is_answered = tunnels => is_answered,
        }
    };
    match timeout(PATH_CHECK_TIMEOUT, is_blocked).await {
        Ok(true) => node.record_blocked(&address),
        Ok(false) => {}
        Err(_) => {
            log::debug!(address; "an upstream answers neither directly nor through another node")
        }
    }
}

/// Whether a health check is answered through another node. A few nodes are tried one soon after the other, as some may be
/// cut off themselves without having noticed.
async fn is_answered_by_tunnel(node: &Node, address: &str, check: &HealthCheck) -> bool {
    let forwarders = node.forwarders(MAX_FORWARDERS_TRIED, None).into_iter();
    let mut attempts: FuturesUnordered<_> = (0..)
        .zip(forwarders)
        .map(|(index, forwarder)| async move {
            sleep(TUNNEL_CHECK_INTERVAL * index).await;
            check_through(node, forwarder, address, check).await
        })
        .collect();
    while let Some(is_answered) = attempts.next().await {
        if is_answered {
            return true;
        }
    }
    false
}

/// Sends a health check through a forwarder, which is left out for a while if there is no answer.
async fn check_through(
    node: &Node,
    forwarder: Forwarder,
    address: &str,
    check: &HealthCheck,
) -> bool {
    let now = node.owner.now();
    if !node.upstream_paths.borrow_mut().take_fallback_permit(now) {
        return false;
    }
    let name = forwarder.node.clone();
    let answer = async {
        let dialed = open_tunnel_through(node, forwarder, address).await.ok()?;
        check.send_on_new(node, dialed).await.ok()
    };
    if let Ok(answer) = timeout(TUNNEL_CHECK_TIMEOUT, answer).await {
        return answer.is_some();
    }
    log::info!(forwarder:% = name, address; "a health check through another node was not answered");
    node.avoid_forwarder(&name);
    false
}

/// Opens a direct connection and sends a health check on it. If there is none, the connection alone has to do.
async fn check_directly(
    node: &Node,
    address: &str,
    check: Option<&HealthCheck>,
) -> Result<(), HealthError> {
    let stream = node.network.connect(address).await;
    let dialed = node.direct_connection(stream.map_err(SendError::NotSent)?);
    let Some(check) = check else {
        node.record_direct_answer(address, Some(dialed.opened_at));
        node.keep_new_connection(address, dialed).await;
        return Ok(());
    };
    check.send_on_new(node, dialed).await?;
    Ok(())
}

/// Opens a connection for the next request.
async fn dial_and_keep(node: &Rc<Node>, address: &str) {
    match dial(node, address, None).await {
        Ok(dialed) => node.keep_new_connection(address, dialed).await,
        Err(error) => log::debug!(address, error:?; "a silent upstream could not be reached"),
    }
}
