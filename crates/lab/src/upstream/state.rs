//! Role, term and log of an upstream, and the rules that guard them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use serde::Serialize;

use super::fault::Fault;
use super::log::Change;
use super::log::Entry;
use super::log::Log;

/// Part that an upstream plays in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows a primary.
    Replica,
    /// Takes no work until it is promoted or follows.
    Fenced,
}

impl Role {
    /// Returns the role's name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
            Self::Fenced => "fenced",
        }
    }
}

/// What a replica has acknowledged.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Ack {
    /// Index up to which it holds the log.
    pub received: u64,
    /// Latest probe of the primary that it has seen.
    pub probe: u64,
}

/// Contact of a replica with its primary.
#[derive(Debug, Clone, Copy)]
struct Contact {
    began: Instant,
    last: u64,
}

/// State of one upstream.
#[derive(Debug)]
pub struct State {
    /// Part that the upstream plays.
    pub role: Role,
    /// Term in force: no lower one is served.
    pub term: Term,
    /// Term of the primary whose log this one is a prefix of.
    pub lineage: Term,
    /// Log of committed write transactions.
    pub log: Log,
    /// Index up to which the log has been executed.
    pub applied: u64,
    /// Address of the primary that is followed.
    pub leader: Option<String>,
    /// What each replica has acknowledged under the term.
    pub acks: BTreeMap<String, Ack>,
    /// Number of the latest probe sent to replicas.
    pub probe: u64,
    /// Time between receiving an entry and executing it on a replica.
    pub lag: Duration,
    arrivals: VecDeque<Instant>,
    contacts: VecDeque<Contact>,
    fresh: Option<Instant>,
}

