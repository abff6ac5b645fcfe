//! The decision core of dragonflystep: a reducer that makes every scheduling decision as a deterministic
//! function from events to effects.
//!
//! This crate does no I/O, reads no clock, and draws random numbers only from a generator that the driver seeds.
//! A driver passes an [`Event`] with the time at which it happened to the [`State`], which updates itself and
//! returns a list of [`Effect`]s for the driver to carry out. The running node, the virtual-time experiments,
//! the property tests and the golden sessions all use this same code.
//!
//! Start reading at [`event`], [`effect`] and [`message`], which define the inputs, outputs and messages of the
//! system.

pub mod admin;
pub mod broker;
pub mod catalogue;
pub mod catalogue_sync;
pub mod claims;
pub mod context;
pub mod effect;
pub mod entry;
pub mod event;
pub mod ids;
pub mod keys;
pub mod lease;
pub mod membership;
pub mod message;
pub mod object;
pub mod request;
pub mod state;
pub mod stop;
pub mod table;
pub mod timer;

pub use crate::{
    context::{Context, Signal, View},
    effect::Effect,
    event::Event,
    state::{NodeIdentity, PolicyParts, State, Tuning},
};

/// Types that nearly every user of this crate needs.
pub mod prelude {
    pub use crate::{
        catalogue::Catalogue,
        effect::Effect,
        event::Event,
        ids::*,
        message::Message,
        request::{Outcome, Ran, Refusal, RefusalCode, RequestFacts, RequestKey},
        state::{NodeIdentity, State, Tuning},
        timer::Timer,
    };
}
