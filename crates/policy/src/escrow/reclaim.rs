//! Reclaim of a ledger entry whose owner is gone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::HolderId;
use super::RECLAIM_WAIT;
use super::TAKEOVER_WAIT;
use crate::names::VmName;

/// Longest time between two reads of the list of vms; a longer gap restarts the wait.
const MAX_LIST_GAP: Duration = Duration::from_secs(5);

/// Next step of a reclaim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReclaimStep {
    /// The wait is not over.
    Wait,
    /// These vms must be sent a fence; each has to answer or be gone for [`RECLAIM_WAIT`].
    Fence(Vec<VmName>),
    /// The entry may be moved to other owners.
    Ready,
}

/// Reclaim of one ledger entry whose owner is gone.
///
/// Any vm that was listed during the reclaim may hold the owner's handover. Its steward must answer
/// that it does not, or be gone for [`RECLAIM_WAIT`] itself. An answer of a later incarnation counts
/// too: a handover names the incarnation that may accept it, and that one existed before the owner
/// was gone.
#[derive(Debug, Clone)]
pub struct Reclaim {
    owner: HolderId,
    wait: Duration,
    gone_since: Duration,
    list_read_at: Duration,
    /// Time at which each vm was last listed.
    last_listed: BTreeMap<VmName, Duration>,
    /// Vms that have answered that they hold no handover.
    fenced: BTreeSet<VmName>,
}

impl Reclaim {
    /// Starts the reclaim of an entry whose owner was first found missing at `now`.
    #[must_use]
    pub fn new(owner: HolderId, now: Duration) -> Self {
        Self {
            owner,
            wait: RECLAIM_WAIT,
            gone_since: now,
            list_read_at: now,
            last_listed: BTreeMap::new(),
            fenced: BTreeSet::new(),
        }
    }

    /// Starts the reclaim of the entry of an earlier incarnation on the same vm.
    #[must_use]
    pub fn of_earlier_incarnation(owner: HolderId, now: Duration) -> Self {
        Self {
            wait: TAKEOVER_WAIT,
            ..Self::new(owner, now)
        }
    }

    /// Returns the owner whose entry is reclaimed.
    #[must_use]
    pub fn owner(&self) -> &HolderId {
        &self.owner
    }

    /// Handles the answer of a vm's steward to a fence.
    ///
    /// With `keep`, the entry must stay and the wait restarts.
    pub fn on_fenced(&mut self, from: VmName, keep: bool, now: Duration) {
        if keep {
            self.restart(now);
        } else {
            self.fenced.insert(from);
        }
    }

    /// Handles a new read of the platform's list of vms and returns the next step.
    ///
    /// `gone` tells whether the owner is not listed, or is listed with a later incarnation. An owner
    /// that is present, or a long time without a list, restarts the wait.
    pub fn on_list(&mut self, listed: &[VmName], gone: bool, now: Duration) -> ReclaimStep {
        let is_late = now.saturating_sub(self.list_read_at) > MAX_LIST_GAP;
        if is_late || !gone {
            self.restart(now);
        }
        self.list_read_at = now;
        self.last_listed
            .extend(listed.iter().map(|vm| (vm.clone(), now)));
        if now.saturating_sub(self.gone_since) < self.wait {
            return ReclaimStep::Wait;
        }
        self.next_fences(now)
    }

    fn restart(&mut self, now: Duration) {
        self.gone_since = now;
        self.fenced.clear();
    }

    fn next_fences(&self, now: Duration) -> ReclaimStep {
        let unanswered: Vec<VmName> = self
            .last_listed
            .iter()
            .filter(|(vm, at)| {
                let gone = now.saturating_sub(**at) >= RECLAIM_WAIT;
                !gone && !self.fenced.contains(*vm)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        if unanswered.is_empty() {
            ReclaimStep::Ready
        } else {
            ReclaimStep::Fence(unanswered)
        }
    }
}
