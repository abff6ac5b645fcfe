//! Serves tunnels: connects to upstreams for nodes that can't reach them.
//!
//! A tunnel leads to a registered upstream only, and never through a third node.

use {
    crate::{
        limits::{IDLE_TUNNEL_TIME, MAX_TUNNEL_SHARE, TUNNEL_STOP_CHECK_INTERVAL},
        node::Node,
        stop::StopSignal,
    },
    dragonflystep_dispatch::MonotonicTime,
    dragonflystep_peer::{
        NetworkStream, RequestedTunnel, TunnelEnd, TunnelProgress, TunnelRefusal, TunnelTarget,
    },
    std::{cell::Cell, io, rc::Rc},
    tokio::time::sleep,
};

/// Opens or refuses a tunnel that another node requested, and serves it until it ends.
pub(crate) async fn serve_tunnel(node: Rc<Node>, target: TunnelTarget, tunnel: RequestedTunnel) {
    let TunnelTarget {
        opener,
        upstream: address,
    } = target;
    // It counts from now on, as many may be requested at once.
    let open_tunnel = OpenTunnel::new(&node, address.clone());
    let upstream = match connect(&node, &open_tunnel).await {
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
    let result = forward(&node, &open_tunnel, tunnel, upstream).await;
    if let Err(error) = result {
        log::debug!(opener:%, address, error:%; "a tunnel broke");
    }
    if open_tunnel.is_unanswered() {
        // This node may be cut off itself; it notices that by the check.
        node.is_break_of_path(&address, None).await;
    }
}

async fn connect(
    node: &Rc<Node>,
    tunnel: &OpenTunnel,
) -> Result<Box<dyn NetworkStream>, TunnelRefusal> {
    let max_tunnels = node.settings.max_client_connections as f64 * MAX_TUNNEL_SHARE;
    if node.stop.is_stopping() || node.open_tunnels.borrow().count() as f64 > max_tunnels {
        return Err(TunnelRefusal::Busy);
    }
    let address = tunnel.state.address.as_str();
    let registry = node.views.registry();
    let mut upstreams = registry.upstreams.iter();
    if !upstreams.any(|upstream| upstream.address == address) {
        return Err(TunnelRefusal::UnknownUpstream);
    }
    if node.upstream_paths.borrow().is_cut_off() {
        return Err(TunnelRefusal::NoPath);
    }
    let upstream = node.network.connect(address).await.map_err(|error| {
        log::debug!(address, error:%; "could not connect to an upstream for another node");
        let paths = node.upstream_paths.borrow();
        if paths.reaches_others(node.owner.now(), address) {
            TunnelRefusal::Unreachable
        } else {
            TunnelRefusal::NoPath
        }
    })?;
    tunnel.unproved_since.set(Some(node.owner.now()));
    Ok(upstream)
}

/// Forwards the bytes of a tunnel. While the node stops, an open tunnel counts as an open request until it is idle.
async fn forward(
    node: &Rc<Node>,
    open_tunnel: &OpenTunnel,
    tunnel: RequestedTunnel,
    upstream: Box<dyn NetworkStream>,
) -> io::Result<()> {
    let _open_request = StopSignal::open_request(node);
    let forwarding = tunnel.forward(upstream, |progress| open_tunnel.record(progress));
    let idle = async {
        // An error means that the node has stopped.
        let _ = node.stop.closing().wait_for(|is_closing| *is_closing).await;
        while !open_tunnel.is_idle() {
            sleep(TUNNEL_STOP_CHECK_INTERVAL).await;
        }
        Ok(())
    };
    tokio::select! {
        result = forwarding => result,
        result = idle => result,
    }
}

/// The tunnels that a node serves.
#[derive(Default)]
pub(crate) struct OpenTunnels(Vec<Rc<TunnelState>>);

impl OpenTunnels {
    /// Number of tunnels.
    pub(crate) fn count(&self) -> usize {
        self.0.len()
    }

    /// The upstreams that have yet to answer the last bytes of a node, with the time since when.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (&str, MonotonicTime)> {
        self.0.iter().filter_map(|tunnel| {
            let (end, at) = tunnel.last_piece.get();
            (end == TunnelEnd::Node).then_some((tunnel.address.as_str(), at))
        })
    }
}

struct TunnelState {
    /// Address of the upstream, as IP:PORT.
    address: String,
    /// Who sent the last piece, and when it arrived or was taken. A new tunnel, in which nobody waits for anything, counts like an answered one.
    last_piece: Cell<(TunnelEnd, MonotonicTime)>,
}

/// A requested tunnel, which is listed among the open ones until it is dropped.
struct OpenTunnel {
    node: Rc<Node>,
    state: Rc<TunnelState>,
    /// When its connection to the upstream was opened, until the upstream has sent something.
    unproved_since: Cell<Option<MonotonicTime>>,
    /// Whether the node that opened the tunnel has yet to take a piece of the upstream.
    has_untaken_piece: Cell<bool>,
}

impl OpenTunnel {
    fn new(node: &Rc<Node>, address: String) -> Self {
        let now = node.owner.now();
        let state = Rc::new(TunnelState {
            address,
            last_piece: Cell::new((TunnelEnd::Upstream, now)),
        });
        node.open_tunnels.borrow_mut().0.push(state.clone());
        Self {
            node: node.clone(),
            state,
            unproved_since: Cell::default(),
            has_untaken_piece: Cell::default(),
        }
    }

    fn record(&self, progress: TunnelProgress) {
        let now = self.node.owner.now();
        match progress {
            TunnelProgress::Received(end) => self.state.last_piece.set((end, now)),
            TunnelProgress::Taken => {
                if let (TunnelEnd::Upstream, _) = self.state.last_piece.get() {
                    self.state.last_piece.set((TunnelEnd::Upstream, now));
                }
                self.has_untaken_piece.set(false);
            }
        }
        if progress == TunnelProgress::Received(TunnelEnd::Upstream) {
            self.has_untaken_piece.set(true);
            let unproved_since = self.unproved_since.take();
            self.node
                .record_direct_answer(&self.state.address, unproved_since);
        }
    }

    /// Whether the upstream was sent something and has never sent anything.
    fn is_unanswered(&self) -> bool {
        let (end, _) = self.state.last_piece.get();
        end == TunnelEnd::Node && self.unproved_since.get().is_some()
    }

    fn is_idle(&self) -> bool {
        let (end, at) = self.state.last_piece.get();
        let elapsed = self.node.owner.now().saturating_sub(at);
        let is_answered = end == TunnelEnd::Upstream && !self.has_untaken_piece.get();
        is_answered && elapsed >= IDLE_TUNNEL_TIME
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        let mut tunnels = self.node.open_tunnels.borrow_mut();
        tunnels.0.retain(|state| !Rc::ptr_eq(state, &self.state));
    }
}
