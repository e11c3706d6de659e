//! Timeouts of queued units, statements and connections.

use std::time::Duration;

use crate::clock::BootInstant;
use crate::clock::millis;
use crate::pool::Pool;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;
use crate::pool::output::Note;
use crate::pool::output::Output;
use crate::pool::output::RetryReason;
use crate::pool::pending_unit::PendingUnit;
use crate::pool::pending_unit::UnitStage;
use crate::pool::refusal::Cause;
use crate::pool::refusal::Outcome;
use crate::pool::refusal::Refusal;
use crate::pool::step::Command;
use crate::pool::step::Purpose;
use crate::pool::step::Step;
use crate::pool::submit::PROMOTION_PAUSE;
use crate::pool::submit::aborted;
use crate::pool::unit_id::UnitId;
use crate::work::Answer;
use crate::work::Code;
use crate::work::TransactionState;

/// Longest wait for a connection to open, or for an answer to one of the proxy's own queries.
const OWN_QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which units stay queued without a primary before they are refused.
const PRIMARY_WAIT: Duration = Duration::from_millis(300);
/// Shortest time without an answer after which a read is retried at another upstream.
pub(super) const MIN_READ_SILENCE: Duration = Duration::from_millis(300);
/// Time without an answer after which a read is retried elsewhere, in mean service times.
const READ_SILENCE_FACTOR: u32 = 8;
/// Pause before the retry of a unit dropped from the queue, in mean service times.
///
/// It is most of the time that a full queue takes.
const RETRY_PAUSE_FACTOR: u32 = 4;
/// Attempts up to which a read is moved to another upstream for want of an answer.
const MAX_SILENT_ATTEMPTS: u32 = 2;

/// Divisor of a statement's time limit that gives the rest with which it is sent in any case.
///
/// Else nothing would be tried, and no time measured, after a spell of slow statements.
const TRIED_DIVISOR: u32 = 2;

impl Pool {
    /// Refuses queued units that can no longer be served in time.
    pub(super) fn expire_waiting(&mut self, now: BootInstant) {
        let primary_lost = !self.is_primary_usable(now)
            && self
                .primary
                .missing_since
                .is_none_or(|since| now.since(since) >= PRIMARY_WAIT);
        let on_time = self
            .waiting
            .keys()
            .filter(|rank| !self.is_late(**rank, now))
            .map(|rank| rank.priority)
            .min();
        let unit_ids: Vec<UnitId> = self.waiting.values().copied().collect();
        for unit_id in unit_ids {
            let Some(pending) = self.units.get(&unit_id) else {
                continue;
            };
            let expired = !self.can_finish(pending, now);
            let crowded_out = self.is_late(pending.rank, now)
                && on_time.is_some_and(|priority| priority <= pending.rank.priority)
                && now.since(pending.arrived) >= pending.unit.objective();
            let cause = if expired {
                Cause::Expired
            } else if crowded_out {
                Cause::Overloaded
            } else if primary_lost && pending.unit.needs_primary() {
                Cause::NoPrimary
            } else {
                continue;
            };
            self.waiting.remove(&pending.rank);
            let pause = match cause {
                Cause::NoPrimary => PROMOTION_PAUSE,
                _ => self.service_times.mean() * RETRY_PAUSE_FACTOR,
            };
            let refusal = Refusal::new(cause, millis(pause));
            if let Some(pending) = self.units.remove(&unit_id) {
                self.refuse(unit_id, &pending.unit, refusal, now);
            }
        }
    }

    /// Tells whether a statement that is sent now is probably answered before its deadline.
    ///
    /// One that is sent later runs in vain: its caller is told that it timed out, and cannot know
    /// whether it took effect.
    pub(super) fn can_finish(&self, pending: &PendingUnit, now: BootInstant) -> bool {
        let service = self.service_times.of(pending.unit.class());
        let limit = pending.deadline.since(pending.arrived);
        let needed = (service + pending.travel).min(limit / TRIED_DIVISOR);
        now.after(needed) < pending.deadline
    }

