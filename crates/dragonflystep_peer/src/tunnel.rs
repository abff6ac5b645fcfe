//! Tunnels: byte streams to upstreams through another node, for a node that can't reach the upstreams itself.
//!
//! A tunnel is a connection of its own to the address at which the other node (the forwarder) listens for calls. It
//! begins with [`PREAMBLE`], by which the forwarder tells it from a connection for calls, and a frame with the name of the
//! opening node and the upstream's address, a line each. The forwarder answers with a frame that holds a status byte.
//! After that, the bytes for the upstream are sent as they are, and those from the upstream in frames.
//!
//! The frames keep a broken connection apart from one that the upstream closed: an empty frame says that the upstream
//! closed it. An answer that ends with its connection would otherwise look complete when the forwarder is killed.

use {
    crate::{Network, NetworkStream},
    bytes::{Bytes, BytesMut},
    dragonflystep_dispatch::NodeName,
    futures::{SinkExt, Stream, StreamExt},
    std::{
        future::Future,
        io,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{
            AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf, ReadHalf, WriteHalf, split,
        },
        time::timeout,
    },
    tokio_util::{
        codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
        io::StreamReader,
    },
};

/// First bytes of a tunnel. Read as the header of a call, they would stand for more segments than a message may have, so
/// that a node without tunnels closes the connection.
pub(crate) const PREAMBLE: [u8; 8] = *b"DFTUNNL1";

/// Size of the buffer for the bytes of one direction, and of the longest frame, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Time within which the opening node sends the upstream's address.
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Status byte of an open tunnel.
const OPENED: u8 = 0;

/// Why a forwarder opened no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelRefusal {
    /// The forwarder can't connect to the upstream either, although it reaches others.
    Unreachable,
    /// The forwarder does not know whether it reaches any upstream.
    NoPath,
    /// The forwarder takes no more tunnels: it is stopping or carries too many.
    Busy,
    /// No upstream is registered at the address.
    UnknownUpstream,
}

impl TunnelRefusal {
    const ALL: [Self; 4] = [
        Self::Unreachable,
        Self::NoPath,
        Self::Busy,
        Self::UnknownUpstream,
    ];

    fn status(self) -> u8 {
        match self {
            Self::Unreachable => 1,
            Self::NoPath => 2,
            Self::Busy => 3,
            Self::UnknownUpstream => 4,
        }
    }

    /// Returns the name of the refusal in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoPath => "no_path",
            Self::Busy => "busy",
            Self::UnknownUpstream => "unknown_upstream",
        }
    }
}

/// Why no tunnel could be opened.
#[derive(Debug, thiserror::Error)]
pub enum TunnelError {
    /// The forwarder can't be reached, or the connection to it broke.
    #[error("no tunnel: {0}")]
    Forwarder(#[from] io::Error),
    /// The forwarder refused.
    #[error("the forwarder opened no tunnel: {}", .0.name())]
    Refused(TunnelRefusal),
}

/// Opens a tunnel for the node `opener` to the upstream at `upstream`, through the node that listens at `forwarder`, both
/// as IP:PORT.
///
/// # Errors
/// When the forwarder can't be reached, refuses, or does not answer within `limit`.
pub async fn open_tunnel(
    network: &dyn Network,
    forwarder: &str,
    opener: &str,
    upstream: &str,
    limit: Duration,
) -> Result<Box<dyn NetworkStream>, TunnelError> {
    let opening = async {
        let mut stream = network.connect(forwarder).await?;
        stream.write_all(&PREAMBLE).await?;
        let (read, write) = split(stream);
        let mut address_writer = FramedWrite::new(write, codec());
        address_writer
            .send(Bytes::from(format!("{opener}\n{upstream}")))
            .await?;
        let mut frames = FramedRead::new(read, codec());
        let answer = frames.next().await;
        let answer = answer.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))??;
        if *answer == [OPENED] {
            let tunnel: Box<dyn NetworkStream> = Box::new(Tunnel {
                read: StreamReader::new(UpstreamBytes {
                    frames,
                    is_ended: false,
                }),
                write: address_writer.into_inner(),
            });
            return Ok(tunnel);
        }
        let refusal = TunnelRefusal::ALL
            .into_iter()
            .find(|refusal| *answer == [refusal.status()]);
        Err(refusal.map_or_else(
            || TunnelError::Forwarder(io::ErrorKind::InvalidData.into()),
            TunnelError::Refused,
        ))
    };
    timeout(limit, opening)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(BUFFER_BYTES)
        .new_codec()
}

/// The opening node's end of a tunnel.
struct Tunnel {
    read: StreamReader<UpstreamBytes, BytesMut>,
    write: WriteHalf<Box<dyn NetworkStream>>,
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.read).poll_read(context, buffer)
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(context)
    }
}

