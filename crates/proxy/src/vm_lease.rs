//! Lease of this vm in the platform's store, and until when it is valid.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::clock::BootInstant;
use crate::fleet::Member;
use crate::platform::LeaseId;
use crate::sync::lock;

/// Part of a lease's term that is not relied on, as a margin for clock drift.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(200);

/// Lease of this vm and the time up to which it is certainly valid.
#[derive(Debug, Default)]
pub struct VmLease {
    state: Mutex<State>,
    kept: Mutex<Option<KeptMembership>>,
}

/// Proof that no vm took over between this vm's previous process and this one.
#[derive(Debug, Clone)]
struct KeptMembership {
    /// Start of this process; the previous one had ended by then.
    since: BootInstant,
    /// Members at that time, with the entry of this vm's previous process among them.
    members: Arc<Vec<Member>>,
}

#[derive(Debug, Default, Clone, Copy)]
struct State {
    lease: Option<LeaseId>,
    until: BootInstant,
    renewed: Option<BootInstant>,
}

impl VmLease {
    /// Notes that a call sent at `asked` granted or renewed the lease for `term`.
    pub fn renew(&self, lease: LeaseId, asked: BootInstant, term: Duration) {
        *lock(&self.state) = State {
            lease: Some(lease),
            until: asked.after(term.saturating_sub(CLOCK_DRIFT_MARGIN)),
            renewed: Some(asked),
        };
    }

    /// Notes that the previous process's entry was still among `members` after a start at `since`.
    pub fn keep_membership(&self, since: BootInstant, members: Arc<Vec<Member>>) {
        *lock(&self.kept) = Some(KeptMembership { since, members });
    }

    /// Returns the time since which no other vm has done this vm's work.
    ///
    /// Returns `None` unless the membership was kept and `members` names the same vms as then.
    pub fn kept_since(&self, members: &[Member]) -> Option<BootInstant> {
        let kept = lock(&self.kept);
        let kept = kept.as_ref()?;
        let names = |members: &[Member]| members.iter().map(|m| m.vm.clone()).collect::<Vec<_>>();
        (names(&kept.members) == names(members)).then_some(kept.since)
    }

    /// Notes that the lease has ended.
    pub fn end(&self) {
        *lock(&self.state) = State::default();
    }

    /// Returns the time at which the last successful grant or renewal was sent.
    pub fn renewed(&self) -> Option<BootInstant> {
        lock(&self.state).renewed
    }

    /// Returns the remaining time for which the lease is certainly valid.
    pub fn remaining(&self, now: BootInstant) -> Duration {
        let state = lock(&self.state);
        state.until.since(now)
    }

    /// Returns the lease, unless it is known to have ended.
    pub fn lease(&self) -> Option<LeaseId> {
        lock(&self.state).lease
    }

    /// Tells whether the lease is valid, or ran out less than `grace` ago.
    ///
    /// A lease that the store has ended gets no grace.
    pub fn is_valid_within(&self, grace: Duration, now: BootInstant) -> bool {
        let state = lock(&self.state);
        state.lease.is_some() && now < state.until.after(grace)
    }

    /// Tells whether the lease is certainly valid.
    pub fn is_valid(&self, now: BootInstant) -> bool {
        self.is_valid_within(Duration::ZERO, now)
    }
}
