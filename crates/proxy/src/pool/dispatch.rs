//! Which unit runs next, and on which connection.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;

use crate::clock::Moment;
use crate::pool::Pool;
use crate::pool::connection::Connection;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;
use crate::pool::job::Job;
use crate::pool::job::JobStage;
use crate::pool::job::Rank;
use crate::pool::output::Output;
use crate::pool::refusal::Cause;
use crate::pool::refusal::Outcome;
use crate::pool::refusal::Refusal;
use crate::pool::step::Command;
use crate::pool::step::Purpose;
use crate::pool::step::Query;
use crate::pool::step::Step;
use crate::pool::ticket::TicketId;
use crate::pool::upstream::Upstream;
use crate::work::Answer;
use crate::work::Code;
use crate::work::Guarantee;
use crate::work::Setting;
use crate::work::Statement;
use crate::work::TransactionState;
use crate::work::Unit;
use crate::work::Verb;

/// Statements beyond its slots that an upstream is given, so that none idles for a round trip.
const AHEAD: u32 = 1;
/// Time that one query takes which holds no slot: a round trip between failure domains.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Time that opening a connection costs an upstream, against waiting for another upstream.
const OPENING: Duration = Duration::from_millis(20);
/// Halves of a mean service time before its due moment that a unit must start to be on time: every
/// other statement takes longer than the mean.
const START_BEFORE: u32 = 3;
/// Connections that may be closing at an upstream while others are opened in their place.
const REPLACED: u32 = 2;
/// Pause that a refused session is asked to make at least.
const SHORTEST_PAUSE: Duration = Duration::from_millis(50);
/// Pause that a session is asked to make while a group has no primary: most of a promotion.
const PROMOTION_PAUSE: Duration = Duration::from_millis(700);

/// Where a unit may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// At the primary, which must prove that it leads.
    Lead,
    /// Wherever the log holds a position.
    Position(Position),
}

/// How a unit gets a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Way {
    /// It takes an idle connection.
    Use(ConnectionId),
    /// It opens one, after closing another if there is no room.
    Open(UpstreamName, Option<ConnectionId>),
}

/// Connections of each upstream, counted once for a round of dispatching.
#[derive(Debug, Default, Clone, Copy)]
struct Load {
    connections: u32,
    busy: u32,
}

impl Pool {
    /// Takes a unit in, or refuses it at once if it cannot be served in time.
    pub(super) fn offer(&mut self, ticket: TicketId, unit: Unit, now: Moment) {
        let due = now.after(unit.objective());
        let rank = Rank {
            priority: unit.priority,
            due,
            arrival: self.next_arrival,
        };
        self.next_arrival += 1;
        if let Some(refusal) = self.refusal_for(&unit, rank, now) {
            self.finish(ticket, Outcome::Refused(refusal));
            return;
        }
        let job = Job {
            rank,
            stage: JobStage::Waiting,
            deadline: now.after(unit.left()),
            arrived: now,
            tried: Vec::new(),
            attempts: 0,
            wrote: false,
            statement: unit.statement.clone(),
            settings: unit.settings.clone(),
            released: false,
            unit,
        };
        self.waiting.insert(rank, ticket);
        self.jobs.insert(ticket, job);
    }

