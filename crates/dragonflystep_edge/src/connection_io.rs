//! A caller's connection as the HTTP library reads and writes it. It checks the framing of what it receives and records
//! the times that timeouts depend on.

use {
    crate::framing_check::FramingCheck,
    dragonflystep_peer::NetworkStream,
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::time::Instant,
};

/// An invalid request head, passed to the HTTP library in place of rejected bytes: the library replies with an error
/// and closes the connection.
const INVALID_HEAD: &[u8] = b"\0\r\n\r\n";

/// Most bytes that one read returns.
const MAX_READ_BYTES: usize = 8 << 10;

/// The activity of a connection, from which its timeouts follow.
pub(crate) struct ConnectionTimes {
    /// When bytes were last received or written, or the last answer ended.
    pub(crate) active_at: Cell<Instant>,
    /// When the first bytes of a still incomplete head arrived; none otherwise.
    pub(crate) head_started_at: Cell<Option<Instant>>,
    /// Whether any bytes were received.
    pub(crate) has_received: Cell<bool>,
    /// Whether a request is being served.
    pub(crate) is_serving: Cell<bool>,
}

impl ConnectionTimes {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            active_at: Cell::new(Instant::now()),
            head_started_at: Cell::new(None),
            has_received: Cell::new(false),
            is_serving: Cell::new(false),
        })
    }
}

/// A connection whose received bytes pass a [`FramingCheck`] before the HTTP library reads them.
pub(crate) struct CheckedConnection {
    inner: TokioIo<Box<dyn NetworkStream>>,
    check: FramingCheck,
    /// Whether the framing was rejected; all further reads report the end of the connection.
    is_rejected: bool,
    /// Whether the next read returns [`INVALID_HEAD`], after the whole requests before the rejected bytes.
    is_invalid_head_due: bool,
    times: Rc<ConnectionTimes>,
}

impl CheckedConnection {
    pub(crate) fn new(stream: Box<dyn NetworkStream>, times: Rc<ConnectionTimes>) -> Self {
        Self {
            inner: TokioIo::new(stream),
            check: FramingCheck::default(),
            is_rejected: false,
            is_invalid_head_due: false,
            times,
        }
    }

    /// Returns [`INVALID_HEAD`] to the reader, once.
    fn put_invalid_head(&mut self, buffer: &mut ReadBufCursor<'_>) {
        if std::mem::take(&mut self.is_invalid_head_due) {
            let length = INVALID_HEAD.len().min(buffer.remaining());
            buffer.put_slice(&INVALID_HEAD[..length]);
        }
    }

    /// Records whether the caller's side took bytes.
    fn record_write(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if poll.is_ready() {
            self.times.active_at.set(Instant::now());
        }
        poll
    }

    /// Records that bytes were received and checks their framing. Returns how many of them may be passed on.
    fn check_received(&mut self, bytes: &[u8]) -> usize {
        let now = Instant::now();
        self.times.active_at.set(now);
        self.times.has_received.set(true);
        let Err(rejected) = self.check.feed(bytes) else {
            let started_at = self.check.is_in_head().then(|| {
                let before = self.times.head_started_at.get();
                before.unwrap_or(now)
            });
            self.times.head_started_at.set(started_at);
            return bytes.len();
        };
        log::info!(fault:? = rejected.fault; "rejected the framing of a connection");
        self.times.head_started_at.set(None);
        self.is_rejected = true;
        self.is_invalid_head_due = true;
        rejected.whole_request_bytes
    }
}

impl Read for CheckedConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.is_rejected {
            this.put_invalid_head(&mut buffer);
            return Poll::Ready(Ok(()));
        }
        let mut storage = [0_u8; MAX_READ_BYTES];
        let max_bytes = buffer.remaining().min(MAX_READ_BYTES);
        let mut read = tokio::io::ReadBuf::new(&mut storage[..max_bytes]);
        let stream = Pin::new(this.inner.inner_mut());
        ready!(tokio::io::AsyncRead::poll_read(stream, context, &mut read))?;
        let bytes = read.filled();
        if bytes.is_empty() {
            return Poll::Ready(Ok(()));
        }
        let passed_on = this.check_received(bytes);
        buffer.put_slice(&bytes[..passed_on]);
        if passed_on == 0 {
            // An empty read would be taken for the end of the connection.
            this.put_invalid_head(&mut buffer);
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for CheckedConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.inner).poll_write(context, bytes);
        this.record_write(poll)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.inner).poll_write_vectored(context, buffers);
        this.record_write(poll)
    }
}
