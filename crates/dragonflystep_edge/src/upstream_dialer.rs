//! Connects to upstreams, directly or by a tunnel through another node.
//!
//! A direct connection that takes long is raced by a tunnel, as in Happy Eyeballs (RFC 8305), and one that fails is
//! checked by a tunnel. Which way is tried first is decided in `upstream_paths.rs`.

use {
    crate::{
        limits::{MAX_FORWARDERS_TRIED, TUNNEL_RACE_DELAY, TUNNEL_TIMEOUT},
        node::Node,
        settings::MemberRecord,
        upstream_path_checks::probe,
        upstream_paths::Way,
    },
    dragonflystep_dispatch::{DataCentreName, MonotonicTime, NodeName},
    dragonflystep_peer::{NetworkStream, TunnelError, TunnelRefusal, open_tunnel},
    std::{
        future::Future,
        io,
        pin::{Pin, pin},
        rc::Rc,
    },
    tokio::{task::spawn_local, time::timeout},
};

/// Another node through which an upstream is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Forwarder {
    pub(crate) node: NodeName,
    pub(crate) data_centre: DataCentreName,
    /// Address at which it listens for other nodes, as IP:PORT.
    pub(crate) address: String,
}

/// A new connection to an upstream.
pub(crate) struct Dialed {
    pub(crate) stream: Box<dyn NetworkStream>,
    /// The node through which it goes; none if it is direct.
    pub(crate) forwarder: Option<Forwarder>,
    pub(crate) opened_at: MonotonicTime,
}

/// Why an upstream could not be connected to. Nothing was sent to it.
#[derive(Debug)]
pub(crate) enum DialError {
    /// The upstream can't be reached, not even by nodes that reach others.
    Unreachable(io::Error),
    /// Neither this node nor another one it asked reaches upstreams; this says nothing about the upstream.
    NoPath,
}

/// Connects to the upstream at an address. A tunnel goes only through nodes in the data centres `allowed`, if there are
/// any, since the forwarder sees the request.
pub(crate) async fn dial(
    node: &Rc<Node>,
    address: &str,
    allowed: Option<&[DataCentreName]>,
) -> Result<Dialed, DialError> {
    let way = node
        .upstream_paths
        .borrow_mut()
        .choose(node.owner.now(), address);
    let result = match way {
        Way::Direct => dial_directly(node, address, allowed).await,
        Way::Tunnel { is_probe_due } => {
            if is_probe_due {
                spawn_local(probe(node.clone(), address.to_owned()));
            }
            let tunnel = open_any_tunnel(node, address, allowed).await;
            tunnel.map_err(|verdict| {
                node.classify_failure(address, verdict, io::ErrorKind::TimedOut.into())
            })
        }
    };
    let kind = match &result {
        Ok(Dialed {
            forwarder: None, ..
        }) => "direct",
        Ok(_) => "tunnel",
        Err(DialError::Unreachable(_)) => "unreachable",
        Err(DialError::NoPath) => "no_path",
    };
    node.metrics.count("upstream_connections_total", kind);
    result
}

/// Opens a direct connection. If it takes long or fails, a tunnel is opened as well.
async fn dial_directly(
    node: &Rc<Node>,
    address: &str,
    allowed: Option<&[DataCentreName]>,
) -> Result<Dialed, DialError> {
    let (network, target) = (node.network.clone(), address.to_owned());
    let mut direct: DirectAttempt = Box::pin(async move { network.connect(&target).await });
    let early_result = timeout(TUNNEL_RACE_DELAY, &mut direct).await;
    if let Ok(Ok(stream)) = early_result {
        return Ok(node.direct_connection(stream));
    }
    let now = node.owner.now();
    let may_open_tunnel = node.upstream_paths.borrow_mut().take_fallback_permit(now);
    match (early_result, may_open_tunnel) {
        (Err(_), true) => race_with_tunnel(node, address, allowed, direct).await,
        (Err(_), false) => match direct.await {
            Ok(stream) => Ok(node.direct_connection(stream)),
            Err(error) => Err(node.classify_failure(address, None, error)),
        },
        (Ok(Err(error)), true) => {
            let tunnel = open_any_tunnel(node, address, allowed).await;
            node.use_tunnel_after_failure(address, tunnel, error)
        }
        (Ok(Err(error)), false) => Err(node.classify_failure(address, None, error)),
        (Ok(Ok(stream)), _) => Ok(node.direct_connection(stream)),
    }
}

