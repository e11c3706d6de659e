//! Arrival of units and statements, and their release.

use std::time::Duration;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::output::Note;
use crate::pool::output::Output;
use crate::pool::pending_unit::PendingUnit;
use crate::pool::pending_unit::UnitStage;
use crate::pool::refusal::Outcome;
use crate::pool::refusal::Refusal;
use crate::pool::unit_id::UnitId;
use crate::work::Answer;
use crate::work::Code;
use crate::work::Setting;
use crate::work::Statement;
use crate::work::TransactionState;
use crate::work::WorkUnit;

/// Pause before a retry while a group has no usable upstream: most of the time of a promotion.
pub(super) const PROMOTION_PAUSE: Duration = Duration::from_millis(700);

impl Pool {
    /// Queues a unit, or refuses it if it cannot be served in time.
    pub(super) fn submit(&mut self, unit_id: UnitId, unit: WorkUnit, now: BootInstant) {
        let travel = self.travel_for(&unit, now);
        let rank = match self.admit(&unit, travel, now) {
            Ok(rank) => rank,
            Err(refusal) => {
                self.refuse(unit_id, &unit, refusal, now);
                return;
            }
        };
        self.next_arrival += 1;
        let pending = PendingUnit::new(unit, rank, travel, now);
        self.waiting.insert(rank, unit_id);
        self.units.insert(unit_id, pending);
    }

    /// Accepts the next statement of an open transaction.
    pub(super) fn resume(
        &mut self,
        unit_id: UnitId,
        statement: Statement,
        settings: Vec<Setting>,
        deadline: BootInstant,
        now: BootInstant,
    ) {
        let travel = self.round_trip_of(unit_id);
        let Some(pending) = self.units.get_mut(&unit_id) else {
            self.finish(unit_id, aborted("the transaction's connection is gone"));
            return;
        };
        if !pending.resume(statement, settings, deadline, now) {
            self.finish(unit_id, aborted("the transaction has no connection"));
            return;
        }
        pending.travel = travel;
        self.resumed.push_back(unit_id);
    }

    /// Returns the round trip to the upstream on which a unit's transaction is open.
    fn round_trip_of(&self, unit_id: UnitId) -> Duration {
        let pending = self.units.get(&unit_id);
        let connection = pending.and_then(|pending| match pending.stage() {
            UnitStage::Pinned(id) => self.connections.get(&id),
            _ => None,
        });
        let upstream = connection.and_then(|c| self.upstreams.get(&c.upstream));
        upstream.map(|u| u.round_trip.time()).unwrap_or_default()
    }

    /// Abandons a unit at its session's request and rolls back its transaction.
    pub(super) fn release(&mut self, unit_id: UnitId, now: BootInstant) {
        let Some(pending) = self.units.get_mut(&unit_id) else {
            return;
        };
        match pending.stage() {
            UnitStage::Waiting => {
                self.waiting.remove(&pending.rank);
                self.units.remove(&unit_id);
            }
            UnitStage::Continuing(id) if self.resumed.contains(&unit_id) => {
                self.resumed.retain(|other| *other != unit_id);
                self.units.remove(&unit_id);
                self.roll_back(id, now);
            }
            UnitStage::Starting(_) | UnitStage::Continuing(_) => pending.released = true,
            UnitStage::Pinned(id) => {
                self.units.remove(&unit_id);
                self.roll_back(id, now);
            }
            UnitStage::ConnectionLost => {
                self.units.remove(&unit_id);
            }
        }
    }

    /// Abandons every unit that was submitted through a link.
    pub(super) fn release_link(&mut self, link: u64, now: BootInstant) {
        let first = UnitId { link, number: 0 };
        let last = UnitId {
            link,
            number: u64::MAX,
        };
        let unit_ids: Vec<UnitId> = self
            .units
            .range(first..=last)
            .map(|(unit_id, _)| *unit_id)
            .collect();
        for unit_id in unit_ids {
            self.release(unit_id, now);
        }
    }

    /// Refuses a unit, and logs the state on which that was decided.
    pub(super) fn refuse(
        &mut self,
        unit_id: UnitId,
        unit: &WorkUnit,
        refusal: Refusal,
        now: BootInstant,
    ) {
        self.outputs.push(Output::Note(Note::Refused {
            unit_id,
            request: unit.statement.id.clone(),
            refusal: refusal.clone(),
            waiting: self.waiting.len(),
            service: self.service_times.mean(),
            position_age: self.position_history.age(now),
            candidates: self.candidates(unit, now),
        }));
        self.finish(unit_id, Outcome::Refused(refusal));
    }

    /// Tells whether a primary is known, reachable and not leaving for too long.
    pub(super) fn is_primary_usable(&self, now: BootInstant) -> bool {
        let primary = self.primary.upstream().and_then(|u| self.upstreams.get(u));
        primary.is_some_and(|u| u.is_usable(now) && u.accepts_work(true, now))
    }

    /// Returns the outcome of a statement to its session.
    pub(super) fn finish(&mut self, unit_id: UnitId, outcome: Outcome) {
        self.outputs.push(Output::Finish(unit_id, outcome));
    }
}

/// Returns the outcome of a statement whose transaction was aborted.
pub(super) fn aborted(text: &str) -> Outcome {
    Outcome::Answered(Answer::failed(
        Code::Aborted,
        text,
        TransactionState::Failed,
    ))
}
