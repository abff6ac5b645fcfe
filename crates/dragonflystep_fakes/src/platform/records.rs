//! Counts of what the stand-in was asked for.

use serde::{Deserialize, Serialize};

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Calls with the right key that arrived, whatever became of them.
    pub calls: u64,
    /// Reads by key that were carried out.
    pub table_reads: u64,
    /// Scans that were carried out.
    pub table_scans: u64,
    /// Rows that reads and scans gave.
    pub rows_read: u64,
    /// Transactions that took place.
    pub commits: u64,
    /// Transactions that did not take place because a condition did not hold.
    pub conflicts: u64,
    /// Rows that transactions wrote or removed.
    pub rows_written: u64,
    /// Objects that were written.
    pub object_puts: u64,
    /// Objects that were read or missed.
    pub object_gets: u64,
    /// Reads of the VM list.
    pub vm_list_reads: u64,
    /// Calls answered with 429 or 503.
    pub refused: u64,
    /// Calls that took effect and got no answer.
    pub lost_answers: u64,
    /// Calls that were never answered.
    pub silenced: u64,
    /// Calls without the right key.
    pub unauthorized: u64,
    /// Connections that were accepted.
    pub connections: u64,
}
