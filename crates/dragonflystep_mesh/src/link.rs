//! The outgoing link to one peer: a queue, a connection while there is one, and what follows a failure.
//!
//! One batch is under way at a time; what is sent meanwhile waits and makes the next one. A batch whose
//! arrival the peer does not confirm is lost. A connection that breaks is replaced at once; a peer that
//! can't be reached, or that does not answer in time, is reported as lost.

use {
    crate::{
        connection::Connection,
        error::LinkError,
        limits::{BATCH_MESSAGES, FIRST_BACKOFF, LONGEST_BACKOFF, OUTBOUND_IDLE},
        mesh::{MeshEvent, Shared},
    },
    dragonflystep_core::{ids::NodeId, message::Message},
    std::{future::pending, sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{Instant, sleep, sleep_until},
    },
};

/// A message on its way to a link.
pub(crate) struct Outgoing {
    /// Where the peer is now.
    pub(crate) address: Arc<str>,
    /// The message.
    pub(crate) message: Message,
}

/// What a link waits for.
enum Wake {
    Messages,
    ConnectionEnded,
    /// Nothing was sent for long, or the mesh is stopping.
    Closing,
    QueueEnded,
}

/// When the next connection may be tried.
struct Backoff {
    /// The address that failed; another one may be tried at once.
    address: Option<Arc<str>>,
    wait: Duration,
    until: Instant,
}

impl Backoff {
    fn new() -> Self {
        Self {
            address: None,
            wait: FIRST_BACKOFF,
            until: Instant::now(),
        }
    }

    fn lengthen(&mut self, address: &Arc<str>) {
        self.address = Some(address.clone());
        self.until = Instant::now() + self.wait;
        self.wait = (self.wait * 2).min(LONGEST_BACKOFF);
    }

    async fn pass(&self, address: &Arc<str>) {
        if self.address.as_ref() == Some(address) {
            sleep_until(self.until).await;
        }
    }
}

/// The link to one peer.
pub(crate) struct Link {
    shared: Arc<Shared>,
    node: NodeId,
    queue: mpsc::Receiver<Outgoing>,
    connection: Option<Connection>,
    backoff: Backoff,
    has_connected: bool,
    is_closing: bool,
}

impl Link {
    pub(crate) fn new(shared: Arc<Shared>, node: NodeId, queue: mpsc::Receiver<Outgoing>) -> Self {
        Self {
            shared,
            node,
            queue,
            connection: None,
            backoff: Backoff::new(),
            has_connected: false,
            is_closing: false,
        }
    }

    /// Sends what is queued until the queue is closed and empty.
    pub(crate) async fn run(mut self) {
        let mut batch = Vec::new();
        loop {
            match self.wait(&mut batch).await {
                Wake::Messages => self.send_batch(&mut batch).await,
                Wake::ConnectionEnded => self.replace_connection().await,
                Wake::Closing => {
                    // The queue is closed before it is emptied, so that no message is left in it.
                    self.is_closing = true;
                    self.queue.close();
                }
                Wake::QueueEnded => return,
            }
        }
    }

    async fn wait(&mut self, batch: &mut Vec<Outgoing>) -> Wake {
        let connection_ended = async {
            match &mut self.connection {
                Some(connection) => connection.session.ended().await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            () = connection_ended => Wake::ConnectionEnded,
            count = self.queue.recv_many(batch, BATCH_MESSAGES) => match count {
                0 => Wake::QueueEnded,
                _ => Wake::Messages,
            },
            () = self.shared.stopping.cancelled(), if !self.is_closing => Wake::Closing,
            () = sleep(OUTBOUND_IDLE), if !self.is_closing => Wake::Closing,
        }
    }

    async fn send_batch(&mut self, batch: &mut Vec<Outgoing>) {
        let Some(address) = batch.last().map(|last| last.address.clone()) else {
            return;
        };
        if !self.is_connected_to(&address) {
            self.connection = None;
            self.backoff.pass(&address).await;
            if let Err(error) = self.open_connection(&address).await {
                // What is sent after the report is not among what is given up.
                self.give_up_queued(batch.len());
                batch.clear();
                self.report_lost(&error);
                return;
            }
        }
        let messages: Vec<Message> = batch.drain(..).map(|outgoing| outgoing.message).collect();
        if let Err(error) = self.deliver(&messages).await {
            self.recover(&error).await;
        }
    }

    fn is_connected_to(&self, address: &Arc<str>) -> bool {
        self.connection.as_ref().is_some_and(|connection| {
            connection.address == *address && !connection.session.has_ended()
        })
    }

    /// Opens a connection; a failure lengthens the wait for the next one.
    async fn open_connection(&mut self, address: &Arc<str>) -> Result<(), LinkError> {
        let opened = Connection::open(&self.shared, &self.node, address).await;
        let connection = opened.inspect_err(|_| self.backoff.lengthen(address))?;
        if self.has_connected {
            self.shared.counters.reconnects.add(1);
        }
        self.has_connected = true;
        self.connection = Some(connection);
        Ok(())
    }

    /// Delivers messages, in halves while they are too large for one batch.
    async fn deliver(&mut self, messages: &[Message]) -> Result<(), LinkError> {
        let call_timeout = self.shared.settings.call_timeout;
        // A stack, with the part that goes next on top.
        let mut parts = vec![messages];
        while let Some(part) = parts.pop() {
            let Some(connection) = &mut self.connection else {
                break;
            };
            let counters = &self.shared.counters;
            match connection.deliver(part, call_timeout).await {
                Ok(()) => {
                    connection.has_delivered = true;
                    self.backoff = Backoff::new();
                    counters.messages_sent.add(part.len());
                }
                Err(error) if error.is_of_content() && part.len() > 1 => {
                    let (first, second) = part.split_at(part.len() / 2);
                    parts.extend([second, first]);
                }
                Err(error) if error.is_of_content() => {
                    log::error!("a message to {} can't be sent: {error}", self.node);
                    counters.messages_dropped.add(1);
                }
                Err(error) => {
                    let unsent: usize = parts.iter().map(|part| part.len()).sum();
                    counters.messages_lost.add(part.len() + unsent);
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    /// Follows a batch that was lost.
    async fn recover(&mut self, error: &LinkError) {
        if matches!(error, LinkError::CallTimeout(_)) {
            // The next message opens a new connection without a wait: this one alone may be silent.
            self.connection = None;
            self.report_lost(error);
            return;
        }
        log::debug!("the connection to {} broke: {error}", self.node);
        self.replace_connection().await;
    }

    /// Replaces a connection that broke.
    async fn replace_connection(&mut self) {
        let Some(broken) = self.connection.take() else {
            return;
        };
        if self.is_closing && self.queue.is_empty() {
            return;
        }
        if broken.has_delivered {
            if let Err(error) = self.open_connection(&broken.address).await {
                self.report_lost(&error);
            }
            return;
        }
        // A peer that takes connections but no batch would otherwise be tried without end.
        self.backoff.lengthen(&broken.address);
        self.report_lost(&LinkError::Unusable);
    }

    /// Forgets what waits for a peer that can't be reached, so that it gets nothing stale later.
    fn give_up_queued(&mut self, unsent: usize) {
        let mut lost = unsent;
        while self.queue.try_recv().is_ok() {
            lost += 1;
        }
        self.shared.counters.messages_lost.add(lost);
    }

    fn report_lost(&self, error: &LinkError) {
        log::warn!("the peer {} is lost: {error}", self.node);
        let node = self.node.clone();
        // Nobody listens any more when the node has stopped.
        let _ = self.shared.events.send(MeshEvent::PeerLost { node });
    }
}
