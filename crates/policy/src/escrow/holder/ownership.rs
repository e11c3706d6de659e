//! Ownership of parts: ledger, handovers and fences.

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
    /// Applies a ledger; an older epoch than the last one is ignored.
    ///
    /// `confirmed` is the time at which the ledger and a list with this vm were requested; `None` if
    /// there is no such list. A freeze ends only if they were requested after it began.
    pub fn on_ledger(&mut self, ledger: &Ledger, confirmed: Option<Duration>, now: Duration) {
        self.advance(now);
        if ledger.epoch < self.epoch || !ledger.is_valid() {
            return;
        }
        let is_first = self.epoch == 0 && ledger.epoch == FIRST_EPOCH;
        self.epoch = ledger.epoch;
        self.ledger_parts = ledger.parts(&self.id);
        self.handovers.retain(|owner, _| ledger.lists(owner));
        if self.frozen <= confirmed {
            self.frozen = None;
        }
        self.resize();
        if is_first && !self.is_frozen() {
            // Parts of the first ledger have had no earlier owner, so their full burst is unspent.
            self.bucket.add(self.ledger_parts.of(self.burst));
        }
    }

    /// Returns the former owners whose entries the ledger still has to move to this holder.
    #[must_use]
    pub fn unregistered_owners(&self) -> Vec<HolderId> {
        self.handovers.keys().cloned().collect()
    }

    /// Returns the id under which the ledger lists this holder.
    #[must_use]
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Returns the epoch of the last ledger read; 0 before the first.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Tells whether owned parts are frozen until the ledger confirms them.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        self.frozen.is_some()
    }

    /// Transfers all parts permanently to one incarnation of a peer; `None` if there are none.
    ///
    /// Frozen parts are not transferred, since the ledger may already have moved them.
    pub fn leave(&mut self, successor: HolderId, now: Duration) -> Option<Handover> {
        self.advance(now);
        if self.frozen.is_some() || self.has_left || self.owned() == Parts::NONE {
            self.has_left = true;
            self.resize();
            return None;
        }
        let handover = Handover {
            successor,
            entries: self.entries(),
            lent_rate: self.lent.iter().map(|l| l.rate).sum(),
            lent_burst: self.lent_burst_and_grants(),
            lent_for: self.longest_term(now),
        };
        self.has_left = true;
        self.past_handovers.extend(self.handovers.keys().cloned());
        self.handovers.clear();
        self.bucket.clear();
        self.resize();
        Some(handover)
    }

    /// Accepts the entries of a leaving owner; returns the owners to confirm, `None` if refused.
    ///
    /// A duplicate is confirmed again without effect.
    pub fn on_handover(&mut self, handover: &Handover, now: Duration) -> Option<Vec<HolderId>> {
        self.advance(now);
        let owners: Vec<HolderId> = handover.entries.iter().map(|e| e.owner.clone()).collect();
        let known =
            |o: &HolderId| self.handovers.contains_key(o) || self.past_handovers.contains(o);
        if owners.iter().any(known) {
            return Some(owners);
        }
        let fenced = owners.iter().any(|o| self.fences.contains(o));
        if self.has_left || fenced || handover.successor != self.id {
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

    /// Refuses handovers of an owner from now on; returns whether one was already accepted.
    pub fn on_fence(&mut self, owner: &HolderId, now: Duration) -> bool {
        self.advance(now);
        self.fences.insert(owner.clone());
        self.handovers.contains_key(owner)
    }

    fn entries(&self) -> Vec<LedgerEntry> {
        let own = LedgerEntry {
            owner: self.id.clone(),
            parts: self.ledger_parts,
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

    /// Returns the burst parts on loan or occupied by granted tokens.
    fn lent_burst_and_grants(&self) -> Parts {
        let lent = self.lent.iter().map(|l| l.burst).sum();
        Parts::covering(self.granted(), self.burst).plus(lent)
    }

    /// Returns the time until the last loan or grant expires.
    fn longest_term(&self, now: Duration) -> Duration {
        let lent = self.lent.iter().map(|l| l.until);
        let grants = self.grants.iter().map(|g| g.until);
        let last = lent.chain(grants).max().unwrap_or(now);
        last.saturating_sub(now)
    }
}
