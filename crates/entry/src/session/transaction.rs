//! Transaction state of a session.

use std::sync::Arc;

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;
use pgwire::messages::response::TransactionStatus;

use crate::observed_groups::LoadGuard;
use crate::pools::PoolLink;

/// Transaction state of a session.
#[derive(Debug, Default)]
pub(crate) enum Transaction {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open, and a pool holds its connection.
    Held(Held),
    /// The transaction was abandoned and rolled back; the client has not ended it yet.
    Failed,
}

/// Open transaction and the pool that holds its connection.
#[derive(Debug)]
pub(crate) struct Held {
    /// Link to the pool.
    pub link: Arc<PoolLink>,
    /// Upstream on which it runs.
    pub upstream: UpstreamName,
    /// Group term under which it was opened.
    pub term: Term,
    /// Last status reported by the upstream.
    pub status: TransactionStatus,
    /// Counts the transaction as load of its upstream.
    pub _load: LoadGuard,
}

impl Transaction {
    /// Returns the status for `ReadyForQuery`.
    pub fn status(&self) -> TransactionStatus {
        match self {
            Self::Idle => TransactionStatus::Idle,
            Self::Held(held) => held.status,
            Self::Failed => TransactionStatus::Error,
        }
    }

    /// Reports whether the client is inside a transaction block.
    pub fn is_open(&self) -> bool {
        !matches!(self, Self::Idle)
    }
}
