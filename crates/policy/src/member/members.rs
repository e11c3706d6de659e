//! Membership state of one steward.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::member::Digest;
use crate::member::MemberUpdate;
use crate::member::MembershipTiming;
use crate::member::Status;
use crate::member::fan_out::fan_out;
use crate::names::VmName;
use crate::view::VmState;

/// Membership state of one steward: what it knows of all vms.
///
/// Times are durations since a fixed, arbitrary instant.
#[derive(Debug)]
pub struct Members {
    own: MemberUpdate,
    others: BTreeMap<VmName, Member>,
    listed: BTreeMap<VmName, VmState>,
    digest: Digest,
}

#[derive(Debug)]
struct Member {
    update: MemberUpdate,
    changed_at: Duration,
    /// Time of the last heartbeat, if regular ones are expected.
    expected_since: Option<Duration>,
    /// Whether this steward has suspected the member since its last heartbeat.
    ///
    /// Keeps it from raising the same suspicion again after a refutation.
    suspected: bool,
}

impl Members {
    /// Creates the state of a steward that knows only its own vm.
    #[must_use]
    pub fn new(vm: VmName, state: VmState) -> Self {
        let own = MemberUpdate {
            vm,
            state,
            count: 0,
            status: Status::Alive,
        };
        let mut digest = Digest::default();
        digest.toggle(own.vm.as_str(), own.digest());
        Self {
            own,
            others: BTreeMap::new(),
            listed: BTreeMap::new(),
            digest,
        }
    }

    /// Returns the latest update of this steward about this vm.
    #[must_use]
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Returns the digest of all members, this vm included.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Sets the platform's list of vms, which says whom to contact and who is leaving.
    pub fn set_listed(&mut self, listed: BTreeMap<VmName, VmState>) {
        self.listed = listed;
    }

    /// Marks this vm as leaving, with the given status, and returns the update to spread.
    pub fn leave(&mut self, status: Status) -> MemberUpdate {
        let mut update = self.own.clone();
        update.state.leaving = true;
        update.status = status;
        update.count += 1;
        self.replace_own(update);
        self.own.clone()
    }

    /// Applies an update and returns the updates to spread.
    ///
    /// An update that overrides what is known is spread further. A false claim about this vm is
    /// answered by a refutation.
    pub fn apply(&mut self, update: MemberUpdate, now: Duration) -> Vec<MemberUpdate> {
        if update.vm == self.own.vm {
            return self.refute(&update).into_iter().collect();
        }
        let known = self.others.get(&update.vm);
        if known.is_some_and(|known| !update.overrides(&known.update)) {
            return Vec::new();
        }
        self.set(update.clone(), now);
        vec![update]
    }

    /// Refutes a claim about this vm by raising the count above that of the claim.
    fn refute(&mut self, claim: &MemberUpdate) -> Option<MemberUpdate> {
        if !claim.overrides(&self.own) || claim.state.incarnation != self.own.state.incarnation {
            return None;
        }
        let mut update = self.own.clone();
        update.count = claim.count + 1;
        self.replace_own(update);
        Some(self.own.clone())
    }

    fn replace_own(&mut self, update: MemberUpdate) {
        let name = update.vm.as_str();
        self.digest.toggle(name, self.own.digest());
        self.digest.toggle(name, update.digest());
        self.own = update;
    }

    fn set(&mut self, update: MemberUpdate, now: Duration) {
        let name = update.vm.clone();
        self.digest.toggle(name.as_str(), update.digest());
        let old = self.others.remove(&name);
        if let Some(old) = &old {
            self.digest.toggle(name.as_str(), old.update.digest());
        }
        let same_incarnation = old
            .as_ref()
            .is_some_and(|old| old.update.state.incarnation == update.state.incarnation);
        let member = Member {
            changed_at: now,
            expected_since: old.as_ref().and_then(|old| old.expected_since),
            suspected: same_incarnation && old.is_some_and(|old| old.suspected),
            update,
        };
        self.others.insert(name, member);
    }

    /// Records a heartbeat; `regular` says whether further ones are expected.
    pub fn heartbeat(&mut self, vm: &VmName, regular: bool, now: Duration) {
        if let Some(member) = self.others.get_mut(vm) {
            member.expected_since = regular.then_some(now);
            member.suspected = false;
        }
    }

    /// Records that a vm cannot be reached, and returns the suspicion to spread, if any.
    pub fn note_unreachable(&mut self, vm: &VmName, now: Duration) -> Option<MemberUpdate> {
        let member = self.others.get(vm)?;
        if member.update.status != Status::Alive || member.suspected {
            return None;
        }
        self.set_status(vm, Status::Suspect, now)
    }

