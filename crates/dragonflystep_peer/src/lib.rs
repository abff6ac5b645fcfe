//! Calls between nodes over capnp-rpc: requests for slots at upstreams, reports of ended runs, and the
//! gossip exchange of digests.
//!
//! A node serves a [`PeerHandler`] to each node that connects ([`serve_peer`]) and keeps one [`PeerLink`]
//! to each node that it calls. A request for a slot is a single call that is answered once the owner has
//! granted or refused the slot; dropping the call withdraws the request. The schema is in
//! `schema/peer.capnp`.
//!
//! A node that can't reach an upstream connects to it through another node ([`open_tunnel`]).

mod codec;
mod copy_codec;
mod crash_codec;
mod error;
mod generated;
mod link;
mod network;
mod notice_codec;
mod server;
mod sockets;
mod stream_codec;
mod tunnel;

use generated::peer_capnp;

pub use self::{
    error::PeerError,
    link::PeerLink,
    network::{ListenerFuture, Network, NetworkListener, NetworkStream, StreamFuture, TcpNetwork},
    server::{PeerHandler, SlotDecisionFuture, serve_peer},
    sockets::{KeepaliveLimits, configure_stream},
    tunnel::{
        RequestedTunnel, TunnelEnd, TunnelError, TunnelFuture, TunnelProgress, TunnelRefusal,
        TunnelTarget, open_tunnel,
    },
};

use {
    dragonflystep_dispatch::{
        CrashEvidence, DataCentreName, MonotonicTime, NodeName, UpstreamNotice,
    },
    std::time::Duration,
};

/// A versioned list that nodes replicate to one another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ListName {
    /// Routes, services and accounts.
    #[default]
    Catalogue,
    /// The known upstreams.
    Registry,
    /// The known nodes.
    Members,
}

/// Request for one piece of the changes that a node lacks of a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListPieceRequest {
    /// List that the changes belong to.
    pub list: ListName,
    /// Version that the requesting node has; 0 requests the whole list.
    pub version: u64,
    /// Target version of the pieces fetched so far; 0 when requesting the first piece.
    pub target_version: u64,
    /// Number of bytes that the requesting node already has, which is where the next piece starts.
    pub offset_bytes: u32,
}

/// One piece of the changes that a node lacks of a list, in the encoding that nodes use among themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPiece {
    /// Version of the list once all pieces are applied. If it differs from the requested target version, this is
    /// the first piece of a new set, and the pieces fetched before are to be discarded.
    pub target_version: u64,
    /// Size of all pieces together; 0 when the requesting node is up to date, or the answering node cannot
    /// provide the changes.
    pub total_bytes: u32,
    /// Bytes of this piece.
    pub bytes: Vec<u8>,
}

/// The whole set of evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Version of the set.
    pub version: u64,
    /// Names of the data centres.
    pub data_centres: Vec<DataCentreName>,
}

/// Summary of a node's state, which nodes exchange by gossip.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Node that sends the digest.
    pub node: NodeName,
    /// Version of the sender's catalogue; 0 if it has none or requests the whole catalogue.
    pub catalogue_version: u64,
    /// Encoded changes of the catalogue; sent only if the receiver's version is older and the changes are few.
    pub catalogue: Vec<u8>,
    /// The evacuated data centres; absent if the sender knows of none and has seen none in the receiver's digest.
    pub evacuations: Option<Evacuations>,
    /// Version of the sender's registry; 0 if it has none or requests the whole registry.
    pub registry_version: u64,
    /// Encoded changes of the registry; sent only if the receiver's version is older and the changes are few.
    pub registry: Vec<u8>,
    /// Version of the sender's list of nodes; 0 if it has none or requests the whole list.
    pub members_version: u64,
    /// Encoded changes of the list of nodes; sent only if the receiver's version is older and the changes are few.
    pub members: Vec<u8>,
    /// Nodes that take no requests, because they do not answer the sender or are about to stop.
    pub unavailable: Vec<NodeName>,
    /// Whether the sender is about to stop.
    pub is_leaving: bool,
    /// Time since the platform last answered the sender, or another node that reported this to the sender.
    pub platform_silence: Duration,
    /// Time for which the platform has been answering without a longer gap, counting answers to the sender and
    /// answers that other nodes reported to it.
    pub platform_up_for: Duration,
    /// Encoded roll-outs that the sender knows of; empty when there are none.
    pub rollouts: Vec<u8>,
    /// Notices that upstreams gave about themselves; sent only in answers, since only there can the calling node
    /// bound their age.
    pub notices: Vec<UpstreamNotice>,
    /// What the sender knows of content that crashes upstreams; sent only in answers, like the notices, and only to nodes
    /// that know other things.
    pub crashes: CrashEvidence,
    /// A number that differs between nodes which know different things of such content; 0 for a node that knows nothing.
    pub crashes_version: u64,
}

/// Converts a duration to the whole microseconds that messages carry.
fn to_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Time since `start`, by which a link measures its own times.
fn elapsed_since(start: tokio::time::Instant) -> MonotonicTime {
    start.elapsed()
}
