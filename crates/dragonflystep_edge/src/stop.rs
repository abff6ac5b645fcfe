//! Stopping: leave the lists first, serve those who could not know, let requests end, then exit.

use {
    crate::{
        exchange::tell_neighbours,
        limits::{STOP_MARGIN, STOP_SERVES_NEW},
        node::{Node, NodeError},
        platform::Platform,
    },
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::watch,
        task::spawn_local,
        time::sleep,
    },
};

/// Time between two looks at requests that have not ended.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Whether the node is stopping, and what it still serves.
pub(crate) struct StopSignal {
    since: Cell<Option<Instant>>,
    open_requests: Cell<usize>,
    closing: watch::Sender<bool>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self {
            since: Cell::new(None),
            open_requests: Cell::new(0),
            closing: watch::channel(false).0,
        }
    }
}

impl StopSignal {
    /// Whether the node was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.since.get().is_some()
    }

    /// Whether new requests are refused, since the rest of the grace period may be too short for them.
    pub(crate) fn refuses_new(&self) -> bool {
        let since = self.since.get();
        since.is_some_and(|since| since.elapsed() > STOP_SERVES_NEW)
    }

    /// Changes to true when connections are to be closed after their answer.
    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Counts a request as open until the returned value is dropped.
    pub(crate) fn open_request(node: &Rc<Node>) -> OpenRequest {
        let open = &node.stop.open_requests;
        open.set(open.get() + 1);
        OpenRequest(node.clone())
    }
}

/// A request that has no final answer yet.
pub(crate) struct OpenRequest(Rc<Node>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.0.stop.open_requests;
        open.set(open.get() - 1);
    }
}

/// Waits for SIGTERM or SIGINT; SIGHUP is noted.
///
/// # Errors
/// When signals can't be received.
pub async fn stop_signal() -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(NodeError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(NodeError::Signals)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("reload asked for; the settings file is read within a second"),
        }
    }
}

/// Leaves the lists and waits for the end of the node's requests.
pub(crate) async fn stop(node: &Rc<Node>, platform: Rc<dyn Platform>) {
    let since = Instant::now();
    node.stop.since.set(Some(since));
    log::info!(open_requests = node.stop.open_requests.get(); "node is stopping");
    tell_neighbours(node);
    spawn_local(platform.withdraw(node.clone()));
    sleep(STOP_SERVES_NEW).await;
    node.stop.closing.send_replace(true);
    let last = node.stop_grace.get().saturating_sub(STOP_MARGIN);
    while node.stop.open_requests.get() > 0 && since.elapsed() < last {
        sleep(LOOK_INTERVAL).await;
    }
    log::info!(open_requests = node.stop.open_requests.get(); "node stops now");
    // Last answers are written out, and connections are closed with notice.
    sleep(LOOK_INTERVAL).await;
}
