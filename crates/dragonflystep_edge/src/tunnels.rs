//! Serves tunnels: connects to upstreams for nodes that can't reach them.
//!
//! A tunnel leads to a registered upstream only, and never through a third node.

use {
    crate::{
        limits::{IDLE_TUNNEL_TIME, MAX_TUNNEL_SHARE, TUNNEL_STOP_CHECK_INTERVAL},
        node::Node,
        stop::StopSignal,
    },
    dragonflystep_peer::{NetworkStream, RequestedTunnel, TunnelEnd, TunnelRefusal, TunnelTarget},
    std::{cell::Cell, rc::Rc},
    tokio::time::{Instant, sleep},
};

/// Opens or refuses a tunnel that another node requested, and serves it until it ends.
pub(crate) async fn serve_tunnel(node: Rc<Node>, target: TunnelTarget, tunnel: RequestedTunnel) {
    let TunnelTarget {
        opener,
        upstream: address,
    } = target;
    let upstream = match connect(&node, &address).await {
        Ok(upstream) => upstream,
        Err(refusal) => {
            node.metrics.count("tunnels_total", refusal.name());
            log::info!(opener:%, address, reason = refusal.name(); "refused a tunnel");
            if let Err(error) = tunnel.refuse(refusal).await {
                log::debug!(opener:%, error:%; "the refusal of a tunnel could not be sent");
            }
            return;
        }
    };
    node.metrics.count("tunnels_total", "opened");
    log::info!(opener:%, address; "opened a tunnel");
    let result = forward(&node, tunnel, upstream).await;
    if let Err(error) = result {
        log::debug!(opener:%, address, error:%; "a tunnel broke");
    }
}

async fn connect(node: &Rc<Node>, address: &str) -> Result<Box<dyn NetworkStream>, TunnelRefusal> {
    let max_tunnels = node.settings.max_client_connections as f64 * MAX_TUNNEL_SHARE;
    if node.stop.is_stopping() || node.open_tunnels.get() as f64 >= max_tunnels {
        return Err(TunnelRefusal::Busy);
    }
    let registry = node.views.registry();
    let mut upstreams = registry.upstreams.iter();
    if !upstreams.any(|upstream| upstream.address == address) {
        return Err(TunnelRefusal::UnknownUpstream);
    }
    if node.upstream_paths.borrow().is_cut_off() {
        return Err(TunnelRefusal::NoPath);
    }
    match node.network.connect(address).await {
        Ok(upstream) => {
            node.record_connected(address);
            Ok(upstream)
        }
        Err(error) => {
            log::debug!(address, error:%; "could not connect to an upstream for another node");
            let paths = node.upstream_paths.borrow();
            if paths.reaches_others(node.owner.now(), address) {
                Err(TunnelRefusal::Unreachable)
            } else {
                Err(TunnelRefusal::NoPath)
            }
        }
    }
}

/// Forwards the bytes of a tunnel. While the node stops, an open tunnel counts as an open request until it is idle.
async fn forward(
    node: &Rc<Node>,
    tunnel: RequestedTunnel,
    upstream: Box<dyn NetworkStream>,
) -> std::io::Result<()> {
    let _open_request = StopSignal::open_request(node);
    let _open_tunnel = OpenTunnel::new(node);
    let last_piece = Cell::new((TunnelEnd::Node, Instant::now()));
    let forwarding = tunnel.forward(upstream, |end| last_piece.set((end, Instant::now())));
    let idle = async {
        // An error means that the node has stopped.
        let _ = node.stop.closing().wait_for(|is_closing| *is_closing).await;
        loop {
            let (end, at) = last_piece.get();
            if end == TunnelEnd::Upstream && at.elapsed() >= IDLE_TUNNEL_TIME {
                return Ok(());
            }
            sleep(TUNNEL_STOP_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        result = forwarding => result,
        result = idle => result,
    }
}

/// Counts a tunnel as open until it is dropped.
struct OpenTunnel(Rc<Node>);

impl OpenTunnel {
    fn new(node: &Rc<Node>) -> Self {
        node.open_tunnels.set(node.open_tunnels.get() + 1);
        Self(node.clone())
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        let open_tunnels = &self.0.open_tunnels;
        open_tunnels.set(open_tunnels.get() - 1);
    }
}
