//! What the gateway is told when it is made, and what it is shown of the node's state.

use {
    dragonflystep_core::{
        catalogue::Catalogue,
        ids::{DataCentreId, Incarnation, NodeId},
    },
    std::{sync::Arc, time::Duration},
};

/// The node's monotonic clock, the one by which grants are valid.
pub type Clock = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Settings that stay the same while the process runs.
#[derive(Clone)]
pub struct GatewaySettings {
    /// This node.
    pub node: NodeId,
    /// This start of the node; part of every request number that a caller sees.
    pub incarnation: Incarnation,
    /// Largest head of a caller's request; at least 8,192.
    pub max_header_bytes: usize,
    /// Largest body of a caller's request.
    pub max_body_bytes: usize,
    /// Largest answer that is held in memory before it is sent.
    pub max_answer_bytes: usize,
    /// Most requests of callers that are held in memory at one time.
    pub max_open_requests: usize,
    /// Key by which operators may read.
    pub read_key: Arc<str>,
    /// Key by which operators may read and change.
    pub edit_key: Arc<str>,
    /// Longest time to connect to an upstream.
    pub connect_timeout: Duration,
    /// Time between two reads of an upstream's reports.
    pub watch_interval: Duration,
}

/// Timeouts that protect the node from slow peers; the defaults suit a running node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayTimeouts {
    /// Longest time on a caller's connection without a request in work and without a byte taken.
    pub caller_idle: Duration,
    /// Longest time for a caller to send its whole body.
    pub caller_body: Duration,
    /// Longest time for a caller to make room for the next piece of its answer.
    pub caller_stall: Duration,
    /// Longest time for the reducer to answer an operator.
    pub operator_answer: Duration,
    /// Longest time for an upstream to answer an order to end a stream.
    pub cancel: Duration,
    /// Longest time for an upstream to answer a read of its reports.
    pub watch: Duration,
}

impl Default for GatewayTimeouts {
    fn default() -> Self {
        Self {
            caller_idle: Duration::from_secs(30),
            caller_body: Duration::from_secs(10),
            caller_stall: Duration::from_secs(10),
            operator_answer: Duration::from_secs(15),
            cancel: Duration::from_secs(2),
            watch: Duration::from_secs(2),
        }
    }
}

/// Where an entry is reached by callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAddress {
    /// The node.
    pub node: NodeId,
    /// IP number and port for callers.
    pub address: Arc<str>,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Whether it is leaving; such an entry is not shown to callers.
    pub leaving: bool,
}

/// What the gateway sees of the node's state.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayView {
    /// The catalogue in force.
    pub catalogue: Arc<Catalogue>,
    /// All entries that are known.
    pub entries: Vec<EntryAddress>,
    /// Whether this node is stopping.
    pub stopping: bool,
    /// Data centre of this node.
    pub data_centre: DataCentreId,
}
