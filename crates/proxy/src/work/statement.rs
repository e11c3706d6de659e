//! Statements of callers.

use sha2::Digest;
use sha2::Sha256;

/// Kind of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verb {
    /// Reads data.
    Read = 0,
    /// Writes data.
    Write = 1,
    /// Begins a transaction that may write.
    Begin = 2,
    /// Begins a transaction that only reads.
    BeginRead = 3,
    /// Commits a transaction.
    Commit = 4,
    /// Rolls a transaction back.
    Rollback = 5,
}

/// Prepared statement that an execution refers to.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct PreparedStatement {
    /// Whether it may write.
    #[prost(bool, tag = "1")]
    pub writes: bool,
    /// Text of the statement, as the caller prepared it.
    #[prost(string, tag = "2")]
    pub text: String,
}

/// Statement of a caller, with its text unchanged.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Statement {
    /// Request id, given by the caller.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Kind of the statement.
    #[prost(enumeration = "Verb", tag = "2")]
    pub verb: i32,
    /// Full text; for the execution of a prepared statement, only what follows its name.
    #[prost(string, tag = "3")]
    pub text: String,
    /// Prepared statement that it executes, if any.
    #[prost(message, optional, tag = "4")]
    pub prepared: Option<PreparedStatement>,
}

impl Statement {
    /// Creates a statement that executes no prepared statement.
    pub fn new(id: impl Into<String>, verb: Verb, text: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            verb: verb.into(),
            text: text.into(),
            prepared: None,
        }
    }
}

impl PreparedStatement {
    /// Returns the name under which the statement is prepared at an upstream.
    ///
    /// The name is a hash of the text, so that sessions share prepared statements on a connection.
    #[must_use]
    pub fn statement_name(&self) -> String {
        let kind = if self.writes { 'w' } else { 'r' };
        let digest = Sha256::digest(self.text.as_bytes());
        let mut head = [0_u8; 12];
        head.copy_from_slice(&digest[..12]);
        let number = head
            .iter()
            .fold(0_u128, |n, byte| n << 8 | u128::from(*byte));
        format!("{kind}{number:024x}")
    }
}
