//! Permanent transfer of ledger entries by an owner that leaves.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::HolderId;
use super::LedgerEntry;
use super::Parts;

/// Ledger entries that a leaving owner transfers permanently to one peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// Steward incarnation that may take the entries; a later one on the same vm may not.
    pub successor: HolderId,
    /// Entries as the ledger lists them.
    pub entries: Vec<LedgerEntry>,
    /// Rate parts of these entries that are on loan.
    pub lent_rate: Parts,
    /// Burst parts of these entries that are on loan or back tokens granted to local programs.
    pub lent_burst: Parts,
    /// Time after which all these loans and grants have expired.
    pub lent_for: Duration,
}