/// An attempt to connect directly that is still in progress.
type DirectAttempt = Pin<Box<dyn Future<Output = io::Result<Box<dyn NetworkStream>>>>>;

/// Opens a tunnel beside a direct attempt that takes long, and uses whichever succeeds first.
async fn race_with_tunnel(
    node: &Rc<Node>,
    address: &str,
    allowed: Option<&[DataCentreName]>,
    mut direct: DirectAttempt,
) -> Result<Dialed, DialError> {
    let mut tunnel = pin!(open_any_tunnel(node, address, allowed));
    let verdict = tokio::select! {
        biased;
        result = &mut direct => match result {
            Ok(stream) => return Ok(node.direct_connection(stream)),
            Err(error) => return node.use_tunnel_after_failure(address, tunnel.await, error),
        },
        opened = &mut tunnel => match opened {
            Ok(dialed) => {
                // Whether the direct attempt fails or is only slow shows later.
                let (node, address) = (node.clone(), address.to_owned());
                spawn_local(async move { node.finish_raced(&address, direct.await).await });
                return Ok(dialed);
            }
            Err(verdict) => verdict,
        },
    };
    match direct.await {
        Ok(stream) => Ok(node.direct_connection(stream)),
        Err(error) => Err(node.classify_failure(address, verdict, error)),
    }
}

/// Opens a tunnel through one of a few other nodes. Otherwise returns what one of them says about the upstream, if any
/// does.
async fn open_any_tunnel(
    node: &Rc<Node>,
    address: &str,
    allowed: Option<&[DataCentreName]>,
) -> Result<Dialed, Option<TunnelRefusal>> {
    for forwarder in node.forwarders(MAX_FORWARDERS_TRIED, allowed) {
        match open_tunnel_through(node, forwarder, address).await {
            Ok(dialed) => return Ok(dialed),
            Err(TunnelError::Refused(TunnelRefusal::Unreachable)) => {
                return Err(Some(TunnelRefusal::Unreachable));
            }
            Err(_) => {}
        }
    }
    Err(None)
}

/// Opens a tunnel through a node, which is left out for a while if it can't open any.
pub(crate) async fn open_tunnel_through(
    node: &Node,
    forwarder: Forwarder,
    address: &str,
) -> Result<Dialed, TunnelError> {
    let name = &node.settings.node;
    let network = &*node.network;
    let opening = open_tunnel(network, &forwarder.address, name, address, TUNNEL_TIMEOUT);
    let error = match opening.await {
        Ok(stream) => {
            return Ok(Dialed {
                stream,
                forwarder: Some(forwarder),
                opened_at: node.owner.now(),
            });
        }
        Err(error) => error,
    };
    log::info!(forwarder:% = forwarder.node, address, error:%; "no tunnel to an upstream through another node");
    if matches!(
        error,
        TunnelError::Refused(TunnelRefusal::NoPath | TunnelRefusal::Busy)
            | TunnelError::Forwarder(_)
    ) {
        node.avoid_forwarder(&forwarder.node);
    }
    Err(error)
}

impl Node {
    /// Returns up to `limit` nodes through which upstreams may be reached, those of this data centre and others in turn.
    /// They are in one of the data centres `allowed`, if there are any.
    pub(crate) fn forwarders(
        &self,
        limit: usize,
        allowed: Option<&[DataCentreName]>,
    ) -> Vec<Forwarder> {
        let now = self.owner.now();
        let paths = self.upstream_paths.borrow();
        let is_candidate = |record: &MemberRecord| {
            !paths.is_avoided(now, &record.node)
                && allowed.is_none_or(|allowed| allowed.contains(&record.data_centre))
        };
        let mut random = self.random.borrow_mut();
        self.members
            .choose_forwarders(now, limit, &mut random, is_candidate)
    }

