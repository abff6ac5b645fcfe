//! Counts of what the links do.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start of a mesh.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct MeshCounters {
    /// Messages whose arrival a peer confirmed.
    pub messages_sent: u64,
    /// Messages that arrived from peers and were understood.
    pub messages_received: u64,
    /// Bytes written to peers, with everything that the protocol adds.
    pub sent_bytes: u64,
    /// Bytes read from peers, with everything that the protocol adds.
    pub received_bytes: u64,
    /// Messages that were never tried: the queue was full, the mesh had stopped, or they were too large.
    pub messages_dropped: u64,
    /// Messages whose arrival no peer confirmed; some may have arrived.
    pub messages_lost: u64,
    /// Messages that arrived and were not understood.
    pub messages_rejected: u64,
    /// Connections that replaced one that broke, went silent, or led to a peer's former address.
    pub reconnects: u64,
    /// Incoming connections that were closed before they had proved a name.
    pub connections_refused: u64,
}

/// One count that the mesh's thread and every handle share.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    pub(crate) fn add(&self, amount: usize) {
        // Counts are read for reports alone and order nothing else.
        self.0
            .fetch_add(u64::try_from(amount).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counts while they run.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) messages_sent: Count,
    pub(crate) messages_received: Count,
    pub(crate) sent_bytes: Count,
    pub(crate) received_bytes: Count,
    pub(crate) messages_dropped: Count,
    pub(crate) messages_lost: Count,
    pub(crate) messages_rejected: Count,
    pub(crate) reconnects: Count,
    pub(crate) connections_refused: Count,
}

impl Counters {
    pub(crate) fn snapshot(&self) -> MeshCounters {
        MeshCounters {
            messages_sent: self.messages_sent.get(),
            messages_received: self.messages_received.get(),
            sent_bytes: self.sent_bytes.get(),
            received_bytes: self.received_bytes.get(),
            messages_dropped: self.messages_dropped.get(),
            messages_lost: self.messages_lost.get(),
            messages_rejected: self.messages_rejected.get(),
            reconnects: self.reconnects.get(),
            connections_refused: self.connections_refused.get(),
        }
    }
}
