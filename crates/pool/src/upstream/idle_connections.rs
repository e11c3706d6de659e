//! Idle connections of an upstream.

use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::position::Term;
use tokio::time::Instant;

use super::connection::Connection;

/// Idle connections that are kept regardless of the idle timeout.
pub(super) const MIN_IDLE_CONNECTIONS: usize = 1;
/// Time after which an idle connection above the minimum is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle connections, the most recently used at the back.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    connections: VecDeque<(Connection, Instant)>,
}

impl IdleConnections {
    /// Takes the most recently used connection of `term`; closes unusable ones on the way.
    pub(super) fn take(&mut self, term: Term) -> Option<Connection> {
        while let Some((mut con, _)) = self.connections.pop_back() {
            if con.term == Some(term) && con.is_reusable() {
                return Some(con);
            }
        }
        None
    }

    /// Adds a connection, which counts as idle from now on.
    pub(super) fn put(&mut self, con: Connection) {
        self.connections.push_back((con, Instant::now()));
    }

    /// Closes connections that are of another term, not reusable or past the idle timeout.
    pub(super) fn prune(&mut self, term: Term, now: Instant) {
        self.connections
            .retain_mut(|(con, _)| con.term == Some(term) && con.is_reusable());
        while self.connections.len() > MIN_IDLE_CONNECTIONS
            && let Some((_, since)) = self.connections.front()
            && now.saturating_duration_since(*since) > IDLE_TIMEOUT
        {
            self.connections.pop_front();
        }
    }

    /// Closes all idle connections.
    pub(super) fn clear(&mut self) {
        self.connections.clear();
    }

    /// Returns the number of idle connections.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }
}
