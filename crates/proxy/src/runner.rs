//! Task that runs a group's pool and executes its outputs.

mod dial;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;
use mustardbay_process::timer::Timer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::budget::Budget;
use crate::clock::BootInstant;
use crate::clock::millis;
use crate::link_handler::LinkHandler;
use crate::link_handler::PoolInbox;
use crate::pool::Candidate;
use crate::pool::Command;
use crate::pool::ConnectionId;
use crate::pool::Contact;
use crate::pool::Input;
use crate::pool::Note;
use crate::pool::Outcome;
use crate::pool::Output;
use crate::pool::Pool;
use crate::pool::PoolState;
use crate::pool::Query;
use crate::pool::UnitId;
use crate::vm_metrics::PoolLevels;
use crate::vm_metrics::Stage;
use crate::vm_metrics::VmMetrics;
use crate::wire::Wire;

/// Time between two ticks of a pool, which is the precision with which waiting units expire.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Request of the steward or the admin dump to a pool.
#[derive(Debug)]
pub enum Probe {
    /// Return the primary and the contacts with the upstreams.
    Contacts(oneshot::Sender<Contacts>),
    /// Return the state for the admin dump.
    State(oneshot::Sender<PoolState>),
    /// Ask every upstream for its status.
    AskStatus,
    /// Send some upstreams a command that returns their status, and ask the others for theirs.
    Command(Vec<UpstreamName>, Command),
}

/// Contacts of a pool with its upstreams at one time.
#[derive(Debug, Clone)]
pub struct Contacts {
    /// Upstream that is known as the primary.
    pub primary: Option<UpstreamName>,
    /// Highest term that a primary has proven.
    pub term: Option<Term>,
    /// Contact with each upstream.
    pub upstreams: Vec<Contact>,
}

impl Contacts {
    /// Tells whether the known primary is in an evacuated domain.
    #[must_use]
    pub fn is_primary_evacuated(&self) -> bool {
        let mut evacuated = self.upstreams.iter().filter(|contact| contact.evacuated);
        evacuated.any(|contact| Some(&contact.registration.name) == self.primary.as_ref())
    }

    /// Returns the last status of each upstream as one log field, separated by commas.
    #[must_use]
    pub fn statuses(&self) -> String {
        let words: Vec<String> = self.upstreams.iter().map(Contact::to_string).collect();
        words.join(",")
    }
}

/// Channels to a pool's task.
#[derive(Debug, Clone)]
pub struct PoolHandle {
    /// Inputs of the pool.
    pub inbox: PoolInbox,
    /// Requests about its state.
    pub probes: mpsc::UnboundedSender<Probe>,
}

impl PoolHandle {
    /// Sends an input to the pool of `group`.
    pub fn tell(&self, group: &GroupName, input: Input) {
        if self.inbox.send(input).is_err() {
            tracing::error!(event = "pool_gone", group = %group);
        }
    }
}

/// State of the task that runs one pool.
struct Runner<W: Wire> {
    group: GroupName,
    pool: Pool,
    inbox: PoolInbox,
    handler: Arc<LinkHandler>,
    vm_metrics: Arc<VmMetrics>,
    budget: Arc<Budget>,
    levels: Arc<PoolLevels>,
    queries: BTreeMap<ConnectionId, mpsc::UnboundedSender<Query>>,
    wire: std::marker::PhantomData<W>,
}

/// Starts the pool of a group on a vm in `domain`.
pub fn start<W: Wire>(
    group: GroupName,
    domain: DomainName,
    handler: Arc<LinkHandler>,
    vm_metrics: Arc<VmMetrics>,
    budget: Arc<Budget>,
    timer: &Timer,
) -> PoolHandle {
    let (inbox, mut inputs) = mpsc::unbounded_channel();
    let (probes, mut requests) = mpsc::unbounded_channel();
    let mut runner = Runner::<W> {
        levels: vm_metrics.pool(&group),
        group,
        pool: Pool::new(domain, rand::random()),
        inbox: inbox.clone(),
        handler,
        vm_metrics,
        budget,
        queries: BTreeMap::new(),
        wire: std::marker::PhantomData,
    };
    let mut ticks = timer.every(TICK_INTERVAL);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => runner.handle(input),
                    None => return,
                },
                probe = requests.recv() => match probe {
                    Some(probe) => runner.answer(probe),
                    None => return,
                },
                tick = ticks.recv() => match tick {
                    Some(_) => runner.tick(),
                    None => return,
                },
            }
        }
    });
    PoolHandle { inbox, probes }
}

impl<W: Wire> Runner<W> {
    fn handle(&mut self, input: Input) {
        let outputs = self.pool.handle(input, BootInstant::now());
        self.execute(outputs);
    }

    fn tick(&mut self) {
        self.handle(Input::Tick);
        self.levels.set(self.pool.level(BootInstant::now()));
    }

