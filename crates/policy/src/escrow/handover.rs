//! Transfer of owned parts by an owner that leaves.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::HolderId;
use super::LedgerEntry;
use super::Parts;

/// Entries of the ledger that their owner gives to one peer for good.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// The one life that may take it; another life of the same virtual machine must not.
    pub successor: HolderId,
    /// Entries, under the names that the ledger lists them by.
    pub entries: Vec<LedgerEntry>,
    /// Rate parts of these entries that are still lent out.
    pub lent_rate: Parts,
    /// Burst parts of these entries that are still lent out.
    pub lent_burst: Parts,
    /// Time after which all that is lent out has lapsed.
    pub lent_for: Duration,
}
