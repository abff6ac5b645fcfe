//! The handle by which a node uses its links.

use {
    crate::{
        counters::{Counters, MeshCounters},
        error::MeshError,
        link::Outgoing,
        thread::{self, LinkWanted},
    },
    dragonflystep_core::{ids::NodeId, message::Message},
    std::{
        collections::HashMap,
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::sync::mpsc::{self, error::TrySendError},
    tokio_util::sync::{CancellationToken, DropGuard},
};

/// What a node's links need to know.
#[derive(Clone)]
pub struct MeshSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Where to listen; port 0 takes any free one.
    pub listen_address: SocketAddr,
    /// The key that all nodes share.
    pub key: Arc<str>,
    /// Longest wait for the answer to a call.
    pub call_timeout: Duration,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Most messages that wait for one peer; further ones are dropped.
    pub max_queued_messages: usize,
}

impl fmt::Debug for MeshSettings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key is left out, so that no log shows it.
        formatter
            .debug_struct("MeshSettings")
            .field("node", &self.node)
            .field("listen_address", &self.listen_address)
            .field("call_timeout", &self.call_timeout)
            .field("connect_timeout", &self.connect_timeout)
            .field("max_queued_messages", &self.max_queued_messages)
            .finish_non_exhaustive()
    }
}

/// What happened on the links.
#[derive(Clone, Debug, PartialEq)]
pub enum MeshEvent {
    /// A message arrived.
    Received {
        /// The name that the connection proved.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// A peer could not be reached, or did not answer in time; messages to it may be lost.
    ///
    /// Repeated with every further try that fails. The next message tries again.
    PeerLost {
        /// The peer.
        node: NodeId,
    },
}

/// What all parts of one mesh share.
pub(crate) struct Shared {
    pub(crate) settings: MeshSettings,
    pub(crate) counters: Arc<Counters>,
    pub(crate) events: mpsc::UnboundedSender<MeshEvent>,
    pub(crate) stopping: CancellationToken,
}

struct Inner {
    shared: Arc<Shared>,
    queues: Mutex<HashMap<NodeId, mpsc::Sender<Outgoing>>>,
    wanted: mpsc::UnboundedSender<LinkWanted>,
    ended: CancellationToken,
    /// Stops the mesh with its last handle.
    _stop: DropGuard,
}

/// A node's links to its peers; clones are handles of the same links.
///
/// Links are opened with the first message to a peer. A message may be lost, and is never sent twice.
///
/// # Examples
/// ```
/// use {
///     dragonflystep_core::message::Message,
///     dragonflystep_mesh::{Mesh, MeshEvent, MeshSettings},
///     std::{net::SocketAddr, sync::Arc, time::Duration},
///     tokio::sync::mpsc,
/// };
/// # tokio::runtime::Builder::new_current_thread().build().expect("a runtime").block_on(async {
/// let settings = |node: &str| MeshSettings {
///     node: node.into(),
///     listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
///     key: "shared by all nodes".into(),
///     call_timeout: Duration::from_secs(5),
///     connect_timeout: Duration::from_secs(5),
///     max_queued_messages: 100,
/// };
/// let (events, _) = mpsc::unbounded_channel();
/// let (first, _) = Mesh::start(settings("first"), events)?;
/// let (events, mut received) = mpsc::unbounded_channel();
/// let (_second, address) = Mesh::start(settings("second"), events)?;
///
/// let message = Message::CatalogueWanted { have_version: 7 };
/// first.send(&"second".into(), &Arc::from(address.to_string()), message.clone());
/// let from = "first".into();
/// assert_eq!(received.recv().await, Some(MeshEvent::Received { from, message }));
/// # Ok::<(), dragonflystep_mesh::MeshError>(())
/// # }).expect("two meshes start");
/// ```
#[derive(Clone)]
pub struct Mesh {
    inner: Arc<Inner>,
}

impl Mesh {
    /// Listens, and starts the thread of the links.
    ///
    /// Returns the handle and the address that is listened on, once the thread listens there.
    ///
    /// # Errors
    /// When the address is in use or can't be listened on, when the key is empty, or when the system
    /// gives no thread.
    pub fn start(
        settings: MeshSettings,
        events: mpsc::UnboundedSender<MeshEvent>,
    ) -> Result<(Self, SocketAddr), MeshError> {
        if settings.key.is_empty() {
            return Err(MeshError::EmptyKey);
        }
        let stopping = CancellationToken::new();
        let ended = CancellationToken::new();
        let shared = Arc::new(Shared {
            settings,
            counters: Arc::default(),
            events,
            stopping: stopping.clone(),
        });
        let (wanted, orders) = mpsc::unbounded_channel();
        let address = thread::start(shared.clone(), orders, ended.clone().drop_guard())?;
        let inner = Inner {
            shared,
            queues: Mutex::default(),
            wanted,
            ended,
            _stop: stopping.drop_guard(),
        };
        let inner = Arc::new(inner);
        Ok((Self { inner }, address))
    }

    /// Queues a message for the peer `to`, which is at `address` now, and returns at once.
    ///
    /// When the queue of the peer is full or the mesh has stopped, the message is dropped and counted.
    pub fn send(&self, to: &NodeId, address: &Arc<str>, message: Message) {
        let outgoing = Outgoing {
            address: address.clone(),
            message,
        };
        if self.inner.shared.stopping.is_cancelled() || !self.queue(to, outgoing) {
            self.inner.shared.counters.messages_dropped.add(1);
        }
    }

    /// Counts since the start.
    pub fn counters(&self) -> MeshCounters {
        self.inner.shared.counters.snapshot()
    }

    /// Stops the links and returns at once; what is queued is still sent, for one call's time at most.
    pub fn stop(&self) {
        self.inner.shared.stopping.cancel();
    }

    /// Waits until the links have stopped and the address is free.
    pub async fn stopped(&self) {
        self.inner.ended.cancelled().await;
    }

    fn queue(&self, to: &NodeId, outgoing: Outgoing) -> bool {
        // A panic elsewhere leaves the map whole: every change of it is one call.
        let mut queues = self
            .inner
            .queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let outgoing = match queues.get(to) {
            None => outgoing,
            Some(queue) => match queue.try_send(outgoing) {
                Ok(()) => return true,
                Err(TrySendError::Full(_)) => return false,
                // The link ended because it had nothing to do.
                Err(TrySendError::Closed(outgoing)) => outgoing,
            },
        };
        queues.retain(|_, queue| !queue.is_closed());
        let (queue, waiting) = mpsc::channel(self.inner.shared.settings.max_queued_messages.max(1));
        let is_queued = queue.try_send(outgoing).is_ok();
        queues.insert(to.clone(), queue);
        let node = to.clone();
        let order = LinkWanted {
            node,
            queue: waiting,
        };
        is_queued && self.inner.wanted.send(order).is_ok()
    }
}
