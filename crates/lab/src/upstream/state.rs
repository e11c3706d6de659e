//! Replication state of an upstream: its role, term and log, and the rules for changing them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use serde::Serialize;

use super::log::Log;
use super::log::LogEntry;
use super::log::Statement;
use super::sql_error::SqlError;

/// Role of an upstream in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Executes reads and writes, and serves its log to replicas.
    Primary,
    /// Pulls the log of a primary and executes reads only.
    Replica,
    /// Executes no statements until it is promoted or follows a primary.
    Fenced,
}

impl Role {
    /// Returns the name of the role.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
            Self::Fenced => "fenced",
        }
    }
}

/// Latest acknowledgement of a replica.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Ack {
    /// Index of the last entry in the replica's log.
    pub received: u64,
    /// Number of the latest probe that the replica has seen.
    pub probe: u64,
}

/// Completed pull of a replica from its primary.
#[derive(Debug, Clone, Copy)]
struct CompletedPull {
    /// Time at which the request was sent.
    sent_at: Instant,
    /// Index of the primary's last entry in its reply.
    last: u64,
}

/// Replication state of one upstream.
#[derive(Debug)]
pub struct State {
    /// Current role.
    pub role: Role,
    /// Term in force; lower terms are refused.
    pub term: Term,
    /// Term of the primary whose log is known to begin with this log.
    pub log_term: Term,
    /// Log of committed write transactions.
    pub log: Log,
    /// Index of the last executed entry.
    pub applied: u64,
    /// Address of the followed primary; `None` unless the role is replica.
    pub primary: Option<String>,
    /// Latest acknowledgement of each replica in this term, by name.
    pub acks: BTreeMap<String, Ack>,
    /// Number of the latest probe sent to replicas, whose echo shows that they still follow.
    pub probe: u64,
    /// Delay on a replica between receiving an entry and executing it.
    pub lag: Duration,
    /// Arrival times of received entries that are not yet executed, oldest first.
    arrivals: VecDeque<Instant>,
    /// Pulls whose entries are not yet all executed, oldest first.
    pulls: VecDeque<CompletedPull>,
    /// Latest time at which the executed data was known to be all that the primary had.
    current_at: Option<Instant>,
}

