//! Escrow strategy, built from the policy types that the steward itself runs.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::account::micros;
use mustardbay_policy::escrow::Borrowing;
use mustardbay_policy::escrow::Draw;
use mustardbay_policy::escrow::Holder;
use mustardbay_policy::escrow::HolderId;
use mustardbay_policy::escrow::Ledger;
use mustardbay_policy::escrow::Parts;
use mustardbay_policy::escrow::Reclaim;
use mustardbay_policy::escrow::ReclaimStep;
use mustardbay_policy::names::VmName;

use super::arrivals::Arrival;
use super::scenario::Event;
use super::scenario::EventKind;
use super::scenario::Plan;
use super::tally::Outcome;

/// Identifier of the one connection on each vm that draws tokens.
const DRAWER: u64 = 1;
/// Time between two polls of the platform.
const POLL_PERIOD: Duration = Duration::from_secs(1);

/// How the parts of a lost owner are reassigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReclaimPolicy {
    /// One vm, chosen by the incarnation of the lost owner, takes all parts.
    HashedSuccessor,
    /// One leader divides the parts evenly among all vms, in one new epoch of the ledger.
    DividedByLeader,
}

/// State of one running vm.
#[derive(Debug)]
struct Vm {
    holder: Holder,
    borrowing: Borrowing,
    /// Tokens that the local program has spent since its last draw.
    spent: u64,
}

/// Simulated fleet in which messages arrive without delay, so a draw never waits for a loan.
#[derive(Debug)]
pub(super) struct Escrow {
    /// Rate and burst of the account, in millionths of a token.
    limits: (u64, u64),
    vms: Vec<Option<Vm>>,
    ledger: Ledger,
    reclaims: BTreeMap<HolderId, Reclaim>,
    reclaim_policy: ReclaimPolicy,
    platform_up: bool,
    polled_at: Duration,
    /// Counter of vm starts, offset by the seed; part of each incarnation.
    starts: u64,
}

impl Escrow {
    pub(super) fn new(plan: &Plan, seed: u64, reclaim_policy: ReclaimPolicy) -> Self {
        let mut escrow = Self {
            limits: (micros(plan.rate), micros(plan.burst)),
            vms: Vec::new(),
            ledger: Ledger::default(),
            reclaims: BTreeMap::new(),
            reclaim_policy,
            platform_up: true,
            polled_at: Duration::ZERO,
            starts: seed,
        };
        for index in 0..plan.vms {
            let vm = escrow.new_vm(index, Duration::ZERO);
            escrow.vms.push(Some(vm));
        }
        escrow.ledger = Ledger::create(&escrow.ids(), 0);
        escrow.read_ledger(Duration::ZERO);
        escrow
    }

    pub(super) fn on_event(&mut self, event: &Event) {
        match event.kind {
            EventKind::Crash(index) => self.vms[index] = None,
            EventKind::Leave(index) => self.leave(index, event.at),
            EventKind::Start(index) => self.vms[index] = Some(self.new_vm(index, event.at)),
            EventKind::Platform(up) => self.platform_up = up,
        }
    }

    pub(super) fn serve(&mut self, arrival: &Arrival) -> Outcome {
        let now = arrival.at;
        if now >= self.polled_at + POLL_PERIOD {
            self.polled_at = now;
            self.poll_platform(now);
        }
        let Some(vm) = &mut self.vms[arrival.vm] else {
            return Outcome::VmDown;
        };
        let spent = std::mem::take(&mut vm.spent);
        if let Draw::Granted(_) = vm.holder.draw(DRAWER, 1, spent, now) {
            vm.spent += 1;
            return Outcome::Served;
        }
        self.borrow(arrival.vm, now);
        let Some(vm) = &mut self.vms[arrival.vm] else {
            return Outcome::VmDown;
        };
        if let Draw::Granted(_) = vm.holder.redraw(DRAWER, 1, now) {
            vm.spent += 1;
            return Outcome::Served;
        }
        Outcome::Refused
    }

    /// Asks peers for loans; their answers arrive at once.
    fn borrow(&mut self, index: usize, now: Duration) {
        let peers: Vec<VmName> = self
            .ids()
            .into_iter()
            .map(|id| id.vm)
            .filter(|vm| *vm != name(index))
            .collect();
        let Some(vm) = &mut self.vms[index] else {
            return;
        };
        let lenders = vm.borrowing.start_round(&peers, now);
        for (peer, request) in vm.holder.request_loans(&lenders, 1, now) {
            let answer = self
                .find(&peer)
                .map(|p| p.holder.on_loan_request(&name(index), request, now));
            let (Some((returns, loan)), Some(vm)) = (answer, &mut self.vms[index]) else {
                continue;
            };
            for back in returns {
                vm.holder.on_return(&peer, back, now);
            }
            vm.holder.on_loan(&peer, loan, now);
            let gained = loan.rate > Parts::NONE || loan.tokens > 0;
            vm.borrowing.on_answer(&peer, gained, now);
        }
    }

