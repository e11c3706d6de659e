//! Failures of control calls.

use thiserror::Error;
use tokio_postgres::error::SqlState;

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

/// What a failed call tells of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// It may be slow, frozen or cut off.
    Unknown,
    /// It lives, but has no connection to spare.
    Busy,
    /// It cannot be connected to, or closed the connection.
    Lost,
}

impl ControlError {
    /// Returns what the failure tells of the upstream.
    pub(crate) fn liveness(&self) -> Liveness {
        match self {
            Self::Unreachable(_) => Liveness::Lost,
            Self::Refused(e) => match e.code() {
                Some(code) if *code == SqlState::TOO_MANY_CONNECTIONS => Liveness::Busy,
                Some(_) => Liveness::Unknown,
                None => Liveness::Lost,
            },
            Self::Timeout | Self::Malformed(_) => Liveness::Unknown,
        }
    }

    /// Tells whether the connection is of no further use.
    pub(crate) fn ends_session(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Timeout | Self::Malformed(_) => true,
            Self::Refused(e) => e.as_db_error().is_none(),
        }
    }
}
