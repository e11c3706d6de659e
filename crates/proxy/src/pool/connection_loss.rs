//! Handling of lost connections and failed attempts: retry, abort or doubt.

use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::connection::ConnectionId;
use crate::pool::output::Note;
use crate::pool::output::Output;
use crate::pool::output::RetryReason;
use crate::pool::pending_unit::Consequence;
use crate::pool::pending_unit::Execution;
use crate::pool::pending_unit::Rank;
use crate::pool::refusal::Cause;
use crate::pool::refusal::Outcome;
use crate::pool::refusal::Refusal;
use crate::pool::step::Purpose;
use crate::pool::submit::aborted;
use crate::pool::unit_id::UnitId;

/// Attempts at upstreams after which a unit is refused.
const MAX_ATTEMPTS: u32 = 6;
/// Pause before a session's retry, after its unit failed at several upstreams.
const RETRY_PAUSE_MS: u32 = 100;

impl Pool {
    /// Handles a broken connection and its unit.
    pub(super) fn lost(&mut self, id: ConnectionId, now: BootInstant) {
        let Some(connection) = self.forget_connection(id) else {
            return;
        };
        let name = connection.upstream.clone();
        if let Some(upstream) = self.upstreams.get_mut(&name) {
            upstream.note_closing(id, now);
            upstream.suspect(now);
        }
        let Some(unit_id) = connection.unit_id else {
            return;
        };
        let in_flight = connection.steps.front().map(|step| step.purpose);
        self.interrupted(unit_id, &name, in_flight, RetryReason::ConnectionLost, now);
    }

    /// Records that an upstream no longer counts a closed connection.
    pub(super) fn closed(&mut self, id: ConnectionId) {
        for upstream in self.upstreams.values_mut() {
            upstream.note_closed(id);
        }
    }

    /// Retries, aborts or answers a unit whose connection is gone.
    ///
    /// `in_flight` is the purpose of the first query that was not answered, if there was one.
    pub(super) fn interrupted(
        &mut self,
        unit_id: UnitId,
        name: &UpstreamName,
        in_flight: Option<Purpose>,
        reason: RetryReason,
        now: BootInstant,
    ) {
        let execution = if in_flight == Some(Purpose::Run) {
            Execution::MayHaveRun
        } else {
            Execution::NotRun
        };
        self.attempt_failed(unit_id, name, execution, reason, now);
    }

    /// Handles a unit whose attempt at an upstream ended without an answer for its session.
    pub(super) fn attempt_failed(
        &mut self,
        unit_id: UnitId,
        name: &UpstreamName,
        execution: Execution,
        reason: RetryReason,
        now: BootInstant,
    ) {
        let Some(pending) = self.units.get_mut(&unit_id) else {
            return;
        };
        let (outcome, in_doubt) = match pending.fail_attempt(execution) {
            Consequence::Repeat(rank) => {
                self.retry(unit_id, rank, name, reason, now);
                return;
            }
            Consequence::TellLater => return,
            Consequence::Abort => (aborted("the transaction's connection is gone"), false),
            Consequence::InDoubt => {
                let text = "the connection broke before the answer came";
                (Outcome::in_doubt(text), true)
            }
        };
        self.outputs.push(Output::Note(Note::Interrupted {
            unit_id,
            request: pending.statement.id.clone(),
            upstream: name.clone(),
            reason,
            in_doubt,
        }));
        self.resumed.retain(|other| *other != unit_id);
        self.units.remove(&unit_id);
        self.finish(unit_id, outcome);
    }

    /// Queues a unit under its rank for another upstream, or refuses it after too many attempts or too late.
    fn retry(
        &mut self,
        unit_id: UnitId,
        rank: Rank,
        name: &UpstreamName,
        reason: RetryReason,
        now: BootInstant,
    ) {
        let Some(pending) = self.units.get_mut(&unit_id) else {
            return;
        };
        if pending.released {
            self.units.remove(&unit_id);
            return;
        }
        let request = pending.statement.id.clone();
        if !pending.tried.contains(name) {
            pending.tried.push(name.clone());
        }
        let exhausted = pending.attempts >= MAX_ATTEMPTS || now >= pending.deadline;
        if exhausted {
            if let Some(pending) = self.units.remove(&unit_id) {
                let refusal = Refusal::new(Cause::NoUpstream, RETRY_PAUSE_MS);
                self.refuse(unit_id, &pending.unit, refusal, now);
            }
            return;
        }
        if pending.tried.len() >= self.upstreams.len() {
            pending.tried.clear();
        }
        self.waiting.insert(rank, unit_id);
        self.outputs.push(Output::Note(Note::Retried {
            unit_id,
            request,
            upstream: name.clone(),
            reason,
        }));
    }
}