    /// Applies the timeouts that have passed and returns the updates to spread.
    ///
    /// Suspects members whose heartbeats are missing, declares suspects gone that did not refute in
    /// time, and forgets members that have been gone for long.
    pub fn tick(&mut self, now: Duration) -> Vec<MemberUpdate> {
        let timing = self.timing();
        let mut claims = Vec::new();
        let mut forgotten = Vec::new();
        for (vm, member) in &self.others {
            let age = now.saturating_sub(member.changed_at);
            let overdue = member
                .expected_since
                .is_some_and(|since| now.saturating_sub(since) >= timing.silence);
            match member.update.status {
                Status::Alive if overdue => claims.push((vm.clone(), Status::Suspect)),
                Status::Suspect if age >= timing.refute => claims.push((vm.clone(), Status::Gone)),
                Status::Gone if age >= timing.remember => forgotten.push(vm.clone()),
                _ => {}
            }
        }
        for vm in forgotten {
            self.forget(&vm);
        }
        let updates = claims
            .into_iter()
            .filter_map(|(vm, status)| self.set_status(&vm, status, now));
        updates.collect()
    }

    fn set_status(&mut self, vm: &VmName, status: Status, now: Duration) -> Option<MemberUpdate> {
        let mut update = self.others.get(vm)?.update.clone();
        update.status = status;
        self.set(update.clone(), now);
        if let Some(member) = self.others.get_mut(vm) {
            member.expected_since = None;
            member.suspected = true;
        }
        Some(update)
    }

    fn forget(&mut self, vm: &VmName) {
        if let Some(member) = self.others.remove(vm) {
            self.digest.toggle(vm.as_str(), member.update.digest());
        }
    }

    /// Returns the timing for the current number of members.
    #[must_use]
    pub fn timing(&self) -> MembershipTiming {
        MembershipTiming::for_fleet(self.others.len() + 1)
    }

    /// Returns the live vms, this one included.
    ///
    /// The platform's list takes precedence: a vm that it lists as leaving is leaving, whatever its
    /// updates say, and addresses are those of the list.
    #[must_use]
    pub fn live(&self) -> BTreeMap<VmName, VmState> {
        let others = self.others.values().map(|member| &member.update);
        let all = others.chain([&self.own]);
        let live = all.filter(|update| update.status != Status::Gone);
        live.map(|update| (update.vm.clone(), self.merged(update)))
            .collect()
    }

    fn merged(&self, update: &MemberUpdate) -> VmState {
        let mut state = update.state.clone();
        if let Some(listed) = self.listed.get(&update.vm) {
            state.leaving |= listed.leaving;
            state.peer.clone_from(&listed.peer);
            state.pool.clone_from(&listed.pool);
        }
        state
    }

    /// Returns the peer address of a steward, from the platform's list if it is there.
    #[must_use]
    pub fn address(&self, vm: &VmName) -> Option<&str> {
        let listed = self.listed.get(vm).map(|state| state.peer.as_str());
        let gossiped = self.others.get(vm).map(|member| &member.update.state.peer);
        listed.or(gossiped.map(String::as_str))
    }

    /// Returns the stewards that receive regular heartbeats of this one.
    #[must_use]
    pub fn fan_out(&self) -> BTreeSet<VmName> {
        let live = self.others.values().map(|member| &member.update);
        let live = live.filter(|update| update.status == Status::Alive);
        let domains = live.map(|update| (&update.vm, &update.state.domain));
        fan_out(&self.own.vm, &self.own.state.domain, domains)
    }

    /// Returns whether no other steward is known to be alive.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        let mut others = self.others.values();
        !others.any(|member| member.update.status == Status::Alive)
    }

    /// Returns all other vms that are known or listed, live or not.
    #[must_use]
    pub fn contacts(&self) -> Vec<VmName> {
        let known: BTreeSet<&VmName> = self.others.keys().chain(self.listed.keys()).collect();
        let others = known.into_iter().filter(|vm| **vm != self.own.vm);
        others.cloned().collect()
    }

    /// Returns the updates in the buckets whose digests differ from `theirs`.
    #[must_use]
    pub fn differing(&self, theirs: &[u64]) -> Vec<MemberUpdate> {
        let others = self.others.values().map(|member| &member.update);
        let all = others.chain([&self.own]);
        let differing = all.filter(|update| self.digest.differs(update.vm.as_str(), theirs));
        differing.cloned().collect()
    }

    /// Returns the other members as JSON, with the ages of their last change and heartbeat.
    #[must_use]
    pub fn dump(&self, now: Duration) -> Value {
        let members = self.others.iter().map(|(vm, member)| {
            let age = now.saturating_sub(member.changed_at).as_millis();
            let heard = member
                .expected_since
                .map(|since| now.saturating_sub(since).as_secs_f64());
            let value = json!({
                "status": member.update.status,
                "incarnation": member.update.state.incarnation,
                "count": member.update.count,
                "domain": member.update.state.domain,
                "unchanged_ms": u64::try_from(age).unwrap_or(u64::MAX),
                "heartbeat_age_s": heard,
            });
            (vm.as_str().to_owned(), value)
        });
        Value::Object(members.collect())
    }
}
