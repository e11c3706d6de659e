//! Opening and closing connections, and the queries sent on them.

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::connection::Connection;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;
use crate::pool::output::Output;
use crate::pool::placement::Need;
use crate::pool::step::Command;
use crate::pool::step::Purpose;
use crate::pool::step::Query;
use crate::pool::step::Step;
use crate::pool::unit_id::UnitId;
use crate::work::Verb;
use crate::work::WorkUnit;

impl Pool {
    /// Opens a connection, which runs the given unit, if any, as soon as it is open.
    pub(super) fn open(
        &mut self,
        upstream: &UpstreamName,
        account: AccountName,
        unit_id: Option<UnitId>,
        now: BootInstant,
    ) -> Option<ConnectionId> {
        let address = self.upstreams.get(upstream)?.registration.address;
        let id = ConnectionId(self.next_connection);
        self.next_connection += 1;
        let mut connection = Connection::new(upstream.clone(), account.clone(), now);
        connection.unit_id = unit_id;
        self.connections.insert(id, connection);
        self.outputs.push(Output::Open {
            connection: id,
            upstream: upstream.clone(),
            address,
            account,
        });
        Some(id)
    }

    /// Queues the queries of a unit on an open connection and sends the first.
    pub(super) fn begin_unit(&mut self, unit_id: UnitId, id: ConnectionId, now: BootInstant) {
        let Some(pending) = self.units.get(&unit_id) else {
            return;
        };
        let Some(unit) = pending.to_start() else {
            return;
        };
        let need = self.need(unit, now);
        let steps = unit_steps(unit, need);
        let settings = pending.settings.clone();
        let prepared = pending.statement.prepared.clone();
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queries = 0;
            connection.queue_setup(&settings, prepared.as_ref());
            connection.steps.extend(steps);
        }
        self.send_next(id, now);
    }

    /// Sends the next query of a connection, or marks the connection as idle if there is none.
    ///
    /// If its upstream is evacuated by now, the connection is closed instead.
    pub(super) fn send_next(&mut self, id: ConnectionId, now: BootInstant) {
        if self.is_cut_off(id, now) {
            self.withdraw(id, now);
            return;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.since = now;
        if let Some(step) = connection.steps.front() {
            let asks_status = step.purpose == Purpose::Status;
            connection.stage = Stage::Running;
            connection.queries += 1;
            self.outputs.push(Output::Send(id, step.query.clone()));
            if asks_status {
                self.note_own_load(id);
            }
        } else {
            connection.stage = Stage::Idle;
            connection.unit_id = None;
        }
    }

    /// Keeps how many statements of this vm are at an upstream whose status is asked for.
    fn note_own_load(&mut self, id: ConnectionId) {
        let Some(upstream) = self.connections.get(&id).map(|c| c.upstream.clone()) else {
            return;
        };
        let own = self.loads().get(&upstream).map_or(0, |load| load.busy);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.own_load = own;
        }
    }

    /// Rolls back the transaction that is open on a connection.
    pub(super) fn roll_back(&mut self, id: ConnectionId, now: BootInstant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.unit_id = None;
            connection
                .steps
                .push_back(Step::internal(Purpose::Rollback, Command::Rollback));
        }
        self.send_next(id, now);
    }

    /// Closes a connection, which counts at its upstream until the upstream confirms the end.
    pub(super) fn close(&mut self, id: ConnectionId, now: BootInstant) {
        if let Some(connection) = self.forget_connection(id)
            && let Some(upstream) = self.upstreams.get_mut(&connection.upstream)
        {
            upstream.note_closing(id, now);
        }
    }

    /// Removes a connection, open or ended, and has its owner free what it keeps for it.
    pub(super) fn forget_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.outputs.push(Output::Close(id));
        Some(connection)
    }
}

/// Returns the queries that run a unit.
///
/// A read that needs the primary runs inside a transaction that may write. A replica refuses to
/// begin one, so a successful begin proves that the upstream is the primary.
pub(super) fn unit_steps(unit: &WorkUnit, need: Need) -> Vec<Step> {
    let after = match need {
        Need::Primary => None,
        Need::Position(position) => Some(position),
    };
    let run = |after| Step {
        purpose: Purpose::Run,
        query: Query {
            id: Some(unit.statement.id.clone()),
            after,
            command: Command::Statement(unit.statement.clone()),
        },
    };
    let begin_at_primary = Step::internal(Purpose::BeginAtPrimary, Command::Begin);
    match (&unit.begin, after) {
        (Some(begin), Some(position)) if begin.verb() == Verb::BeginRead => {
            let query = Query {
                id: Some(begin.id.clone()),
                after: Some(position),
                command: Command::BeginRead,
            };
            let purpose = Purpose::BeginRead;
            vec![Step { purpose, query }, run(None)]
        }
        (Some(begin), _) if begin.verb() == Verb::Begin => {
            let query = Query {
                id: Some(begin.id.clone()),
                ..Query::internal(Command::Begin)
            };
            let purpose = Purpose::BeginAtPrimary;
            vec![Step { purpose, query }, run(None)]
        }
        (Some(_), _) => vec![begin_at_primary, run(None)],
        (None, None) if unit.statement.verb() == Verb::Read => {
            let end = Step::internal(Purpose::Rollback, Command::Rollback);
            vec![begin_at_primary, run(None), end]
        }
        (None, _) => vec![run(after)],
    }
}

/// Returns the number of queries of [`unit_steps`] until the unit's first statement is answered.
pub(super) fn trips_to_answer(unit: &WorkUnit, need: Need) -> u32 {
    let proves_primary = need == Need::Primary && unit.is_read();
    1 + u32::from(unit.begin.is_some() || proves_primary)
}
