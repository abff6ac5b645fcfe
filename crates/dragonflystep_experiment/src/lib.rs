//! Load and experiment tool: the reducer of a node in virtual time before a small engine model.
//!
//! A [`scenario`] names a site (nodes, engines, accounts, traffic), a load and faults. [`workload`] draws
//! the arrivals from a seed, [`world`] plays them with the very [`dragonflystep_core::State`] that a
//! running node drives, or with one of the [`baseline`] policies over the same engines and delays.
//! [`checker`] counts broken promises from the world's own [`record`]s, [`figures`] turns the records
//! into goodput, wasted prefill and latencies, and [`report`] prints them.

pub mod baseline;
pub mod bounds;
pub mod checker;
pub mod command;
pub mod error;
pub mod figures;
pub mod hindsight;
pub mod record;
pub mod report;
pub mod scenario;
pub mod single_node;
pub mod waste;
pub mod workload;
pub mod world;

pub use crate::{
    command::{ExperimentOptions, run_command},
    error::ExperimentError,
    report::{ExperimentReport, run},
    scenario::{Scenario, Site},
};
