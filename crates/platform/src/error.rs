//! Failures of platform calls.

use thiserror::Error;

/// Call that got no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The call never reached the platform, so it had no effect.
    #[error("platform unreachable: {0}")]
    Unreachable(String),
    /// The call may have taken effect.
    #[error("platform gave no answer: {0}")]
    Unanswered(String),
    /// The platform answered with something that is no answer to the call.
    #[error("platform answered {0}")]
    Unexpected(String),
}
