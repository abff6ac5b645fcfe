//! Client of the platform: table service, object store and VM list over HTTP.
//!
//! [`PlatformClient`] turns operations of the reducer into calls and answers into
//! [`TableOutcome`](dragonflystep_core::table::TableOutcome)s. It never repeats a call: only the reducer
//! knows what a lost answer means, so the client says truthfully which of three things it knows:
//! the call took effect, it certainly did not, or nobody can tell.

mod call;
mod client;
mod error;
mod objects;
mod pool;
mod settings;
mod vm_list;
mod wire;

pub use self::{
    client::PlatformClient, error::PlatformError, settings::PlatformSettings, vm_list::VmList,
};
