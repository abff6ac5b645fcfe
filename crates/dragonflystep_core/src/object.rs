//! Calls to the platform's object store, as data.

use std::sync::Arc;

/// An operation on the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectOperation {
    /// Adds or replaces an object.
    Put {
        /// Name of the object.
        name: Arc<str>,
        /// Content of the object.
        content: Arc<[u8]>,
    },
    /// Reads an object.
    Get {
        /// Name of the object.
        name: Arc<str>,
    },
}

/// Result of an operation on the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectOutcome {
    /// The object was written.
    Stored,
    /// Content of the object; complete as far as the transport can tell.
    Found(Arc<[u8]>),
    /// There is no object of this name.
    Absent,
    /// The operation failed and certainly did not take effect.
    Unavailable,
    /// The answer was lost: the operation may or may not have taken effect.
    Unknown,
}

/// Identifies the purpose of a call, so that its answer reaches the part that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ObjectCall {
    /// A read of a catalogue snapshot that is to be put in force.
    SnapshotLoad,
    /// The write of a catalogue snapshot.
    SnapshotStore,
    /// The read that checks a written snapshot before it is named in the table.
    SnapshotCheck,
}
