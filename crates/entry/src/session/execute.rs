//! Runs batches: admission, route, attempts and the end of the answer.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;
use mustardbay_policy::refusal::Outcome as RunOutcome;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_policy::route::Need;
use mustardbay_policy::route::Scene;
use mustardbay_policy::route::choose;
use mustardbay_policy::session::Step;
use mustardbay_policy::session::after;
use mustardbay_policy::session::is_repeatable;
use mustardbay_policy::session::patience;
use mustardbay_policy::statement::Access;
use mustardbay_policy::statement::StatementClass;
use mustardbay_policy::view::View;
use mustardbay_wire::Finished;
use mustardbay_wire::Mode;
use mustardbay_wire::Submit;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::NoData;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::TransactionStatus;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::caller::Severity;
use crate::caller::error;
use crate::caller::parameter;
use crate::caller::ready;
use crate::caller::refusal;
use crate::meters::Served;
use crate::pools::PoolLink;
use crate::session::End;
use crate::session::Session;
use crate::session::Transport;
use crate::session::answer::Ended;
use crate::session::answer::Request;
use crate::session::batch;
use crate::session::batch::Batch;
use crate::session::local::Answerer;
use crate::session::parameters::SESSION;
use crate::session::transaction::Held;
use crate::session::transaction::Transaction;

/// Answer bytes that a pool may send ahead of the caller's reading.
const WINDOW_BYTES: u64 = 256 * 1024;
/// Time past the deadline that a pool is given to say how a request ended.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Shortest pause before a batch is tried again on the primary.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before a batch is tried again on the primary.
const MAX_PAUSE: Duration = Duration::from_millis(60);
/// When a retry has a chance after a group had no upstream to serve it.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);

/// Where an attempt goes.
#[derive(Debug)]
struct Target {
    link: Arc<PoolLink>,
    upstream: UpstreamName,
    term: Term,
    primary: bool,
}

impl Target {
    fn served(&self) -> Served {
        if self.primary {
            Served::Primary
        } else {
            Served::Replica
        }
    }
}

/// Attempts of one batch.
#[derive(Debug)]
struct Tries {
    messages: Bytes,
    refused: Vec<UpstreamName>,
    repeatable: bool,
    may_have_run: bool,
    patient_until: Instant,
}

impl Tries {
    fn new(batch: &mut Batch, deadline: Instant) -> Self {
        let now = Instant::now();
        let id = batch.request_id().is_some();
        Self {
            messages: batch.take_messages(),
            refused: Vec::new(),
            repeatable: is_repeatable(batch.access(), batch.classes(), id),
            may_have_run: false,
            patient_until: now + patience(deadline.saturating_duration_since(now)),
        }
    }

    /// Returns the answer to the caller; it never says "not run" of a batch that may have run.
    fn last_word(&self, refused: Refusal) -> Refusal {
        if self.may_have_run {
            return lost();
        }
        refused
    }
}

/// How a batch ended.
#[derive(Debug)]
enum Outcome {
    /// The answer is whole.
    Finished(Served),
    /// It is refused.
    Refused(Refusal),
}

impl<S: Transport> Session<S> {
    /// Runs a batch and ends its answer.
    pub(super) async fn execute(&mut self, mut batch: Batch) -> Result<(), End> {
        let began = Instant::now();
        if let Err(refused) = self.check_grant() {
            return Err(End::Refused(refused));
        }
        if matches!(self.transaction, Transaction::Failed) {
            return self.execute_failed(&batch).await;
        }
        if let Some(feature) = unsupported(&batch) {
            let message = format!("{feature} is not supported through the proxy");
            let refused = Refusal::not_run(Reason::Unsupported, message, None);
            return self.end_refused(&refused).await;
        }
        if batch.request_id().is_none() {
            batch.set_request_id(self.parameters.take_request_id());
        }
        match self.answerer(&batch) {
            Answerer::Entry => return self.answer_here(batch).await,
            Answerer::Nobody => {
                let message = "session commands cannot stand in one batch with other statements";
                let refused = Refusal::not_run(Reason::Unsupported, message, None);
                return self.end_refused(&refused).await;
            }
            Answerer::Upstream => {}
        }
        if let Err(refused) = self.admit().await {
            return self.end_unadmitted(&batch, &refused).await;
        }
        let outcome = match self.transaction {
            Transaction::Held(_) => self.run_held(&mut batch).await?,
            _ => self.run_idle(&mut batch).await?,
        };
        match outcome {
            Outcome::Finished(served) => {
                self.finish_answer().await?;
                self.ctx
                    .meters
                    .answered(batch.access(), served, began.elapsed());
                Ok(())
            }
            Outcome::Refused(refused) => self.end_refused(&refused).await,
        }
    }