    /// Shuts a vm down in order: it hands its parts over to the first other vm.
    fn leave(&mut self, index: usize, now: Duration) {
        let successor = self.ids().into_iter().find(|id| id.vm != name(index));
        let leaving = self.vms[index].take();
        let handover = leaving
            .zip(successor.clone())
            .and_then(|(mut vm, successor)| vm.holder.leave(successor, now));
        let successor = successor.and_then(|id| self.find(&id.vm));
        if let Some((handover, vm)) = handover.zip(successor) {
            vm.holder.on_handover(&handover, now);
        }
    }

    /// Runs the periodic work of every steward.
    ///
    /// If the platform is up, registers handovers, reclaims the parts of lost owners and reads the
    /// ledger.
    fn poll_platform(&mut self, now: Duration) {
        for vm in self.vms.iter_mut().flatten() {
            vm.holder.advance(now);
        }
        if !self.platform_up {
            return;
        }
        self.register_handovers();
        self.reclaim(now);
        self.read_ledger(now);
    }

    fn register_handovers(&mut self) {
        for vm in self.vms.iter().flatten() {
            let handovers = vm.holder.unregistered_owners();
            if handovers.is_empty() {
                continue;
            }
            if let Some(next) = self.ledger.moved(&handovers, vm.holder.id(), 0) {
                self.ledger = next;
            }
        }
    }

    /// Drives the reclaim of every ledger entry whose owner is not running.
    fn reclaim(&mut self, now: Duration) {
        let ids = self.ids();
        let listed: Vec<VmName> = ids.iter().map(|id| id.vm.clone()).collect();
        let entries = self.ledger.entries.iter();
        let owners: Vec<HolderId> = entries.map(|e| e.owner.clone()).collect();
        for owner in owners.into_iter().filter(|o| !ids.contains(o)) {
            let reclaim = self
                .reclaims
                .entry(owner.clone())
                .or_insert_with(|| Reclaim::new(owner.clone(), now));
            let step = reclaim.on_list(&listed, true, now);
            if let ReclaimStep::Fence(silent) = step {
                self.fence(&owner, &silent, now);
            }
        }
        self.move_reclaimed(&ids, &listed, now);
    }

    /// Makes the silent peers refuse any later handover of the owner, and records their replies.
    fn fence(&mut self, owner: &HolderId, silent: &[VmName], now: Duration) {
        for peer in silent {
            let kept = self.find(peer).map(|vm| vm.holder.on_fence(owner, now));
            if let (Some(kept), Some(reclaim)) = (kept, self.reclaims.get_mut(owner)) {
                reclaim.on_fenced(peer.clone(), kept, now);
            }
        }
    }

    /// Reassigns the ledger entries whose reclaim is complete.
    fn move_reclaimed(&mut self, ids: &[HolderId], listed: &[VmName], now: Duration) {
        let mut ready = Vec::new();
        for (owner, reclaim) in &mut self.reclaims {
            if self.ledger.lists(owner) && reclaim.on_list(listed, true, now) == ReclaimStep::Ready
            {
                ready.push(owner.clone());
            }
        }
        for owner in ready {
            let next = match self.reclaim_policy {
                ReclaimPolicy::HashedSuccessor => self.hashed_successor(&owner, ids),
                ReclaimPolicy::DividedByLeader => self.ledger.divided(&owner, ids, 0),
            };
            if let Some(next) = next {
                self.ledger = next;
            }
        }
    }

    fn hashed_successor(&self, owner: &HolderId, ids: &[HolderId]) -> Option<Ledger> {
        let hash = usize::try_from(owner.incarnation).unwrap_or_default();
        let successor = ids.get(hash.checked_rem(ids.len())?)?;
        self.ledger.moved(std::slice::from_ref(owner), successor, 0)
    }

    fn read_ledger(&mut self, now: Duration) {
        for vm in self.vms.iter_mut().flatten() {
            vm.holder.on_ledger(&self.ledger, Some(now), now);
        }
    }

    fn new_vm(&mut self, index: usize, now: Duration) -> Vm {
        self.starts += 1;
        let id = HolderId::new(
            name(index),
            self.starts << 32 | u64::try_from(index).unwrap_or(0),
        );
        Vm {
            holder: Holder::new(id, self.limits.0, self.limits.1, now),
            borrowing: Borrowing::default(),
            spent: 0,
        }
    }

    /// Returns the holder identifiers of the running vms.
    fn ids(&self) -> Vec<HolderId> {
        let vms = self.vms.iter().flatten();
        vms.map(|vm| vm.holder.id().clone()).collect()
    }

    fn find(&mut self, vm: &VmName) -> Option<&mut Vm> {
        let mut vms = self.vms.iter_mut().flatten();
        vms.find(|v| v.holder.id().vm == *vm)
    }
}

fn name(index: usize) -> VmName {
    VmName::from(format!("vm{index}"))
}
