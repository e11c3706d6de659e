//! Client session: its state and the handling of its queries.

mod state_changes;
mod transactions;

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::RouteName;
use mustardbay_policy::position::Position;

use crate::budget::Holding;
use crate::clock::BootInstant;
use crate::clock::millis;
use crate::configuration::Key;
use crate::entry::AdmittedOperation;
use crate::entry::Denial;
use crate::entry::Entry;
use crate::entry::Placement;
use crate::entry::fresh_view;
use crate::entry::look_up;
use crate::latest_view::FleetView;
use crate::pool::Cause;
use crate::pool::Outcome;
use crate::pool::Refusal;
use crate::session::answer;
use crate::session::drain_schedule::DrainSchedule;
use crate::session::record::view_fields;
use crate::session::session_state::SessionState;
use crate::session::transaction::Progress;
use crate::session::transaction::Transaction;
use crate::wire::Request;
use crate::wire::ToCaller;
use crate::work::AllowedDomains;
use crate::work::Answer;
use crate::work::Code;
use crate::work::Setting;
use crate::work::Statement;
use crate::work::TransactionState;
use crate::work::Verb;
use crate::work::WorkUnit;

/// Idle timeout of a transaction while the vm has no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait of a new session for the vm's first view.
///
/// Half of the 2 s after which clients of the users' platform give up a session start.
const MAX_START_WAIT: Duration = Duration::from_secs(1);

/// One client's session.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) number: u64,
    pub(super) route: RouteName,
    pub(super) key: Option<Key>,
    pub(super) entry: Arc<Entry>,
    /// Bytes that the session holds.
    holding: Arc<Holding>,
    schedule: DrainSchedule,
    /// Whether the session ends because the vm is stopping and has refused work.
    leaving: bool,
    session_state: SessionState,
    /// Log position of the last commit that the session knows of; reads must see it.
    floor: Option<Position>,
    transaction: Option<Transaction>,
}

impl Client {
    /// Starts a session; a vm that has just started first waits for its first view.
    ///
    /// # Errors
    ///
    /// Fails if a fresh configuration lacks the route or the key. Fails too if no view arrives
    /// within [`MAX_START_WAIT`], so that the client tries another vm. With a view that is too old
    /// the session starts, and its operations are refused until the view is fresh.
    pub(super) async fn start(
        holding: Arc<Holding>,
        route: RouteName,
        key: Option<Key>,
        entry: Arc<Entry>,
        schedule: DrainSchedule,
    ) -> Result<Self, Denial> {
        let number = holding.number();
        if let Err(denial) = check_start(&entry, &route, key.as_ref()).await {
            entry.vm_metrics.refused(denial.name());
            let (version, age_ms) = view_fields(&entry);
            tracing::info!(event = "session_refused", session = number, route = %route,
                cause = denial.name(), version, age_ms);
            return Err(denial);
        }
        Ok(Self {
            number,
            route,
            key,
            entry,
            holding,
            schedule,
            leaving: false,
            session_state: SessionState::default(),
            floor: None,
            transaction: None,
        })
    }

    /// Tells whether the session can be closed without aborting an open transaction.
    pub(super) fn can_close(&self) -> bool {
        self.state() != TransactionState::Open
    }

    /// Tells whether the session is to be closed, so that its client goes to another vm.
    pub(super) fn must_leave(&self) -> bool {
        self.leaving && self.transaction.is_none()
    }

    /// Waits until the open transaction reaches its idle timeout.
    pub(super) async fn until_expiry(&self) {
        let running = self
            .transaction
            .as_ref()
            .filter(|t| !matches!(t.progress, Progress::Failed));
        let Some(transaction) = running else {
            return std::future::pending().await;
        };
        let idle_timeout = self
            .entry
            .latest_view
            .view()
            .map_or(DEFAULT_IDLE_TIMEOUT, |view| {
                view.snapshot.configuration.transaction_idle
            });
        let elapsed = BootInstant::now().since(transaction.idle_since);
        tokio::time::sleep(idle_timeout.saturating_sub(elapsed)).await;
    }

