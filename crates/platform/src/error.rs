//! Errors of platform calls.

use thiserror::Error;

/// Failure of a call that got no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The call never reached the platform, so it had no effect.
    #[error("platform unreachable: {0}")]
    Unreachable(String),
    /// No response came, so the call may or may not have taken effect.
    #[error("platform gave no answer: {0}")]
    Unanswered(String),
    /// The platform sent an error status, or a response that cannot be decoded.
    #[error("platform answered {0}")]
    Unexpected(String),
}
