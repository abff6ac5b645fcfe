//! Small stand-ins for engines, plain services and the platform.
//!
//! [`engine_model`] is one engine in virtual time, without I/O; [`engine`] is an engine over HTTP in real time;
//! [`service`] is a plain service; [`caller`] sends traffic and checks the answers;
//! [`audit`] holds what the caller saw against what the stand-ins recorded.

pub mod audit;
pub mod caller;
pub mod connection;
pub mod engine;
pub mod engine_model;
pub mod event_stream;
pub mod service;

mod clock;
mod server;