    /// Takes in the next statement of an open transaction.
    pub(super) fn resume(
        &mut self,
        ticket: TicketId,
        statement: Statement,
        settings: Vec<Setting>,
        deadline: Moment,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            self.finish(ticket, aborted("the transaction's connection is gone"));
            return;
        };
        let JobStage::Pinned(id) = job.stage else {
            self.finish(ticket, aborted("the transaction has no connection"));
            return;
        };
        job.statement = statement;
        job.settings = settings;
        job.deadline = deadline;
        job.arrived = now;
        job.stage = JobStage::Running(id);
        self.held.push_back(ticket);
    }

    /// Gives a unit up for a session that no longer wants it.
    pub(super) fn release(&mut self, ticket: TicketId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        match job.stage {
            JobStage::Waiting => {
                self.waiting.remove(&job.rank);
                self.jobs.remove(&ticket);
            }
            JobStage::Running(id) if self.held.contains(&ticket) => {
                self.held.retain(|held| *held != ticket);
                self.jobs.remove(&ticket);
                self.undo(id, now);
            }
            JobStage::Running(_) => job.released = true,
            JobStage::Pinned(id) => {
                self.jobs.remove(&ticket);
                self.undo(id, now);
            }
            JobStage::Dead => {
                self.jobs.remove(&ticket);
            }
        }
    }

    /// Gives up every unit that came by a link.
    pub(super) fn release_link(&mut self, link: u64, now: Moment) {
        let first = TicketId { link, number: 0 };
        let last = TicketId {
            link,
            number: u64::MAX,
        };
        let tickets: Vec<TicketId> = self.jobs.range(first..=last).map(|(t, _)| *t).collect();
        for ticket in tickets {
            self.release(ticket, now);
        }
    }

    /// Starts whatever can start now.
    pub(super) fn dispatch(&mut self, now: Moment) {
        if self.held.is_empty() && self.waiting.is_empty() {
            return;
        }
        let mut loads = self.loads();
        self.dispatch_held(&mut loads, now);
        for ticket in self.in_order(now) {
            if !self.has_room(&loads, now) {
                return;
            }
            if let Some(way) = self.place(ticket, &loads, now) {
                self.start(ticket, way, &mut loads, now);
            }
        }
    }

    /// Returns the waiting units, best first: by priority, then those that can still meet their
    /// objective, then by the moment by which they should be served.
    fn in_order(&self, now: Moment) -> Vec<TicketId> {
        let mut order: Vec<(u32, bool, Rank, TicketId)> = self
            .waiting
            .iter()
            .map(|(rank, ticket)| (rank.priority, self.is_late(*rank, now), *rank, *ticket))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., ticket)| ticket).collect()
    }

    /// Tells whether a unit can no longer meet its objective.
    pub(super) fn is_late(&self, rank: Rank, now: Moment) -> bool {
        now.after(self.service * START_BEFORE / 2) > rank.due
    }

    fn dispatch_held(&mut self, loads: &mut BTreeMap<UpstreamName, Load>, now: Moment) {
        for ticket in std::mem::take(&mut self.held) {
            let Some(job) = self.jobs.get(&ticket) else {
                continue;
            };
            let JobStage::Running(id) = job.stage else {
                continue;
            };
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let load = loads.entry(connection.upstream.clone()).or_default();
            if load.busy >= limit(self.upstreams.get(&connection.upstream)) {
                self.held.push_back(ticket);
                continue;
            }
            load.busy += 1;
            let shape = job.statement.shape.as_ref();
            connection.align(&job.settings, shape);
            connection.steps.push_back(Step {
                purpose: Purpose::Run,
                query: Query {
                    id: Some(job.statement.id.clone()),
                    after: None,
                    command: Command::Statement(job.statement.clone()),
                },
            });
            self.send_next(id, now);
        }
    }

    fn loads(&self) -> BTreeMap<UpstreamName, Load> {
        let mut loads: BTreeMap<UpstreamName, Load> = BTreeMap::new();
        for connection in self.connections.values() {
            let load = loads.entry(connection.upstream.clone()).or_default();
            load.connections += 1;
            load.busy += u32::from(connection.holds_slot());
        }
        loads
    }

    fn has_room(&self, loads: &BTreeMap<UpstreamName, Load>, now: Moment) -> bool {
        self.upstreams.iter().any(|(name, upstream)| {
            let busy = loads.get(name).map_or(0, |load| load.busy);
            upstream.is_usable(now) && busy < limit(Some(upstream))
        })
    }

    /// Returns what a unit needs of its upstream.
    fn need(&self, unit: &Unit, now: Moment) -> Need {
        if unit.needs_primary() {
            return Need::Lead;
        }
        let staleness = Duration::from_millis(unit.staleness_ms.into());
        let Some(floor) = self.horizon.floor(staleness, now) else {
            return Need::Lead;
        };
        let own = unit
            .floor
            .filter(|_| unit.guarantee() == Guarantee::ReadYourWrites)
            .map(Position::from);
        Need::Position(own.map_or(floor, |own| own.max(floor)))
    }

    /// Chooses the upstream that serves a unit soonest, and how.
    fn place(
        &self,
        ticket: TicketId,
        loads: &BTreeMap<UpstreamName, Load>,
        now: Moment,
    ) -> Option<Way> {
        let job = self.jobs.get(&ticket).filter(|job| now < job.deadline)?;
        let need = self.need(&job.unit, now);
        let account = AccountName::from(job.unit.account.as_str());
        let mut best: Option<(Duration, Way)> = None;
        for (name, upstream) in &self.upstreams {
            if !self.is_eligible(name, upstream, job, need, now) {
                continue;
            }
            let load = loads.get(name).copied().unwrap_or_default();
            if load.busy >= limit(Some(upstream)) {
                continue;
            }
            let Some((way, toll)) = self.way_to(name, upstream, &account, job, load, now) else {
                continue;
            };
            let cost = self.wait_at(upstream, load) + toll + self.bias(name, need);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, way));
            }
        }
        best.map(|(_, way)| way)
    }

    fn is_eligible(
        &self,
        name: &UpstreamName,
        upstream: &Upstream,
        job: &Job,
        need: Need,
        now: Moment,
    ) -> bool {
        let leads = self.lead.upstream() == Some(name);
        if !upstream.is_usable(now) || !upstream.takes_work(leads, now) {
            return false;
        }
        match need {
            Need::Lead => leads,
            Need::Position(floor) => {
                let age = self.horizon.age_of(floor, now);
                !job.tried.contains(name) && (leads || upstream.probably_holds(floor, age, now))
            }
        }
    }

    /// Returns how a unit gets a connection at an upstream, and what that costs.
    fn way_to(
        &self,
        name: &UpstreamName,
        upstream: &Upstream,
        account: &AccountName,
        job: &Job,
        load: Load,
        now: Moment,
    ) -> Option<(Way, Duration)> {
        let here = || {
            self.connections
                .iter()
                .filter(|(_, c)| c.upstream == *name && c.stage == Stage::Idle)
        };
        let own = here()
            .filter(|(_, c)| c.account == *account)
            .map(|(id, c)| (c.distance(&job.settings), *id))
            .min();
        if let Some((distance, id)) = own {
            let turns = u32::try_from(distance).unwrap_or(u32::MAX);
            return Some((Way::Use(id), ROUND_TRIP.saturating_mul(turns)));
        }
        if !upstream.may_open(now) {
            return None;
        }
        let lingering = upstream.lingering(now);
        if load.connections + lingering < self.share {
            return Some((Way::Open(name.clone(), None), OPENING));
        }
        if lingering >= REPLACED {
            return None;
        }
        let (_, victim) = here().map(|(id, c)| (c.since, *id)).min()?;
        Some((Way::Open(name.clone(), Some(victim)), OPENING * 2))
    }

    /// Returns how long a statement waits at an upstream, from what is running there.
    fn wait_at(&self, upstream: &Upstream, load: Load) -> Duration {
        self.service * load.busy / upstream.registration.slots.max(1)
    }

    /// Returns what a read at the primary costs the writes that only it can serve.
    fn bias(&self, name: &UpstreamName, need: Need) -> Duration {
        match need {
            Need::Position(_) if self.lead.upstream() == Some(name) => self.service / 2,
            Need::Position(_) | Need::Lead => Duration::ZERO,
        }
    }

    fn start(
        &mut self,
        ticket: TicketId,
        way: Way,
        loads: &mut BTreeMap<UpstreamName, Load>,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        self.waiting.remove(&job.rank);
        job.attempts += 1;
        match way {
            Way::Use(id) => {
                job.stage = JobStage::Running(id);
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.ticket = Some(ticket);
                    loads.entry(connection.upstream.clone()).or_default().busy += 1;
                }
                self.begin_unit(ticket, id, now);
            }
            Way::Open(upstream, victim) => {
                let account = AccountName::from(job.unit.account.as_str());
                if let Some(victim) = victim {
                    self.close(victim, now);
                }
                let load = loads.entry(upstream.clone()).or_default();
                load.connections += 1 - u32::from(victim.is_some());
                load.busy += 1;
                if let Some(id) = self.open(&upstream, account, Some(ticket), now)
                    && let Some(job) = self.jobs.get_mut(&ticket)
                {
                    job.stage = JobStage::Running(id);
                }
            }
        }
    }

    /// Opens a connection; it runs the unit, if one is given, as soon as it is open.
    pub(super) fn open(
        &mut self,
        upstream: &UpstreamName,
        account: AccountName,
        ticket: Option<TicketId>,
        now: Moment,
    ) -> Option<ConnectionId> {
        let address = self.upstreams.get(upstream)?.registration.address;
        let id = ConnectionId(self.next_connection);
        self.next_connection += 1;
        let mut connection = Connection::new(upstream.clone(), account.clone(), now);
        connection.ticket = ticket;
        self.connections.insert(id, connection);
        self.out.push(Output::Open {
            connection: id,
            upstream: upstream.clone(),
            address,
            account,
        });
        Some(id)
    }

    /// Queues the queries of a unit on an open connection and sends the first.
    pub(super) fn begin_unit(&mut self, ticket: TicketId, id: ConnectionId, now: Moment) {
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        let need = self.need(&job.unit, now);
        let steps = unit_steps(&job.unit, need);
        let settings = job.settings.clone();
        let shape = job.statement.shape.clone();
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.align(&settings, shape.as_ref());
            connection.steps.extend(steps);
        }
        self.send_next(id, now);
    }

    /// Sends the next query of a connection; without one the connection is idle.
    pub(super) fn send_next(&mut self, id: ConnectionId, now: Moment) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.since = now;
        if let Some(step) = connection.steps.front() {
            connection.stage = Stage::Running;
            self.out.push(Output::Send(id, step.query.clone()));
        } else {
            connection.stage = Stage::Idle;
            connection.ticket = None;
        }
    }

    /// Rolls back what is open on a connection.
    pub(super) fn undo(&mut self, id: ConnectionId, now: Moment) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.ticket = None;
            connection
                .steps
                .push_back(Step::own(Purpose::Undo, Command::Rollback));
        }
        self.send_next(id, now);
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, id: ConnectionId, now: Moment) {
        if let Some(connection) = self.connections.remove(&id) {
            if let Some(upstream) = self.upstreams.get_mut(&connection.upstream) {
                upstream.closed(now);
            }
            self.out.push(Output::Close(id));
        }
    }

    /// Tells a session what became of its statement.
    pub(super) fn finish(&mut self, ticket: TicketId, outcome: Outcome) {
        self.out.push(Output::Finish(ticket, outcome));
    }

    /// Returns why a unit cannot be served in time, if it cannot.
    fn refusal_for(&self, unit: &Unit, rank: Rank, now: Moment) -> Option<Refusal> {
        if self.retired {
            return Some(Refusal::new(Cause::Draining, 0));
        }
        let needs_lead = self.need(unit, now) == Need::Lead;
        if needs_lead && !self.lead_usable(now) {
            return Some(Refusal::new(Cause::NoPrimary, millis(PROMOTION_PAUSE)));
        }
        let slots = self.slots(needs_lead, now);
        if slots == 0 {
            return Some(Refusal::new(Cause::NoUpstream, millis(PROMOTION_PAUSE)));
        }
        let ahead = self.ahead(needs_lead, rank, now);
        let wait = self.service * ahead / slots;
        let left = unit.left().saturating_sub(self.service);
        (wait > left).then(|| Refusal::new(Cause::Overloaded, millis(wait.max(SHORTEST_PAUSE))))
    }

    /// Tells whether the believed primary can be reached, as far as is known.
    pub(super) fn lead_usable(&self, now: Moment) -> bool {
        let lead = self.lead.upstream().and_then(|u| self.upstreams.get(u));
        lead.is_some_and(|u| u.is_usable(now) && u.takes_work(true, now))
    }

    fn slots(&self, needs_lead: bool, now: Moment) -> u32 {
        let usable = self.upstreams.iter().filter(|(name, upstream)| {
            let leads = self.lead.upstream() == Some(*name);
            upstream.is_usable(now) && upstream.takes_work(leads, now) && (leads || !needs_lead)
        });
        usable
            .map(|(_, upstream)| upstream.registration.slots)
            .sum()
    }

    fn ahead(&self, needs_lead: bool, rank: Rank, now: Moment) -> u32 {
        let before = self.waiting.range(..rank).filter(|(other, ticket)| {
            let job = self.jobs.get(ticket);
            let competes = job.is_some_and(|job| !needs_lead || job.unit.needs_primary());
            competes && !(other.priority == rank.priority && self.is_late(**other, now))
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }
}

/// Returns the statements that an upstream is given at a time.
fn limit(upstream: Option<&Upstream>) -> u32 {
    upstream.map_or(0, |u| u.registration.slots + AHEAD)
}

/// Returns the queries that run a unit.
fn unit_steps(unit: &Unit, need: Need) -> Vec<Step> {
    let after = match need {
        Need::Lead => None,
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
    let lead_proof = Step::own(Purpose::BeginAtLead, Command::Begin);
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
                ..Query::own(Command::Begin)
            };
            let purpose = Purpose::BeginAtLead;
            vec![Step { purpose, query }, run(None)]
        }
        (Some(_), _) => vec![lead_proof, run(None)],
        (None, None) if unit.statement.verb() == Verb::Read => {
            let end = Step::own(Purpose::Undo, Command::Rollback);
            vec![lead_proof, run(None), end]
        }
        (None, _) => vec![run(after)],
    }
}

/// Returns the outcome of a statement whose transaction keeps nothing.
pub(super) fn aborted(text: &str) -> Outcome {
    Outcome::Answered(Answer::failed(
        Code::Aborted,
        text,
        TransactionState::Failed,
    ))
}

/// Returns whole milliseconds.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
