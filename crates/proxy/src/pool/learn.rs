//! Updates of the known state of upstreams, from answers and failures.

use std::time::Duration;

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::connection::ConnectionId;
use crate::pool::output::Note;
use crate::pool::output::Output;
use crate::pool::unit_id::UnitId;
use crate::work::Code;

impl Pool {
    /// Records what a refusal says about its upstream: a read-only one is no primary.
    pub(super) fn learn_refusal(&mut self, name: &UpstreamName, code: Code, now: BootInstant) {
        if code == Code::ReadOnly {
            self.lose_primary(name, now);
        }
    }

    /// Records an answer of an upstream, with the log position that it reported.
    pub(super) fn note_reply(
        &mut self,
        name: &UpstreamName,
        position: Option<Position>,
        now: BootInstant,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if let Some(position) = position {
            upstream.note_lag(self.position_history.lag_of(position, now), now);
        }
        if upstream.note_reply(position, now) {
            self.outputs
                .push(Output::Note(Note::UpstreamBack(name.clone())));
        }
    }

    /// Records the time to the answer of a query that held no slot of an upstream.
    pub(super) fn note_round_trip(
        &mut self,
        name: &UpstreamName,
        took: Duration,
        now: BootInstant,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.round_trip.note(took, now);
        }
    }

    /// Tells whether any connection but `except` holds a slot of an upstream.
    pub(super) fn runs_others(&self, name: &UpstreamName, except: ConnectionId) -> bool {
        let mut connections = self.connections.iter();
        connections.any(|(id, c)| *id != except && c.upstream == *name && c.holds_slot())
    }

    /// Records that an upstream could not be reached.
    pub(super) fn note_unreachable(&mut self, name: &UpstreamName, now: BootInstant) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if upstream.note_failure(now) {
            self.outputs
                .push(Output::Note(Note::UpstreamLost(name.clone())));
        }
    }

    /// Records that an upstream acted as the primary, at a position that it had when it was asked.
    pub(super) fn prove_primary(
        &mut self,
        name: &UpstreamName,
        position: Position,
        asked: BootInstant,
    ) {
        if self.primary.prove(name, position.term) {
            let note = Note::PrimaryProven(name.clone(), position.term);
            self.outputs.push(Output::Note(note));
        }
        if self.primary.upstream() == Some(name) {
            self.position_history.note(asked, position);
        }
    }

    /// Records that an upstream is not, or no longer, the primary.
    pub(super) fn lose_primary(&mut self, name: &UpstreamName, now: BootInstant) {
        if self.primary.refuse(name, now) {
            self.outputs
                .push(Output::Note(Note::PrimaryLost(name.clone())));
        }
    }

    /// Records the times of an answered statement, and logs it if it missed its latency objective.
    pub(super) fn note_answer(
        &mut self,
        unit_id: UnitId,
        id: ConnectionId,
        asked: BootInstant,
        now: BootInstant,
    ) {
        let Some(pending) = self.units.get(&unit_id) else {
            return;
        };
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let name = connection.upstream.clone();
        let waited = asked.since(pending.arrived);
        let ran = now.since(asked);
        let travel = self.upstreams.get_mut(&name).map(|upstream| {
            upstream.round_trip.note_queries(connection.queries);
            upstream.round_trip.time()
        });
        let travel = travel.unwrap_or_default();
        // Writes run only at the primary, so their times cannot be compared between upstreams.
        if !pending.unit.needs_primary()
            && let Some(upstream) = self.upstreams.get_mut(&name)
        {
            let usual = self.service_times.mean() + travel;
            upstream.load.set_round_trip(travel);
            upstream.load.note_answer(ran, usual, now);
        }
        let held = ran.saturating_sub(travel);
        self.service_times.note(pending.unit.class(), held);
        self.outputs.push(Output::Note(Note::Answered {
            class: pending.unit.class(),
            waited,
            ran,
        }));
        if now.since(pending.arrived) > pending.unit.objective() {
            self.outputs.push(Output::Note(Note::Late {
                unit_id,
                request: pending.statement.id.clone(),
                upstream: name,
                waited,
                ran,
                attempts: pending.attempts,
            }));
        }
    }
}
