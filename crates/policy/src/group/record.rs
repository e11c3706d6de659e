//! Record of a group as stored in the platform.

use serde::Deserialize;
use serde::Serialize;

use crate::names::UpstreamName;
use crate::names::VmName;
use crate::position::Term;
use crate::view::GroupState;

/// Phase of the term of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The proposer is fencing upstreams; the term has no primary yet.
    Electing,
    /// The primary of the term is chosen; any monitor may promote it.
    Chosen,
}

/// Incarnation of a steward that writes a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposer {
    /// Name of the steward's vm.
    pub vm: VmName,
    /// Start time of the steward, in nanoseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Term of a group and its primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRecord {
    /// Current term; it never decreases.
    pub term: Term,
    /// Phase of the term.
    pub phase: Phase,
    /// Primary of the term; `None` until it is chosen.
    pub primary: Option<UpstreamName>,
    /// Steward that wrote the record.
    pub proposer: Proposer,
    /// Number that differs between the records that one proposer writes.
    pub nonce: u64,
}

impl GroupRecord {
    /// Returns the part of the record that entries and pools need.
    #[must_use]
    pub fn state(&self) -> GroupState {
        GroupState {
            term: self.term,
            primary: self.primary.clone(),
        }
    }
}

/// Record with the revision under which it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredRecord {
    /// Revision of the key in the platform's store, as compare-and-swap expects it.
    pub revision: u64,
    /// The record.
    pub record: GroupRecord,
}
