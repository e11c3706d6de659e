//! Parts that a holder owns: the ledger, handovers and fences.

use std::time::Duration;

use super::Holder;
use crate::escrow::FIRST_EPOCH;
use crate::escrow::Handover;
use crate::escrow::HolderId;
use crate::escrow::Ledger;
use crate::escrow::LedgerEntry;
use crate::escrow::Parts;
use crate::escrow::loan::Lent;

impl Holder {
    /// Takes over what the ledger says.
    ///
    /// `confirmed` is the clock's reading when the ledger and a list that names this virtual machine
    /// were asked for, if there is such a list. Only what was asked after a pause lifts its freeze.
    pub fn on_ledger(&mut self, ledger: &Ledger, confirmed: Option<Duration>, now: Duration) {
        self.advance(now);
        if ledger.epoch < self.epoch || !ledger.is_valid() {
            return;
        }
        let is_first = self.epoch == 0 && ledger.epoch == FIRST_EPOCH;
        self.epoch = ledger.epoch;
        self.own = ledger.parts(&self.id);
        self.handovers.retain(|owner, _| ledger.lists(owner));
        if self.frozen <= confirmed {
            self.frozen = None;
        }
        self.resize();
        if is_first && !self.is_frozen() {
            // Nobody has spent from parts that the first ledger gave to this life.
            self.bucket.add(self.own.of(self.burst));
        }
    }

    /// Returns the handovers held whose owners the ledger still has to replace by this holder.
    #[must_use]
    pub fn unregistered(&self) -> Vec<HolderId> {
        self.handovers.keys().cloned().collect()
    }

    /// Returns the identity under which the ledger lists this holder.
    #[must_use]
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Returns the epoch of the ledger that was last seen; 0 before the first.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Tells whether owned parts wait for the ledger's confirmation.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        self.frozen.is_some()
    }

    /// Gives up every part for good to one life of a peer; `None` if there is nothing to give.
    ///
    /// Frozen parts are not given: the ledger may have moved them already.
    pub fn leave(&mut self, successor: HolderId, now: Duration) -> Option<Handover> {
        self.advance(now);
        if self.frozen.is_some() || self.left || self.owned() == Parts::NONE {
            self.left = true;
            self.resize();
            return None;
        }
        let handover = Handover {
            successor,
            entries: self.entries(),
            lent_rate: self.lent.iter().map(|l| l.rate).sum(),
            lent_burst: self.lent_burst_and_grants(),
            lent_for: self.longest_use(now),
        };
        self.left = true;
        self.past_handovers.extend(self.handovers.keys().cloned());
        self.handovers.clear();
        self.bucket.clear();
        self.resize();
        Some(handover)
    }

    /// Takes over entries of an owner that leaves; returns the owners to confirm, if any.
    pub fn on_handover(&mut self, handover: &Handover, now: Duration) -> Option<Vec<HolderId>> {
        self.advance(now);
        let owners: Vec<HolderId> = handover.entries.iter().map(|e| e.owner.clone()).collect();
        let known =
            |o: &HolderId| self.handovers.contains_key(o) || self.past_handovers.contains(o);
        if owners.iter().any(known) {
            return Some(owners);
        }
        let fenced = owners.iter().any(|o| self.fences.contains(o));
        if self.left || fenced || handover.successor != self.id {
            return None;
        }
        for entry in &handover.entries {
            self.handovers.insert(entry.owner.clone(), entry.parts);
            self.past_handovers.insert(entry.owner.clone());
        }
        let loan = self.next_number();
        self.lent.push(Lent {
            loan,
            to: self.id.vm.clone(),
            rate: handover.lent_rate,
            burst: handover.lent_burst,
            until: now + handover.lent_for,
        });
        self.resize();
        Some(owners)
    }

    /// Refuses handovers of an owner from now on; returns whether one is held.
    pub fn on_fence(&mut self, owner: &HolderId, now: Duration) -> bool {
        self.advance(now);
        self.fences.insert(owner.clone());
        self.handovers.contains_key(owner)
    }

    fn entries(&self) -> Vec<LedgerEntry> {
        let own = LedgerEntry {
            owner: self.id.clone(),
            parts: self.own,
        };
        let handovers = self.handovers.iter().map(|(owner, parts)| LedgerEntry {
            owner: owner.clone(),
            parts: *parts,
        });
        std::iter::once(own)
            .filter(|e| e.parts > Parts::NONE)
            .chain(handovers)
            .collect()
    }

    /// Returns the burst that borrowers and local programs may still spend from.
    fn lent_burst_and_grants(&self) -> Parts {
        let lent = self.lent.iter().map(|l| l.burst).sum();
        Parts::holding(self.granted(), self.burst).plus(lent)
    }

    fn longest_use(&self, now: Duration) -> Duration {
        let lent = self.lent.iter().map(|l| l.until);
        let grants = self.grants.iter().map(|g| g.until);
        let last = lent.chain(grants).max().unwrap_or(now);
        last.saturating_sub(now)
    }
}