    fn execute(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Open {
                    connection,
                    upstream,
                    address,
                    account,
                } => {
                    let (queries, received) = mpsc::unbounded_channel();
                    self.queries.insert(connection, queries);
                    self.vm_metrics.connection_opened();
                    let dial = dial::Dial {
                        group: self.group.clone(),
                        upstream,
                        address,
                        account,
                        connection,
                        inbox: self.inbox.clone(),
                        budget: Arc::clone(&self.budget),
                    };
                    tokio::spawn(dial.run::<W>(received));
                }
                Output::Send(connection, query) => self.send(connection, query),
                Output::Close(connection) => {
                    self.queries.remove(&connection);
                }
                Output::Finish(unit_id, outcome) => self.finish(unit_id, outcome),
                Output::Note(note) => self.log(&note),
            }
        }
    }

    fn send(&self, connection: ConnectionId, query: Query) {
        let queries = self.queries.get(&connection);
        // A connection that has ended reports its loss with a separate input.
        if queries.is_none_or(|queries| queries.send(query).is_err()) {
            tracing::debug!(event = "query_dropped", group = %self.group, connection = connection.0);
        }
    }

    fn finish(&self, unit_id: UnitId, outcome: Outcome) {
        self.handler.reply(unit_id.link, unit_id.number, outcome);
    }

    fn log(&self, note: &Note) {
        let group = &self.group;
        match note {
            Note::PrimaryProven(upstream, term) => {
                tracing::info!(event = "lead_proven", group = %group, upstream = %upstream, term = %term);
            }
            Note::PrimaryLost(upstream) => {
                tracing::info!(event = "lead_lost", group = %group, upstream = %upstream);
            }
            Note::PauseUnknown(upstream) => {
                tracing::warn!(event = "pause_unknown", group = %group, upstream = %upstream);
            }
            Note::UpstreamLost(upstream) => {
                tracing::info!(event = "upstream_lost", group = %group, upstream = %upstream);
            }
            Note::UpstreamBack(upstream) => {
                tracing::info!(event = "upstream_back", group = %group, upstream = %upstream);
            }
            Note::Placed {
                unit_id,
                upstream,
                report_age,
            } => {
                if let Some(age) = report_age {
                    self.vm_metrics.record_report_age(*age);
                }
                tracing::debug!(event = "unit_placed", group = %group, unit = %unit_id,
                    upstream = %upstream, report_age_ms = report_age.map(millis));
            }
            Note::Answered { class, waited, ran } => {
                self.vm_metrics.record_stage(Stage::Queue, *class, *waited);
                self.vm_metrics.record_stage(Stage::Upstream, *class, *ran);
            }
            Note::Late {
                unit_id,
                request,
                upstream,
                waited,
                ran,
                attempts,
            } => {
                tracing::info!(event = "unit_late", group = %group, request = %request,
                    ticket = %unit_id, upstream = %upstream, waited_ms = waited.as_millis(),
                    ran_ms = ran.as_millis(), attempts);
            }
            Note::Refused {
                unit_id,
                request,
                refusal,
                waiting,
                service,
                position_age,
                candidates,
            } => {
                self.vm_metrics.refused(refusal.cause().name());
                tracing::info!(event = "unit_refused", group = %group, request = %request,
                    ticket = %unit_id, cause = refusal.cause().name(), retry_ms = refusal.retry_ms,
                    waiting, service_ms = millis(*service), position_age_ms = position_age.map(millis),
                    upstreams = %join_candidates(candidates));
            }
            Note::Interrupted {
                unit_id,
                request,
                upstream,
                reason,
                in_doubt,
            } => {
                self.vm_metrics.interrupted(reason.name(), *in_doubt);
                tracing::info!(event = "unit_interrupted", group = %group, request = %request,
                    ticket = %unit_id, upstream = %upstream, reason = ?reason, in_doubt);
            }
            Note::Retried {
                unit_id,
                request,
                upstream,
                reason,
            } => {
                self.vm_metrics.retried();
                tracing::info!(event = "unit_retried", group = %group, request = %request,
                    ticket = %unit_id, upstream = %upstream, reason = ?reason);
            }
        }
    }

    fn answer(&mut self, probe: Probe) {
        let now = BootInstant::now();
        let delivered = match probe {
            Probe::Contacts(reply) => {
                let (primary, term) = self.pool.primary();
                let contacts = Contacts {
                    primary,
                    term,
                    upstreams: self.pool.contacts(now),
                };
                reply.send(contacts).is_ok()
            }
            Probe::State(reply) => reply.send(self.pool.state(now)).is_ok(),
            Probe::AskStatus => {
                let outputs = self.pool.ask_status_of_all(now);
                self.execute(outputs);
                true
            }
            Probe::Command(upstreams, command) => {
                let outputs = self.pool.command_some(&upstreams, &command, now);
                self.execute(outputs);
                true
            }
        };
        if !delivered {
            tracing::debug!(event = "probe_reply_dropped", group = %self.group);
        }
    }
}

/// Formats the upstreams of a refused unit as one log field, separated by commas.
fn join_candidates(candidates: &[Candidate]) -> String {
    let words: Vec<String> = candidates.iter().map(Candidate::to_string).collect();
    words.join(",")
}
