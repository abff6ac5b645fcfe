//! HTTP towards callers, operators and upstreams.
//!
//! The gateway decides nothing. It turns HTTP into the reducer's [`Event`](dragonflystep_core::Event)s and
//! carries out the reducer's [`Effect`](dragonflystep_core::Effect)s, as docs/PROTOCOLS.md says.
//!
//! What it answers for by itself is truth at the edge: that bytes go out at most once and only under a
//! grant that is still good, that an answer is passed on in order and each piece once, and that a cut
//! answer never looks whole. See [`Gateway`] for the face that a node uses.

mod callers;
mod error;
mod gateway;
mod open_request;
mod operators;
mod registry;
mod server;
mod settings;
mod upstream;

pub use self::{
    error::GatewayError,
    gateway::Gateway,
    settings::{Clock, EntryAddress, GatewaySettings, GatewayTimeouts, GatewayView},
};
