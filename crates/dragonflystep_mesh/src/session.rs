//! One connection while it lasts: a socket, and the task that speaks capnp-rpc over it.

use {
    crate::{
        counters::Counters,
        limits::{BUFFER_BYTES, reader_options},
    },
    capnp::capability::{Client, FromClientHook},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::io::{AsyncRead, AsyncWrite, BufReader, BufWriter},
    std::{
        cell::RefCell,
        io,
        pin::Pin,
        rc::Rc,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead as _, AsyncWrite as _, ReadBuf},
        net::TcpStream,
        task::{JoinHandle, spawn_local},
    },
};

/// A running connection; dropping it closes the socket at once.
pub(crate) struct Session {
    socket: CountedSocket,
    task: JoinHandle<()>,
}

impl Session {
    /// Serves `bootstrap` to the node that opened the connection.
    pub(crate) fn serve(stream: TcpStream, counters: Arc<Counters>, bootstrap: Client) -> Self {
        let socket = CountedSocket::new(stream, counters);
        let system = RpcSystem::new(socket.network(Side::Server), Some(bootstrap));
        Self::run(socket, system)
    }

    /// Opens the node's side and returns what the other side offers.
    pub(crate) fn open<T: FromClientHook>(stream: TcpStream, counters: Arc<Counters>) -> (Self, T) {
        let socket = CountedSocket::new(stream, counters);
        let mut system = RpcSystem::new(socket.network(Side::Client), None);
        let bootstrap = system.bootstrap(Side::Server);
        (Self::run(socket, system), bootstrap)
    }

    /// Whether the connection has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.task.is_finished()
    }

    /// Waits for the end of the connection.
    pub(crate) async fn ended(&mut self) {
        // A panic in the task ends the connection as an error does.
        let _ = (&mut self.task).await;
    }

    fn run(socket: CountedSocket, system: RpcSystem<Side>) -> Self {
        let task = spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!("a connection ended: {error}");
            }
        });
        Self { socket, task }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        // The task may be waiting for a peer that has gone silent, so that only the socket's end is sure.
        self.socket.close();
        self.task.abort();
    }
}

/// A socket that counts its bytes and can be closed under the task that uses it.
#[derive(Clone)]
struct CountedSocket {
    stream: Rc<RefCell<Option<TcpStream>>>,
    counters: Arc<Counters>,
}

impl CountedSocket {
    fn new(stream: TcpStream, counters: Arc<Counters>) -> Self {
        Self {
            stream: Rc::new(RefCell::new(Some(stream))),
            counters,
        }
    }

    fn close(&self) {
        drop(self.stream.borrow_mut().take());
    }

    fn network(&self, side: Side) -> Box<VatNetwork<BufReader<Self>>> {
        Box::new(VatNetwork::new(
            BufReader::with_capacity(BUFFER_BYTES, self.clone()),
            BufWriter::with_capacity(BUFFER_BYTES, self.clone()),
            side,
            reader_options(),
        ))
    }

    fn with_stream<T>(
        &self,
        act: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some(stream) => act(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl AsyncRead for CountedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(buffer);
        ready!(self.with_stream(|stream| stream.poll_read(context, &mut buffer)))?;
        let read_bytes = buffer.filled().len();
        self.counters.received_bytes.add(read_bytes);
        Poll::Ready(Ok(read_bytes))
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written_bytes = ready!(self.with_stream(|stream| stream.poll_write(context, bytes)))?;
        self.counters.sent_bytes.add(written_bytes);
        Poll::Ready(Ok(written_bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_flush(context))
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_shutdown(context))
    }
}
