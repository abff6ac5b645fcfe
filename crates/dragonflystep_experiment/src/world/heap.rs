//! The one heap of things that are going to happen.

use {
    crate::scenario::FaultKind,
    dragonflystep_core::{
        Event,
        ids::RequestId,
        message::GrantName,
        table::{TableCall, TableOperation},
    },
    std::{
        cmp::{Ordering, Reverse},
        collections::BinaryHeap,
        time::Duration,
    },
};

/// Something that is going to happen.
#[derive(Clone, Debug)]
pub enum Happening {
    /// Something reaches a node.
    Node {
        /// Index of the node.
        node: usize,
        /// The incarnation that it is meant for.
        incarnation: u64,
        /// What reaches it.
        input: NodeInput,
    },
    /// A node goes on after a pause.
    Wake {
        /// Index of the node.
        node: usize,
    },
    /// A node's process starts again.
    NodeStarts {
        /// Index of the node.
        node: usize,
    },
    /// A caller sends its request.
    CallerSends {
        /// Index of the request.
        request: usize,
    },
    /// An engine has something to tell.
    EngineDue {
        /// Index of the upstream.
        upstream: usize,
    },
    /// A dispatched request reaches its upstream.
    StreamArrives {
        /// Index of the upstream.
        upstream: usize,
        /// Index of the stream.
        stream: usize,
    },
    /// The order to end a stream reaches an upstream.
    CancelArrives {
        /// Index of the upstream.
        upstream: usize,
        /// The grant that names the stream.
        grant: GrantName,
        /// The node that sent it.
        node: usize,
        /// Its incarnation.
        incarnation: u64,
    },
    /// The wish to take up a stream reaches an upstream.
    ResumeArrives {
        /// Index of the upstream.
        upstream: usize,
        /// Index of the stream.
        stream: usize,
        /// The node that sent it.
        node: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The node's request.
        request: RequestId,
    },
    /// A call reaches the table service.
    TableCalled {
        /// Index of the node.
        node: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The call.
        call: TableCall,
        /// The operation.
        operation: TableOperation,
    },
    /// A node reads reports of an upstream.
    WatchDue {
        /// Index of the node.
        node: usize,
        /// Its incarnation.
        incarnation: u64,
        /// Index of the upstream.
        upstream: usize,
    },
    /// What the upstreams run is written down.
    Sample,
    /// The operator sends the site's catalogue.
    OfferCatalogue,
    /// Nodes read the list of VMs.
    VmList,
    /// Something fails.
    Fault {
        /// What.
        fault: FaultKind,
    },
}

/// What can reach a node.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// An event for its decisions.
    Event(Event),
    /// A caller's request.
    Call {
        /// Index of the request.
        request: usize,
    },
    /// The connection for a dispatch is there: the grant is checked, then the first byte goes out.
    Connected {
        /// The node's request.
        request: RequestId,
    },
    /// Progress of a stream.
    Progress {
        /// The node's request.
        request: RequestId,
        /// Number of the connection.
        connection: u64,
        /// Tokens so far.
        tokens: u32,
        /// Prompt tokens that were cached.
        cached_tokens: u32,
        /// Whether it is the end.
        finished: bool,
    },
    /// A connection closed or went silent.
    Broken {
        /// The node's request.
        request: RequestId,
        /// Number of the connection.
        connection: u64,
        /// Whether it went silent.
        silent: bool,
    },
}

#[derive(Debug)]
struct Entry {
    at: Duration,
    order: u64,
    happening: Happening,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Happenings in the order of their times; those of one time in the order in which they were added.
#[derive(Debug, Default)]
pub struct Heap {
    entries: BinaryHeap<Reverse<Entry>>,
    added: u64,
}

impl Heap {
    /// Adds a happening.
    pub fn push(&mut self, at: Duration, happening: Happening) {
        self.added += 1;
        let entry = Entry {
            at,
            order: self.added,
            happening,
        };
        self.entries.push(Reverse(entry));
    }

    /// Takes the next happening.
    pub fn pop(&mut self) -> Option<(Duration, Happening)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.happening))
    }
}
