//! Failures of the lab's programs.

use thiserror::Error;

use crate::demo::DemoError;
use crate::history::HistoryError;
use crate::measure::MeasureError;
use crate::slopes::SlopesError;

/// Why a stand-in or a measurement could not do its work.
#[derive(Debug, Error)]
pub enum LabError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// Address that was asked for.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A socket failed.
    #[error("socket failed: {0}")]
    Socket(std::io::Error),
    /// A stand-in's database failed.
    #[error("database of the stand-in failed: {0}")]
    Database(String),
    /// A PostgreSQL connection failed, or an upstream answered with an error.
    #[error("upstream failed: {}", explain(.0))]
    Postgres(#[from] tokio_postgres::Error),
    /// A file cannot be read or written.
    #[error("file: {0}")]
    File(#[from] std::io::Error),
    /// A history cannot be read or written.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// A measurement could not be made.
    #[error(transparent)]
    Measure(#[from] MeasureError),
    /// The slopes could not be measured.
    #[error(transparent)]
    Slopes(#[from] SlopesError),
    /// The demonstration could not go on.
    #[error(transparent)]
    Demo(#[from] DemoError),
    /// An upstream answered without a row.
    #[error("control function returned no row")]
    NoAnswer,
}

impl LabError {
    /// Returns the SQLSTATE of an upstream's error.
    #[must_use]
    pub fn sqlstate(&self) -> Option<&str> {
        match self {
            Self::Postgres(error) => error.code().map(tokio_postgres::error::SqlState::code),
            _ => None,
        }
    }
}

/// Returns the server's own message where there is one.
fn explain(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(answer) => answer.to_string(),
        None => error.to_string(),
    }
}
