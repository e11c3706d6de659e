//! Unit of work that is queued or running in a pool, and what its failures lead to.
//!
//! Only a unit whose first statement has no answer yet is ever run from its start. Its stage is
//! private to this module, and no method leads from an open transaction back to the queue.

use std::time::Duration;

use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::pool::connection::ConnectionId;
use crate::work::Setting;
use crate::work::Statement;
use crate::work::Verb;
use crate::work::WorkUnit;

/// Position in the queue: priority, due time, order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) priority: u32,
    /// Time at which an upstream must answer so that the caller has the answer within its objective.
    pub(super) due: BootInstant,
    pub(super) arrival: u64,
}

/// Stage of a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnitStage {
    /// It is queued; nothing of it was answered.
    Waiting,
    /// Its first statement, or what precedes it, runs on a connection.
    Starting(ConnectionId),
    /// A later statement of its transaction waits for a slot, or runs, on the connection.
    Continuing(ConnectionId),
    /// Its transaction is open on a connection and waits for the session's next statement.
    Pinned(ConnectionId),
    /// The connection of its transaction was lost.
    ConnectionLost,
}

/// Whether a statement may have run though it has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Execution {
    /// It did not run: it was not sent, or its upstream refused it.
    NotRun,
    /// It was sent and may have run.
    MayHaveRun,
}

/// What becomes of a unit whose attempt at an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Consequence {
    /// It is run from its start once more; it is queued under this rank.
    Repeat(Rank),
    /// Its transaction is gone with its connection, and none of its writes are kept.
    Abort,
    /// It may have had a lasting effect.
    InDoubt,
    /// No statement of it runs; its session is told when it goes on.
    TellLater,
}

/// A unit and its state in the pool.
#[derive(Debug)]
pub(super) struct PendingUnit {
    pub(super) unit: WorkUnit,
    pub(super) rank: Rank,
    stage: UnitStage,
    /// Deadline of the current statement.
    pub(super) deadline: BootInstant,
    /// When the current statement arrived.
    pub(super) arrived: BootInstant,
    /// Time that its statement spends on the network, at the nearest upstream that can run it.
    pub(super) travel: Duration,
    /// Upstreams at which it failed; emptied once it has failed at all of them.
    pub(super) tried: Vec<UpstreamName>,
    /// Number of times that it was started at an upstream.
    pub(super) attempts: u32,
    /// Whether a write of the unit has succeeded.
    pub(super) wrote: bool,
    /// Current statement.
    pub(super) statement: Statement,
    /// Settings that the current statement runs with.
    pub(super) settings: Vec<Setting>,
    /// Whether the session has abandoned the unit.
    pub(super) released: bool,
}

impl PendingUnit {
    /// Creates a unit that is queued.
    pub(super) fn new(unit: WorkUnit, rank: Rank, travel: Duration, now: BootInstant) -> Self {
        Self {
            rank,
            stage: UnitStage::Waiting,
            deadline: now.after(unit.left()),
            arrived: now,
            travel,
            tried: Vec::new(),
            attempts: 0,
            wrote: false,
            statement: unit.statement.clone(),
            settings: unit.settings.clone(),
            released: false,
            unit,
        }
    }

    /// Returns its stage.
    pub(super) fn stage(&self) -> UnitStage {
        self.stage
    }

    /// Tells whether its first statement has no answer yet.
    pub(super) fn is_unanswered(&self) -> bool {
        matches!(self.stage, UnitStage::Waiting | UnitStage::Starting(_))
    }

    /// Returns what is to run on the connection that it was given, if that is its first statement.
    pub(super) fn to_start(&self) -> Option<&WorkUnit> {
        matches!(self.stage, UnitStage::Starting(_)).then_some(&self.unit)
    }

    /// Records that a queued unit starts on a connection.
    pub(super) fn start(&mut self, id: ConnectionId) {
        if self.stage == UnitStage::Waiting {
            self.stage = UnitStage::Starting(id);
        }
    }

    /// Records that its transaction is open on a connection and waits for the next statement.
    pub(super) fn pin(&mut self, id: ConnectionId) {
        self.stage = UnitStage::Pinned(id);
    }

    /// Takes the next statement of its open transaction; returns whether there is one.
    pub(super) fn resume(
        &mut self,
        statement: Statement,
        settings: Vec<Setting>,
        deadline: BootInstant,
        now: BootInstant,
    ) -> bool {
        let UnitStage::Pinned(id) = self.stage else {
            return false;
        };
        self.statement = statement;
        self.settings = settings;
        self.deadline = deadline;
        self.arrived = now;
        self.stage = UnitStage::Continuing(id);
        true
    }

    /// Decides what follows from a failed attempt at an upstream, and changes the stage accordingly.
    ///
    /// A transaction that has an answer is not begun again elsewhere: its session would be given the
    /// answer to the first statement for a later one, and what it has done so far would be missing.
    pub(super) fn fail_attempt(&mut self, execution: Execution) -> Consequence {
        let no_effect = execution == Execution::NotRun || self.leaves_no_effect();
        match self.stage {
            UnitStage::Waiting | UnitStage::Starting(_)
                if execution == Execution::NotRun || self.unit.is_idempotent() =>
            {
                self.stage = UnitStage::Waiting;
                Consequence::Repeat(self.rank)
            }
            UnitStage::Pinned(_) | UnitStage::ConnectionLost => {
                self.stage = UnitStage::ConnectionLost;
                Consequence::TellLater
            }
            _ if no_effect => Consequence::Abort,
            UnitStage::Waiting | UnitStage::Starting(_) | UnitStage::Continuing(_) => {
                Consequence::InDoubt
            }
        }
    }

    /// Tells whether the unit is a transaction.
    pub(super) fn is_transaction(&self) -> bool {
        self.unit.begin.is_some()
    }

    /// Tells whether the current statement has no lasting effect if its connection is lost.
    pub(super) fn leaves_no_effect(&self) -> bool {
        let verb = self.statement.verb();
        if self.is_transaction() {
            verb != Verb::Commit || !self.wrote
        } else {
            verb == Verb::Read
        }
    }
}
