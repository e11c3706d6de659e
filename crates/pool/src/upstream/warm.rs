//! Idle connections kept open ahead of need, and surplus ones closed.

use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::position::Term;
use tokio::time::Instant;

use super::connection::Connection;

/// Idle connections that are kept however long they are idle.
pub(super) const WARM_CONNECTIONS: usize = 1;
/// Time after which a surplus idle connection is closed.
const SURPLUS_IDLE: Duration = Duration::from_secs(30);

/// Idle connections, the one used last at the back.
#[derive(Debug, Default)]
pub(super) struct Idle {
    connections: VecDeque<(Connection, Instant)>,
}

impl Idle {
    /// Takes the connection of `term` that was used last.
    pub(super) fn take(&mut self, term: Term) -> Option<Connection> {
        while let Some((mut con, _)) = self.connections.pop_back() {
            if con.term == Some(term) && con.is_quiet() {
                return Some(con);
            }
        }
        None
    }

    /// Adds a connection that was used just now.
    pub(super) fn put(&mut self, con: Connection) {
        self.connections.push_back((con, Instant::now()));
    }

    /// Closes connections of other terms, broken ones and surplus ones.
    pub(super) fn prune(&mut self, term: Term, now: Instant) {
        self.connections
            .retain_mut(|(con, _)| con.term == Some(term) && con.is_quiet());
        while self.connections.len() > WARM_CONNECTIONS
            && let Some((_, since)) = self.connections.front()
            && now.saturating_duration_since(*since) > SURPLUS_IDLE
        {
            self.connections.pop_front();
        }
    }

    /// Closes every connection.
    pub(super) fn clear(&mut self) {
        self.connections.clear();
    }

    /// Returns the number of idle connections.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }
}
