//! A connection to an upstream that counts the bytes written to it, and stops reading bytes of which nothing reaches the reader
//! of the answer.
//!
//! Whether a request was sent is known from the written bytes, not from the HTTP library alone. That library limits the length of a head, but it skips any number of interim heads and accepts chunk sizes of any
//! length. An upstream in trouble may send such bytes without end.

use {
    crate::{limits::MAX_UNDELIVERED_BYTES, metrics::Metrics},
    dragonflystep_peer::NetworkStream,
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Counts of the bytes of a connection.
#[derive(Default)]
pub(crate) struct StreamMeter {
    /// Bytes that were read since the reader last received a head or a part of a body.
    undelivered_bytes: Cell<usize>,
    written_bytes: Cell<u64>,
}

impl StreamMeter {
    /// Records that a request was sent, or that something of its answer reached the reader.
    pub(crate) fn note_delivery(&self) {
        self.undelivered_bytes.set(0);
    }

    /// Bytes that were written so far.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    fn record_write(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = poll {
            self.written_bytes
                .set(self.written_bytes.get() + count as u64);
        }
        poll
    }
}

/// A connection whose bytes are counted. Its reads fail once [`MAX_UNDELIVERED_BYTES`] were read in vain.
pub(crate) struct MeteredStream {
    inner: Box<dyn NetworkStream>,
    meter: Rc<StreamMeter>,
    metrics: Rc<Metrics>,
}

impl MeteredStream {
    pub(crate) fn new(
        inner: Box<dyn NetworkStream>,
        meter: Rc<StreamMeter>,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            inner,
            meter,
            metrics,
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.undelivered_bytes.get() >= MAX_UNDELIVERED_BYTES {
            self.metrics.count("endless_answers_total", "no_content");
            return Poll::Ready(Err(io::Error::other(
                "the upstream sends bytes without end that hold nothing of an answer",
            )));
        }
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        let undelivered = &self.meter.undelivered_bytes;
        undelivered.set(undelivered.get() + received);
        poll
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.meter.record_write(poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.meter.record_write(poll)
    }
}
