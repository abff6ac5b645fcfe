//! Settings of a node, independent of the format of the settings file.

use {
    dragonflystep_dispatch::{DataCentreName, NodeName, RegionName, SharedLimits},
    serde::Deserialize,
    std::{
        collections::BTreeMap,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// Everything that a node is configured with.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node, unique within the system.
    pub node: NodeName,
    /// Data centre in which the node runs.
    pub data_centre: DataCentreName,
    /// The region of each data centre of the system.
    pub regions: BTreeMap<DataCentreName, RegionName>,
    /// Listening address for callers' requests.
    pub ingress: SocketAddr,
    /// Listening address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Listening address of the directory, where callers get the addresses of nodes.
    pub directory: SocketAddr,
    /// Listening address for other nodes.
    pub peers: SocketAddr,
    /// Address at which other nodes are to connect; differs from `peers` if there is a relay in between.
    pub peers_advertised: SocketAddr,
    /// Address from which the node opens connections to other nodes and upstreams; `None` lets the operating system
    /// choose it.
    pub outgoing_ip: Option<IpAddr>,
    /// Listening address of the metrics page; `None` to serve no metrics.
    pub metrics: Option<SocketAddr>,
    /// CPU share as a fraction of a core. A node with a larger share ranks higher as an owner.
    pub cpu_share: f64,
    /// Whether the whole system starts for the first time, so that no account can have used anything yet.
    pub is_first_start: bool,
    /// Limits that apply to all nodes together.
    pub shared_limits: SharedLimits,
    /// Time between the stop signal and the moment at which the node is killed.
    pub stop_grace: Duration,
    /// How long callers may keep a list of addresses.
    pub address_lifetime: Duration,
    /// Memory of the VM, in bytes; connections together may hold a share of it.
    pub memory_bytes: usize,
    /// Maximum number of open connections from callers.
    pub max_client_connections: usize,
    /// Seed of the random numbers that spread waiting times and form run ids; `None` to draw one.
    pub seed: Option<u64>,
}

/// A node's entry in the list of nodes, which the platform's table stores.
#[derive(Clone, Debug, PartialEq, serde::Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the node, which identifies the entry.
    pub node: NodeName,
    /// Data centre in which the node runs.
    pub data_centre: DataCentreName,
    /// Address for callers, as IP:PORT.
    pub ingress: String,
    /// Address for other nodes, as IP:PORT.
    pub peers: String,
    /// CPU share as a fraction of a core, from which the node's weight as an owner is computed.
    pub cpu_share: f64,
}
