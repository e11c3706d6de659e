//! Runs a batch on an upstream and retries it where that is safe.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::refusal::Outcome;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_policy::session::RetryDecision;
use mustardbay_policy::session::decide_retry;
use mustardbay_policy::session::is_repeatable;
use mustardbay_policy::session::max_wait;
use mustardbay_policy::statement::Access;
use mustardbay_wire::Mode;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::entry_metrics::ServedBy;
use crate::session::Session;
use crate::session::SessionEnd;
use crate::session::Transport;
use crate::session::attempt::Target;
use crate::session::batch::Batch;
use crate::session::pending_request::RequestOutcome;
use crate::session::transaction::Transaction;

/// Shortest pause before a retry that waits for a new view.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Upper bound of the pause before a retry that waits for a new view.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Retry time reported to the client when a pool could not be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(500);

/// State of the attempts to run one batch.
#[derive(Debug)]
struct Attempts {
    messages: Bytes,
    tried: Vec<UpstreamName>,
    repeatable: bool,
    may_have_run: bool,
    wait_until: Instant,
}

impl Attempts {
    fn new(batch: &mut Batch, deadline: Instant) -> Self {
        let now = Instant::now();
        let id = batch.request_id().is_some();
        Self {
            messages: batch.take_messages(),
            tried: Vec::new(),
            repeatable: is_repeatable(batch.access(), batch.classes(), id),
            may_have_run: false,
            wait_until: now + max_wait(deadline.saturating_duration_since(now)),
        }
    }

    /// Returns the refusal for the client, which never says "not run" if the batch may have run.
    fn final_refusal(&self, refused: Refusal) -> Refusal {
        if self.may_have_run && refused.outcome == Outcome::NotRun {
            return connection_lost();
        }
        refused
    }
}

/// Outcome of a batch.
#[derive(Debug)]
pub(super) enum BatchOutcome {
    /// The answer is complete.
    Finished(ServedBy),
    /// The batch is refused.
    Refused(Refusal),
}

impl<S: Transport> Session<S> {
    /// Runs a batch in the open transaction, on the pool that holds its connection.
    pub(super) async fn run_held(&mut self, batch: &mut Batch) -> Result<BatchOutcome, SessionEnd> {
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
        let mut submit = self.build_submit(batch, &target, Mode::Continue, deadline);
        submit.messages = batch.take_messages();
        let (ended, _) = self.attempt(submit, &target, batch, deadline).await?;
        Ok(match ended {
            RequestOutcome::Finished(done) => {
                self.record_finished(&done, &target);
                BatchOutcome::Finished(ServedBy::Transaction)
            }
            RequestOutcome::Refused(refused) => BatchOutcome::Refused(refused),
            RequestOutcome::NotSent => BatchOutcome::Refused(pool_unreachable()),
            RequestOutcome::Lost | RequestOutcome::TimedOut => {
                BatchOutcome::Refused(connection_lost())
            }
        })
    }

    /// Runs a batch outside a transaction, on the best upstream.
    pub(super) async fn run_idle(&mut self, batch: &mut Batch) -> Result<BatchOutcome, SessionEnd> {
        let deadline = self.deadline();
        if let Err(refused) = self.require_floor(batch.access(), deadline).await {
            return Ok(BatchOutcome::Refused(refused));
        }
        let mut attempts = Attempts::new(batch, deadline);
        loop {
            let Some(target) = self.route(batch.access(), &attempts.tried) else {
                let refused = self.no_upstream();
                if self.wait_before_retry(&mut attempts).await {
                    continue;
                }
                return Ok(BatchOutcome::Refused(attempts.final_refusal(refused)));
            };
            let mode = mode_of(batch.access());
            let mut submit = self.build_submit(batch, &target, mode, deadline);
            submit.messages = attempts.messages.clone();
            let (ended, started) = self.attempt(submit, &target, batch, deadline).await?;
            let refused = match ended {
                RequestOutcome::Finished(done) => {
                    self.record_finished(&done, &target);
                    return Ok(BatchOutcome::Finished(target.served()));
                }
                RequestOutcome::Refused(refused) => refused,
                RequestOutcome::NotSent => pool_unreachable(),
                RequestOutcome::Lost | RequestOutcome::TimedOut => connection_lost(),
            };
            attempts.may_have_run |= refused.outcome == Outcome::Unknown;
            let decision = if started {
                RetryDecision::GiveUp
            } else {
                decide_retry(&refused, target.primary, attempts.repeatable)
            };
            let retry = match decision {
                RetryDecision::GiveUp => false,
                RetryDecision::OtherUpstream => {
                    attempts.tried.push(target.upstream);
                    refused.outcome == Outcome::NotRun || self.take_retry()
                }
                RetryDecision::AfterWait => {
                    self.take_retry() && self.wait_before_retry(&mut attempts).await
                }
            };
            if !retry || Instant::now() >= deadline || self.ctx.is_ending() {
                return Ok(BatchOutcome::Refused(attempts.final_refusal(refused)));
            }
            self.ctx.metrics.retried();
        }
    }

    /// Takes one retry from the account's budget; returns `false` if it is used up.
    fn take_retry(&self) -> bool {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take_retry()
    }

    /// Waits for a short pause or a new view; returns `false` if the batch may not wait longer.
    async fn wait_before_retry(&self, attempts: &mut Attempts) -> bool {
        let now = Instant::now();
        if now >= attempts.wait_until {
            return false;
        }
        let pause = rand::random_range(MIN_RETRY_PAUSE..MAX_RETRY_PAUSE);
        let until = (now + pause).min(attempts.wait_until);
        let mut views = self.ctx.steward.changes();
        let woken = timeout_at(until, views.changed()).await;
        attempts.tried.clear();
        !matches!(woken, Ok(Err(_)))
    }

    fn deadline(&self) -> Instant {
        let bound = self.authorization.max_statement_time();
        let requested = self.parameters.statement_timeout();
        Instant::now() + requested.map_or(bound, |requested| requested.min(bound))
    }
}

fn mode_of(access: Access) -> Mode {
    match access {
        Access::Read => Mode::Read,
        Access::Write => Mode::Write,
        Access::Begin => Mode::Begin,
        Access::BeginRead => Mode::BeginRead,
    }
}

fn pool_unreachable() -> Refusal {
    let message = "pool of the upstream cannot be reached";
    Refusal::not_run(Reason::NoUpstream, message, Some(UNREACHABLE_RETRY))
}

fn connection_lost() -> Refusal {
    let message = "connection was lost before the answer arrived";
    Refusal::unknown(Reason::ConnectionLost, message)
}
