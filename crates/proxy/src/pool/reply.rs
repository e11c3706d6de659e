//! Handling of connection results and answers for the unit on the connection.

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;
use crate::pool::input::OpenFailure;
use crate::pool::output::Note;
use crate::pool::output::Output;
use crate::pool::output::RetryReason;
use crate::pool::pending_unit::Execution;
use crate::pool::refusal::Outcome;
use crate::pool::step::Purpose;
use crate::pool::step::Step;
use crate::pool::unit_id::UnitId;
use crate::pool::upstream::Role;
use crate::pool::upstream::UpstreamStatus;
use crate::work::Answer;
use crate::work::Code;
use crate::work::TransactionState;
use crate::work::Verb;

impl Pool {
    /// Records that a connection is open and starts the unit that it was opened for.
    pub(super) fn opened(
        &mut self,
        id: ConnectionId,
        position: Option<Position>,
        now: BootInstant,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let unit_id = connection.unit_id;
        let upstream = connection.upstream.clone();
        self.note_reply(&upstream, position, now);
        match unit_id {
            Some(unit_id) if self.is_in_vain(unit_id, now) => {
                self.refuse_expired(unit_id, now);
                self.send_next(id, now);
            }
            Some(unit_id) if self.units.contains_key(&unit_id) => self.begin_unit(unit_id, id, now),
            Some(_) | None => self.send_next(id, now),
        }
    }

    /// Tells whether sending the first statement of a unit is in vain.
    fn is_in_vain(&self, unit_id: UnitId, now: BootInstant) -> bool {
        let pending = self.units.get(&unit_id);
        pending.is_some_and(|pending| self.is_unsent_in_vain(pending, now))
    }

