//! Errors of the connections to an upstream.

use std::time::Duration;

use pgwire::error::PgWireClientError;
use pgwire::error::PgWireError;
use thiserror::Error;

/// SQLSTATE of an upstream whose term differs from that of the connection.
pub(crate) const SQLSTATE_STALE_TERM: &str = "MB001";
/// SQLSTATE `too_many_connections`: the upstream is at its connection limit.
pub(crate) const SQLSTATE_TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE `read_only_sql_transaction`: the statement writes on a replica.
pub(crate) const SQLSTATE_READ_ONLY: &str = "25006";

/// Why an operation on an upstream failed.
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
    ErrorResponse {
        /// SQLSTATE.
        code: String,
        /// Primary message text.
        message: String,
    },
    /// A message could not be decoded.
    #[error("message does not decode: {0}")]
    Decode(#[from] PgWireError),
    /// The pool's side of the authentication failed.
    #[error("login failed: {0}")]
    Login(#[from] PgWireClientError),
    /// The upstream sent an unexpected message.
    #[error("unexpected answer: {0}")]
    Protocol(&'static str),
    /// The account is at its share of connections, or no connection became free in time.
    #[error("no connection to the upstream is free")]
    NoConnection,
    /// The last connection attempt failed; the next may be made after this time.
    #[error("upstream cannot be reached")]
    Backoff(Duration),
    /// No answer came in time.
    #[error("no answer in time")]
    Timeout,
}

impl UpstreamError {
    /// Reads the fields of an `ErrorResponse`.
    pub(crate) fn from_fields(fields: &[(u8, String)]) -> Self {
        let field = |kind: u8| {
            let found = fields.iter().find(|(k, _)| *k == kind);
            found.map(|(_, text)| text.clone()).unwrap_or_default()
        };
        Self::ErrorResponse {
            code: field(b'C'),
            message: field(b'M'),
        }
    }

    /// Returns the SQLSTATE if the upstream answered with an error.
    pub(crate) fn sqlstate(&self) -> Option<&str> {
        match self {
            Self::ErrorResponse { code, .. } => Some(code),
            _ => None,
        }
    }

    /// Returns a copy for another request that shares the result.
    ///
    /// Error responses, timeouts and protocol errors are kept; others become
    /// [`UpstreamError::Closed`].
    pub(crate) fn shared(&self) -> Self {
        match self {
            Self::ErrorResponse { code, message } => Self::ErrorResponse {
                code: code.clone(),
                message: message.clone(),
            },
            Self::Timeout => Self::Timeout,
            Self::Protocol(what) => Self::Protocol(what),
            _ => Self::Closed,
        }
    }
}
