//! A connection to an upstream that stops reading bytes of which nothing reaches the reader of the answer.
//!
//! The HTTP library limits the length of a head, but it skips any number of interim heads and accepts chunk sizes of any
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

/// Bytes that were read from a connection since its reader last received a head or a part of a body.
#[derive(Clone, Default)]
pub(crate) struct UndeliveredBytes(Rc<Cell<usize>>);

impl UndeliveredBytes {
    /// Records that a request was sent, or that something of its answer reached the reader.
    pub(crate) fn reset(&self) {
        self.0.set(0);
    }
}

/// A connection whose reads fail once [`MAX_UNDELIVERED_BYTES`] were read in vain.
pub(crate) struct MeteredStream {
    inner: Box<dyn NetworkStream>,
    undelivered: UndeliveredBytes,
    metrics: Rc<Metrics>,
}

impl MeteredStream {
    pub(crate) fn new(
        inner: Box<dyn NetworkStream>,
        undelivered: UndeliveredBytes,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            inner,
            undelivered,
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
        let undelivered = &self.undelivered.0;
        if undelivered.get() >= MAX_UNDELIVERED_BYTES {
            self.metrics.count("endless_answers_total", "no_content");
            return Poll::Ready(Err(io::Error::other(
                "the upstream sends bytes without end that hold nothing of an answer",
            )));
        }
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        let undelivered = &self.undelivered.0;
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
        Pin::new(&mut self.inner).poll_write(context, bytes)
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
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }
}
