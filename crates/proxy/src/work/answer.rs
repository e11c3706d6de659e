//! Answer of an upstream to one statement.

use crate::work::Code;
use crate::work::DatedPosition;
use crate::work::LogPosition;

/// Transaction state of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum TransactionState {
    /// No transaction is open.
    Idle = 0,
    /// A transaction is open.
    Open = 1,
    /// The transaction has failed and can only be rolled back.
    Failed = 2,
}

/// Complete answer to one statement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// Result rows, in order.
    #[prost(string, repeated, tag = "1")]
    pub rows: Vec<String>,
    /// Signature of the upstream that ran the statement; absent if the statement failed.
    #[prost(string, optional, tag = "2")]
    pub signature: Option<String>,
    /// Error code; absent if the statement succeeded.
    #[prost(enumeration = "Code", optional, tag = "3")]
    pub code: Option<i32>,
    /// Human-readable error text.
    #[prost(string, tag = "4")]
    pub text: String,
    /// Transaction state after the statement.
    #[prost(enumeration = "TransactionState", tag = "5")]
    pub state: i32,
    /// Log position of the upstream after the statement.
    #[prost(message, optional, tag = "6")]
    pub position: Option<LogPosition>,
    /// Newest position of the group's primary that the pool knows.
    #[prost(message, optional, tag = "7")]
    pub primary: Option<DatedPosition>,
}

impl Answer {
    /// Creates the answer to a failed statement.
    pub fn failed(code: Code, text: impl Into<String>, state: TransactionState) -> Self {
        Self {
            code: Some(code.into()),
            text: text.into(),
            state: state.into(),
            ..Self::default()
        }
    }

    /// Returns the error code if the statement failed; an unknown code counts as [`Code::Failed`].
    #[must_use]
    pub fn failure(&self) -> Option<Code> {
        self.code
            .map(|code| Code::try_from(code).unwrap_or(Code::Failed))
    }
}
