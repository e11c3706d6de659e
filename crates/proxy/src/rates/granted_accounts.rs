//! Accounts whose rates a vm grants, each from a start time on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::VmName;

use crate::clock::BootInstant;
use crate::rates::Split;

/// Time for which a vm grants past its lease while the store does not answer.
///
/// A successor waits for as long. The value is the usual bound on the age of a configuration
/// (4.6 s), less the 3 s of a lease, rounded up for the time since the last renewal.
pub const GRANT_GRACE: Duration = Duration::from_millis(1_800);

/// Share of an account's rate that this vm grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedAccount {
    /// How the account's rate is divided.
    pub split: Split,
    /// Time from which the bucket fills.
    pub from: BootInstant,
    /// Former authorities that may go on granting until then.
    pub predecessors: BTreeSet<VmName>,
}

/// Accounts whose rates this vm grants.
#[derive(Debug, Default)]
pub struct GrantedAccounts {
    accounts: BTreeMap<AccountName, GrantedAccount>,
}

impl GrantedAccounts {
    /// Replaces the accounts that this vm grants.
    ///
    /// `predecessors` returns the vms that granted an account until now.
    pub fn assign(
        &mut self,
        accounts: BTreeMap<AccountName, Split>,
        predecessors: impl Fn(&AccountName, Split) -> BTreeSet<VmName>,
        now: BootInstant,
    ) {
        let mut known = std::mem::take(&mut self.accounts);
        for (account, split) in accounts {
            let granted = match known.remove(&account) {
                Some(granted) => GrantedAccount { split, ..granted },
                None => GrantedAccount::new(split, predecessors(&account, split), now),
            };
            self.accounts.insert(account, granted);
        }
    }

    /// Delays every start to `now` at least, after a time in which other vms may have granted.
    pub fn restart_from(&mut self, now: BootInstant) {
        for granted in self.accounts.values_mut() {
            granted.from = granted.from.max(now);
        }
    }

    /// Notes that a vm certainly grants no account any more.
    pub fn release(&mut self, vm: &VmName, now: BootInstant) {
        for granted in self.accounts.values_mut() {
            granted.release(vm, now);
        }
    }

    /// Notes that a vm certainly grants one account no more.
    pub fn release_account(&mut self, vm: &VmName, account: &AccountName, now: BootInstant) {
        if let Some(granted) = self.accounts.get_mut(account) {
            granted.release(vm, now);
        }
    }

    /// Returns the vms that may still grant accounts of this vm, with these accounts.
    #[must_use]
    pub fn awaited(&self, now: BootInstant) -> BTreeMap<VmName, Vec<AccountName>> {
        let mut awaited: BTreeMap<VmName, Vec<AccountName>> = BTreeMap::new();
        let waiting = self
            .accounts
            .iter()
            .filter(|(_, granted)| granted.from > now);
        for (account, granted) in waiting {
            for vm in &granted.predecessors {
                let accounts = awaited.entry(vm.clone()).or_default();
                accounts.push(account.clone());
            }
        }
        awaited
    }

    /// Returns the accounts and their shares.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountName, &GrantedAccount)> {
        self.accounts.iter()
    }

    /// Tells whether this vm grants an account's rate.
    #[must_use]
    pub fn contains(&self, account: &AccountName) -> bool {
        self.accounts.contains_key(account)
    }
}

impl GrantedAccount {
    fn release(&mut self, vm: &VmName, now: BootInstant) {
        if self.predecessors.remove(vm) && self.predecessors.is_empty() {
            self.from = self.from.min(now);
        }
    }

    fn new(split: Split, predecessors: BTreeSet<VmName>, now: BootInstant) -> Self {
        let wait = if predecessors.is_empty() {
            Duration::ZERO
        } else {
            GRANT_GRACE
        };
        Self {
            split,
            from: now.after(wait),
            predecessors,
        }
    }
}