/// The bytes that the upstream sent, from their frames.
struct UpstreamBytes {
    frames: FramedRead<ReadHalf<Box<dyn NetworkStream>>, LengthDelimitedCodec>,
    /// Whether the upstream closed its connection.
    is_ended: bool,
}

impl Stream for UpstreamBytes {
    type Item = io::Result<BytesMut>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let frame = ready!(self.frames.poll_next_unpin(context));
        Poll::Ready(match frame {
            Some(Ok(bytes)) if bytes.is_empty() => {
                self.is_ended = true;
                None
            }
            Some(frame) => Some(frame),
            None => Some(Err(io::ErrorKind::ConnectionReset.into())),
        })
    }
}

/// The forwarder's end of a tunnel that another node asks for.
pub struct RequestedTunnel {
    from_node: ReadHalf<Box<dyn NetworkStream>>,
    to_node: FramedWrite<WriteHalf<Box<dyn NetworkStream>>, LengthDelimitedCodec>,
}

/// What a node requests a tunnel for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelTarget {
    /// The node that opens the tunnel.
    pub opener: NodeName,
    /// Address of the upstream, as IP:PORT.
    pub upstream: String,
}

impl TunnelTarget {
    fn parse(text: &str) -> Option<Self> {
        let (opener, upstream) = text.split_once('\n')?;
        Some(Self {
            opener: opener.into(),
            upstream: upstream.to_owned(),
        })
    }
}

/// Which end of a tunnel sent bytes last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelEnd {
    /// The node that opened the tunnel.
    Node,
    /// The upstream.
    Upstream,
}

/// What happened in a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelProgress {
    /// A piece arrived from this end.
    Received(TunnelEnd),
    /// The node that opened the tunnel has taken the last piece of the upstream.
    Taken,
}

impl RequestedTunnel {
    /// Reads what tunnel is requested from a connection whose [`PREAMBLE`] was read.
    pub(crate) async fn receive(
        stream: Box<dyn NetworkStream>,
    ) -> io::Result<(Self, TunnelTarget)> {
        let (mut from_node, write) = split(stream);
        let reading = async {
            let length = from_node.read_u16().await?;
            let mut address = vec![0; usize::from(length).min(BUFFER_BYTES)];
            from_node.read_exact(&mut address).await?;
            let text = String::from_utf8(address).ok();
            let target = text.as_deref().and_then(TunnelTarget::parse);
            target.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
        };
        let target = timeout(ADDRESS_TIMEOUT, reading)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        let tunnel = Self {
            from_node,
            to_node: FramedWrite::new(write, codec()),
        };
        Ok((tunnel, target))
    }

    /// Refuses the tunnel.
    ///
    /// # Errors
    /// When the connection to the opening node breaks.
    pub async fn refuse(mut self, refusal: TunnelRefusal) -> io::Result<()> {
        let status = Bytes::copy_from_slice(&[refusal.status()]);
        self.to_node.send(status).await
    }

    /// Forwards bytes between the opening node and an upstream until either of them closes its connection. `observe` is
    /// called with what happens.
    ///
    /// # Errors
    /// When either connection breaks.
    pub async fn forward(
        self,
        upstream: Box<dyn NetworkStream>,
        observe: impl Fn(TunnelProgress),
    ) -> io::Result<()> {
        let Self {
            mut from_node,
            mut to_node,
        } = self;
        to_node.send(Bytes::from_static(&[OPENED])).await?;
        let (mut from_upstream, mut to_upstream) = split(upstream);
        let requests = async {
            let mut buffer = vec![0; BUFFER_BYTES];
            loop {
                let count = from_node.read(&mut buffer).await?;
                if count == 0 {
                    return Ok(());
                }
                observe(TunnelProgress::Received(TunnelEnd::Node));
                to_upstream.write_all(&buffer[..count]).await?;
            }
        };
        let answers = async {
            let mut buffer = vec![0; BUFFER_BYTES];
            loop {
                let count = from_upstream.read(&mut buffer).await?;
                let piece = Bytes::copy_from_slice(&buffer[..count]);
                if piece.is_empty() {
                    return to_node.send(piece).await;
                }
                observe(TunnelProgress::Received(TunnelEnd::Upstream));
                to_node.send(piece).await?;
                observe(TunnelProgress::Taken);
            }
        };
        // Dropping both connections tells the upstream that the caller left, and the node that the upstream did.
        tokio::select! {
            result = requests => result,
            result = answers => result,
        }
    }
}

/// Serves a requested tunnel until it ends.
pub type TunnelFuture = Pin<Box<dyn Future<Output = ()>>>;
