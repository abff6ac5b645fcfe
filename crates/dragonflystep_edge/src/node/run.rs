//! Starts the listeners and background tasks of a node and runs them until the node is told to stop.

use {
    super::{Node, NodeError},
    crate::{
        crash_reports::publish_refused_content,
        dialect::Dialect,
        exchange::{exchange_views, watch_visibility},
        kept_streams::{keep_granted_streams, keep_version_history, restore_kept_streams},
        peer_service::serve_peers,
        platform::Platform,
        rollouts::publish_rollouts,
        server::{ListenerKind, serve_listener},
        settings::NodeSettings,
        stop::stop,
        stream_versions::share_granted_streams,
    },
    dragonflystep_peer::{Network, NetworkListener},
    std::{collections::HashSet, future::Future, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep},
    },
};

/// Interval at which idle connections to upstreams are checked.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a node until `stop_requested` completes and its open requests have ended or the grace period is over.
///
/// Must run inside a [`tokio::task::LocalSet`] on a current-thread runtime.
///
/// # Errors
/// If an address can't be listened on, or `stop_requested` fails because signals can't be received.
pub async fn run_node(
    settings: NodeSettings,
    dialect: Box<dyn Dialect>,
    platform: Rc<dyn Platform>,
    network: Rc<dyn Network>,
    stop_requested: impl Future<Output = Result<(), NodeError>>,
) -> Result<(), NodeError> {
    let node = Rc::new(Node::new(settings, dialect, network.clone()));
    if node.is_first_start() {
        node.skip_restoration();
    }
    let started = Instant::now();
    let addresses = &node.settings;
    let ingress = network.listen_for_callers(addresses.ingress).await;
    let ingress = ingress.map_err(|source| NodeError::Listen {
        address: addresses.ingress,
        purpose: "callers",
        source,
    })?;
    let readiness = listen(&*network, addresses.readiness, "readiness").await?;
    let directory = listen(&*network, addresses.directory, "the directory").await?;
    let peers = listen(&*network, addresses.peers, "other nodes").await?;
    if let Some(address) = addresses.metrics {
        let metrics = listen(&*network, address, "metrics").await?;
        spawn_local(serve_listener(node.clone(), metrics, ListenerKind::Metrics));
    }
    spawn_local(serve_listener(node.clone(), ingress, ListenerKind::Ingress));
    spawn_local(serve_listener(
        node.clone(),
        readiness,
        ListenerKind::Readiness,
    ));
    spawn_local(serve_listener(
        node.clone(),
        directory,
        ListenerKind::Directory,
    ));
    spawn_local(serve_peers(node.clone(), peers));
    spawn_local(node.owner.clone().run());
    spawn_local(node.owner.clone().log_summaries());
    spawn_local(share_granted_streams(node.clone()));
    spawn_local(exchange_views(node.clone()));
    spawn_local(watch_visibility(node.clone()));
    spawn_local(close_unused_connections(node.clone()));
    spawn_local(publish_rollouts(node.clone(), platform.clone()));
    spawn_local(publish_refused_content(node.clone(), platform.clone()));
    spawn_local(restore_kept_streams(node.clone(), platform.clone()));
    spawn_local(keep_granted_streams(node.clone(), platform.clone()));
    spawn_local(keep_version_history(node.clone(), platform.clone()));
    spawn_local(platform.clone().follow(node.clone()));
    log::info!(ingress:% = node.settings.ingress, incarnation = node.incarnation, is_first_start = node.settings.is_first_start; "node started");
    stop_requested.await?;
    stop(&node, platform).await;
    log::info!(after_s = started.elapsed().as_secs(); "node stopped");
    Ok(())
}

async fn listen(
    network: &dyn Network,
    address: SocketAddr,
    purpose: &'static str,
) -> Result<Box<dyn NetworkListener>, NodeError> {
    let listener = network.listen(address).await;
    listener.map_err(|source| NodeError::Listen {
        address,
        purpose,
        source,
    })
}

async fn close_unused_connections(node: Rc<Node>) {
    loop {
        sleep(CONNECTION_CHECK_INTERVAL).await;
        let registry = node.views.registry();
        let upstreams = registry.upstreams.iter();
        let addresses: HashSet<&str> = upstreams
            .map(|upstream| upstream.address.as_str())
            .collect();
        let is_known = |address: &str| addresses.contains(address);
        node.connections.retain(is_known);
        node.upstream_paths.borrow_mut().retain(is_known);
    }
}
