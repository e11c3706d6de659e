//! Failure of the demonstration itself, as opposed to a promise that does not hold.

use thiserror::Error;

use crate::fleet::FleetError;

/// Failure that keeps the demonstration from going on.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The fleet did not start or could not be steered.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A statement that the demonstration depends on failed.
    #[error("statement failed: {0}")]
    Statement(#[from] tokio_postgres::Error),
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(#[from] std::io::Error),
}
