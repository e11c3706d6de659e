//! Errors that an upstream sends to its clients.

use mustardbay_policy::position::Term;
use rusqlite::ErrorCode;
use rusqlite::ffi;

use super::value::SqlType;
use super::value::Value;

/// Error of a statement or connection: SQLSTATE and message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlError {
    /// SQLSTATE.
    pub sqlstate: &'static str,
    /// Human-readable text.
    pub message: String,
}

impl SqlError {
    /// Creates an error with a SQLSTATE and a message.
    pub fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self {
            sqlstate,
            message: message.into(),
        }
    }

    /// Refuses a connection or call whose term is not in force, or that has no term.
    #[must_use]
    pub fn stale_term(asked: Option<Term>, current: Term) -> Self {
        match asked {
            Some(asked) => Self::new(
                "MB001",
                format!("term {asked} is not in force; the upstream is at term {current}"),
            ),
            None => Self::new(
                "MB001",
                "connection without a term runs control functions only",
            ),
        }
    }

    /// Reports that a wait for a replica timed out.
    #[must_use]
    pub fn unconfirmed() -> Self {
        Self::new("MB002", "no replica confirmed in time")
    }

    /// Reports that a statement was cancelled.
    #[must_use]
    pub fn cancelled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }

    /// Refuses a write on an upstream that is not the primary.
    #[must_use]
    pub fn read_only() -> Self {
        Self::new("25006", "cannot execute a write on a replica")
    }

    /// Refuses a statement in a transaction that has failed.
    #[must_use]
    pub fn transaction_aborted() -> Self {
        Self::new(
            "25P02",
            "current transaction is aborted, commands ignored until end of transaction block",
        )
    }

    /// Reports a value that cannot be converted to its column's type.
    #[must_use]
    pub fn invalid_value(value: &Value, sql_type: SqlType) -> Self {
        Self::new("22P02", format!("value {value:?} is no {sql_type:?}"))
    }

    /// Reports a parameter whose bytes are no value of its type.
    #[must_use]
    pub fn invalid_parameter(oid: u32) -> Self {
        Self::new("22P02", format!("parameter is no value of type {oid}"))
    }

    /// Reports a failure of the stand-in itself, such as I/O or a lost task.
    #[must_use]
    pub fn internal(message: impl Into<String>) -> Self {
        Self::new("XX000", message)
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let sqlstate = match &error {
            rusqlite::Error::SqliteFailure(failure, _) => failure_sqlstate(*failure, &message),
            rusqlite::Error::SqlInputError { .. } => input_sqlstate(&message),
            _ => "XX000",
        };
        Self { sqlstate, message }
    }
}

fn failure_sqlstate(failure: ffi::Error, message: &str) -> &'static str {
    match failure.code {
        ErrorCode::OperationInterrupted => "57014",
        ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked => "55P03",
        ErrorCode::ReadOnly => "25006",
        ErrorCode::ConstraintViolation => match failure.extended_code {
            ffi::SQLITE_CONSTRAINT_UNIQUE | ffi::SQLITE_CONSTRAINT_PRIMARYKEY => "23505",
            ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
            ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
            _ => "23514",
        },
        _ => input_sqlstate(message),
    }
}

/// Derives the SQLSTATE from the message, since SQLite has one code for all of these errors.
fn input_sqlstate(message: &str) -> &'static str {
    if message.contains("no such table") {
        "42P01"
    } else if message.contains("no such column") {
        "42703"
    } else if message.contains("already exists") {
        "42P07"
    } else {
        "42601"
    }
}
