//! One node: the reducer, its drivers, timers, logs and metrics put together.
//!
//! [`Node::start`] binds the three addresses of a node and starts its parts; the parts list of the whole
//! program is in that one place. The [`runtime`] is the only task that touches the reducer: drivers hand
//! it events over channels, and it hands the effects back to them.

pub mod clock;
pub mod error;
pub mod logging;
mod node;
mod observe;
mod runtime;
mod table_driver;
mod timers;
mod view;
mod vm_watch;

pub use self::{
    clock::NodeClock,
    error::NodeError,
    node::{Node, Stopper},
};
