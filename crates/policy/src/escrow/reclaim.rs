//! Reclaim of an entry whose owner is gone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::HolderId;
use super::RECLAIM_WAIT;
use super::SUCCESSION_WAIT;
use crate::names::VmName;

/// Longest time between two looks at the platform's list that still count as one observation.
const LIST_GAP: Duration = Duration::from_secs(5);

/// What a reclaim needs next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReclaimStep {
    /// Time must pass.
    Wait,
    /// These virtual machines have yet to answer a fence, or to be gone for long enough.
    Fence(Vec<VmName>),
    /// The entry may be moved.
    Ready,
}

/// Reclaim of one entry whose owner is gone.
///
/// A virtual machine that was listed at any time during the reclaim may hold the owner's handover. Its
/// steward must say that it does not, or be gone for [`RECLAIM_WAIT`] itself. An answer of any life
/// counts, since a handover names the one life that may take it and that life was there before the owner
/// went.
#[derive(Debug, Clone)]
pub struct Reclaim {
    owner: HolderId,
    wait: Duration,
    gone_since: Duration,
    looked_at: Duration,
    listed: BTreeMap<VmName, Duration>,
    fenced: BTreeSet<VmName>,
}

impl Reclaim {
    /// Starts the reclaim of an entry whose owner was first seen to be gone at `now`.
    #[must_use]
    pub fn new(owner: HolderId, now: Duration) -> Self {
        Self {
            owner,
            wait: RECLAIM_WAIT,
            gone_since: now,
            looked_at: now,
            listed: BTreeMap::new(),
            fenced: BTreeSet::new(),
        }
    }

    /// Starts the reclaim of the entry of an earlier life on the same virtual machine.
    #[must_use]
    pub fn of_earlier_life(owner: HolderId, now: Duration) -> Self {
        Self {
            wait: SUCCESSION_WAIT,
            ..Self::new(owner, now)
        }
    }

    /// Returns the owner that is gone.
    #[must_use]
    pub fn owner(&self) -> &HolderId {
        &self.owner
    }

    /// Takes in the answer of a virtual machine's steward.
    ///
    /// An entry that must stay restarts the wait.
    pub fn on_fenced(&mut self, from: VmName, keep: bool, now: Duration) {
        if keep {
            self.restart(now);
        } else {
            self.fenced.insert(from);
        }
    }

    /// Takes in a fresh look at the platform's list and returns what is needed next.
    ///
    /// `gone` tells whether the owner is not listed, or listed with a later life. An owner that is
    /// there, or a long time without a list, restarts the wait.
    pub fn on_list(&mut self, listed: &[VmName], gone: bool, now: Duration) -> ReclaimStep {
        let gap = now.saturating_sub(self.looked_at) > LIST_GAP;
        if gap || !gone {
            self.restart(now);
        }
        self.looked_at = now;
        self.listed
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
        let silent: Vec<VmName> = self
            .listed
            .iter()
            .filter(|(vm, at)| {
                let gone = now.saturating_sub(**at) >= RECLAIM_WAIT;
                !gone && !self.fenced.contains(*vm)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        if silent.is_empty() {
            ReclaimStep::Ready
        } else {
            ReclaimStep::Fence(silent)
        }
    }
}
