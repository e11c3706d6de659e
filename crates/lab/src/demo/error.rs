//! Error of the demonstration itself, as opposed to a violated guarantee.

use thiserror::Error;

use crate::fleet::FleetError;

/// Error that aborts the demonstration.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The fleet did not start or could not be controlled.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A statement that the demonstration depends on failed.
    #[error("statement failed: {0}")]
    Statement(#[from] tokio_postgres::Error),
    /// A signal handler could not be installed.
    #[error("cannot receive signals: {0}")]
    Signals(#[from] std::io::Error),
}