    /// Ends an answer: the session's token if it changed, then `ReadyForQuery`.
    pub(super) async fn finish_answer(&mut self) -> Result<(), End> {
        self.report_token().await?;
        self.caller.feed(ready(self.transaction.status())).await?;
        self.caller.flush().await?;
        Ok(())
    }

    async fn report_token(&mut self) -> Result<(), End> {
        let token = self.floor.token();
        if token != self.reported {
            if let Some(token) = &token {
                self.caller
                    .feed(parameter(SESSION, token.to_string()))
                    .await?;
            }
            self.reported = token;
        }
        Ok(())
    }

    /// Refuses a batch; an open transaction is rolled back, as after any error.
    pub(super) async fn end_refused(&mut self, refused: &Refusal) -> Result<(), End> {
        self.ctx.meters.refused(refused.reason);
        if let Transaction::Held(held) = &self.transaction {
            held.link.release(self.id);
            self.transaction = Transaction::Failed;
        }
        self.caller.feed(refusal(Severity::Error, refused)).await?;
        self.finish_answer().await
    }

    /// Spends a token of the account for one batch; open routes have no rate.
    async fn admit(&self) -> Result<(), Refusal> {
        let Some(rate) = &self.rate else {
            return Ok(());
        };
        rate.admit().await.map_err(|after| {
            let message = "account has spent its rate and burst";
            Refusal::not_run(Reason::RateExceeded, message, Some(after))
        })
    }

    /// Ends a batch that was not admitted; a rollback needs no upstream, so it is done anyway.
    async fn end_unadmitted(&mut self, batch: &Batch, refused: &Refusal) -> Result<(), End> {
        let rolls_back = |c: &StatementClass| *c == StatementClass::Rollback;
        let only = !batch.classes().is_empty() && batch.classes().iter().all(rolls_back);
        match &self.transaction {
            Transaction::Held(held) if only => {
                held.link.release(self.id);
                self.transaction = Transaction::Idle;
                self.answer_rollback(batch).await
            }
            _ => self.end_refused(refused).await,
        }
    }

    /// Answers a batch after the transaction was given up: only its end is accepted.
    async fn execute_failed(&mut self, batch: &Batch) -> Result<(), End> {
        let ends =
            |c: &StatementClass| matches!(c, StatementClass::Commit | StatementClass::Rollback);
        if !batch.classes().is_empty() && batch.classes().iter().all(ends) {
            self.transaction = Transaction::Idle;
            return self.answer_rollback(batch).await;
        }
        let message = "current transaction is aborted, commands ignored until end of block";
        self.caller
            .feed(error(Severity::Error, "25P02", message))
            .await?;
        self.finish_answer().await
    }

    async fn answer_rollback(&mut self, batch: &Batch) -> Result<(), End> {
        let done =
            || PgWireBackendMessage::CommandComplete(CommandComplete::new("ROLLBACK".to_owned()));
        if batch.is_query() {
            self.caller.feed(done().into()).await?;
        }
        for step in batch.steps() {
            let reply = match step {
                batch::Step::Parse => PgWireBackendMessage::ParseComplete(ParseComplete::new()),
                batch::Step::Bind => PgWireBackendMessage::BindComplete(BindComplete::new()),
                batch::Step::DescribeStatement(_) | batch::Step::DescribePortal(_) => {
                    PgWireBackendMessage::NoData(NoData::new())
                }
                batch::Step::Execute(_) => done(),
                batch::Step::CloseStatement | batch::Step::ClosePortal => {
                    PgWireBackendMessage::CloseComplete(CloseComplete::new())
                }
            };
            self.caller.feed(reply.into()).await?;
        }
        self.finish_answer().await
    }

