//! Status queries to upstreams that have not answered for a while.

use std::collections::BTreeSet;
use std::time::Duration;

use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;
use crate::pool::expiry::MIN_READ_SILENCE;
use crate::pool::step::Command;
use crate::pool::step::Purpose;
use crate::pool::step::Step;

/// Time without an answer after which the home queries an upstream's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two status queries while no primary is known, or to an upstream that is failing.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

impl Pool {
    /// Queries the status of silent and failing upstreams, and of all while no primary is known.
    pub(super) fn poll_status(&mut self, now: BootInstant) {
        self.suspect_silent(now);
        let no_primary = self.primary.upstream().is_none();
        let primary = self.primary.upstream().cloned();
        let stale = self
            .position_history
            .age(now)
            .is_none_or(|age| age >= STATUS_INTERVAL);
        let names: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in names {
            let Some(upstream) = self.upstreams.get(&name) else {
                continue;
            };
            let since_asked = now.since(upstream.last_asked);
            let silent = now.since(upstream.last_answer) >= STATUS_INTERVAL;
            let due = if no_primary || upstream.failing_since.is_some() {
                since_asked >= SEARCH_INTERVAL
            } else {
                let unheard = silent || (stale && primary.as_ref() == Some(&name));
                unheard && since_asked >= STATUS_INTERVAL
            };
            if due {
                self.ask_status(&name, now);
            }
        }
    }

    /// Marks upstreams as failing whose answer is overdue by far more than a statement takes.
    fn suspect_silent(&mut self, now: BootInstant) {
        let overdue = self.connections.values().filter(|connection| {
            connection.stage == Stage::Running && now.since(connection.since) >= MIN_READ_SILENCE
        });
        let overdue: BTreeSet<UpstreamName> = overdue.map(|c| c.upstream.clone()).collect();
        for name in overdue {
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                upstream.suspect_if_silent(MIN_READ_SILENCE, now);
            }
        }
    }

    /// Queries an upstream's status, on a new connection if none is idle.
    pub(super) fn ask_status(&mut self, name: &UpstreamName, now: BootInstant) {
        self.command(name, Command::Status, now);
    }

    /// Sends an upstream a command that returns its status, on a new connection if none is idle.
    pub(super) fn command(&mut self, name: &UpstreamName, command: Command, now: BootInstant) {
        let is_primary = self.primary.upstream() == Some(name);
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if upstream.departure.is_evacuated() && !upstream.accepts_work(is_primary, now) {
            return;
        }
        upstream.last_asked = now;
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
            let step = Step::internal(Purpose::Status, command);
            connection.steps.push_back(step);
        }
        if idle.is_some() {
            self.send_next(id, now);
        }
    }

    /// Opens a connection for a status query, unless one is opening or the share is used up.
    fn open_for_status(&mut self, name: &UpstreamName, now: BootInstant) -> Option<ConnectionId> {
        let held = self.connections_to(name).len();
        let opening = self
            .connections
            .values()
            .any(|c| c.upstream == *name && c.stage == Stage::Opening);
        if opening || held >= self.share as usize {
            return None;
        }
        let account = self.status_account.clone()?;
        self.open(name, account, None, now)
    }
}
