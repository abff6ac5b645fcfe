//! Calls to the platform's table service, as data.

use {
    crate::ids::{CatalogueVersion, GroupId, NodeId, RowVersion},
    std::sync::Arc,
};

/// One row of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: Arc<str>,
    /// Content of the row, as JSON text.
    pub value: Arc<str>,
    /// Version of the row. Every write to the row changes it, and it never repeats, even after the row was
    /// removed.
    pub version: RowVersion,
}

/// Requirement on a row for a transaction to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version that the row must have; `None` when the row must be absent.
    pub version: Option<RowVersion>,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// New content of the row; `None` removes the row.
    pub value: Option<Arc<str>>,
}

/// An operation on the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableOperation {
    /// Reads rows by key; absent rows are missing from the answer.
    Read {
        /// Keys of the rows.
        keys: Vec<Arc<str>>,
    },
    /// Reads the rows whose key starts with a prefix, in the order of their keys.
    Scan {
        /// Prefix of the keys.
        prefix: Arc<str>,
    },
    /// Makes all writes atomically, or none of them if any condition does not hold.
    Commit {
        /// Conditions that must all hold.
        conditions: Vec<Condition>,
        /// Writes to make.
        writes: Vec<Write>,
    },
}

/// Result of an operation on the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableOutcome {
    /// Rows that were read.
    Rows(Vec<Row>),
    /// The transaction was committed. Contains the written rows with their new versions, without removed rows.
    Committed(Vec<Row>),
    /// The transaction was not committed. Contains the existing rows among those that the conditions name.
    Conflicted(Vec<Row>),
    /// The operation failed and certainly did not take effect.
    Unavailable,
    /// The answer was lost: the operation may or may not have taken effect.
    Unknown,
}

/// Identifies the purpose of a call, so that its answer reaches the part that made it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TableCall {
    /// The renewal of the node's own row.
    NodeRenewal,
    /// A read of the node's own row: at start, after a lost answer, or while another incarnation's lease may be
    /// valid.
    NodeRead,
    /// A scan of all node rows.
    MemberScan,
    /// A scan of all group rows.
    LeaseScan,
    /// A read of the rows of a group and of the node that holds it.
    LeaseRead(GroupId),
    /// A transaction that creates, takes over, hands over or releases groups, or changes the voters of a group.
    LeaseChange(GroupId),
    /// A read of the catalogue's head.
    CatalogueHead,
    /// A read of catalogue changes from this version on.
    CatalogueChanges(CatalogueVersion),
    /// A commit of a catalogue change by the administration call with this number.
    CatalogueCommit(u64),
    /// A read that determines the outcome of the administration call with this number.
    CatalogueSettle(u64),
    /// A read of the snapshot row by a node whose catalogue is far behind.
    SnapshotRead,
    /// A read of the snapshot row by a node that may write a snapshot.
    SnapshotCheck,
    /// The write that records a new snapshot in the snapshot row.
    SnapshotName,
    /// A removal of change rows that no kept snapshot needs.
    SnapshotRemoval,
    /// The group commit of claims with this number.
    ClaimCommit(u64),
    /// The read that determines the outcome of the group commit with this number.
    ClaimRead(u64),
    /// The group commit with this number that records outcomes and removes claims that were given up.
    ClaimOutcome(u64),
    /// A read of the row of a node that is suspected to be dead, or the removal of the row of a dead node.
    SuspectRead(NodeId),
}
