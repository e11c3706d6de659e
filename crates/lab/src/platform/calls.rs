//! Counts of the calls that the platform has received.

use std::collections::BTreeMap;

use serde::Serialize;

/// Kind of a call, as the platform bills it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Read of a key or a range of keys.
    Range,
    /// Write of a key.
    Put,
    /// Deletion of a key or a range of keys.
    Delete,
    /// Transaction with comparisons.
    Txn,
    /// Grant of a lease.
    Grant,
    /// Renewal of a lease.
    KeepAlive,
    /// End of a lease.
    Revoke,
    /// Watch, counted once however long it stays open.
    Watch,
}

/// Number of calls by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Number of calls of each kind that was received at least once.
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
