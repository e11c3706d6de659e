//! Steward incarnations known from the membership and the platform's list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mustardbay_policy::escrow::HolderId;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::FleetView;
use sha2::Digest;
use sha2::Sha256;

/// Maximum number of vms among which a new ledger divides an account.
const MAX_OWNERS: usize = 16;

/// Live steward incarnations, and the vms listed by the platform.
#[derive(Debug)]
pub(super) struct Fleet {
    id: HolderId,
    incarnations: BTreeMap<VmName, u64>,
    staying: Vec<VmName>,
    listed: BTreeSet<VmName>,
}

impl Fleet {
    pub(super) fn new(id: HolderId) -> Self {
        Self {
            id,
            incarnations: BTreeMap::new(),
            staying: Vec::new(),
            listed: BTreeSet::new(),
        }
    }

    /// Applies the live vms of a view.
    pub(super) fn on_view(&mut self, view: &FleetView) {
        let incarnations = view.vms.iter();
        self.incarnations = incarnations
            .map(|(vm, s)| (vm.clone(), s.incarnation))
            .collect();
        let staying = view.vms.iter().filter(|(_, state)| !state.leaving);
        self.staying = staying.map(|(vm, _)| vm.clone()).collect();
    }

    /// Replaces the vms listed by the platform.
    pub(super) fn on_listed(&mut self, listed: BTreeSet<VmName>) {
        self.listed = listed;
    }

    /// Returns the vms listed by the platform.
    pub(super) fn listed(&self) -> Vec<VmName> {
        self.listed.iter().cloned().collect()
    }

    /// Tells whether the platform lists this vm.
    pub(super) fn lists_self(&self) -> bool {
        self.listed.contains(&self.id.vm)
    }

    /// Returns every other live vm that is not leaving.
    pub(super) fn peers(&self) -> Vec<VmName> {
        let others = self.staying.iter().filter(|vm| **vm != self.id.vm);
        others.cloned().collect()
    }

    /// Tells whether this incarnation is live according to the membership.
    pub(super) fn is_live(&self, owner: &HolderId) -> bool {
        *owner == self.id || self.incarnations.get(&owner.vm) == Some(&owner.incarnation)
    }

    /// Tells whether this steward is a later incarnation on the owner's vm.
    pub(super) fn is_restart_of(&self, owner: &HolderId) -> bool {
        owner.vm == self.id.vm && owner.incarnation < self.id.incarnation
    }

    /// Tells whether an incarnation is not live, even if the platform lists its vm.
    pub(super) fn is_missing(&self, owner: &HolderId) -> bool {
        !self.is_live(owner)
    }

    /// Tells whether an incarnation is neither listed nor live, or was replaced by a later one.
    pub(super) fn is_gone(&self, owner: &HolderId) -> bool {
        if *owner == self.id || self.is_restart_of(owner) {
            return *owner != self.id;
        }
        match self.incarnations.get(&owner.vm) {
            Some(incarnation) => *incarnation > owner.incarnation,
            None => !self.listed.contains(&owner.vm),
        }
    }

    /// Returns the incarnation that takes over this one's share of an account.
    pub(super) fn successor(&self, account: &AccountName) -> Option<HolderId> {
        let vm = ranked(self.peers(), account.as_str()).into_iter().next()?;
        let incarnation = self.incarnations.get(&vm)?;
        Some(HolderId::new(vm, *incarnation))
    }

    /// Tells whether every listed vm is live.
    pub(super) fn all_listed_live(&self) -> bool {
        self.listed
            .iter()
            .all(|vm| self.incarnations.contains_key(vm))
    }

    /// Returns the incarnations among which a new ledger divides an account.
    pub(super) fn initial_owners(&self, account: &AccountName) -> Vec<HolderId> {
        let known = self.staying.iter().filter(|vm| self.listed.contains(*vm));
        let ranked = ranked(known.cloned().collect(), account.as_str());
        let incarnations = ranked.into_iter().take(MAX_OWNERS).filter_map(|vm| {
            let incarnation = *self.incarnations.get(&vm)?;
            Some(HolderId::new(vm, incarnation))
        });
        incarnations.collect()
    }

    /// Tells whether this vm ranks first for `subject`, so that only one steward acts on it.
    pub(super) fn is_responsible(&self, subject: &str) -> bool {
        let known = self.staying.iter().filter(|vm| self.listed.contains(*vm));
        let first = ranked(known.cloned().collect(), subject).into_iter().next();
        first.is_none_or(|vm| vm == self.id.vm)
    }
}

/// Sorts vms by a hash of name and subject.
fn ranked(mut vms: Vec<VmName>, subject: &str) -> Vec<VmName> {
    vms.sort_by_cached_key(|vm| {
        let mut hash = Sha256::new();
        hash.update(vm.as_str().as_bytes());
        hash.update([0]);
        hash.update(subject.as_bytes());
        <[u8; 32]>::from(hash.finalize())
    });
    vms
}
