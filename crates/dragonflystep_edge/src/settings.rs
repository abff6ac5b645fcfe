//! Settings of a node, in the product's own words.

use {
    dragonflystep_dispatch::{DataCentreName, NodeName, SharedLimits},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node, unique within the system.
    pub node: NodeName,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub ingress: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub readiness: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where other nodes are told to connect; differs from `peers` behind a relay.
    pub peers_advertised: SocketAddr,
    /// Where metrics are served; none serves none.
    pub metrics: Option<SocketAddr>,
    /// Share of a core; a node with more owns more.
    pub cpu_share: f64,
    /// Whether the whole system starts for the first time, so that no account can have spent anything yet.
    pub is_first_start: bool,
    /// Limits that hold for all nodes together.
    pub shared_limits: SharedLimits,
    /// Time between the signal to stop and the end by force.
    pub stop_grace: Duration,
    /// How long callers may keep a list of addresses.
    pub address_lifetime: Duration,
    /// Connections of callers at most.
    pub max_client_connections: usize,
    /// Seed of the node's random waits; none draws one.
    pub seed: Option<u64>,
}

/// A node as others find it, kept by the platform.
#[derive(Clone, Debug, PartialEq, serde::Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub node: NodeName,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Where callers connect, as IP:PORT.
    pub ingress: String,
    /// Where other nodes connect, as IP:PORT.
    pub peers: String,
    /// Share of a core.
    pub cpu_share: f64,
}
