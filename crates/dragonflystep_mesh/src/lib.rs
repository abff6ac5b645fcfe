//! Links between nodes: capnp-rpc over TCP with keys, deadlines and reconnection.

//!
//! A node starts one [`Mesh`], sends messages with it, and takes [`MeshEvent`]s from a channel. The
//! schema is in `schema/mesh.capnp`.

mod connection;
mod counters;
mod decode;
mod encode;
mod error;
mod gate;
mod generated;
mod inbound;
mod limits;
mod link;
mod mesh;
mod proof;
mod session;
mod thread;

use generated::mesh_capnp;

pub use {
    counters::MeshCounters,
    decode::from_bytes,
    encode::to_bytes,
    error::{DecodeError, EncodeError, MeshError},
    mesh::{Mesh, MeshEvent, MeshSettings},
};
