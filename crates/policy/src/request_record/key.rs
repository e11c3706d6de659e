//! Key of a request record, and the SQL statements that write and read the record.

use thiserror::Error;

use super::digest::Digest;
use crate::names::AccountName;

/// Longest request id, in characters.
pub const MAX_ID_CHARS: usize = 128;
/// Largest answer that is recorded, in bytes.
pub const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// Statement that creates the table of request records.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS mustardbay_request (\
    account TEXT NOT NULL, id TEXT NOT NULL, digest TEXT NOT NULL, answer TEXT NOT NULL, \
    PRIMARY KEY (account, id))";

/// Error for a request id that cannot be recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "request id must have 1 to {MAX_ID_CHARS} printable ASCII characters other than quote and backslash"
)]
pub struct InvalidId;

/// Key of a request record: the account and the request's id.
///
/// Both are embedded in SQL literals: the account is hex-encoded, the id has no quotes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordKey {
    account: String,
    id: String,
}

impl RecordKey {
    /// Creates the key of a request after checking its id.
    ///
    /// # Errors
    ///
    /// Fails if the id is empty, too long or has characters that are not allowed.
    pub fn new(account: &AccountName, id: &str) -> Result<Self, InvalidId> {
        let allowed = |c: char| (c.is_ascii_graphic() || c == ' ') && c != '\'' && c != '\\';
        if id.is_empty() || id.len() > MAX_ID_CHARS || !id.chars().all(allowed) {
            return Err(InvalidId);
        }
        Ok(Self {
            account: hex::encode(account.as_str()),
            id: id.to_owned(),
        })
    }

    /// Returns the statement that inserts the record; it fails if the id is already recorded.
    #[must_use]
    pub fn insert(&self, digest: &Digest) -> String {
        let Self { account, id } = self;
        format!(
            "INSERT INTO mustardbay_request (account, id, digest, answer) \
             VALUES ('{account}', '{id}', '{digest}', '')"
        )
    }

    /// Returns the statement that stores the answer in the record.
    #[must_use]
    pub fn store(&self, answer: &[u8]) -> String {
        let Self { account, id } = self;
        let answer = hex::encode(answer);
        format!(
            "UPDATE mustardbay_request SET answer = '{answer}' \
             WHERE account = '{account}' AND id = '{id}'"
        )
    }

    /// Returns the query that reads the digest and the answer.
    #[must_use]
    pub fn select(&self) -> String {
        let Self { account, id } = self;
        format!(
            "SELECT digest, answer FROM mustardbay_request \
             WHERE account = '{account}' AND id = '{id}'"
        )
    }
}
