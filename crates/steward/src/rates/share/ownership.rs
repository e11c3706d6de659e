//! Ownership of a share's parts: ledger changes, handovers and reclaims.

use std::time::Duration;

use mustardbay_policy::escrow::HolderId;
use mustardbay_policy::escrow::Ledger;
use mustardbay_policy::escrow::Message;
use mustardbay_policy::escrow::Reclaim;
use mustardbay_policy::escrow::ReclaimStep;
use mustardbay_policy::names::AccountName;

use super::Share;
use super::ShareOutput;
use crate::rates::fleet::Fleet;

/// Time between reads while frozen parts, a handover or a missing ledger wait for the platform.
const URGENT_READ_PERIOD: Duration = Duration::from_secs(1);
/// Maximum wait of a new account for listed vms that are not live yet.
///
/// It is half of the 4 s within which a configuration must be in force.
const MAX_OWNERS_WAIT: Duration = Duration::from_secs(2);
/// Time between reads while an owner that this steward may reclaim from is not live.
const MISSING_OWNER_READ_PERIOD: Duration = Duration::from_secs(3);

impl Share {
    /// Applies a ledger that was read, and returns the changes that this steward makes to it.
    pub(in crate::rates) fn on_ledger(
        &mut self,
        account: &AccountName,
        stored: Option<(u64, Ledger)>,
        requested_at: Duration,
        fleet: &Fleet,
        now: Duration,
    ) -> Vec<ShareOutput> {
        let Some((revision, ledger)) = stored else {
            return self
                .create_ledger(account, fleet, now)
                .into_iter()
                .collect();
        };
        let confirmed = fleet.lists_self().then_some(requested_at);
        self.holder.on_ledger(&ledger, confirmed, now);
        self.ledger = Some((revision, ledger.clone()));
        let handovers = self.holder.unregistered_owners();
        if !handovers.is_empty() {
            return self.move_to_self(&handovers, revision, &ledger);
        }
        self.reclaim(account, revision, &ledger, fleet, now)
    }

    /// Returns the maximum time until the next read; `None` if nothing waits for one.
    pub(in crate::rates) fn max_read_delay(
        &self,
        account: &AccountName,
        fleet: &Fleet,
    ) -> Option<Duration> {
        let Some((_, ledger)) = &self.ledger else {
            return Some(URGENT_READ_PERIOD);
        };
        if self.holder.is_frozen() || !self.holder.unregistered_owners().is_empty() {
            return Some(URGENT_READ_PERIOD);
        }
        if ledger.entries.iter().any(|e| fleet.is_restart_of(&e.owner)) {
            return Some(URGENT_READ_PERIOD);
        }
        let missing =
            |owner: &HolderId| fleet.is_missing(owner) && is_responsible_for(account, owner, fleet);
        let mut entries = ledger.entries.iter();
        entries
            .any(|e| missing(&e.owner))
            .then_some(MISSING_OWNER_READ_PERIOD)
    }

    /// Creates the ledger, which divides the account among the live vms.
    ///
    /// It waits a while for listed vms that are not live yet, since a vm that joins after the
    /// creation owns no part.
    fn create_ledger(
        &self,
        account: &AccountName,
        fleet: &Fleet,
        now: Duration,
    ) -> Option<ShareOutput> {
        if !fleet.all_listed_live() && now < self.started_at + MAX_OWNERS_WAIT {
            return None;
        }
        let owners = fleet.initial_owners(account);
        let first = fleet.is_responsible(account.as_str()) && !owners.is_empty();
        first.then(|| ShareOutput::Swap {
            expected: 0,
            ledger: Ledger::create(&owners, rand::random()),
        })
    }

    fn move_to_self(
        &self,
        owners: &[HolderId],
        revision: u64,
        ledger: &Ledger,
    ) -> Vec<ShareOutput> {
        let moved = ledger.moved(owners, self.holder.id(), rand::random());
        let swap = moved.map(|ledger| ShareOutput::Swap {
            expected: revision,
            ledger,
        });
        swap.into_iter().collect()
    }

    fn reclaim(
        &mut self,
        account: &AccountName,
        revision: u64,
        ledger: &Ledger,
        fleet: &Fleet,
        now: Duration,
    ) -> Vec<ShareOutput> {
        self.reclaims.retain(|owner, _| ledger.lists(owner));
        let mut outputs = Vec::new();
        for entry in &ledger.entries {
            let responsible =
                fleet.is_gone(&entry.owner) && is_responsible_for(account, &entry.owner, fleet);
            if !responsible && !self.reclaims.contains_key(&entry.owner) {
                continue;
            }
            match self.reclaim_step(&entry.owner, responsible, fleet, now) {
                ReclaimStep::Wait => {}
                ReclaimStep::Fence(vms) => {
                    let owner = &entry.owner;
                    let fence = |vm| ShareOutput::Peer(vm, Message::Fence(owner.clone()));
                    outputs.extend(vms.into_iter().map(fence));
                }
                ReclaimStep::Ready => {
                    tracing::info!(event = "share_reclaimed", account = %account, owner = %entry.owner);
                    let owner = std::slice::from_ref(&entry.owner);
                    outputs.extend(self.move_to_self(owner, revision, ledger));
                    return outputs;
                }
            }
        }
        outputs
    }

    fn reclaim_step(
        &mut self,
        owner: &HolderId,
        gone: bool,
        fleet: &Fleet,
        now: Duration,
    ) -> ReclaimStep {
        let reclaim = self
            .reclaims
            .entry(owner.clone())
            .or_insert_with(|| start_reclaim(owner, fleet, now));
        let step = reclaim.on_list(&fleet.listed(), gone, now);
        if !matches!(step, ReclaimStep::Fence(_)) {
            return step;
        }
        let holds = self.holder.on_fence(owner, now);
        let own = self.holder.id().vm.clone();
        reclaim.on_fenced(own, holds, now);
        reclaim.on_list(&fleet.listed(), gone, now)
    }
}

fn start_reclaim(owner: &HolderId, fleet: &Fleet, now: Duration) -> Reclaim {
    if fleet.is_restart_of(owner) {
        Reclaim::of_earlier_incarnation(owner.clone(), now)
    } else {
        Reclaim::new(owner.clone(), now)
    }
}

fn is_responsible_for(account: &AccountName, owner: &HolderId, fleet: &Fleet) -> bool {
    fleet.is_restart_of(owner) || fleet.is_responsible(&format!("{account}/{owner}"))
}