    /// Records that a connection could not be opened, and retries its unit.
    pub(super) fn open_failed(&mut self, id: ConnectionId, failure: OpenFailure, now: BootInstant) {
        let Some(connection) = self.forget_connection(id) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&connection.upstream) {
            match failure {
                OpenFailure::Unreachable => self.note_unreachable(&connection.upstream, now),
                OpenFailure::TooMany => {
                    upstream.last_answer = now;
                    upstream.note_full(now);
                }
                OpenFailure::Misrouted | OpenFailure::Refused => {
                    self.note_unreachable(&connection.upstream, now);
                }
            }
        }
        if let Some(unit_id) = connection.unit_id {
            let reason = match failure {
                OpenFailure::TooMany => RetryReason::Refused(Code::TooMany),
                OpenFailure::Misrouted => RetryReason::Refused(Code::Misrouted),
                OpenFailure::Unreachable | OpenFailure::Refused => RetryReason::ConnectionLost,
            };
            self.attempt_failed(
                unit_id,
                &connection.upstream,
                Execution::NotRun,
                reason,
                now,
            );
        }
    }

    /// Records the status that an upstream reported, which may prove or disprove the primary.
    pub(super) fn status_received(
        &mut self,
        id: ConnectionId,
        status: Option<UpstreamStatus>,
        position: Option<Position>,
        now: BootInstant,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.steps.pop_front();
        let asked = connection.since;
        let own_load = connection.own_load;
        let name = connection.upstream.clone();
        self.note_reply(&name, position, now);
        if !self.runs_others(&name, id) {
            // Nothing that holds a slot delayed the status.
            self.note_round_trip(&name, now.since(asked), now);
        }
        if let Some(status) = status {
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                upstream.status = Some((status, now));
                if let Some(report) = status.load {
                    upstream.load.note_report(report, own_load, asked);
                }
            }
            match status.role {
                Role::Primary => {
                    let at = position.unwrap_or(status.received);
                    self.prove_primary(&name, at.max(status.received), asked);
                }
                Role::Replica => self.lose_primary(&name, now),
            }
        }
        self.send_next(id, now);
    }

    /// Records that an upstream cannot be paused, which an earlier version of its software cannot.
    pub(super) fn pause_unknown(&mut self, id: ConnectionId) {
        let name = self.connections.get(&id).map(|c| c.upstream.clone());
        if let Some(upstream) = name.and_then(|name| self.upstreams.get_mut(&name))
            && upstream.pausable
        {
            upstream.pausable = false;
            let name = upstream.registration.name.clone();
            self.outputs.push(Output::Note(Note::PauseUnknown(name)));
        }
    }

    /// Handles the answer to the query in flight.
    pub(super) fn replied(&mut self, id: ConnectionId, answer: Answer, now: BootInstant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(step) = connection.steps.pop_front() else {
            self.close(id, now);
            return;
        };
        let asked = connection.since;
        let name = connection.upstream.clone();
        self.note_reply(&name, answer.position.map(Position::from), now);
        if step.purpose != Purpose::Run {
            self.note_round_trip(&name, now.since(asked), now);
        }
        match step.purpose {
            Purpose::Prepare | Purpose::BeginAtPrimary | Purpose::BeginRead => {
                self.setup_answered(id, &step, &answer, asked, now);
            }
            Purpose::Run => self.statement_answered(id, answer, asked, now),
            Purpose::Rollback | Purpose::Status => self.internal_answered(id, &answer, now),
        }
    }

    /// Handles the answer to a query that precedes a unit's statement.
    fn setup_answered(
        &mut self,
        id: ConnectionId,
        step: &Step,
        answer: &Answer,
        asked: BootInstant,
        now: BootInstant,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let name = connection.upstream.clone();
        let unit_id = connection.unit_id;
        let runs_next = connection.runs_next();
        let Some(code) = answer.failure() else {
            if step.purpose == Purpose::BeginAtPrimary
                && let Some(position) = answer.position
            {
                self.prove_primary(&name, position.into(), asked);
            }
            match unit_id.filter(|unit_id| runs_next && self.is_in_vain(*unit_id, now)) {
                Some(unit_id) => {
                    self.refuse_expired(unit_id, now);
                    self.discard_steps(id, answer.state(), now);
                }
                None => self.send_next(id, now),
            }
            return;
        };
        self.learn_refusal(&name, code, now);
        if step.purpose == Purpose::Prepare {
            self.close(id, now);
        } else {
            self.discard_steps(id, answer.state(), now);
        }
        if let Some(unit_id) = unit_id {
            let reason = RetryReason::Refused(code);
            self.attempt_failed(unit_id, &name, Execution::NotRun, reason, now);
        }
    }

    /// Handles the answer to a session's statement.
    fn statement_answered(
        &mut self,
        id: ConnectionId,
        answer: Answer,
        asked: BootInstant,
        now: BootInstant,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let name = connection.upstream.clone();
        let Some(unit_id) = connection.unit_id else {
            self.close(id, now);
            return;
        };
        match answer.failure() {
            None => {
                self.note_answer(unit_id, id, asked, now);
                self.statement_succeeded(unit_id, id, &name, answer, asked, now);
            }
            Some(code) => self.statement_failed(unit_id, id, &name, code, answer, now),
        }
    }

    /// Returns the answer of a successful statement and decides what its connection does next.
    fn statement_succeeded(
        &mut self,
        unit_id: UnitId,
        id: ConnectionId,
        name: &UpstreamName,
        answer: Answer,
        asked: BootInstant,
        now: BootInstant,
    ) {
        let Some(pending) = self.units.get_mut(&unit_id) else {
            self.close(id, now);
            return;
        };
        let verb = pending.statement.verb();
        pending.wrote |= verb == Verb::Write;
        let wrote = pending.wrote;
        let released = pending.released;
        let pinned = pending.is_transaction() && verb != Verb::Commit;
        let state = answer.state();
        let proves_primary = wrote && (verb == Verb::Commit || !pending.is_transaction());
        if proves_primary && let Some(position) = answer.position {
            self.prove_primary(name, position.into(), asked);
        }
        if pinned && !released && state != TransactionState::Idle {
            self.pin(unit_id, id, now);
        } else if pinned {
            self.units.remove(&unit_id);
            self.discard_steps(id, state, now);
        } else {
            self.units.remove(&unit_id);
            self.detach_unit(id, state, now);
        }
        if !released {
            self.finish(unit_id, Outcome::Answered(answer));
        }
    }

    /// Retries a failed unit if that is safe, or returns the error to its session.
    fn statement_failed(
        &mut self,
        unit_id: UnitId,
        id: ConnectionId,
        name: &UpstreamName,
        code: Code,
        answer: Answer,
        now: BootInstant,
    ) {
        let Some(pending) = self.units.get(&unit_id) else {
            self.close(id, now);
            return;
        };
        let is_first = pending.is_unanswered();
        let retryable =
            code == Code::Failed && pending.unit.is_idempotent() && pending.attempts < 2;
        let state = answer.state();
        self.learn_refusal(name, code, now);
        if code == Code::UnknownStatement
            && let Some(connection) = self.connections.get_mut(&id)
        {
            connection.forget_prepared();
        }
        if (is_first && code.promises_not_run()) || retryable {
            self.discard_steps(id, state, now);
            let execution = if code.promises_not_run() {
                Execution::NotRun
            } else {
                Execution::MayHaveRun
            };
            self.attempt_failed(unit_id, name, execution, RetryReason::Refused(code), now);
            return;
        }
        let stays_open = self.units.get(&unit_id).is_some_and(|pending| {
            pending.is_transaction() && !pending.released && state != TransactionState::Idle
        });
        if stays_open {
            self.pin(unit_id, id, now);
        } else {
            self.units.remove(&unit_id);
            self.discard_steps(id, state, now);
        }
        self.finish(unit_id, Outcome::Answered(answer));
    }

    /// Reserves a connection for the next statement of its transaction.
    fn pin(&mut self, unit_id: UnitId, id: ConnectionId, now: BootInstant) {
        if let Some(pending) = self.units.get_mut(&unit_id) {
            pending.pin(id);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stage = Stage::Pinned;
            connection.since = now;
        }
    }

    /// Detaches a finished unit from its connection; one left in a transaction is closed.
    fn detach_unit(&mut self, id: ConnectionId, state: TransactionState, now: BootInstant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.unit_id = None;
        if connection.steps.is_empty() && state != TransactionState::Idle {
            self.close(id, now);
        } else {
            self.send_next(id, now);
        }
    }

    /// Drops the remaining queries of a connection and rolls back its open transaction.
    fn discard_steps(&mut self, id: ConnectionId, state: TransactionState, now: BootInstant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.steps.clear();
        connection.unit_id = None;
        if state == TransactionState::Idle {
            self.send_next(id, now);
        } else {
            self.roll_back(id, now);
        }
    }

    /// Handles the answer to a query that no unit waits for; on failure the connection is closed.
    fn internal_answered(&mut self, id: ConnectionId, answer: &Answer, now: BootInstant) {
        if answer.failure().is_some() || answer.state() != TransactionState::Idle {
            self.close(id, now);
        } else {
            self.send_next(id, now);
        }
    }
}