impl State {
    /// Creates the state of a fenced upstream at term 0 with an empty log.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            role: Role::Fenced,
            term: Term(0),
            log_term: Term(0),
            log: Log::default(),
            applied: 0,
            primary: None,
            acks: BTreeMap::new(),
            probe: 0,
            lag,
            arrivals: VecDeque::new(),
            pulls: VecDeque::new(),
            current_at: None,
        }
    }

    /// Returns the position of the last received entry.
    #[must_use]
    pub fn received(&self) -> Position {
        Position {
            term: self.log_term,
            index: self.log.last(),
        }
    }

    /// Returns the position of the last executed entry.
    #[must_use]
    pub fn applied(&self) -> Position {
        Position {
            term: self.log_term,
            index: self.applied,
        }
    }

    /// Returns the age of the executed data; `None` before the first completed pull.
    ///
    /// A pull counts once every entry that the primary then held has been executed. The age is
    /// measured from the start of that pull, so it is an upper bound.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        match self.role {
            Role::Primary => Some(Duration::ZERO),
            Role::Replica | Role::Fenced => self.current_at.map(|at| at.elapsed()),
        }
    }

    /// Returns the age of the executed data in milliseconds, -1 if it is unknown.
    #[must_use]
    pub fn age_ms(&self) -> i64 {
        self.age()
            .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
    }

    /// Checks that a connection of `term` may execute a statement.
    ///
    /// # Errors
    ///
    /// Fails if the term is not in force, the upstream is fenced, or its log has not yet been
    /// compared with the primary's.
    pub fn check_term(&self, term: Option<Term>) -> Result<(), SqlError> {
        let compared = self.log_term == self.term;
        if term == Some(self.term) && self.role != Role::Fenced && compared {
            Ok(())
        } else {
            Err(SqlError::stale_term(term, self.term))
        }
    }

    /// Checks that a connection of `term` may write.
    ///
    /// # Errors
    ///
    /// Fails as [`check_term`](Self::check_term) does, or if the upstream is not the primary.
    pub fn check_write(&self, term: Option<Term>) -> Result<(), SqlError> {
        self.check_term(term)?;
        match self.role {
            Role::Primary => Ok(()),
            Role::Replica | Role::Fenced => Err(SqlError::read_only()),
        }
    }

    /// Refuses statements and replication of terms below `term` from now on.
    ///
    /// Returns the position of the last received entry.
    ///
    /// # Errors
    ///
    /// Fails if a higher term is in force.
    pub fn fence(&mut self, term: Term) -> Result<Position, SqlError> {
        if term < self.term {
            return Err(SqlError::stale_term(Some(term), self.term));
        }
        if term > self.term {
            self.term = term;
            self.role = Role::Fenced;
            self.primary = None;
            self.acks.clear();
        }
        Ok(self.received())
    }

    /// Returns whether a promotion to `term` is still to be done; `false` if it was done before.
    ///
    /// # Errors
    ///
    /// Fails unless the upstream is fenced at exactly this term or already its primary.
    pub fn needs_promotion(&self, term: Term) -> Result<bool, SqlError> {
        match self.role {
            Role::Primary if term == self.term => Ok(false),
            Role::Fenced if term == self.term => Ok(true),
            _ => Err(SqlError::stale_term(Some(term), self.term)),
        }
    }

    /// Makes the upstream the primary of the term in force.
    pub fn promote(&mut self) {
        self.role = Role::Primary;
        self.log_term = self.term;
        self.primary = None;
        self.acks.clear();
        self.arrivals.clear();
        self.pulls.clear();
    }

    /// Makes the upstream a replica of `primary`; `false` if it already was one in this term.
    ///
    /// # Errors
    ///
    /// Fails if a higher term is in force, or the upstream is itself the primary of this term.
    pub fn follow(&mut self, primary: &str, term: Term) -> Result<bool, SqlError> {
        if term < self.term || (term == self.term && self.role == Role::Primary) {
            return Err(SqlError::stale_term(Some(term), self.term));
        }
        if self.follows(primary, term) {
            return Ok(false);
        }
        self.term = term;
        self.role = Role::Replica;
        self.primary = Some(primary.to_owned());
        self.acks.clear();
        Ok(true)
    }

    /// Returns whether the upstream is a replica of `primary` in this term.
    #[must_use]
    pub fn follows(&self, primary: &str, term: Term) -> bool {
        self.role == Role::Replica && self.term == term && self.primary.as_deref() == Some(primary)
    }

    /// Appends a write transaction that this primary has committed.
    pub fn append(&mut self, statements: Vec<Statement>) {
        let index = self.log.last() + 1;
        self.log.push(Arc::new(LogEntry {
            term: self.term,
            index,
            statements,
        }));
        self.applied = index;
    }

    /// Removes every entry after `common`, the last one that the followed primary has as well.
    pub fn truncate_log(&mut self, common: u64) {
        self.log.truncate(common);
        self.log_term = self.term;
        self.lower_applied(common);
        self.pulls.clear();
    }

    /// Lowers the applied index to `index`, after a rebuild of the database up to there.
    pub fn lower_applied(&mut self, index: u64) {
        self.applied = self.applied.min(index);
        let unexecuted = usize::try_from(self.log.last() - self.applied).unwrap_or(usize::MAX);
        self.arrivals.truncate(unexecuted);
    }

    /// Appends the entries of a pull that was sent at `sent_at`; `last` is the primary's last index.
    pub fn receive(&mut self, entries: Vec<Arc<LogEntry>>, sent_at: Instant, last: u64) {
        let now = Instant::now();
        for entry in entries {
            if entry.index == self.log.last() + 1 {
                self.log.push(entry);
                self.arrivals.push_back(now);
            }
        }
        self.pulls.push_back(CompletedPull { sent_at, last });
        self.update_current_at();
    }

    /// Returns when the next entry is to be executed; `None` if all entries are executed.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        if self.applied == self.log.last() {
            return None;
        }
        let arrived = self.arrivals.front().copied();
        Some(arrived.map_or_else(Instant::now, |at| at + self.lag))
    }

    /// Returns the entries that are due at `now`: their lag has passed or no arrival is recorded.
    #[must_use]
    pub fn due_entries(&self, now: Instant) -> Vec<Arc<LogEntry>> {
        let unexecuted = self.log.after(self.applied, usize::MAX);
        let arrived = self.arrivals.iter().map(|at| *at + self.lag <= now);
        let due = arrived.chain(std::iter::repeat(true));
        let due = unexecuted.into_iter().zip(due).take_while(|(_, due)| *due);
        due.map(|(entry, _)| entry).collect()
    }

    /// Records that the entries up to `index` have been executed.
    pub fn mark_applied(&mut self, index: u64) {
        let executed = usize::try_from(index.saturating_sub(self.applied)).unwrap_or(usize::MAX);
        self.arrivals.drain(..executed.min(self.arrivals.len()));
        self.applied = index;
        self.update_current_at();
    }

    fn update_current_at(&mut self) {
        while let Some(pull) = self.pulls.front() {
            if pull.last > self.applied {
                return;
            }
            self.current_at = Some(pull.sent_at);
            self.pulls.pop_front();
        }
    }

    /// Records an acknowledgement of a replica.
    pub fn acknowledge(&mut self, replica: &str, ack: Ack) {
        self.acks.insert(replica.to_owned(), ack);
    }

    /// Returns whether at least one replica has received the log up to `index`.
    #[must_use]
    pub fn is_replicated(&self, index: u64) -> bool {
        self.acks.values().any(|ack| ack.received >= index)
    }

    /// Returns whether at least one replica has answered the probe or a later one.
    #[must_use]
    pub fn is_probe_acked(&self, probe: u64) -> bool {
        self.acks.values().any(|ack| ack.probe >= probe)
    }
}
