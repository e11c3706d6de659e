//! State of a connection to an upstream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::pool::step::Command;
use crate::pool::step::Purpose;
use crate::pool::step::Step;
use crate::pool::unit_id::UnitId;
use crate::work::PreparedStatement;
use crate::work::Setting;

/// Id of a connection, never reused by a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Stage of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It is being opened.
    Opening,
    /// It is free for any session of its account.
    Idle,
    /// A query is in flight.
    Running,
    /// Its open transaction waits for the session's next statement.
    Pinned,
}

/// One connection, with the session state that the upstream keeps for it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) upstream: UpstreamName,
    pub(super) account: AccountName,
    pub(super) stage: Stage,
    pub(super) unit_id: Option<UnitId>,
    /// Queries to send, in order; the first is in flight while the stage is `Running`.
    pub(super) steps: VecDeque<Step>,
    /// When the query in flight was sent, or the stage was entered.
    pub(super) since: BootInstant,
    /// Queries sent since a statement was last taken on.
    pub(super) queries: u32,
    /// Statements of this vm at the upstream when a status query was last sent.
    pub(super) own_load: u32,
    /// Settings in force on the connection, by name.
    settings: BTreeMap<String, String>,
    /// Names of the statements that are prepared on the connection.
    prepared: BTreeSet<String>,
}

impl Connection {
    pub(super) fn new(upstream: UpstreamName, account: AccountName, now: BootInstant) -> Self {
        Self {
            upstream,
            account,
            stage: Stage::Opening,
            unit_id: None,
            steps: VecDeque::new(),
            since: now,
            queries: 0,
            own_load: 0,
            settings: BTreeMap::new(),
            prepared: BTreeSet::new(),
        }
    }

    /// Tells whether the connection is being opened or has a query in flight.
    pub(super) fn awaits_answer(&self) -> bool {
        matches!(self.stage, Stage::Opening | Stage::Running)
    }

    /// Tells whether the connection counts against its upstream's slots; a rollback takes none.
    pub(super) fn holds_slot(&self) -> bool {
        let last = self.steps.front().map(|step| step.purpose);
        self.awaits_answer() && last != Some(Purpose::Rollback)
    }

    /// Tells whether the next query is the statement of its unit.
    pub(super) fn runs_next(&self) -> bool {
        let next = self.steps.front().map(|step| step.purpose);
        next == Some(Purpose::Run)
    }

    /// Returns how many queries it takes to apply a session's settings to the connection.
    pub(super) fn setup_queries(&self, settings: &[Setting]) -> usize {
        let differing = settings
            .iter()
            .filter(|s| self.settings.get(&s.name) != Some(&s.value))
            .count();
        differing + usize::from(self.has_other_settings(settings))
    }

    /// Queues the queries that apply a session's settings and prepare its statement.
    pub(super) fn queue_setup(
        &mut self,
        settings: &[Setting],
        prepared: Option<&PreparedStatement>,
    ) {
        if self.has_other_settings(settings) {
            self.settings.clear();
            self.prepared.clear();
            self.push(Command::Reset);
        }
        for setting in settings {
            if self.settings.get(&setting.name) != Some(&setting.value) {
                self.settings
                    .insert(setting.name.clone(), setting.value.clone());
                self.push(Command::Set(setting.clone()));
            }
        }
        if let Some(prepared) = prepared
            && self.prepared.insert(prepared.statement_name())
        {
            self.push(Command::Prepare(prepared.clone()));
        }
    }

    /// Forgets which statements are prepared, so that the next use prepares them again.
    pub(super) fn forget_prepared(&mut self) {
        self.prepared.clear();
    }

    /// Tells whether the connection has settings that the session does not have.
    fn has_other_settings(&self, settings: &[Setting]) -> bool {
        self.settings
            .keys()
            .any(|name| settings.iter().all(|s| s.name != *name))
    }

    fn push(&mut self, command: Command) {
        self.steps
            .push_back(Step::internal(Purpose::Prepare, command));
    }
}
