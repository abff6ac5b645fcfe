//! dragonflystep: a request scheduler for model upstreams that differ in speed and change without notice.
//!
//! This crate only re-exports the parts of the scheduler; each part is a crate of its own below `crates/`.

pub use {
    dragonflystep_config as config, dragonflystep_core as core,
    dragonflystep_experiment as experiment, dragonflystep_fakes as fakes,
    dragonflystep_gateway as gateway, dragonflystep_mesh as mesh, dragonflystep_node as node,
    dragonflystep_platform as platform, dragonflystep_report as report,
};
