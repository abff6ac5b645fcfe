//! The thread on which all links run.
//!
//! capnp-rpc keeps its state in one thread; so all of it has one of its own, and the rest of the node
//! speaks to it through channels.

use {
    crate::{
        error::MeshError,
        inbound::accept_connections,
        limits::WAITING_CONNECTIONS,
        link::{Link, Outgoing},
        mesh::Shared,
    },
    dragonflystep_core::ids::NodeId,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, mpsc::sync_channel},
        thread,
    },
    tokio::{
        net::{TcpListener, TcpSocket},
        runtime,
        sync::mpsc,
        task::{JoinSet, LocalSet, spawn_local},
        time::timeout,
    },
    tokio_util::sync::DropGuard,
};

/// Asks the thread for a link.
pub(crate) struct LinkWanted {
    /// The peer.
    pub(crate) node: NodeId,
    /// Where the link takes its messages from.
    pub(crate) queue: mpsc::Receiver<Outgoing>,
}

/// Starts the thread, and returns the address that it listens on; `ended` is dropped when it ends.
pub(crate) fn start(
    shared: Arc<Shared>,
    wanted: mpsc::UnboundedReceiver<LinkWanted>,
    ended: DropGuard,
) -> Result<SocketAddr, MeshError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(MeshError::Thread)?;
    let (listening, started) = sync_channel(1);
    thread::Builder::new()
        .name("mesh".to_owned())
        .spawn(move || {
            let _ended = ended;
            let run = async {
                match listen(shared.settings.listen_address) {
                    Ok((listener, address)) => {
                        let _ = listening.send(Ok(address));
                        run(listener, shared, wanted).await;
                    }
                    Err(error) => {
                        let _ = listening.send(Err(error));
                    }
                }
            };
            LocalSet::new().block_on(&runtime, run);
        })
        .map_err(MeshError::Thread)?;
    started
        .recv()
        .map_err(|_| MeshError::Thread(io::ErrorKind::BrokenPipe.into()))?
}

/// Listens with room for all nodes at once, as they come after a restart; the usual length is too short.
fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), MeshError> {
    let bind = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // Connections of an earlier process on the address are no reason to wait.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(WAITING_CONNECTIONS)?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    bind().map_err(|source: io::Error| match source.kind() {
        io::ErrorKind::AddrInUse => MeshError::AddressInUse { address },
        _ => MeshError::Listen { address, source },
    })
}

async fn run(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut wanted: mpsc::UnboundedReceiver<LinkWanted>,
) {
    let accepting = spawn_local(accept_connections(listener, shared.clone()));
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            () = shared.stopping.cancelled() => break,
            Some(_) = links.join_next() => {}
            order = wanted.recv() => match order {
                Some(order) => start_link(&mut links, &shared, order),
                None => break,
            },
        }
    }
    // A link that was asked for just before the stop has messages too.
    wanted.close();
    while let Some(order) = wanted.recv().await {
        start_link(&mut links, &shared, order);
    }
    // No new connection is accepted while the links write out what is queued.
    accepting.abort();
    let flushed = timeout(shared.settings.call_timeout, async {
        while links.join_next().await.is_some() {}
    });
    if flushed.await.is_err() {
        log::warn!("the mesh stops with messages unsent");
    }
}

fn start_link(links: &mut JoinSet<()>, shared: &Arc<Shared>, order: LinkWanted) {
    let LinkWanted { node, queue } = order;
    links.spawn_local(Link::new(shared.clone(), node, queue).run());
}
