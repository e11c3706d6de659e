//! Accounts whose rates this vm grants for the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::VmName;
use serde_json::Value;
use serde_json::json;

use crate::clock::BootInstant;
use crate::fleet::Assignment;
use crate::fleet::Member;
use crate::link_handler::LinkHandler;
use crate::rates::GRANT_GRACE;
use crate::rates::GrantedAccounts;
use crate::rates::Split;
use crate::snapshot::Snapshot;
use crate::vm::steward::predecessor::Predecessor;
use crate::vm::steward::predecessor::StopResult;
use crate::vm_lease::VmLease;

/// Accounts whose rates this vm grants, and whether it may.
#[derive(Debug, Default)]
pub(super) struct Granting {
    granted_accounts: GrantedAccounts,
    /// Assignment that was last applied.
    assignment: Option<Arc<Assignment>>,
    /// Whether this vm was allowed to grant at the last update.
    in_force: bool,
    /// Whether this vm has ever been allowed to grant.
    granted_before: bool,
}

impl Granting {
    /// Applies an assignment; returns the vms that must be asked to hand over their accounts.
    pub(super) fn assign(
        &mut self,
        snapshot: &Snapshot,
        assignment: &Arc<Assignment>,
        me: &VmName,
        lease: &VmLease,
    ) -> Vec<Predecessor> {
        let now = BootInstant::now();
        let granted = granted_accounts(snapshot, assignment, me);
        let previous = self.assignment.replace(Arc::clone(assignment));
        let kept = lease.kept_since(&snapshot.members);
        if let (None, Some(since)) = (&previous, kept) {
            // Nobody has granted the tokens that accrued since this vm's previous process ended.
            let from = since.max(now.before(GRANT_GRACE));
            self.granted_accounts
                .assign(granted, |_, _| BTreeSet::new(), from);
            return Vec::new();
        }
        let previous = previous.unwrap_or_else(|| Arc::new(assignment_without(snapshot, me)));
        let before = |account: &AccountName, split| {
            let granting = previous.authorities(account);
            let granting: BTreeSet<VmName> = granting_vms(&granting, split).collect();
            let current = assignment.authorities(account);
            let current: BTreeSet<VmName> = granting_vms(&current, split).collect();
            &granting - &current
        };
        self.granted_accounts.assign(granted, before, now);
        let awaited = self.granted_accounts.awaited(now).into_iter();
        awaited
            .filter_map(|(vm, accounts)| {
                let address = previous.address(&vm).or_else(|| assignment.address(&vm))?;
                Some(Predecessor {
                    vm,
                    address,
                    accounts,
                })
            })
            .collect()
    }

    /// Handles the result of asking a predecessor to stop.
    pub(super) fn release(&mut self, vm: &VmName, result: &StopResult) {
        let now = BootInstant::now();
        match result {
            StopResult::Ended => self.granted_accounts.release(vm, now),
            StopResult::HandedOver(accounts) => {
                for (account, _) in accounts {
                    self.granted_accounts.release_account(vm, account, now);
                }
            }
            StopResult::Unknown => {}
        }
    }

    /// Returns the state for the admin dump.
    pub(super) fn dump(&self, now: BootInstant) -> Value {
        json!({
            "in_force": self.in_force,
            "accounts": self.granted_accounts.iter().count(),
            "awaited": self.granted_accounts.awaited(now).keys().collect::<Vec<_>>(),
        })
    }

    /// Returns whether the permission to grant differs from the last update.
    pub(super) fn is_outdated(&self, lease: &VmLease) -> bool {
        may_grant(lease) != self.in_force
    }

    /// Grants the rates of this vm's accounts, or none while the lease does not permit it.
    pub(super) fn update(&mut self, lease: &VmLease, handler: &LinkHandler) {
        let now = BootInstant::now();
        let granting = may_grant(lease);
        let resuming = granting && !self.in_force && self.granted_before;
        if resuming {
            self.granted_accounts.restart_from(now);
        }
        self.in_force = granting;
        self.granted_before |= granting;
        let granted_accounts = &self.granted_accounts;
        handler.authority(|rates| {
            rates.retain(
                |account| granting && granted_accounts.contains(account),
                now,
            );
            if granting {
                for (account, held) in granted_accounts.iter() {
                    rates.assign(account, held.split, held.from, now);
                }
            }
        });
    }
}

/// Returns whether a vm may grant rates: while its lease holds and for [`GRANT_GRACE`] after that.
///
/// Successors wait as long. A vm that joins may take over an account before this vm has seen it, so the
/// lease bounds the time for which both grant.
fn may_grant(lease: &VmLease) -> bool {
    lease.is_valid_within(GRANT_GRACE, BootInstant::now())
}

/// Returns the accounts whose rates a vm grants, with the split of each.
fn granted_accounts(
    snapshot: &Snapshot,
    assignment: &Assignment,
    me: &VmName,
) -> BTreeMap<AccountName, Split> {
    let accounts = snapshot.configuration.accounts.iter();
    accounts
        .filter_map(|(account, rate)| {
            let authorities = assignment.authorities(account);
            let split = Split::new(*rate, authorities.len());
            let mut granting = authorities.iter().take(split.authorities);
            let granted = granting.any(|member| member.vm == *me);
            granted.then(|| (account.clone(), split))
        })
        .collect()
}

/// Returns the authorities that do grant an account's rate under its split.
fn granting_vms(authorities: &[Member], split: Split) -> impl Iterator<Item = VmName> {
    let granting = authorities.iter().take(split.authorities);
    granting.map(|member| member.vm.clone())
}

/// Returns the assignment as it was before this vm joined.
fn assignment_without(snapshot: &Snapshot, me: &VmName) -> Assignment {
    let others = snapshot.members.iter().filter(|member| member.vm != *me);
    let others = Arc::new(others.cloned().collect());
    Assignment::new(others, snapshot.configuration.groups.keys())
}