    /// Rolls back the open transaction, if any.
    pub(super) fn abort_transaction(&mut self, reason: &str) {
        if let Some(transaction) = &mut self.transaction
            && !matches!(transaction.progress, Progress::Failed)
        {
            transaction.fail();
            tracing::debug!(event = "transaction_aborted", session = self.number, reason);
        }
    }

    /// Answers a message that cannot be decoded or is not allowed in this state.
    pub(super) fn malformed(&self) -> Vec<ToCaller> {
        answer::error(Code::Malformed, "cannot be read", self.state())
    }

    /// Runs a query and returns the messages that answer it.
    pub(super) async fn answer(&mut self, request: Request) -> Vec<ToCaller> {
        let failed = self.state() == TransactionState::Failed;
        match request {
            Request::Statement(statement) => self.run(statement).await,
            Request::Execute {
                id,
                name,
                arguments,
            } => match self.session_state.prepared(&name).cloned() {
                Some(prepared) => {
                    let verb = if prepared.writes {
                        Verb::Write
                    } else {
                        Verb::Read
                    };
                    let mut statement = Statement::new(id, verb, arguments);
                    statement.prepared = Some(prepared);
                    self.run(statement).await
                }
                None if failed => self.malformed(),
                None => {
                    let text = "no statement is prepared under this name";
                    answer::error(Code::UnknownStatement, text, self.state())
                }
            },
            Request::Set(_) | Request::Prepare { .. } | Request::Deallocate { .. } if failed => {
                self.malformed()
            }
            Request::Set(setting) => self.set(setting),
            Request::Prepare { name, prepared } => self.prepare(name, prepared),
            Request::Deallocate { name } => self.deallocate(&name),
        }
    }

    fn state(&self) -> TransactionState {
        match self.transaction.as_ref().map(|t| &t.progress) {
            None => TransactionState::Idle,
            Some(Progress::Failed) => TransactionState::Failed,
            Some(Progress::Begun | Progress::Running(_)) => TransactionState::Open,
        }
    }

    async fn run(&mut self, statement: Statement) -> Vec<ToCaller> {
        let began = BootInstant::now();
        let request = statement.id.clone();
        let verb = statement.verb();
        let messages = match (verb, self.state()) {
            (Verb::Begin | Verb::BeginRead, TransactionState::Idle) => self.begin(statement).await,
            (Verb::Read | Verb::Write, TransactionState::Idle) => self.run_single(statement).await,
            (Verb::Rollback, TransactionState::Open | TransactionState::Failed) => self.roll_back(),
            (Verb::Commit, TransactionState::Failed) => {
                self.transaction = None;
                let text = "the transaction had failed and was rolled back";
                answer::error(Code::Aborted, text, TransactionState::Idle)
            }
            (Verb::Read | Verb::Write | Verb::Commit, TransactionState::Open) => {
                self.run_in_transaction(statement).await
            }
            _ => self.malformed(),
        };
        self.record(&request, verb, &messages, began);
        messages
    }

    /// Admits an operation: checks the view's age, route, key and rate.
    async fn admit(&self) -> Result<AdmittedOperation, Denial> {
        let admitted = self.look_up()?;
        if admitted.rate.is_some() {
            let asked = BootInstant::now();
            let objective = admitted.route.objective;
            let taken = self.entry.tokens.take(&admitted.account, objective).await;
            self.entry
                .vm_metrics
                .token_waited(BootInstant::now().since(asked));
            taken.map_err(|retry_ms| Denial::RateSpent {
                account: admitted.account.clone(),
                retry_ms,
            })?;
        }
        // The key may have been withdrawn while the operation waited for a token.
        self.look_up()
    }

    fn look_up(&self) -> Result<AdmittedOperation, Denial> {
        let view = self.fresh_view()?;
        look_up(&view, &self.route, self.key.as_ref())
    }

    fn fresh_view(&self) -> Result<Arc<FleetView>, Denial> {
        let view_ttl = self.entry.timing.view_ttl;
        fresh_view(self.entry.latest_view.view(), view_ttl, BootInstant::now())
    }

