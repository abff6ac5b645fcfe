//! Graceful shutdown: the node announces that it is leaving, serves callers that have not learned of it yet, waits
//! until open requests have ended and their answers are written, and exits.

use {
    crate::{
        exchange::notify_partners,
        limits::{STOP_ACCEPT_TIME, STOP_MARGIN},
        node::{Node, NodeError},
        platform::Platform,
    },
    std::{cell::Cell, future::Future, rc::Rc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::watch,
        task::spawn_local,
        time::{Instant, sleep},
    },
};

/// Interval at which the open requests and connections are checked during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Whether and since when the node is stopping, and how many requests and connections of callers are open.
pub(crate) struct StopSignal {
    since: Cell<Option<Instant>>,
    open_requests: Cell<usize>,
    /// Connections of callers. An answer is written for as long as its caller takes to read it, after its request has ended.
    open_connections: Cell<usize>,
    /// Listeners for callers, which may hold connections that are not accepted yet.
    open_listeners: Cell<usize>,
    closing: watch::Sender<bool>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self {
            since: Cell::new(None),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            open_listeners: Cell::new(0),
            closing: watch::channel(false).0,
        }
    }
}

impl StopSignal {
    /// Whether the node was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.since.get().is_some()
    }

    /// Whether new requests are refused, because the rest of the grace period may be too short for them.
    pub(crate) fn refuses_new(&self) -> bool {
        let since = self.since.get();
        since.is_some_and(|since| since.elapsed() > STOP_ACCEPT_TIME)
    }

    /// A receiver that changes to true when connections are to be closed after their current answer.
    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn open_request(node: &Rc<Node>) -> OpenRequest {
        let open = &node.stop.open_requests;
        open.set(open.get() + 1);
        OpenRequest(node.clone())
    }

    /// Counts a caller's connection as open until the returned guard is dropped.
    pub(crate) fn open_connection(node: &Rc<Node>) -> OpenConnectionGuard {
        let open = &node.stop.open_connections;
        open.set(open.get() + 1);
        OpenConnectionGuard(node.clone())
    }

    /// Counts a listener for callers as open until the returned guard is dropped.
    pub(crate) fn open_listener(node: &Rc<Node>) -> OpenListenerGuard {
        let open = &node.stop.open_listeners;
        open.set(open.get() + 1);
        OpenListenerGuard(node.clone())
    }

    /// Whether requests are open, connections on which answers may still be written, or listeners.
    fn is_busy(&self) -> bool {
        let open = [
            &self.open_requests,
            &self.open_connections,
            &self.open_listeners,
        ];
        open.iter().any(|open| open.get() > 0)
    }
}

/// Guard for a request that has no final answer yet.
pub(crate) struct OpenRequest(Rc<Node>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.0.stop.open_requests;
        open.set(open.get() - 1);
    }
}

/// Guard for a caller's connection.
pub(crate) struct OpenConnectionGuard(Rc<Node>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let open = &self.0.stop.open_connections;
        open.set(open.get() - 1);
    }
}

/// Guard for a listener for callers.
pub(crate) struct OpenListenerGuard(Rc<Node>);

impl Drop for OpenListenerGuard {
    fn drop(&mut self) {
        let open = &self.0.stop.open_listeners;
        open.set(open.get() - 1);
    }
}

/// Installs the signal handlers and returns a future that waits for SIGTERM or SIGINT. SIGHUP is only logged.
///
/// To be called before the node listens: a signal without a handler ends the process. Must be called in the context of a
/// Tokio runtime.
///
/// # Errors
/// If a signal handler can't be installed, the future returns the error.
pub fn stop_signal() -> impl Future<Output = Result<(), NodeError>> {
    let handlers = [
        SignalKind::terminate(),
        SignalKind::interrupt(),
        SignalKind::hangup(),
    ]
    .map(signal);
    async move {
        let [terminate, interrupt, hangup] = handlers;
        let mut terminate = terminate.map_err(NodeError::Signals)?;
        let mut interrupt = interrupt.map_err(NodeError::Signals)?;
        let mut hangup = hangup.map_err(NodeError::Signals)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => return Ok(()),
                _ = interrupt.recv() => return Ok(()),
                _ = hangup.recv() => log::info!("reload requested; the settings file will be read within a second"),
            }
        }
    }
}

/// Announces that the node is leaving and waits until its open requests have ended and their answers are written, or the
/// grace period is nearly over.
pub(crate) async fn stop(node: &Rc<Node>, platform: Rc<dyn Platform>) {
    let since = Instant::now();
    node.stop.since.set(Some(since));
    log::info!(open_requests = node.stop.open_requests.get(); "node is stopping");
    notify_partners(node);
    spawn_local(platform.withdraw(node.clone()));
    sleep(STOP_ACCEPT_TIME).await;
    node.stop.closing.send_replace(true);
    let wait_limit = node.stop_grace.get().saturating_sub(STOP_MARGIN);
    while node.stop.is_busy() && since.elapsed() < wait_limit {
        sleep(POLL_INTERVAL).await;
    }
    log::info!(open_requests = node.stop.open_requests.get(), open_connections = node.stop.open_connections.get(); "node stops now");
    // Leaves time to close connections properly.
    sleep(POLL_INTERVAL).await;
}
