//! Calls between nodes over capnp-rpc: places at upstreams, ends of runs, and the exchange of views.
//!
//! A node serves a [`PeerHandler`] to each node that connects ([`serve_peer`]) and keeps one [`PeerLink`]
//! to each node that it calls. A call that waits for a place is one call whose answer comes when the
//! place is free; giving up the call withdraws the request. The schema is in `schema/peer.capnp`.

mod codec;
mod error;
mod generated;
mod link;
mod network;
mod notice_codec;
mod server;
mod sockets;

use generated::peer_capnp;

pub use self::{
    error::PeerError,
    link::PeerLink,
    network::{ListenerFuture, PeerListener, PeerNetwork, PeerStream, StreamFuture, TcpNetwork},
    server::{PeerHandler, SlotDecisionFuture, serve_peer},
    sockets::{KeepaliveLimits, configure_stream},
};

use {
    dragonflystep_dispatch::{MonotonicTime, NodeName, UpstreamNotice},
    std::time::Duration,
};

/// A list that nodes pass on to one another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ListName {
    /// Routes, services and accounts.
    #[default]
    Catalogue,
    /// The upstreams.
    Registry,
    /// The nodes.
    Members,
}

/// Asks for a piece of what a node is missing of a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListPieceRequest {
    /// The list.
    pub list: ListName,
    /// Version that the asking node has; 0 asks for the whole list.
    pub version: u64,
    /// Version to which the pieces so far lead; 0 for the first one.
    pub target_version: u64,
    /// Bytes that the asking node has already.
    pub offset_bytes: u32,
}

/// A piece of what a node is missing of a list, in the nodes' own form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPiece {
    /// Version to which all pieces lead; another one than that asked for means that the pieces start anew.
    pub target_version: u64,
    /// Bytes of all pieces; 0 when the asking node is up to date.
    pub total_bytes: u32,
    /// The piece.
    pub bytes: Vec<u8>,
}

/// What a node tells another one of its view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// The node that tells.
    pub node: NodeName,
    /// Version of the catalogue that it follows; 0 is none, or asks for the whole catalogue.
    pub catalogue_version: u64,
    /// Version of the registry that it follows; 0 is none, or asks for the whole registry.
    pub registry_version: u64,
    /// Changes of the registry, where the other node's is older and they are few.
    pub registry: Vec<u8>,
    /// Version of the list of nodes that it follows; 0 is none, or asks for the whole list.
    pub members_version: u64,
    /// Changes of the list of nodes, where the other node's is older and they are few.
    pub members: Vec<u8>,
    /// Nodes that take no requests: they do not answer it, or are about to stop.
    pub unavailable: Vec<NodeName>,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Time since the platform answered it, or a node that told it so.
    pub platform_silence: Duration,
    /// Time for which the platform has been answering somebody without a longer gap, as far as the node heard.
    pub platform_up_for: Duration,
    /// Roll-outs that it knows of; empty when there are none.
    pub rollouts: Vec<u8>,
    /// What upstreams said of themselves; only in answers.
    pub notices: Vec<UpstreamNotice>,
}

/// Durations cross the wire as whole microseconds.
fn to_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// The clock of a link: time since it was made.
fn since(start: tokio::time::Instant) -> MonotonicTime {
    start.elapsed()
}
