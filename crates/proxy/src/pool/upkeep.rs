//! What a pool does by itself as time passes: timeouts, contact with upstreams, its share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::UpstreamName;

use crate::clock::Moment;
use crate::clock::millis;
use crate::pool::Pool;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;
use crate::pool::job::JobStage;
use crate::pool::offer::aborted;
use crate::pool::output::Note;
use crate::pool::output::Output;
use crate::pool::output::Retry;
use crate::pool::refusal::Cause;
use crate::pool::refusal::Outcome;
use crate::pool::refusal::Refusal;
use crate::pool::step::Command;
use crate::pool::step::Purpose;
use crate::pool::step::Step;
use crate::pool::ticket::TicketId;
use crate::pool::upstream::Registration;
use crate::pool::upstream::Role;
use crate::pool::upstream::Upstream;
use crate::work::Answer;
use crate::work::Code;
use crate::work::TransactionState;

/// Longest wait for a connection to open or for an answer to a query of the product's own.
const OWN_QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Silence after which the home asks an upstream for its status.
const CONTACT_EVERY: Duration = Duration::from_millis(400);
/// Time between two status queries while no upstream is known to lead, or one is in doubt.
const DOUBT_EVERY: Duration = Duration::from_millis(100);
/// Time for which units wait for a lost primary before they are refused.
const LEAD_WAIT: Duration = Duration::from_millis(300);
/// Shortest silence after which a read is tried at another upstream.
const SILENT_READ: Duration = Duration::from_millis(300);
/// Service times of silence after which a read is tried at another upstream.
const SILENT_SERVICE_TIMES: u32 = 8;
/// Service times after which a unit that was crowded out may come again: most of a full queue.
const RETRY_SERVICE_TIMES: u32 = 4;
/// Times that a read may be moved because of silence.
const SILENT_MOVES: u32 = 2;

impl Pool {
    /// Lets time pass.
    pub(super) fn tick(&mut self, now: Moment) {
        self.expire_connections(now);
        self.expire_waiting(now);
        self.shed_connections(now);
        if self.home {
            self.keep_contact(now);
        }
    }

    /// Takes over the list of registered upstreams.
    pub(super) fn register(&mut self, registrations: Vec<Registration>, now: Moment) {
        let mut listed: BTreeMap<UpstreamName, Registration> = registrations
            .into_iter()
            .map(|registration| (registration.name.clone(), registration))
            .collect();
        let primary = listed
            .values()
            .filter(|r| r.role == Role::Primary)
            .map(|r| r.name.clone())
            .next();
        let names: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in names {
            match listed.remove(&name) {
                Some(registration) => self.renew(&name, registration, now),
                None => self.miss(&name, now),
            }
        }
        for (name, registration) in listed {
            let mut upstream = Upstream::new(registration.clone(), now);
            upstream.register(registration, now);
            self.upstreams.insert(name, upstream);
        }
        self.lead.register(primary, now);
    }