    async fn run_single(&mut self, statement: Statement) -> Vec<ToCaller> {
        let admitted = match self.admit().await {
            Ok(admitted) => admitted,
            Err(denial) => return self.deny(&statement.id, &denial, TransactionState::Idle),
        };
        let writes = statement.verb() == Verb::Write;
        if writes && !self.schedule.takes_statement(admitted.route.timeout) {
            return self.refuse_to_start(&statement);
        }
        let unit = self.unit(&admitted, statement, None);
        let (outcome, _) = self.run_unit(unit).await;
        let answer = into_answer(outcome);
        if writes {
            self.note_commit(&answer);
        }
        answer::relayed(answer, TransactionState::Idle)
    }

    /// Refuses an operation that the vm might not answer before it stops.
    fn refuse_to_start(&mut self, statement: &Statement) -> Vec<ToCaller> {
        self.leaving = true;
        self.deny(&statement.id, &Denial::Stopping, TransactionState::Idle)
    }

    /// Runs a unit; if the vm stops before its outcome is known, that is told instead.
    async fn run_unit(&self, unit: WorkUnit) -> (Outcome, Option<Placement>) {
        let writes = unit.begin.is_none() && !unit.is_read();
        tokio::select! {
            done = self.entry.router.run(unit) => done,
            () = self.schedule.until_last_answer() => (cut_off(writes), None),
        }
    }

    fn unit(
        &self,
        admitted: &AdmittedOperation,
        statement: Statement,
        begin: Option<Statement>,
    ) -> WorkUnit {
        let route = &admitted.route;
        WorkUnit {
            statement,
            begin,
            account: admitted.account.as_str().to_owned(),
            group: route.group.as_str().to_owned(),
            guarantee: route.guarantee.into(),
            staleness_ms: millis(route.staleness),
            floor: self.floor.map(Into::into),
            settings: self.settings(),
            priority: route.priority,
            left_ms: millis(route.timeout),
            objective_ms: millis(route.objective),
            fresh_position: None,
            domains: self.allowed_domains(admitted),
        }
    }

    /// Returns the failure domains that may handle an operation, if it is bound to regions.
    fn allowed_domains(&self, admitted: &AdmittedOperation) -> Option<AllowedDomains> {
        let route = admitted.route.regions.as_ref();
        let account = admitted.account_regions.as_ref();
        let domains = self.entry.regions.allowed_domains(route, account)?;
        let names = domains.iter().map(|domain| domain.as_str().to_owned());
        Some(AllowedDomains {
            names: names.collect(),
        })
    }

    fn settings(&self) -> Vec<Setting> {
        self.session_state.settings()
    }

    fn note_commit(&mut self, answer: &Answer) {
        if answer.failure().is_none()
            && let Some(position) = answer.position
        {
            self.floor = self.floor.max(Some(position.into()));
        }
    }
}

/// Checks whether a session may start.
async fn check_start(entry: &Entry, route: &RouteName, key: Option<&Key>) -> Result<(), Denial> {
    let view_ttl = entry.timing.view_ttl;
    let latest_view = &entry.latest_view;
    if latest_view.view().is_none()
        && latest_view
            .wait_for_view(view_ttl, MAX_START_WAIT)
            .await
            .is_none()
    {
        return Err(Denial::NotCurrent(None));
    }
    match fresh_view(latest_view.view(), view_ttl, BootInstant::now()) {
        Ok(view) => look_up(&view, route, key).map(|_| ()),
        Err(_) => Ok(()),
    }
}

/// Returns the outcome of a statement that runs when the vm stops; only a commit lasts.
fn cut_off(commits: bool) -> Outcome {
    if commits {
        Outcome::in_doubt("the vm stopped before the answer came")
    } else {
        Outcome::Refused(Refusal::new(Cause::Draining, 0))
    }
}

/// Converts an outcome into the answer for the client.
fn into_answer(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Refused(refusal) => {
            Answer::failed(Code::Busy, refusal.text(), TransactionState::Idle)
        }
    }
}
