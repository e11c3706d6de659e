//! Transaction of a session and where it is held.

use std::sync::Arc;

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;
use pgwire::messages::response::TransactionStatus;

use crate::groups::Occupied;
use crate::pools::PoolLink;

/// Transaction of a session.
#[derive(Debug, Default)]
pub(crate) enum Transaction {
    /// None is open.
    #[default]
    Idle,
    /// A pool holds a connection for the session.
    Held(Held),
    /// It was given up and rolled back; the caller has not ended it yet.
    Failed,
}

/// Open transaction and the pool that holds its connection.
#[derive(Debug)]
pub(crate) struct Held {
    /// Link to the pool.
    pub link: Arc<PoolLink>,
    /// Upstream that it runs on.
    pub upstream: UpstreamName,
    /// Group term under which it was opened.
    pub term: Term,
    /// Status that the upstream reported last.
    pub status: TransactionStatus,
    /// Counts the transaction as load of the upstream.
    pub _load: Occupied,
}

impl Transaction {
    /// Returns the status that the caller is told.
    pub fn status(&self) -> TransactionStatus {
        match self {
            Self::Idle => TransactionStatus::Idle,
            Self::Held(held) => held.status,
            Self::Failed => TransactionStatus::Error,
        }
    }

    /// Tells whether the caller is inside a transaction.
    pub fn is_open(&self) -> bool {
        !matches!(self, Self::Idle)
    }
}
