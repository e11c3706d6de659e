//! Queries that a pool sends to upstreams.

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;

use crate::work::PreparedStatement;
use crate::work::Setting;
use crate::work::Statement;

/// Command of a query to an upstream.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Run a caller's statement, unchanged but for the name of a prepared statement.
    Statement(Statement),
    /// Begin a transaction that may write.
    Begin,
    /// Begin a transaction that only reads.
    BeginRead,
    /// Roll the transaction back.
    Rollback,
    /// Set a session setting.
    Set(Setting),
    /// Prepare a statement under [`PreparedStatement::statement_name`].
    Prepare(PreparedStatement),
    /// Drop all settings and prepared statements of the connection.
    Reset,
    /// Query role, term and log positions.
    Status,
    /// Stop a replica from receiving the log of terms below a new one; returns its status.
    Pause(Term),
    /// Let a paused replica receive again; returns its status.
    Continue,
}

impl Command {
    /// Tells whether the answer is a status.
    #[must_use]
    pub fn returns_status(&self) -> bool {
        matches!(self, Self::Status | Self::Pause(_) | Self::Continue)
    }
}

/// One query to an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// Id of the caller's statement; absent for the proxy's own queries.
    pub id: Option<String>,
    /// Position that the upstream's log must have reached, if any.
    pub after: Option<Position>,
    /// Command to run.
    pub command: Command,
}

impl Query {
    /// Creates one of the proxy's own queries.
    #[must_use]
    pub(super) fn internal(command: Command) -> Self {
        Self {
            id: None,
            after: None,
            command,
        }
    }
}

/// Purpose of a query, which decides how its answer is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Applies a setting or prepares a statement of the session.
    Prepare,
    /// Begins a transaction that may write, which proves that the upstream is the primary.
    BeginAtPrimary,
    /// Begins a transaction that only reads.
    BeginRead,
    /// Runs the session's statement.
    Run,
    /// Rolls back a transaction; no session waits for the answer.
    Rollback,
    /// Queries the upstream's status.
    Status,
}

/// One query with its purpose.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Step {
    pub(super) purpose: Purpose,
    pub(super) query: Query,
}

impl Step {
    /// Creates a step with one of the proxy's own queries.
    pub(super) fn internal(purpose: Purpose, command: Command) -> Self {
        Self {
            purpose,
            query: Query::internal(command),
        }
    }
}
