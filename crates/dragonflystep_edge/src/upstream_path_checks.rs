//! Checks whether upstreams are reached directly, by health checks on new connections.
//!
//! A connection that opens may still carry nothing, so that only an answer counts. A full upstream answers late on any
//! path; a path counts as blocked only if another node gets an answer in the meantime.

use {
    crate::{
        limits::{
            BREAK_CHECK_TIMEOUT, DIRECT_PROBE_INTERVAL, MAX_FORWARDERS_TRIED, OTHERS_CHECKED,
            PATH_CHECK_TIMEOUT, TUNNEL_CHECK_DELAY, TUNNEL_CHECK_INTERVAL, TUNNEL_CHECK_TIMEOUT,
        },
        node::Node,
        upstream_connections::SendError,
        upstream_dialer::{Forwarder, dial, open_tunnel_through},
        upstream_health::{HealthCheck, HealthError},
    },
    dragonflystep_peer::{TunnelError, TunnelRefusal},
    futures::{StreamExt, stream::FuturesUnordered},
    rand::seq::IteratorRandom,
    std::{pin::pin, rc::Rc, time::Duration},
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

/// Tries direct connections to some upstreams that are reached only through other nodes.
pub(crate) fn probe_blocked_upstreams(node: &Rc<Node>) {
    let due = node
        .upstream_paths
        .borrow_mut()
        .take_due_probes(node.owner.now());
    for address in due {
        spawn_local(probe(node.clone(), address));
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
        spawn_local(check_silent_upstream(
            node.clone(),
            upstream.address.clone(),
        ));
    }
}

async fn check_silent_upstream(node: Rc<Node>, address: String) {
    match HealthCheck::of_address(&node, &address) {
        Some(check) => {
            check_path(&node, &address, &check, PATH_CHECK_TIMEOUT).await;
        }
        None => dial_and_keep(&node, &address).await,
    }
}

/// What the check of the path to an upstream shows.
enum PathVerdict {
    /// The upstream answers this node.
    Direct,
    /// The upstream answers only through another node.
    Blocked,
    /// A node that reaches others does not reach the upstream either.
    Unreachable,
    /// Nobody got an answer in time.
    Unknown,
}

impl Node {
    /// Whether a connection to an upstream that broke without an answer says nothing about the upstream: the path of this
    /// node or of the forwarder is broken, or this node reaches no other upstream either.
    pub(crate) async fn is_break_of_path(
        &self,
        address: &str,
        forwarder: Option<&Forwarder>,
    ) -> bool {
        // Many connections may break at once; what the first check shows goes for the others.
        let _guard = self.break_check.lock().await;
        if let Some(forwarder) = forwarder {
            return self.is_break_of_forwarder(address, forwarder).await;
        }
        let now = self.owner.now();
        if self.upstream_paths.borrow().is_blocked(address) {
            return true;
        }
        let check = HealthCheck::of_address(self, address);
        let check = check.filter(|_| self.upstream_paths.borrow_mut().take_fallback_permit(now));
        let Some(check) = check else {
            return !self.upstream_paths.borrow().reaches_others(now, address);
        };
        match check_path(self, address, &check, BREAK_CHECK_TIMEOUT).await {
            PathVerdict::Blocked => true,
            PathVerdict::Direct | PathVerdict::Unreachable => false,
            PathVerdict::Unknown => {
                let reaches_another = self.is_answered_by_another(address).await;
                if !reaches_another {
                    self.upstream_paths.borrow_mut().record_no_answer();
                }
                !reaches_another
            }
        }
    }

    /// Whether a tunnel broke for another reason than the upstream: no other node that reaches others confirms that this
    /// upstream can't be reached, or another tunnel through the same forwarder broke just before.
    async fn is_break_of_forwarder(&self, address: &str, forwarder: &Forwarder) -> bool {
        let now = self.owner.now();
        if self
            .upstream_paths
            .borrow()
            .is_avoided(now, &forwarder.node)
        {
            return true;
        }
        self.avoid_forwarder(&forwarder.node);
        let Some(check) = HealthCheck::of_address(self, address) else {
            return false;
        };
        let checking = check_by_tunnels(self, address, &check);
        let verdict = timeout(BREAK_CHECK_TIMEOUT, checking).await;
        !matches!(verdict, Ok(PathVerdict::Unreachable))
    }

    /// Whether one of a few upstreams other than the one at `excluded` answers a direct health check.
    async fn is_answered_by_another(&self, excluded: &str) -> bool {
        let registry = self.views.registry();
        let others = registry.upstreams.iter();
        let others = others
            .filter(|upstream| upstream.address != excluded)
            .choose_multiple(&mut *self.random.borrow_mut(), OTHERS_CHECKED);
        let mut checks: FuturesUnordered<_> = others
            .into_iter()
            .map(|upstream| async {
                let check = HealthCheck::of_address(self, &upstream.address)?;
                let checking = check_directly(self, &upstream.address, Some(&check));
                timeout(BREAK_CHECK_TIMEOUT, checking).await.ok()?.ok()
            })
            .collect();
        while let Some(answer) = checks.next().await {
            if answer.is_some() {
                return true;
            }
        }
        false
    }
}

/// Checks whether the upstream at an address answers directly or through other nodes; records it if its path is blocked.
async fn check_path(
    node: &Node,
    address: &str,
    check: &HealthCheck,
    limit: Duration,
) -> PathVerdict {
    let mut direct = pin!(check_directly(node, address, Some(check)));
    let checking = async {
        match timeout(TUNNEL_CHECK_DELAY, &mut direct).await {
            Ok(Ok(())) => PathVerdict::Direct,
            Ok(Err(_)) => check_by_tunnels(node, address, check).await,
            Err(_) => {
                tokio::select! {
                    biased;
                    Ok(()) = &mut direct => PathVerdict::Direct,
                    verdict = check_by_tunnels(node, address, check) => verdict,
                }
            }
        }
    };
    let verdict = timeout(limit, checking).await;
    let verdict = verdict.unwrap_or(PathVerdict::Unknown);
    match verdict {
        PathVerdict::Blocked => node.record_blocked(address),
        PathVerdict::Unknown => {
            log::debug!(address; "an upstream answers neither directly nor through another node in time");
        }
        PathVerdict::Direct | PathVerdict::Unreachable => {}
    }
    verdict
}

/// Sends health checks through a few nodes, one soon after the other, as some may be cut off themselves without having
/// noticed. The first that shows anything decides.
async fn check_by_tunnels(node: &Node, address: &str, check: &HealthCheck) -> PathVerdict {
    let forwarders = node.forwarders(MAX_FORWARDERS_TRIED, None).into_iter();
    let mut attempts: FuturesUnordered<_> = (0..)
        .zip(forwarders)
        .map(|(index, forwarder)| async move {
            sleep(TUNNEL_CHECK_INTERVAL * index).await;
            check_through(node, forwarder, address, check).await
        })
        .collect();
    while let Some(verdict) = attempts.next().await {
        if !matches!(verdict, PathVerdict::Unknown) {
            return verdict;
        }
    }
    PathVerdict::Unknown
}

/// Sends a health check through a forwarder, which is left out for a while if there is no answer.
async fn check_through(
    node: &Node,
    forwarder: Forwarder,
    address: &str,
    check: &HealthCheck,
) -> PathVerdict {
    let now = node.owner.now();
    if !node.upstream_paths.borrow_mut().take_fallback_permit(now) {
        return PathVerdict::Unknown;
    }
    let name = forwarder.node.clone();
    let checking = async {
        match open_tunnel_through(node, forwarder, address).await {
            Ok(dialed) => match check.send_on_new(node, dialed).await {
                Ok(_) => PathVerdict::Blocked,
                Err(_) => PathVerdict::Unknown,
            },
            Err(TunnelError::Refused(TunnelRefusal::Unreachable)) => PathVerdict::Unreachable,
            Err(_) => PathVerdict::Unknown,
        }
    };
    let verdict = timeout(TUNNEL_CHECK_TIMEOUT, checking).await;
    let verdict = verdict.unwrap_or(PathVerdict::Unknown);
    if matches!(verdict, PathVerdict::Unknown) {
        log::info!(forwarder:% = name, address; "a health check through another node was not answered");
        node.avoid_forwarder(&name);
    }
    verdict
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
