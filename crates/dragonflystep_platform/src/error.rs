//! Why a call to the platform failed.

use thiserror::Error;

/// Why a call to the platform failed.
///
/// The variants say whether the call may have taken effect; none of them carries a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The address in the settings is not an IP number and port.
    #[error("platform address {address:?} is not an IP number and port")]
    InvalidAddress {
        /// The address.
        address: String,
    },
    /// The key in the settings can't be sent in a header.
    #[error("the platform key has characters that can't be sent")]
    InvalidKey,
    /// The HTTP client could not be made.
    #[error("can't make the HTTP client: {reason}")]
    Setup {
        /// The cause.
        reason: String,
    },
    /// The name of an object has other characters than `a-z`, `0-9`, `-`, `_` and `.`, or is empty.
    #[error("object name {name:?} is not allowed")]
    InvalidObjectName {
        /// The name.
        name: String,
    },
    /// No connection could be made; the call certainly did not take effect.
    #[error("the platform can't be reached: {reason}")]
    Unreachable {
        /// The cause.
        reason: String,
    },
    /// The platform refused the call; it certainly did not take effect.
    #[error("the platform refused the call with status {status}")]
    Refused {
        /// Status of the answer, 429 or 503.
        status: u16,
    },
    /// The call was not answered in time; it may have taken effect.
    #[error("the platform did not answer in time")]
    TimedOut,
    /// The connection ended before the whole answer arrived; the call may have taken effect.
    #[error("the platform's answer was lost: {reason}")]
    AnswerLost {
        /// The cause.
        reason: String,
    },
    /// The answer does not follow the protocol; the call may have taken effect.
    #[error("the platform's answer is garbled: {reason}")]
    Garbled {
        /// What is wrong.
        reason: String,
    },
    /// The answer has a status that the protocol does not name; the call may have taken effect.
    #[error("the platform answered with unexpected status {status}")]
    UnexpectedStatus {
        /// Status of the answer.
        status: u16,
    },
}

impl PlatformError {
    /// Whether the call certainly did not take effect.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_platform::PlatformError;
    /// assert!(PlatformError::Refused { status: 503 }.is_without_effect());
    /// assert!(!PlatformError::TimedOut.is_without_effect());
    /// ```
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::InvalidAddress { .. }
            | Self::InvalidKey
            | Self::Setup { .. }
            | Self::InvalidObjectName { .. }
            | Self::Unreachable { .. }
            | Self::Refused { .. } => true,
            Self::TimedOut
            | Self::AnswerLost { .. }
            | Self::Garbled { .. }
            | Self::UnexpectedStatus { .. } => false,
        }
    }
}