    /// Ends queries and statements that have been without an answer for too long.
    pub(super) fn expire_connections(&mut self, now: BootInstant) {
        let busy: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, c)| c.awaits_answer())
            .map(|(id, _)| *id)
            .collect();
        for id in busy {
            self.expire_connection(id, now);
        }
        let resumed: Vec<UnitId> = self.resumed.iter().copied().collect();
        for unit_id in resumed {
            self.expire_resumed(unit_id, now);
        }
    }

    /// Tells whether a unit of which nothing was sent but its setup can no longer be answered in time.
    pub(super) fn is_unsent_in_vain(&self, pending: &PendingUnit, now: BootInstant) -> bool {
        pending.is_unanswered() && !self.can_finish(pending, now)
    }

    /// Refuses a unit whose connection is being opened or prepared, and keeps the connection.
    fn give_up_setup(&mut self, id: ConnectionId, now: BootInstant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let unit_id = connection.unit_id.take();
        let in_flight = connection.steps.pop_front();
        // The connection counts settings as applied once they are queued.
        connection
            .steps
            .retain(|step| step.purpose == Purpose::Prepare);
        let begins = in_flight.as_ref().is_some_and(|step| {
            matches!(step.purpose, Purpose::BeginAtPrimary | Purpose::BeginRead)
        });
        if let Some(step) = in_flight {
            connection.steps.push_front(step);
        }
        if begins {
            let rollback = Step::internal(Purpose::Rollback, Command::Rollback);
            connection.steps.push_back(rollback);
        }
        if let Some(unit_id) = unit_id {
            self.refuse_expired(unit_id, now);
        }
    }

    /// Refuses a unit that was not sent and can no longer be answered in time.
    pub(super) fn refuse_expired(&mut self, unit_id: UnitId, now: BootInstant) {
        let pause = self.service_times.mean() * RETRY_PAUSE_FACTOR;
        let refusal = Refusal::new(Cause::Expired, millis(pause));
        if let Some(pending) = self.units.remove(&unit_id)
            && !pending.released
        {
            self.refuse(unit_id, &pending.unit, refusal, now);
        }
    }

    /// Times out the query in flight on a connection, or retries a read elsewhere.
    fn expire_connection(&mut self, id: ConnectionId, now: BootInstant) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let silence = now.since(connection.since);
        let runs_statement = connection.stage == Stage::Running
            && connection
                .steps
                .front()
                .is_some_and(|step| step.purpose == Purpose::Run);
        let pending = connection
            .unit_id
            .and_then(|unit_id| self.units.get(&unit_id));
        if !runs_statement && pending.is_some_and(|pending| self.is_unsent_in_vain(pending, now)) {
            self.give_up_setup(id, now);
            return;
        }
        let Some(pending) = pending.filter(|_| runs_statement) else {
            if silence >= OWN_QUERY_TIMEOUT {
                let name = connection.upstream.clone();
                self.note_unreachable(&name, now);
                self.abandon_connection(id, RetryReason::Silent, now);
            }
            return;
        };
        let answer_time = self.service_times.mean() + pending.travel;
        let max_wait = MIN_READ_SILENCE.max(answer_time * READ_SILENCE_FACTOR);
        let retryable = pending.unit.is_idempotent()
            && pending.attempts <= MAX_SILENT_ATTEMPTS
            && now.after(answer_time * 2) < pending.deadline;
        if now >= pending.deadline {
            self.time_out(id, now);
        } else if retryable && silence >= max_wait {
            self.abandon_connection(id, RetryReason::Silent, now);
        }
    }

    /// Ends a running statement whose deadline has passed: closes its connection and answers it.
    fn time_out(&mut self, id: ConnectionId, now: BootInstant) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let name = connection.upstream.clone();
        let unit_id = connection.unit_id;
        self.close(id, now);
        let Some(pending) = unit_id.and_then(|unit_id| self.units.remove(&unit_id)) else {
            return;
        };
        let Some(unit_id) = unit_id else {
            return;
        };
        self.outputs.push(Output::Note(Note::Interrupted {
            unit_id,
            request: pending.statement.id.clone(),
            upstream: name,
            reason: RetryReason::Silent,
            in_doubt: !pending.leaves_no_effect(),
        }));
        let state = if pending.is_transaction() {
            TransactionState::Failed
        } else {
            TransactionState::Idle
        };
        let answer = if pending.is_transaction() && pending.leaves_no_effect() {
            Answer::failed(Code::Aborted, "the statement timed out", state)
        } else {
            Answer::failed(
                Code::TimedOut,
                "the statement timed out",
                TransactionState::Idle,
            )
        };
        if !pending.released {
            self.finish(unit_id, Outcome::Answered(answer));
        }
    }

    /// Aborts an open transaction whose next statement got no slot in time to end before its deadline.
    fn expire_resumed(&mut self, unit_id: UnitId, now: BootInstant) {
        let Some(pending) = self.units.get(&unit_id) else {
            return;
        };
        let UnitStage::Continuing(id) = pending.stage() else {
            return;
        };
        if self.can_finish(pending, now) {
            return;
        }
        self.resumed.retain(|other| *other != unit_id);
        self.units.remove(&unit_id);
        self.roll_back(id, now);
        let text = "the statement got no slot in time";
        self.finish(unit_id, aborted(text));
    }

    /// Closes a connection, and retries its unit elsewhere if that is safe.
    pub(super) fn abandon_connection(
        &mut self,
        id: ConnectionId,
        reason: RetryReason,
        now: BootInstant,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let name = connection.upstream.clone();
        let unit_id = connection.unit_id;
        let in_flight = connection.steps.front().map(|step| step.purpose);
        self.close(id, now);
        if let Some(unit_id) = unit_id {
            self.interrupted(unit_id, &name, in_flight, reason, now);
        }
    }
}