    fn renew(&mut self, name: &UpstreamName, registration: Registration, now: Moment) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        let old = &upstream.registration;
        let replaced =
            old.incarnation != registration.incarnation || old.address != registration.address;
        if replaced {
            self.forget(name, now);
            let upstream = Upstream::new(registration.clone(), now);
            self.upstreams.insert(name.clone(), upstream);
        }
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.register(registration, now);
        }
    }

    fn miss(&mut self, name: &UpstreamName, now: Moment) {
        let gone = self.upstreams.get_mut(name).is_some_and(|u| u.is_gone(now));
        if gone {
            self.forget(name, now);
        }
    }

    /// Drops an upstream and its connections.
    fn forget(&mut self, name: &UpstreamName, now: Moment) {
        let here = self.connections_to(name);
        for id in here {
            self.break_off(id, Retry::ConnectionLost, now);
        }
        self.upstreams.remove(name);
        self.lead.forget(name, now);
    }

    fn connections_to(&self, name: &UpstreamName) -> Vec<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, c)| c.upstream == *name)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Takes over the number of connections that this vm may hold.
    pub(super) fn take_share(
        &mut self,
        share: u32,
        home: bool,
        status_account: Option<AccountName>,
    ) {
        self.share = share;
        self.home = home;
        self.status_account = status_account;
    }

    /// Closes idle connections beyond the share.
    fn shed_connections(&mut self, now: Moment) {
        let names: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        let allowed = if self.retired { 0 } else { self.share as usize };
        for name in names {
            let here = self.connections_to(&name);
            let surplus = here.len().saturating_sub(allowed);
            let idle = here.into_iter().filter(|id| {
                let connection = self.connections.get(id);
                connection.is_some_and(|c| c.stage == Stage::Idle)
            });
            let surplus: Vec<ConnectionId> = idle.take(surplus).collect();
            for id in surplus {
                self.close(id, now);
            }
        }
    }

    /// Refuses units that can no longer be served in time.
    fn expire_waiting(&mut self, now: Moment) {
        let lead_lost = !self.lead_usable(now)
            && self
                .lead
                .missing_since
                .is_none_or(|since| now.since(since) >= LEAD_WAIT);
        let on_time = self
            .waiting
            .keys()
            .filter(|rank| !self.is_late(**rank, now))
            .map(|rank| rank.priority)
            .min();
        let tickets: Vec<TicketId> = self.waiting.values().copied().collect();
        for ticket in tickets {
            let Some(job) = self.jobs.get(&ticket) else {
                continue;
            };
            let expired = now.after(self.service.mean()) >= job.deadline;
            let crowded_out = self.is_late(job.rank, now)
                && on_time.is_some_and(|priority| priority <= job.rank.priority)
                && now.since(job.arrived) >= job.unit.objective();
            let cause = if expired {
                Cause::Expired
            } else if crowded_out {
                Cause::Overloaded
            } else if lead_lost && job.unit.needs_primary() {
                Cause::NoPrimary
            } else {
                continue;
            };
            self.waiting.remove(&job.rank);
            let pause = millis(self.service.mean() * RETRY_SERVICE_TIMES);
            let refusal = Refusal::new(cause, pause);
            if let Some(job) = self.jobs.remove(&ticket) {
                self.refuse(ticket, &job.unit, refusal, now);
            }
        }
    }

    /// Ends what has been silent for too long.
    fn expire_connections(&mut self, now: Moment) {
        let busy: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, c)| c.holds_slot())
            .map(|(id, _)| *id)
            .collect();
        for id in busy {
            self.expire_connection(id, now);
        }
        let overdue: Vec<TicketId> = self.held.iter().copied().collect();
        for ticket in overdue {
            self.expire_held(ticket, now);
        }
    }

    fn expire_connection(&mut self, id: ConnectionId, now: Moment) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let silence = now.since(connection.since);
        let runs = connection.stage == Stage::Running
            && connection
                .steps
                .front()
                .is_some_and(|step| step.purpose == Purpose::Run);
        let job = connection.ticket.and_then(|ticket| self.jobs.get(&ticket));
        let Some(job) = job.filter(|_| runs) else {
            if silence >= OWN_QUERY_TIMEOUT {
                let name = connection.upstream.clone();
                self.fail_upstream(&name, now);
                self.break_off(id, Retry::Silent, now);
            }
            return;
        };
        let patience = SILENT_READ.max(self.service.mean() * SILENT_SERVICE_TIMES);
        let movable = job.unit.is_repeatable()
            && job.attempts <= SILENT_MOVES
            && now.after(self.service.mean() * 2) < job.deadline;
        if now >= job.deadline {
            self.time_out(id, now);
        } else if movable && silence >= patience {
            self.break_off(id, Retry::Silent, now);
        }
    }

    /// Answers a statement whose time has passed while it ran.
    fn time_out(&mut self, id: ConnectionId, now: Moment) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let name = connection.upstream.clone();
        let ticket = connection.ticket;
        self.close(id, now);
        let Some(job) = ticket.and_then(|ticket| self.jobs.remove(&ticket)) else {
            return;
        };
        let Some(ticket) = ticket else {
            return;
        };
        self.out.push(Output::Note(Note::Interrupted {
            ticket,
            request: job.statement.id.clone(),
            upstream: name,
            reason: Retry::Silent,
            in_doubt: !job.leaves_nothing(),
        }));
        let state = if job.is_transaction() {
            TransactionState::Failed
        } else {
            TransactionState::Idle
        };
        let answer = if job.is_transaction() && job.leaves_nothing() {
            Answer::failed(Code::Aborted, "the statement timed out", state)
        } else {
            Answer::failed(
                Code::TimedOut,
                "the statement timed out",
                TransactionState::Idle,
            )
        };
        if !job.released {
            self.finish(ticket, Outcome::Answered(answer));
        }
    }

    /// Answers a statement of an open transaction that got no slot in time.
    fn expire_held(&mut self, ticket: TicketId, now: Moment) {
        let Some(job) = self.jobs.get(&ticket) else {
            return;
        };
        let JobStage::Running(id) = job.stage else {
            return;
        };
        if now < job.deadline {
            return;
        }
        self.held.retain(|held| *held != ticket);
        self.jobs.remove(&ticket);
        self.undo(id, now);
        let text = "the statement got no slot in time";
        self.finish(ticket, aborted(text));
    }

    /// Closes a connection and sends its unit elsewhere, where that is safe.
    fn break_off(&mut self, id: ConnectionId, reason: Retry, now: Moment) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let name = connection.upstream.clone();
        let ticket = connection.ticket;
        let in_hand = connection.steps.front().map(|step| step.purpose);
        self.close(id, now);
        if let Some(ticket) = ticket {
            self.interrupted(ticket, &name, in_hand, reason, now);
        }
    }

    /// Doubts upstreams that owe an answer for longer than a statement takes.
    fn doubt_silent(&mut self, now: Moment) {
        let owing = self.connections.values().filter(|connection| {
            connection.stage == Stage::Running && now.since(connection.since) >= SILENT_READ
        });
        let owing: BTreeSet<UpstreamName> = owing.map(|c| c.upstream.clone()).collect();
        for name in owing {
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                upstream.doubt_silent(SILENT_READ, now);
            }
        }
    }

    /// Asks upstreams that have been silent for their status.
    fn keep_contact(&mut self, now: Moment) {
        self.doubt_silent(now);
        let searching = self.lead.upstream().is_none();
        let lead = self.lead.upstream().cloned();
        let stale = self.horizon.age(now).is_none_or(|age| age >= CONTACT_EVERY);
        let names: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in names {
            let Some(upstream) = self.upstreams.get(&name) else {
                continue;
            };
            let since_asked = now.since(upstream.asked);
            let silent = now.since(upstream.contact) >= CONTACT_EVERY;
            let wanted = if searching || upstream.failing_since.is_some() {
                since_asked >= DOUBT_EVERY
            } else {
                let doubtful = silent || (stale && lead.as_ref() == Some(&name));
                doubtful && since_asked >= CONTACT_EVERY
            };
            if wanted {
                self.ask_status(&name, now);
            }
        }
    }

    /// Asks an upstream for its status, on a connection of its own if none is idle.
    pub(super) fn ask_status(&mut self, name: &UpstreamName, now: Moment) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        upstream.asked = now;
        let may_open = upstream.may_open(now);
        let idle = self
            .connections
            .iter()
            .find(|(_, c)| c.upstream == *name && c.stage == Stage::Idle)
            .map(|(id, _)| *id);
        let id = match idle {
            Some(id) => Some(id),
            None if may_open => self.open_for_status(name, now),
            None => None,
        };
        let Some(id) = id else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            let step = Step::own(Purpose::Status, Command::Status);
            connection.steps.push_back(step);
        }
        if idle.is_some() {
            self.send_next(id, now);
        }
    }

    fn open_for_status(&mut self, name: &UpstreamName, now: Moment) -> Option<ConnectionId> {
        let here = self.connections_to(name).len();
        let opening = self
            .connections
            .values()
            .any(|c| c.upstream == *name && c.stage == Stage::Opening);
        if opening || here >= self.share as usize {
            return None;
        }
        let account = self.status_account.clone()?;
        self.open(name, account, None, now)
    }
}
