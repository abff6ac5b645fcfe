//! How nodes reach one another: over TCP, or over a network of a test whose time is virtual.

use {
    crate::{KeepaliveLimits, configure_stream},
    std::{future::Future, io, net::SocketAddr, pin::Pin, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Time to open a connection; several round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection to another node.
pub trait PeerStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> PeerStream for T {}

/// A connection when there is one.
pub type StreamFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn PeerStream>>> + 'a>>;

/// Takes connections of other nodes.
pub trait PeerListener {
    /// Waits for the next connection.
    fn accept(&mut self) -> StreamFuture<'_>;
}

/// A listener when there is one.
pub type ListenerFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn PeerListener>>> + 'a>>;

/// The network between nodes.
pub trait PeerNetwork {
    /// Opens a connection to the node at `address`, as IP:PORT.
    fn connect<'a>(&'a self, address: &'a str) -> StreamFuture<'a>;

    /// Listens for connections of other nodes.
    fn listen(&self, address: SocketAddr) -> ListenerFuture<'_>;
}

/// TCP, with probes that end a connection which has gone silent.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpNetwork;

impl PeerNetwork for TcpNetwork {
    fn connect<'a>(&'a self, address: &'a str) -> StreamFuture<'a> {
        Box::pin(async move {
            let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            prepared(stream)
        })
    }

    fn listen(&self, address: SocketAddr) -> ListenerFuture<'_> {
        Box::pin(async move {
            let listener: Box<dyn PeerListener> = Box::new(TcpListener::bind(address).await?);
            Ok(listener)
        })
    }
}

impl PeerListener for TcpListener {
    fn accept(&mut self) -> StreamFuture<'_> {
        Box::pin(async move {
            loop {
                let (stream, _) = TcpListener::accept(self).await?;
                match prepared(stream) {
                    Ok(stream) => return Ok(stream),
                    Err(error) => {
                        log::debug!("a connection of another node ended at once: {error}")
                    }
                }
            }
        })
    }
}

fn prepared(stream: TcpStream) -> io::Result<Box<dyn PeerStream>> {
    configure_stream(&stream, KeepaliveLimits::default())?;
    Ok(Box::new(stream))
}
