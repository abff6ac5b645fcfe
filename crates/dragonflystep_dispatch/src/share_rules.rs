//! Settings of the accounts' shares of a service.

use std::time::Duration;

/// How the accounts of a tier share a service that is full.
///
/// # Examples
/// ```
/// use dragonflystep_dispatch::ShareRules;
///
/// assert!(ShareRules::default().is_enabled);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRules {
    /// Whether accounts that received more than their share go behind those that received less.
    pub is_enabled: bool,
    /// Time constant with which service that an account received is forgotten.
    pub memory: Duration,
}

impl Default for ShareRules {
    /// Returns shares that follow the last seconds: long enough to tell a burst from chance, short enough that an account
    /// which was above its share is not held back for it much later.
    fn default() -> Self {
        Self {
            is_enabled: true,
            memory: Duration::from_secs(4),
        }
    }
}
