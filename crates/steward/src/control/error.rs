//! Errors of control calls.

use thiserror::Error;
use tokio_postgres::error::SqlState;

/// Error of a control call; the upstream may still have executed it after a timeout.
#[derive(Debug, Error)]
pub(crate) enum ControlError {
    /// The upstream cannot be reached.
    #[error("upstream unreachable: {0}")]
    Unreachable(#[from] std::io::Error),
    /// The upstream did not answer in time.
    #[error("upstream gave no answer in time")]
    Timeout,
    /// The upstream returned an error, or the connection was lost.
    #[error("upstream refused: {0}")]
    Refused(#[from] tokio_postgres::Error),
    /// The answer lacks a row or column, or holds a value that does not parse.
    #[error("upstream answered {0}")]
    Malformed(String),
}

/// What a failed call shows about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// It may be slow, frozen or cut off.
    Unknown,
    /// It runs, but its connection limit is reached.
    Busy,
    /// It refused or closed the connection.
    Lost,
}

impl ControlError {
    /// Returns what the failure shows about the upstream.
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

    /// Tells whether the connection must be closed.
    pub(crate) fn ends_session(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Timeout | Self::Malformed(_) => true,
            Self::Refused(e) => e.as_db_error().is_none(),
        }
    }
}
