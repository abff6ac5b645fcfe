//! Faults of TCP connections under an HTTP stand-in: silence, breaks, a listener that is gone for a while.
//!
//! The bytes themselves are held back, below HTTP. So a silent connection is silent for whatever runs over it, and new
//! connections are not touched.

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
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, Weak,
            atomic::{AtomicU8, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpListener,
        sync::Notify,
        time::{Instant, sleep, sleep_until},
    },
};

/// Pause between two attempts to listen again.
const BIND_PAUSE: Duration = Duration::from_millis(10);

const WORKS: u8 = 0;
const SILENT: u8 = 1;
const BROKEN: u8 = 2;

#[derive(Debug, Default)]
struct Switch {
    mode: AtomicU8,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl Switch {
    fn set(&self, mode: u8) {
        self.mode.fetch_max(mode, Ordering::AcqRel);
        self.reader.wake();
        self.writer.wake();
    }

    /// Ready with an error once broken, pending while silent, `None` while the connection works.
    fn check<T>(&self, waker: &AtomicWaker, context: &Context<'_>) -> Option<Poll<io::Result<T>>> {
        waker.register(context.waker());
        match self.mode.load(Ordering::Acquire) {
            WORKS => None,
            SILENT => Some(Poll::Pending),
            _ => Some(Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))),
        }
    }
}

#[derive(Debug, Default)]
struct Connections {
    open: Vec<(Option<SocketAddr>, Weak<Switch>)>,
    silence_new: bool,
    refuse_until: Option<Instant>,
    closed: bool,
}

/// Handle on the connections of one listener.
#[derive(Debug, Clone, Default)]
pub struct ConnectionControl {
    connections: Arc<Mutex<Connections>>,
    changed: Arc<Notify>,
}

impl ConnectionControl {
    /// All connections that are open now go silent for good; new ones work.
    pub fn silence_existing(&self) {
        self.set_open(SILENT);
    }

    /// While on, connections are accepted and are silent for good.
    pub fn silence_new(&self, on: bool) {
        self.lock().silence_new = on;
    }

    /// Breaks all open connections.
    pub fn break_all(&self) {
        self.set_open(BROKEN);
    }

    /// Breaks the open connection from `remote`.
    pub fn break_one(&self, remote: SocketAddr) {
        self.set_one(remote, BROKEN);
    }

    /// The open connection from `remote` goes silent for good.
    pub fn silence_one(&self, remote: SocketAddr) {
        self.set_one(remote, SILENT);
    }

    /// Refuses connections for a while; those that are open stay.
    pub fn refuse_for(&self, time: Duration) {
        self.lock().refuse_until = Some(Instant::now() + time);
        self.changed.notify_one();
    }

    /// Breaks all connections and refuses new ones for good.
    pub fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_one();
        self.break_all();
    }

    fn set_open(&self, mode: u8) {
        for (_, open) in &self.lock().open {
            if let Some(switch) = open.upgrade() {
                switch.set(mode);
            }
        }
    }

    fn set_one(&self, remote: SocketAddr, mode: u8) {
        let connections = self.lock();
        let mut from_remote = connections
            .open
            .iter()
            .filter(|(from, _)| *from == Some(remote));
        if let Some(switch) = from_remote.find_map(|(_, open)| open.upgrade()) {
            switch.set(mode);
        }
    }

    fn add(&self, remote: Option<SocketAddr>) -> Arc<Switch> {
        let switch = Arc::new(Switch::default());
        let mut connections = self.lock();
        connections.open.retain(|(_, open)| open.strong_count() > 0);
        connections.open.push((remote, Arc::downgrade(&switch)));
        if connections.silence_new {
            switch.set(SILENT);
        }
        switch
    }

    fn refusal(&self) -> Option<Refusal> {
        let connections = self.lock();
        if connections.closed {
            return Some(Refusal::ForGood);
        }
        let until = connections.refuse_until?;
        (until > Instant::now()).then_some(Refusal::Until(until))
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

enum Refusal {
    Until(Instant),
    ForGood,
}

/// Accepts connections that obey a [`ConnectionControl`].
pub(crate) struct FaultAcceptor {
    address: SocketAddr,
    listener: Option<TcpAcceptor>,
    holdings: Vec<Holding>,
    control: ConnectionControl,
}

impl FaultAcceptor {
    /// Listens on `address`; port 0 takes a free one.
    pub(crate) async fn bind(address: SocketAddr, control: ConnectionControl) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let listener = TcpAcceptor::try_from(listener)?;
        Ok(Self {
            address,
            holdings: listener.holdings().to_vec(),
            listener: Some(listener),
            control,
        })
    }

    /// The address that is listened on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    async fn wait_out(&mut self, refusal: Refusal) {
        self.listener = None;
        match refusal {
            Refusal::ForGood => self.control.changed.notified().await,
            Refusal::Until(until) => tokio::select! {
                () = sleep_until(until) => {}
                () = self.control.changed.notified() => {}
            },
        }
    }

    async fn listen_again(&mut self) {
        let listener = TcpListener::bind(self.address).await;
        match listener.and_then(TcpAcceptor::try_from) {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                log::warn!("could not listen on {} again: {error}", self.address);
                sleep(BIND_PAUSE).await;
            }
        }
    }
}

impl Acceptor for FaultAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = FaultStream<<TcpAcceptor as Acceptor>::Stream>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        fuse_factory: Option<Arc<dyn FuseFactory + Sync + Send + 'static>>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            if let Some(refusal) = self.control.refusal() {
                self.wait_out(refusal).await;
                continue;
            }
            let Some(listener) = &mut self.listener else {
                self.listen_again().await;
                continue;
            };
            tokio::select! {
                accepted = listener.accept(fuse_factory.clone()) => {
                    let accepted = accepted?;
                    let switch = self.control.add(accepted.remote_addr.clone().into_std());
                    return Ok(accepted.map_into(|_| TcpCoupler::new(), |stream| FaultStream { stream, switch }));
                }
                () = self.control.changed.notified() => {}
            }
        }
    }
}

/// A connection that goes silent or breaks when told to.
pub(crate) struct FaultStream<S> {
    stream: S,
    switch: Arc<Switch>,
}

impl<S: AsyncRead + Unpin> AsyncRead for FaultStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(fault) = self.switch.check(&self.switch.reader, context) {
            return fault;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FaultStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(fault) = self.switch.check(&self.switch.writer, context) {
            return fault;
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(fault) = self.switch.check(&self.switch.writer, context) {
            return fault;
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(fault) = self.switch.check(&self.switch.writer, context) {
            return fault;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
