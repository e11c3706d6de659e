//! Failures of control calls.

use thiserror::Error;

/// Control call that an upstream did not carry out, as far as is known.
#[derive(Debug, Error)]
pub(crate) enum ControlError {
    /// The upstream cannot be reached.
    #[error("upstream unreachable: {0}")]
    Unreachable(#[from] std::io::Error),
    /// The upstream did not answer in time.
    #[error("upstream gave no answer in time")]
    Timeout,
    /// The upstream refused, or the connection was lost.
    #[error("upstream refused: {0}")]
    Refused(#[from] tokio_postgres::Error),
    /// The answer is not of the agreed form.
    #[error("upstream answered {0}")]
    Malformed(String),
}

impl ControlError {
    /// Tells whether the connection is of no further use.
    pub(crate) fn ends_session(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Timeout | Self::Malformed(_) => true,
            Self::Refused(e) => e.as_db_error().is_none(),
        }
    }
}
