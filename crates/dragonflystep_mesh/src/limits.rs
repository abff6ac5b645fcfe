//! Limits that keep one peer from taking a node's memory.

use {capnp::message::ReaderOptions, std::time::Duration};

/// Most messages in one batch.
///
/// A batch that is lost is lost whole, so that a larger one would save little and lose more.
pub(crate) const BATCH_MESSAGES: usize = 256;

/// Largest batch that a node sends, in words of eight bytes: 16 MiB, a whole catalogue with room to grow.
pub(crate) const BATCH_WORDS: u64 = 2 * 1024 * 1024;

/// Words that a node reads of one incoming call; the sender counts only the batch, and not what the call
/// and the division into segments add.
const READ_WORDS: usize = 4 * 1024 * 1024;

/// Depth of structures within structures; no message comes near it.
const NESTING_DEPTH: i32 = 16;

/// Most connections that wait until the node accepts them.
pub(crate) const WAITING_CONNECTIONS: u32 = 1024;

/// Most connections that a node keeps for its peers, several times the number of nodes.
pub(crate) const INBOUND_CONNECTIONS: usize = 1024;

/// Most connections that one node keeps open to this one: those that went silent, and one that works.
pub(crate) const CONNECTIONS_OF_A_NODE: usize = 4;

/// A connection over which nothing was sent for this long is closed by the node that opened it.
pub(crate) const OUTBOUND_IDLE: Duration = Duration::from_secs(60);

/// A connection over which nothing arrived for this long is closed by the node that accepted it.
///
/// Longer than [`OUTBOUND_IDLE`], so that the opener, who knows whether it has more to send, closes first.
pub(crate) const INBOUND_IDLE: Duration = Duration::from_secs(150);

/// First wait before a connection is tried once more.
pub(crate) const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// Longest wait before a connection is tried once more.
pub(crate) const LONGEST_BACKOFF: Duration = Duration::from_millis(500);

/// Buffer for each direction of a connection, in bytes.
///
/// Small, because a node has hundreds of connections and most messages take less; larger ones pass the
/// buffer by.
pub(crate) const BUFFER_BYTES: usize = 1024;

/// Length of the random numbers that both ends of a connection draw, in bytes.
pub(crate) const NONCE_BYTES: usize = 32;

/// Longest name of a node that is accepted, in bytes.
pub(crate) const NAME_BYTES: usize = 256;

pub(crate) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(READ_WORDS));
    options.nesting_limit(NESTING_DEPTH);
    options
}
