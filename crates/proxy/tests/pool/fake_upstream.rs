//! Simulated upstream: its log, its slots and how it reacts to queries.

use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_proxy::clock::BootInstant;
use mustardbay_proxy::pool::Command;
use mustardbay_proxy::pool::LoadReport;
use mustardbay_proxy::pool::Query;
use mustardbay_proxy::pool::Role;
use mustardbay_proxy::pool::UpstreamStatus;
use mustardbay_proxy::work::Answer;
use mustardbay_proxy::work::Code;
use mustardbay_proxy::work::TransactionState;
use mustardbay_proxy::work::Verb;

/// Mean time for which a statement holds a slot.
pub const SERVICE: Duration = Duration::from_millis(20);

/// Round trip to an upstream in the vm's own region.
pub const NEAR: Duration = Duration::from_millis(1);

/// How an upstream reacts to connections and queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answers every query.
    Up,
    /// It refuses new connections and has broken the open ones.
    Down,
    /// It never answers, as if the network dropped every packet.
    Silent,
    /// It runs statements but breaks the connection before the answer.
    LosesAnswers,
}

/// Simulated upstream.
#[derive(Debug)]
pub struct FakeUpstream {
    pub health: Health,
    pub role: Role,
    /// Time that a query and its answer spend on the network.
    pub round_trip: Duration,
    /// Log position that it has applied.
    pub applied: Position,
    /// When each of its slots is free again.
    slots: Vec<BootInstant>,
    /// Ids of the statements that it has run, in order.
    pub ran: Vec<String>,
    /// Texts of the queries that it received, in order.
    pub sent: Vec<String>,
    /// Whether statements take between 8 and 40 ms, 20 ms on average, instead of 20 ms each.
    pub uneven: bool,
    /// How many times longer its statements take than those of its peers.
    pub slowdown: u32,
    /// Load that it reports with its status.
    pub load: Option<LoadReport>,
    /// Code with which it refuses all but a rollback in open transactions, as one that has lost the lead does.
    pub refuses_open: Option<Code>,
}

impl FakeUpstream {
    /// Creates an upstream that has applied position 100 of term 1.
    pub fn new(role: Role) -> Self {
        Self {
            health: Health::Up,
            role,
            round_trip: NEAR,
            applied: Position::new(1, 100),
            slots: vec![BootInstant::default(); 3],
            ran: Vec::new(),
            sent: Vec::new(),
            uneven: false,
            slowdown: 1,
            load: None,
            refuses_open: None,
        }
    }

    /// Occupies the first free slot and returns when it is free again.
    pub fn hold_slot(&mut self, now: BootInstant, time: Duration) -> BootInstant {
        let slot = self.slots.iter_mut().min().expect("an upstream has slots");
        *slot = (*slot).max(now).after(time);
        *slot
    }

    /// Returns how long a statement holds its slot; an id that begins with `long` triples the time.
    fn service_time(&self, id: &str) -> Duration {
        let tenths = if id.starts_with("long") {
            30
        } else if self.uneven {
            [4, 20, 6, 12, 8][self.ran.len() % 5]
        } else {
            10
        };
        SERVICE * tenths * self.slowdown / 10
    }

    /// Returns its answer to a status query.
    pub fn status(&self) -> UpstreamStatus {
        UpstreamStatus {
            role: self.role,
            term: self.applied.term,
            received: self.applied,
            paused: None,
            load: self.load,
        }
    }

    /// Runs a query; returns the answer and when it is sent.
    pub fn run(
        &mut self,
        query: &Query,
        state: TransactionState,
        now: BootInstant,
    ) -> (Answer, BootInstant) {
        let refuse = |code| {
            let state = if state == TransactionState::Idle {
                TransactionState::Idle
            } else {
                TransactionState::Failed
            };
            (Answer::failed(code, "refused", state), now)
        };
        if state != TransactionState::Idle
            && query.command != Command::Rollback
            && let Some(code) = self.refuses_open
        {
            return refuse(code);
        }
        if query.after.is_some_and(|floor| !self.applied.covers(floor)) {
            let (mut answer, at) = refuse(Code::Lagging);
            answer.position = Some(self.applied.into());
            return (answer, at);
        }
        let (state, at) = match &query.command {
            Command::Begin if self.role == Role::Replica => return refuse(Code::ReadOnly),
            Command::Begin | Command::BeginRead => (TransactionState::Open, now),
            Command::Rollback => (TransactionState::Idle, now),
            Command::Statement(statement) => {
                if statement.verb() == Verb::Write && self.role == Role::Replica {
                    return refuse(Code::ReadOnly);
                }
                let writes = statement.verb() == Verb::Write && state == TransactionState::Idle;
                if writes || statement.verb() == Verb::Commit {
                    self.applied.index += 1;
                }
                self.ran.push(statement.id.clone());
                let ends = statement.verb() == Verb::Commit;
                let after = if ends { TransactionState::Idle } else { state };
                let time = self.service_time(&statement.id);
                (after, self.hold_slot(now, time))
            }
            _ => (state, now),
        };
        let answer = Answer {
            // As for a statement of a client, the signature is of that very query.
            signature: Some(query.id.clone().unwrap_or_default()),
            state: state.into(),
            position: Some(self.applied.into()),
            ..Answer::default()
        };
        (answer, at)
    }
}
