//! Connections of the stand-in that can be closed or silenced from outside.

use {
    futures::task::AtomicWaker,
    salvo::{
        conn::{
            Accepted, Acceptor, Holding,
            tcp::{TcpAcceptor, TcpCoupler},
        },
        fuse::FuseFactory,
    },
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU8, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

type TcpPart = <TcpAcceptor as Acceptor>::Stream;

const WORKS: u8 = 0;
const SILENT: u8 = 1;
const CLOSED: u8 = 2;

/// What one connection does, and whom to wake when that changes.
#[derive(Debug, Default)]
struct Switch {
    state: AtomicU8,
    waker: AtomicWaker,
}

impl Switch {
    fn set(&self, state: u8) {
        // A closed connection stays closed, and a silent one can only be closed.
        self.state.fetch_max(state, Ordering::SeqCst);
        self.waker.wake();
    }

    /// Ready when the connection works, an error when it is closed, pending while it is silent.
    fn poll_works(&self, context: &Context<'_>) -> Poll<io::Result<()>> {
        self.waker.register(context.waker());
        match self.state.load(Ordering::SeqCst) {
            WORKS => Poll::Ready(Ok(())),
            SILENT => Poll::Pending,
            _ => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

/// The open connections by the address of the other end.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections {
    open: Arc<Mutex<HashMap<SocketAddr, Arc<Switch>>>>,
}

impl Connections {
    /// Closes one connection; what it still had to answer is dropped.
    pub(super) fn close(&self, remote: SocketAddr) {
        if let Some(connection) = self.lock().get(&remote) {
            connection.set(CLOSED);
        }
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        for connection in self.lock().values() {
            connection.set(CLOSED);
        }
    }

    /// Lets the open connections go silent for good.
    pub(super) fn silence_all(&self) {
        for connection in self.lock().values() {
            connection.set(SILENT);
        }
    }

    fn add(&self, remote: SocketAddr) -> Arc<Switch> {
        let switch = Arc::<Switch>::default();
        self.lock().insert(remote, switch.clone());
        switch
    }

    fn remove(&self, remote: SocketAddr, switch: &Arc<Switch>) {
        let mut open = self.lock();
        // The port may have been taken by a newer connection meanwhile.
        if open
            .get(&remote)
            .is_some_and(|known| Arc::ptr_eq(known, switch))
        {
            open.remove(&remote);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Switch>>> {
        // A map of shared switches stays whole when a holder of the lock panics.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts connections and enters them in the list.
pub(super) struct ListedAcceptor {
    inner: TcpAcceptor,
    connections: Connections,
    accepted: Box<dyn Fn() + Send + Sync>,
}

impl ListedAcceptor {
    /// Calls `accepted` for each connection.
    pub(super) fn new(
        inner: TcpAcceptor,
        connections: Connections,
        accepted: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Self {
            inner,
            connections,
            accepted: Box::new(accepted),
        }
    }
}

impl Acceptor for ListedAcceptor {
    type Coupler = TcpCoupler<ListedStream>;
    type Stream = ListedStream;

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }

    async fn accept(
        &mut self,
        fuse_factory: Option<Arc<dyn FuseFactory + Sync + Send>>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let accepted = self.inner.accept(fuse_factory).await?;
        (self.accepted)();
        let no_address = || io::Error::other("a TCP connection without an IP address");
        let remote = accepted.remote_addr.clone().into_std();
        let remote = remote.ok_or_else(no_address)?;
        let connections = self.connections.clone();
        let listed = move |inner| ListedStream {
            inner,
            remote,
            switch: connections.add(remote),
            connections,
        };
        Ok(accepted.map_into(|_| TcpCoupler::new(), listed))
    }
}

/// A connection that obeys its switch.
pub(super) struct ListedStream {
    inner: TcpPart,
    remote: SocketAddr,
    switch: Arc<Switch>,
    connections: Connections,
}

impl ListedStream {
    fn poll_inner(&mut self, context: &Context<'_>) -> Poll<io::Result<Pin<&mut TcpPart>>> {
        let works = self.switch.poll_works(context);
        works.map_ok(|()| Pin::new(&mut self.inner))
    }
}

impl Drop for ListedStream {
    fn drop(&mut self) {
        self.connections.remove(self.remote, &self.switch);
    }
}

impl AsyncRead for ListedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_inner(context) {
            Poll::Ready(Ok(inner)) => inner.poll_read(context, buffer),
            Poll::Ready(Err(fault)) => Poll::Ready(Err(fault)),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for ListedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_inner(context) {
            Poll::Ready(Ok(inner)) => inner.poll_write(context, bytes),
            Poll::Ready(Err(fault)) => Poll::Ready(Err(fault)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_inner(context) {
            Poll::Ready(Ok(inner)) => inner.poll_flush(context),
            Poll::Ready(Err(fault)) => Poll::Ready(Err(fault)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.poll_inner(context) {
            Poll::Ready(Ok(inner)) => inner.poll_shutdown(context),
            Poll::Ready(Err(fault)) => Poll::Ready(Err(fault)),
            Poll::Pending => Poll::Pending,
        }
    }
}