    /// Leaves a node out as a forwarder for a while.
    pub(crate) fn avoid_forwarder(&self, forwarder: &NodeName) {
        let mut paths = self.upstream_paths.borrow_mut();
        paths.avoid_forwarder(self.owner.now(), forwarder);
    }

    /// Whether a request may be sent on an open connection through a forwarder.
    pub(crate) fn may_use_forwarder(
        &self,
        forwarder: &Forwarder,
        allowed: Option<&[DataCentreName]>,
    ) -> bool {
        let is_allowed = allowed.is_none_or(|allowed| allowed.contains(&forwarder.data_centre));
        is_allowed && !self.members.is_failed_or_leaving(&forwarder.node)
    }

    pub(crate) fn direct_connection(&self, stream: Box<dyn NetworkStream>) -> Dialed {
        Dialed {
            stream,
            forwarder: None,
            opened_at: self.owner.now(),
        }
    }

    /// Records an answer over a direct connection; `unproved_since` is when it was opened if this is its first answer.
    pub(crate) fn record_direct_answer(
        &self,
        address: &str,
        unproved_since: Option<MonotonicTime>,
    ) {
        let now = self.owner.now();
        let mut paths = self.upstream_paths.borrow_mut();
        let Some(opened_at) = unproved_since else {
            paths.record_answer(now, address);
            return;
        };
        let cut_off_since = paths.record_connected(now, address, opened_at);
        if let Some(since) = cut_off_since {
            let registry = self.views.registry();
            let upstreams = registry.upstreams.iter();
            paths.record_doubtful(now, since, upstreams.map(|it| it.address.as_str()));
        }
        drop(paths);
        if let Some(since) = cut_off_since {
            self.connections.close_idle_tunnels();
            log::info!(address, cut_off_for_ms = now.saturating_sub(since).as_millis() as u64; "this node reaches upstreams directly again");
        }
    }

    /// Records that another node reaches an upstream to which this node can't connect.
    pub(crate) fn record_blocked(&self, address: &str) {
        // Connections from before may hang.
        self.connections.close_idle(address);
        let now = self.owner.now();
        let is_cut_off_now = self
            .upstream_paths
            .borrow_mut()
            .record_blocked(now, address);
        log::info!(address; "an upstream is reached only through other nodes");
        if is_cut_off_now {
            self.connections.close_all_idle_direct();
            self.metrics.count("upstream_cuts_total", "all");
            log::warn!(
                "this node reaches no upstream directly; it connects to them through other nodes"
            );
        }
    }

    /// Keeps a direct connection that was slower than a tunnel, or records that it failed.
    async fn finish_raced(&self, address: &str, result: io::Result<Box<dyn NetworkStream>>) {
        match result {
            Ok(stream) => {
                let dialed = self.direct_connection(stream);
                self.keep_new_connection(address, dialed).await;
            }
            Err(error) => {
                log::debug!(address, error:%; "a direct connection failed while another node reached the upstream");
                self.record_blocked(address);
            }
        }
    }

    /// Uses the tunnel, if there is one, after a direct attempt failed with `error`.
    fn use_tunnel_after_failure(
        &self,
        address: &str,
        tunnel: Result<Dialed, Option<TunnelRefusal>>,
        error: io::Error,
    ) -> Result<Dialed, DialError> {
        match tunnel {
            Ok(dialed) => {
                self.record_blocked(address);
                Ok(dialed)
            }
            Err(verdict) => Err(self.classify_failure(address, verdict, error)),
        }
    }

    /// Decides what a failed connection means: `verdict` is what a forwarder says, `error` what the direct attempt does.
    fn classify_failure(
        &self,
        address: &str,
        verdict: Option<TunnelRefusal>,
        error: io::Error,
    ) -> DialError {
        let paths = self.upstream_paths.borrow();
        let is_confirmed = verdict == Some(TunnelRefusal::Unreachable)
            || paths.reaches_others(self.owner.now(), address);
        if is_confirmed {
            DialError::Unreachable(error)
        } else {
            DialError::NoPath
        }
    }
}