    /// Runs a batch in the open transaction, at the pool that holds it.
    async fn run_held(&mut self, batch: &mut Batch) -> Result<Outcome, End> {
        let deadline = self.deadline();
        let Transaction::Held(held) = &self.transaction else {
            unreachable!("called only while a transaction is held");
        };
        let target = Target {
            link: Arc::clone(&held.link),
            upstream: held.upstream.clone(),
            term: held.term,
            primary: true,
        };
        let mut submit = self.submission(batch, &target, Mode::Continue, deadline);
        submit.messages = batch.take_messages();
        let (ended, _) = self.attempt(submit, &target, batch, deadline).await?;
        Ok(match ended {
            Ended::Finished(done) => {
                self.enter(&done, &target);
                Outcome::Finished(Served::Transaction)
            }
            Ended::Refused(refused) => Outcome::Refused(refused),
            Ended::NotSent => Outcome::Refused(not_sent()),
            Ended::Lost | Ended::Late => Outcome::Refused(lost()),
        })
    }

    /// Runs a batch outside a transaction, on the upstream that suits it best.
    async fn run_idle(&mut self, batch: &mut Batch) -> Result<Outcome, End> {
        self.learn_floor();
        let deadline = self.deadline();
        let mut tries = Tries::new(batch, deadline);
        loop {
            let Some(target) = self.route(batch.access(), &tries.refused) else {
                let refused = self.no_upstream();
                if self.wait_for_change(&mut tries).await {
                    continue;
                }
                return Ok(Outcome::Refused(tries.last_word(refused)));
            };
            let mode = mode_of(batch.access());
            let mut submit = self.submission(batch, &target, mode, deadline);
            submit.messages = tries.messages.clone();
            let (ended, started) = self.attempt(submit, &target, batch, deadline).await?;
            let refused = match ended {
                Ended::Finished(done) => {
                    self.enter(&done, &target);
                    return Ok(Outcome::Finished(target.served()));
                }
                Ended::Refused(refused) => refused,
                Ended::NotSent => not_sent(),
                Ended::Lost | Ended::Late => lost(),
            };
            tries.may_have_run |= refused.outcome == RunOutcome::Unknown;
            let step = if started {
                Step::Stop
            } else {
                after(&refused, target.primary, tries.repeatable)
            };
            let again = match step {
                Step::Stop => false,
                Step::Elsewhere => {
                    tries.refused.push(target.upstream);
                    refused.outcome == RunOutcome::NotRun || self.take_retry()
                }
                Step::Later => self.take_retry() && self.wait_for_change(&mut tries).await,
            };
            if !again || Instant::now() >= deadline {
                return Ok(Outcome::Refused(tries.last_word(refused)));
            }
            self.ctx.meters.retried();
        }
    }

    /// Takes one retry out of the account's budget and tells whether there was one.
    fn take_retry(&self) -> bool {
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retry()
    }

    /// Waits for a moment or a new view; `false` once the request's patience is at its end.
    async fn wait_for_change(&self, tries: &mut Tries) -> bool {
        let now = Instant::now();
        if now >= tries.patient_until {
            return false;
        }
        let pause = rand::random_range(MIN_PAUSE..MAX_PAUSE);
        let until = (now + pause).min(tries.patient_until);
        let mut views = self.ctx.steward.changes();
        let woken = timeout_at(until, views.changed()).await;
        tries.refused.clear();
        !matches!(woken, Ok(Err(_)))
    }

    /// Chooses where a batch goes, or `None` if nothing may serve it.
    fn route(&self, access: Access, tried: &[UpstreamName]) -> Option<Target> {
        let view: Arc<View> = self.ctx.steward.view()?;
        let group = self.grant.group();
        let state = view.groups.get(&group.name)?;
        let need = Need {
            access,
            floor: self.floor.position(),
            max_age: self.parameters.max_age(),
        };
        let now = std::time::Instant::now();
        let (upstream, primary) = {
            let mut sight = self.sight.lock();
            sight.gap.see(state.primary.is_some(), now);
            let scene = Scene {
                group,
                state,
                positions: &sight.positions,
                here: &self.ctx.settings.domain,
                tried,
                now,
            };
            let choice = choose(&scene, &need, |u| sight.load(u))?;
            (choice.upstream, choice.primary)
        };
        let link = self.ctx.home(&view, &group.name, upstream)?;
        Some(Target {
            link,
            upstream: upstream.name.clone(),
            term: state.term,
            primary,
        })
    }

    /// Returns the refusal of a batch that no upstream may serve now.
    fn no_upstream(&self) -> Refusal {
        let after = self.sight.lock().gap.retry_after(std::time::Instant::now());
        let message = "group has no upstream that may serve the request now";
        Refusal::not_run(Reason::NoPrimary, message, Some(after))
    }

