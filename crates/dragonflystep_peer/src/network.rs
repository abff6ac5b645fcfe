//! Transport of a node to other nodes, upstreams and callers: TCP, or a simulated network for tests that run in
//! virtual time.

use {
    crate::{KeepaliveLimits, configure_stream},
    std::{
        future::Future,
        io,
        net::{IpAddr, SocketAddr},
        pin::Pin,
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpSocket, TcpStream},
        time::timeout,
    },
};

/// Time limit for opening a connection. It allows for several round trips within a region and is far below the shortest
/// objective of a request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of connections that may wait to be accepted, which the kernel may lower. Those beyond are reset. It allows for
/// hundreds of callers that connect at once while the node is busy for a moment.
const LISTEN_BACKLOG: u32 = 4_096;

/// A byte stream to another node, an upstream or a caller.
pub trait NetworkStream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> NetworkStream for T {}

/// Resolves to a connection once it is open.
pub type StreamFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn NetworkStream>>> + 'a>>;

/// Accepts connections from other nodes or callers.
pub trait NetworkListener {
    /// Waits for the next connection. If the future is dropped, no connection is lost.
    fn accept(&mut self) -> StreamFuture<'_>;

    /// Stops listening, so that further connections are refused. Returns the connections that are open but were not
    /// accepted yet, which would be reset otherwise.
    fn close(self: Box<Self>) -> Vec<Box<dyn NetworkStream>>;
}

/// Resolves to a listener once it is bound to its address.
pub type ListenerFuture<'a> =
    Pin<Box<dyn Future<Output = io::Result<Box<dyn NetworkListener>>> + 'a>>;

/// A transport that connects a node to others; implemented by [`TcpNetwork`] and by simulated networks of tests.
pub trait Network {
    /// Opens a connection to the node or upstream at `address`, as IP:PORT.
    fn connect<'a>(&'a self, address: &'a str) -> StreamFuture<'a>;

    /// Listens at `address` for connections.
    fn listen(&self, address: SocketAddr) -> ListenerFuture<'_>;

    /// Listens at `address` for connections of callers, which may read slowly.
    fn listen_for_callers(&self, address: SocketAddr) -> ListenerFuture<'_> {
        self.listen(address)
    }
}

/// TCP with keepalive probes, which close a connection whose peer no longer responds.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpNetwork {
    /// Address from which connections are opened; `None` lets the operating system choose it.
    pub source_ip: Option<IpAddr>,
}

impl TcpNetwork {
    async fn open(self, address: &str) -> io::Result<TcpStream> {
        let Some(source_ip) = self.source_ip else {
            return TcpStream::connect(address).await;
        };
        let address: SocketAddr = address
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
        let socket = new_socket(address)?;
        socket.bind(SocketAddr::new(source_ip, 0))?;
        socket.connect(address).await
    }
}

fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
}

impl Network for TcpNetwork {
    fn connect<'a>(&'a self, address: &'a str) -> StreamFuture<'a> {
        Box::pin(async move {
            let stream = timeout(CONNECT_TIMEOUT, self.open(address))
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            configured(stream, KeepaliveLimits::default())
        })
    }

    fn listen(&self, address: SocketAddr) -> ListenerFuture<'_> {
        Box::pin(async move { listen(address, KeepaliveLimits::default()) })
    }

    fn listen_for_callers(&self, address: SocketAddr) -> ListenerFuture<'_> {
        Box::pin(async move { listen(address, KeepaliveLimits::for_callers()) })
    }
}

fn listen(address: SocketAddr, limits: KeepaliveLimits) -> io::Result<Box<dyn NetworkListener>> {
    let socket = new_socket(address)?;
    // A restarted node listens at the same address while old connections there still expire.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(LISTEN_BACKLOG)?;
    Ok(Box::new(ConfiguringListener { listener, limits }))
}

/// Accepts connections and sets their options.
struct ConfiguringListener {
    listener: TcpListener,
    limits: KeepaliveLimits,
}

impl NetworkListener for ConfiguringListener {
    fn accept(&mut self) -> StreamFuture<'_> {
        Box::pin(async move {
            loop {
                let (stream, _) = self.listener.accept().await?;
                match configured(stream, self.limits) {
                    Ok(stream) => return Ok(stream),
                    Err(error) => {
                        log::debug!(
                            "could not configure an accepted connection; it is closed: {error}"
                        )
                    }
                }
            }
        })
    }

    fn close(self: Box<Self>) -> Vec<Box<dyn NetworkStream>> {
        let listener = match self.listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                log::warn!(error:%; "connections that wait to be accepted are reset");
                return Vec::new();
            }
        };
        let mut waiting = Vec::new();
        loop {
            // Asks the kernel itself, as the event loop may not have been told of the latest connections.
            match listener.accept() {
                Ok((stream, _)) => match from_std(stream, self.limits) {
                    Ok(stream) => waiting.push(stream),
                    Err(error) => {
                        log::debug!(error:%; "could not configure an accepted connection; it is closed");
                    }
                },
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return waiting,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    log::warn!(error:%; "connections that wait to be accepted are reset");
                    return waiting;
                }
            }
        }
    }
}

fn from_std(
    stream: std::net::TcpStream,
    limits: KeepaliveLimits,
) -> io::Result<Box<dyn NetworkStream>> {
    stream.set_nonblocking(true)?;
    configured(TcpStream::from_std(stream)?, limits)
}

/// Sets the socket options of a new connection.
fn configured(stream: TcpStream, limits: KeepaliveLimits) -> io::Result<Box<dyn NetworkStream>> {
    configure_stream(&stream, limits)?;
    Ok(Box::new(stream))
}