impl State {
    /// Creates the state of an upstream that belongs to no term yet.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            role: Role::Fenced,
            term: Term(0),
            lineage: Term(0),
            log: Log::default(),
            applied: 0,
            leader: None,
            acks: BTreeMap::new(),
            probe: 0,
            lag,
            arrivals: VecDeque::new(),
            contacts: VecDeque::new(),
            fresh: None,
        }
    }

    /// Returns the position up to which the log is held.
    #[must_use]
    pub fn received(&self) -> Position {
        Position {
            term: self.lineage,
            index: self.log.last(),
        }
    }

    /// Returns the position up to which the log is executed.
    #[must_use]
    pub fn applied(&self) -> Position {
        Position {
            term: self.lineage,
            index: self.applied,
        }
    }

    /// Returns the age of the executed data; `None` if there was no contact yet.
    ///
    /// A contact counts once everything that the primary held then has been executed.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        match self.role {
            Role::Primary => Some(Duration::ZERO),
            Role::Replica | Role::Fenced => self.fresh.map(|at| at.elapsed()),
        }
    }

    /// Returns the age in milliseconds as it is reported, -1 if there is none.
    #[must_use]
    pub fn age_ms(&self) -> i64 {
        self.age()
            .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
    }

    /// Admits a statement of a connection that was opened under `term`.
    ///
    /// # Errors
    ///
    /// Fails if the term is not in force, or the log is not yet known to be the primary's.
    pub fn admit(&self, term: Option<Term>) -> Result<(), Fault> {
        let verified = self.lineage == self.term;
        if term == Some(self.term) && self.role != Role::Fenced && verified {
            Ok(())
        } else {
            Err(Fault::stale(term, self.term))
        }
    }

    /// Admits the commit of a write that began under `term`.
    ///
    /// # Errors
    ///
    /// Fails if the term is not in force or the upstream is no primary.
    pub fn admit_write(&self, term: Option<Term>) -> Result<(), Fault> {
        self.admit(term)?;
        match self.role {
            Role::Primary => Ok(()),
            Role::Replica | Role::Fenced => Err(Fault::read_only()),
        }
    }

    /// Refuses work and replication of terms below `term` from now on.
    ///
    /// # Errors
    ///
    /// Fails if a higher term is in force.
    pub fn fence(&mut self, term: Term) -> Result<Position, Fault> {
        if term < self.term {
            return Err(Fault::stale(Some(term), self.term));
        }
        if term > self.term {
            self.term = term;
            self.role = Role::Fenced;
            self.leader = None;
            self.acks.clear();
        }
        Ok(self.received())
    }

    /// Tells whether a promotion to `term` is due (`true`) or already done (`false`).
    ///
    /// # Errors
    ///
    /// Fails unless the upstream is fenced at exactly this term.
    pub fn may_promote(&self, term: Term) -> Result<bool, Fault> {
        match self.role {
            Role::Primary if term == self.term => Ok(false),
            Role::Fenced if term == self.term => Ok(true),
            _ => Err(Fault::stale(Some(term), self.term)),
        }
    }

    /// Makes the upstream primary of its term.
    pub fn promote(&mut self) {
        self.role = Role::Primary;
        self.lineage = self.term;
        self.leader = None;
        self.acks.clear();
        self.arrivals.clear();
        self.contacts.clear();
    }

    /// Makes the upstream a replica; `true` if it followed someone else before.
    ///
    /// # Errors
    ///
    /// Fails if a higher term is in force, or the upstream is the primary of this one.
    pub fn follow(&mut self, leader: &str, term: Term) -> Result<bool, Fault> {
        if term < self.term || (term == self.term && self.role == Role::Primary) {
            return Err(Fault::stale(Some(term), self.term));
        }
        if self.follows(leader, term) {
            return Ok(false);
        }
        self.term = term;
        self.role = Role::Replica;
        self.leader = Some(leader.to_owned());
        self.acks.clear();
        Ok(true)
    }

    /// Tells whether the upstream is a replica of this primary in this term.
    #[must_use]
    pub fn follows(&self, leader: &str, term: Term) -> bool {
        self.role == Role::Replica && self.term == term && self.leader.as_deref() == Some(leader)
    }

    /// Adds a transaction that the primary has committed.
    pub fn commit(&mut self, changes: Vec<Change>) {
        let index = self.log.last() + 1;
        self.log.push(Arc::new(Entry {
            term: self.term,
            index,
            changes,
        }));
        self.applied = index;
    }

    /// Drops every entry after `common`, the last one that the followed primary has as well.
    pub fn adopt(&mut self, common: u64) {
        self.log.truncate(common);
        self.lineage = self.term;
        self.rewind(common);
        self.contacts.clear();
    }

    /// Notes that at most the entries up to `index` are executed.
    pub fn rewind(&mut self, index: u64) {
        self.applied = self.applied.min(index);
        let waiting = usize::try_from(self.log.last() - self.applied).unwrap_or(usize::MAX);
        self.arrivals.truncate(waiting);
    }

    /// Adds entries that a replica received in a contact that began at `began`.
    pub fn receive(&mut self, entries: Vec<Arc<Entry>>, began: Instant, last: u64) {
        let now = Instant::now();
        for entry in entries {
            if entry.index == self.log.last() + 1 {
                self.log.push(entry);
                self.arrivals.push_back(now);
            }
        }
        self.contacts.push_back(Contact { began, last });
        self.refresh();
    }

    /// Returns the time at which the next entry is to be executed.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        if self.applied == self.log.last() {
            return None;
        }
        let arrived = self.arrivals.front().copied();
        Some(arrived.map_or_else(Instant::now, |at| at + self.lag))
    }

    /// Returns the entries that are to be executed by `now`.
    #[must_use]
    pub fn due(&self, now: Instant) -> Vec<Arc<Entry>> {
        let waiting = self.log.after(self.applied, usize::MAX);
        let known = self.arrivals.iter().map(|at| *at + self.lag <= now);
        let due = known.chain(std::iter::repeat(true));
        let due = waiting.into_iter().zip(due).take_while(|(_, due)| *due);
        due.map(|(entry, _)| entry).collect()
    }

    /// Notes that the entries up to `index` have been executed.
    pub fn mark_applied(&mut self, index: u64) {
        let done = usize::try_from(index.saturating_sub(self.applied)).unwrap_or(usize::MAX);
        self.arrivals.drain(..done.min(self.arrivals.len()));
        self.applied = index;
        self.refresh();
    }

    fn refresh(&mut self) {
        while let Some(contact) = self.contacts.front() {
            if contact.last > self.applied {
                return;
            }
            self.fresh = Some(contact.began);
            self.contacts.pop_front();
        }
    }

    /// Notes a replica's acknowledgement.
    pub fn acknowledge(&mut self, replica: &str, ack: Ack) {
        self.acks.insert(replica.to_owned(), ack);
    }

    /// Tells whether a replica has received the log up to `index`.
    #[must_use]
    pub fn has_copy(&self, index: u64) -> bool {
        self.acks.values().any(|ack| ack.received >= index)
    }

    /// Tells whether a replica has answered the probe.
    #[must_use]
    pub fn has_echo(&self, probe: u64) -> bool {
        self.acks.values().any(|ack| ack.probe >= probe)
    }
}