    /// Describes a batch to a pool, its messages left out.
    fn submission(&self, batch: &Batch, target: &Target, mode: Mode, deadline: Instant) -> Submit {
        let left = deadline.saturating_duration_since(Instant::now());
        let identity = self.login.identity.as_ref();
        let reads = matches!(mode, Mode::Read | Mode::BeginRead);
        Submit {
            request: 0,
            session: self.id,
            account: identity.map_or_else(String::new, |i| i.account.to_string()),
            group: self.grant.group().name.to_string(),
            upstream: target.upstream.to_string(),
            term: target.term.0,
            mode: mode.into(),
            floor: self.floor.position().filter(|_| reads).map(Into::into),
            max_age_ms: self.parameters.max_age().filter(|_| reads).map(millis),
            deadline_ms: millis(left),
            idempotency_key: batch.request_id().map(str::to_owned),
            messages: Bytes::new(),
            hidden_parses: batch.hidden_parses().to_vec(),
            window: WINDOW_BYTES,
        }
    }

    /// Sends a batch once and streams its answer; tells also whether any of it was passed on.
    async fn attempt(
        &mut self,
        submit: Submit,
        target: &Target,
        batch: &mut Batch,
        deadline: Instant,
    ) -> Result<(Ended, bool), End> {
        let _load = self.sight.occupy(&target.upstream);
        let Ok(number) = target.link.submit(submit, &self.answers_in).await else {
            self.fail(target);
            return Ok((Ended::NotSent, false));
        };
        self.handle.run(&target.link, number);
        let mut request = Request {
            link: &target.link,
            number,
            until: deadline + ANSWER_GRACE,
            counts_parses: batch.learned() > 0,
            parsed: 0,
            started: false,
        };
        let ended = request
            .stream(&mut self.caller, &mut self.answers, &self.sight)
            .await;
        self.handle.rest();
        let ended = ended?;
        match &ended {
            Ended::Finished(_) => {
                batch.settle(request.parsed, &mut self.statements);
                self.sight.lock().positions.recover(&target.upstream);
                self.budget
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .succeed();
            }
            Ended::Lost | Ended::Late | Ended::NotSent => self.fail(target),
            Ended::Refused(_) => {}
        }
        Ok((ended, request.started))
    }

    fn fail(&self, target: &Target) {
        let now = std::time::Instant::now();
        self.sight
            .lock()
            .positions
            .fail(target.upstream.clone(), now);
    }

    /// Enters the end of an answer: transaction status and floor.
    fn enter(&mut self, done: &Finished, target: &Target) {
        if let Some(position) = done.committed {
            self.floor.raise(position.into());
        }
        let status = status_of(done.status);
        match (&mut self.transaction, status) {
            (transaction, TransactionStatus::Idle) => *transaction = Transaction::Idle,
            (Transaction::Held(held), status) => held.status = status,
            (transaction, status) => {
                *transaction = Transaction::Held(Held {
                    link: Arc::clone(&target.link),
                    upstream: target.upstream.clone(),
                    term: target.term,
                    status,
                    _load: self.sight.occupy(&target.upstream),
                });
            }
        }
    }

    fn deadline(&self) -> Instant {
        let bound = self.grant.statement_time();
        let own = self.parameters.statement_timeout();
        Instant::now() + own.map_or(bound, |own| own.min(bound))
    }
}

fn unsupported(batch: &Batch) -> Option<&'static str> {
    batch.classes().iter().find_map(|class| match class {
        StatementClass::Unsupported(feature) => Some(*feature),
        _ => None,
    })
}

fn mode_of(access: Access) -> Mode {
    match access {
        Access::Read => Mode::Read,
        Access::Write => Mode::Write,
        Access::Begin => Mode::Begin,
        Access::BeginRead => Mode::BeginRead,
    }
}

fn status_of(byte: u32) -> TransactionStatus {
    match u8::try_from(byte) {
        Ok(b'T') => TransactionStatus::Transaction,
        Ok(b'E') => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    }
}

fn not_sent() -> Refusal {
    let message = "pool of the upstream cannot be reached";
    Refusal::not_run(Reason::NoUpstream, message, Some(NO_UPSTREAM_RETRY))
}

fn lost() -> Refusal {
    let message = "connection was lost before the answer arrived";
    Refusal::unknown(Reason::ConnectionLost, message)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
