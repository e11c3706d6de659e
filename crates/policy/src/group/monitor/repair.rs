//! Probes of the upstreams, and repair of those whose role or term differs from the record.

use std::time::Duration;

use crate::group::Command;
use crate::group::Monitor;
use crate::group::Phase;
use crate::group::Role;
use crate::group::UpstreamStatus;
use crate::names::UpstreamName;
use crate::position::Term;

impl Monitor {
    /// Sends the probes that are due; only a monitor that may repair probes the replicas.
    pub(super) fn probe(&mut self, primary: &UpstreamName, now: Duration, out: &mut Vec<Command>) {
        let names = self.group.upstreams.iter().map(|upstream| &upstream.name);
        for name in names.cloned().collect::<Vec<_>>() {
            let is_primary = name == *primary;
            if !is_primary && !self.may_repair(now) {
                continue;
            }
            let period = if is_primary {
                self.timing.probe
            } else {
                self.timing.check
            };
            let due = self
                .probed_at
                .get(&name)
                .is_none_or(|last| now >= *last + period);
            if due && self.pending_probes.insert(name.clone()) {
                self.probed_at.insert(name.clone(), now);
                out.push(Command::Probe(name));
            }
        }
    }

    /// Returns whether this monitor may repair upstreams.
    ///
    /// The proposer of the record and the first in rank may at once, each further rank one retry
    /// time later, so that monitors do not repeat each other's work.
    fn may_repair(&self, now: Duration) -> bool {
        let Some(stored) = &self.record else {
            return false;
        };
        let turn = self.timing.retry.saturating_mul(self.rank());
        stored.record.proposer == self.me || now >= self.record_at.saturating_add(turn)
    }

    /// Handles an upstream that is alive, but has no free connection.
    pub(super) fn busy(&mut self, upstream: &UpstreamName, now: Duration) {
        self.pending_probes.remove(upstream);
        if self.is_primary(upstream) {
            self.note_contact(now);
        }
    }

    /// Handles an upstream to which no connection can be opened.
    pub(super) fn connection_lost(&mut self, upstream: &UpstreamName, now: Duration) {
        self.pending_probes.remove(upstream);
        if self.is_primary(upstream) {
            self.lost_at.get_or_insert(now);
        }
    }

    fn is_primary(&self, upstream: &UpstreamName) -> bool {
        let record = self.record.as_ref().map(|stored| &stored.record);
        record.is_some_and(|record| record.primary.as_ref() == Some(upstream))
    }

    /// Compares the status of an upstream with the record and repairs a difference.
    pub(super) fn probe_answered(
        &mut self,
        upstream: &UpstreamName,
        status: UpstreamStatus,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        self.pending_probes.remove(upstream);
        let Some(stored) = &self.record else {
            return;
        };
        let record = &stored.record;
        if status.term > record.term {
            out.push(Command::Read);
            return;
        }
        let (Phase::Chosen, Some(primary)) = (record.phase, &record.primary) else {
            return;
        };
        let current = status.term == record.term;
        let term = record.term;
        if upstream == primary {
            if current && status.role == Role::Primary {
                self.note_contact(now);
                return;
            }
            if !current {
                // It was fenced at this term before it was chosen, so an older term means that
                // it has lost its state.
                self.lost_at.get_or_insert(now);
                return;
            }
        } else if current && status.role == Role::Replica {
            return;
        }
        if self.may_repair(now) {
            let primary = primary.clone();
            self.repair(upstream, &primary, term, out);
        }
    }

    /// Promotes the primary, or makes another upstream its replica.
    ///
    /// Does nothing while an earlier command for the same upstream runs.
    pub(super) fn repair(
        &mut self,
        upstream: &UpstreamName,
        primary: &UpstreamName,
        term: Term,
        out: &mut Vec<Command>,
    ) {
        if !self.pending_steps.insert(upstream.clone()) {
            return;
        }
        if upstream == primary {
            out.push(Command::Promote(upstream.clone(), term));
        } else {
            out.push(Command::Follow(upstream.clone(), primary.clone(), term));
        }
    }

    /// Records that the command for an upstream has ended.
    pub(super) fn step_ended(&mut self, upstream: &UpstreamName, term: Term) {
        if self.term() == Some(term) {
            self.pending_steps.remove(upstream);
        }
    }

    /// Makes the other upstreams replicas of a newly promoted primary.
    pub(super) fn promoted(
        &mut self,
        upstream: &UpstreamName,
        term: Term,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        if self.term() != Some(term) {
            return;
        }
        self.step_ended(upstream, term);
        self.note_contact(now);
        let others = self.group.upstreams.iter().map(|other| other.name.clone());
        for other in others.collect::<Vec<_>>() {
            if other != *upstream {
                self.repair(&other, upstream, term, out);
            }
        }
    }

    /// Reads the record after a failed command, since a newer record may be the reason.
    pub(super) fn step_failed(
        &mut self,
        upstream: &UpstreamName,
        term: Term,
        out: &mut Vec<Command>,
    ) {
        self.step_ended(upstream, term);
        if self.term() == Some(term) && self.duty.is_some() {
            out.push(Command::Read);
        }
    }
}
