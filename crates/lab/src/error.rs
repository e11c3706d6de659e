//! Errors of the lab's stand-ins and tools.

use thiserror::Error;

use crate::demo::DemoError;
use crate::history::HistoryError;
use crate::measure::MeasureError;
use crate::slopes::SlopesError;

/// Error of a stand-in, a load run or a measurement.
#[derive(Debug, Error)]
pub enum LabError {
    /// A listening socket could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// Address that was requested.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An operation on a socket failed, or a signal handler could not be installed.
    #[error("socket failed: {0}")]
    Socket(std::io::Error),
    /// The database inside a stand-in failed.
    #[error("database of the stand-in failed: {0}")]
    Database(String),
    /// A PostgreSQL connection failed, or an upstream returned an error.
    #[error("upstream failed: {}", message(.0))]
    Postgres(#[from] tokio_postgres::Error),
    /// A file could not be read or written.
    #[error("file could not be read or written: {0}")]
    File(#[from] std::io::Error),
    /// A history could not be read or written.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// A measurement failed.
    #[error(transparent)]
    Measure(#[from] MeasureError),
    /// A measurement of slopes failed.
    #[error(transparent)]
    Slopes(#[from] SlopesError),
    /// The demonstration failed before it ended.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// A control function of an upstream returned no row.
    #[error("control function returned no row")]
    NoAnswer,
}

impl LabError {
    /// Returns the SQLSTATE of an error that an upstream returned.
    #[must_use]
    pub fn sqlstate(&self) -> Option<&str> {
        match self {
            Self::Postgres(error) => error.code().map(tokio_postgres::error::SqlState::code),
            _ => None,
        }
    }
}

/// Returns the message of the server's error response, or else that of the client library.
fn message(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(response) => response.to_string(),
        None => error.to_string(),
    }
}
