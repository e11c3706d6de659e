//! Failures at an upstream.

use std::time::Duration;

use pgwire::error::PgWireClientError;
use pgwire::error::PgWireError;
use thiserror::Error;

/// SQLSTATE of an upstream that is fenced at another term than the connection's.
pub(crate) const SQLSTATE_TERM: &str = "MB001";
/// SQLSTATE of an upstream at its connection limit.
pub(crate) const SQLSTATE_TOO_MANY: &str = "53300";
/// SQLSTATE of a write on a replica.
pub(crate) const SQLSTATE_READ_ONLY: &str = "25006";

/// Failure of a connection to an upstream.
#[derive(Debug, Error)]
pub(crate) enum UpstreamError {
    /// The transport failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The upstream closed the connection.
    #[error("connection closed by the upstream")]
    Closed,
    /// The upstream answered with an error.
    #[error("upstream answered {code}: {message}")]
    Refused {
        /// SQLSTATE.
        code: String,
        /// Message text.
        message: String,
    },
    /// A message does not decode.
    #[error("message does not decode: {0}")]
    Decode(#[from] PgWireError),
    /// The login failed on this side.
    #[error("login failed: {0}")]
    Login(#[from] PgWireClientError),
    /// The upstream sent something else than expected.
    #[error("unexpected answer: {0}")]
    Protocol(&'static str),
    /// Every connection that the account may have is taken.
    #[error("no connection to the upstream is free")]
    NoConnection,
    /// The last attempt to connect failed, and the next one is not due yet.
    #[error("upstream cannot be reached")]
    Paused(Duration),
    /// No answer came in time.
    #[error("no answer in time")]
    Timeout,
}

impl UpstreamError {
    /// Reads the fields of an `ErrorResponse`.
    pub(crate) fn refused(fields: &[(u8, String)]) -> Self {
        let field = |kind: u8| {
            let found = fields.iter().find(|(k, _)| *k == kind);
            found.map(|(_, text)| text.clone()).unwrap_or_default()
        };
        Self::Refused {
            code: field(b'C'),
            message: field(b'M'),
        }
    }

    /// Returns the SQLSTATE of the upstream's answer, if it answered.
    pub(crate) fn code(&self) -> Option<&str> {
        match self {
            Self::Refused { code, .. } => Some(code),
            _ => None,
        }
    }

    /// Returns an error of the same outcome for another request that waited for the same answer.
    pub(crate) fn shared(&self) -> Self {
        match self {
            Self::Refused { code, message } => Self::Refused {
                code: code.clone(),
                message: message.clone(),
            },
            Self::Timeout => Self::Timeout,
            Self::Protocol(what) => Self::Protocol(what),
            _ => Self::Closed,
        }
    }
}
