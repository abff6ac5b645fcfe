//! Keys that must not be shown.

use std::{fmt, sync::Arc};

/// A key; its debug output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Hides a key.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_config::Secret;
    /// let key = Secret::new("a-key-of-16-chars");
    /// assert_eq!(format!("{key:?}"), "redacted");
    /// assert_eq!(key.reveal().as_ref(), "a-key-of-16-chars");
    /// ```
    pub fn new(key: impl Into<Arc<str>>) -> Self {
        Self(key.into())
    }

    /// The key itself, for the one who has to send or compare it.
    pub fn reveal(&self) -> &Arc<str> {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("redacted")
    }
}
