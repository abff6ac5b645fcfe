//! The platform's VM list.

use std::sync::Arc;

/// Names of the VMs that the platform knows; it lags behind what happens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmList {
    /// VMs that run.
    pub live: Vec<Arc<str>>,
    /// VMs that run and will go.
    pub leaving: Vec<Arc<str>>,
}
