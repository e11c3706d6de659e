//! Ledger of the owners of an account's parts.

use serde::Deserialize;
use serde::Serialize;

use super::HolderId;
use super::Parts;

/// Epoch of a newly created ledger.
pub(super) const FIRST_EPOCH: u64 = 1;

/// Parts that one steward incarnation owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerEntry {
    /// Owner.
    pub owner: HolderId,
    /// Parts of rate and burst.
    pub parts: Parts,
}

/// Owners of an account's parts; the stored record changes only by compare-and-swap.
///
/// The parts of all entries never exceed [`Parts::ALL`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Version, incremented by each change; 0 before the ledger is created.
    pub epoch: u64,
    /// Owners and their parts.
    pub entries: Vec<LedgerEntry>,
    /// Random number of the writer, which distinguishes otherwise equal changes.
    pub nonce: u64,
}

impl Ledger {
    /// Divides an account evenly among its first owners.
    #[must_use]
    pub fn create(owners: &[HolderId], nonce: u64) -> Self {
        let count = u32::try_from(owners.len()).unwrap_or(u32::MAX);
        let parts = Parts(Parts::ALL.0.checked_div(count).unwrap_or(0));
        let entries = owners.iter().map(|owner| LedgerEntry {
            owner: owner.clone(),
            parts,
        });
        Self {
            epoch: FIRST_EPOCH,
            entries: entries.collect(),
            nonce,
        }
    }

    /// Tells whether the parts of all entries add up to at most [`Parts::ALL`].
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let total: u64 = self.entries.iter().map(|e| u64::from(e.parts.0)).sum();
        total <= Parts::ALL.0.into()
    }

    /// Returns the parts of an owner; none if it has no entry.
    #[must_use]
    pub fn parts(&self, owner: &HolderId) -> Parts {
        let own = self.entries.iter().filter(|e| e.owner == *owner);
        own.map(|e| e.parts).sum()
    }

    /// Tells whether an owner has an entry.
    #[must_use]
    pub fn lists(&self, owner: &HolderId) -> bool {
        self.entries.iter().any(|e| e.owner == *owner)
    }

    /// Returns the ledger with entries moved to `to`; `None` if one of them is no longer listed.
    #[must_use]
    pub fn moved(&self, from: &[HolderId], to: &HolderId, nonce: u64) -> Option<Self> {
        if !from.iter().all(|owner| self.lists(owner)) {
            return None;
        }
        let mut next = self.clone();
        next.epoch += 1;
        next.nonce = nonce;
        let parts = from.iter().map(|owner| self.parts(owner)).sum();
        next.entries.retain(|e| !from.contains(&e.owner));
        next.add(to, parts);
        Some(next)
    }

    /// Returns the ledger with an entry divided evenly among `successors`.
    ///
    /// `None` if the entry is no longer listed or there is no successor.
    #[must_use]
    pub fn divided(&self, from: &HolderId, successors: &[HolderId], nonce: u64) -> Option<Self> {
        let count = u64::try_from(successors.len()).ok()?;
        let first = successors.first()?;
        let each = self.parts(from).scaled(1, count);
        let mut next = self.moved(std::slice::from_ref(from), first, nonce)?;
        for successor in &successors[1..] {
            next.take(first, each);
            next.add(successor, each);
        }
        Some(next)
    }

    fn add(&mut self, owner: &HolderId, parts: Parts) {
        match self.entries.iter_mut().find(|e| e.owner == *owner) {
            Some(entry) => entry.parts = entry.parts.plus(parts),
            None => self.entries.push(LedgerEntry {
                owner: owner.clone(),
                parts,
            }),
        }
    }

    fn take(&mut self, owner: &HolderId, parts: Parts) {
        for entry in self.entries.iter_mut().filter(|e| e.owner == *owner) {
            entry.parts = entry.parts.minus(parts);
        }
    }
}
