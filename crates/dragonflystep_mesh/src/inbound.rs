//! Incoming connections: accepted, bounded in number, and closed when nobody needs them.

use {
    crate::{
        gate::Gate,
        limits::{CONNECTIONS_OF_A_NODE, INBOUND_CONNECTIONS, INBOUND_IDLE},
        mesh::Shared,
        mesh_capnp::gate,
        session::Session,
    },
    capnp_rpc::new_client,
    dragonflystep_core::ids::NodeId,
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        rc::{Rc, Weak},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
    tokio_util::sync::CancellationToken,
};

/// Wait after the system refused a connection, for example because no file number was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Connections that proved a name, oldest first.
type Admitted = RefCell<HashMap<NodeId, VecDeque<Weak<Visitor>>>>;

/// One incoming connection as its gate knows it.
pub(crate) struct Visitor {
    /// Where it comes from.
    pub(crate) address: SocketAddr,
    /// Point in time at which the connection is closed, unless something arrives.
    closes_at: Cell<Instant>,
    is_admitted: Cell<bool>,
    dismissed: CancellationToken,
    admitted: Rc<Admitted>,
}

impl Visitor {
    fn new(address: SocketAddr, patience: Duration, admitted: Rc<Admitted>) -> Self {
        Self {
            address,
            closes_at: Cell::new(Instant::now() + patience),
            is_admitted: Cell::new(false),
            dismissed: CancellationToken::new(),
            admitted,
        }
    }

    /// Notes that the connection proved a name; the node's oldest connection makes room.
    ///
    /// A connection that went silent is never closed by its opener as far as this side can see, so that
    /// those of a node with a bad network would add up.
    pub(crate) fn admit(self: &Rc<Self>, node: &NodeId) {
        self.is_admitted.set(true);
        self.touch();
        let mut admitted = self.admitted.borrow_mut();
        admitted.retain(|_, connections| {
            connections.retain(|connection| connection.strong_count() > 0);
            !connections.is_empty()
        });
        let connections = admitted.entry(node.clone()).or_default();
        connections.push_back(Rc::downgrade(self));
        if connections.len() > CONNECTIONS_OF_A_NODE
            && let Some(oldest) = connections.pop_front().and_then(|oldest| oldest.upgrade())
        {
            oldest.dismiss();
        }
    }

    /// Notes that something arrived.
    pub(crate) fn touch(&self) {
        self.closes_at.set(Instant::now() + INBOUND_IDLE);
    }

    /// Closes the connection.
    pub(crate) fn dismiss(&self) {
        self.dismissed.cancel();
    }

    async fn grew_idle(&self) {
        while Instant::now() < self.closes_at.get() {
            sleep_until(self.closes_at.get()).await;
        }
    }
}

/// Accepts connections for as long as it is polled.
pub(crate) async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    let admitted = Rc::new(Admitted::default());
    let mut connections = JoinSet::new();
    loop {
        let accepted = listener.accept().await;
        while connections.try_join_next().is_some() {}
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if connections.len() >= INBOUND_CONNECTIONS {
            log::warn!("a connection from {address} is refused: there are too many");
            shared.counters.connections_refused.add(1);
            continue;
        }
        let patience = shared.settings.connect_timeout + shared.settings.call_timeout;
        let visitor = Rc::new(Visitor::new(address, patience, admitted.clone()));
        connections.spawn_local(serve(stream, visitor, shared.clone()));
    }
}

async fn serve(stream: TcpStream, visitor: Rc<Visitor>, shared: Arc<Shared>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a connection from {} ended: {error}", visitor.address);
        return;
    }
    let gate: gate::Client = new_client(Gate {
        shared: shared.clone(),
        visitor: visitor.clone(),
    });
    let mut session = Session::serve(stream, shared.counters.clone(), gate.client);
    tokio::select! {
        () = session.ended() => {}
        () = visitor.dismissed.cancelled() => {}
        () = visitor.grew_idle() => {}
    }
    if !visitor.is_admitted.get() {
        log::warn!(
            "a connection from {} ended before it had proved a name",
            visitor.address,
        );
        shared.counters.connections_refused.add(1);
    }
}
