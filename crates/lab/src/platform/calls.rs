//! Counts of the calls that the platform was asked.

use std::collections::BTreeMap;

use serde::Serialize;

/// Kind of a call, as the platform bills it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Read of a key or range.
    Range,
    /// Write of a key.
    Put,
    /// Deletion.
    Delete,
    /// Transaction.
    Txn,
    /// Grant of a lease.
    Grant,
    /// Renewal of a lease.
    KeepAlive,
    /// End of a lease.
    Revoke,
    /// Watch, counted once however long it waits.
    Watch,
}

/// Calls by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Number of calls of each kind that has been asked for.
    pub by_kind: BTreeMap<Call, u64>,
}

impl Calls {
    /// Counts a call.
    pub fn count(&mut self, call: Call) {
        *self.by_kind.entry(call).or_default() += 1;
    }

    /// Returns the number of calls of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.by_kind.values().sum()
    }
}
