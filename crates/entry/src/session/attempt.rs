//! One attempt to run a batch: routing, submission and streaming of the answer.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_policy::route::Need;
use mustardbay_policy::route::RouteContext;
use mustardbay_policy::route::choose;
use mustardbay_policy::statement::Access;
use mustardbay_policy::view::FleetView;
use mustardbay_wire::Finished;
use mustardbay_wire::Mode;
use mustardbay_wire::Submit;
use pgwire::messages::response::TransactionStatus;
use tokio::time::Instant;

use crate::entry_metrics::ServedBy;
use crate::pools::PoolLink;
use crate::session::Session;
use crate::session::SessionEnd;
use crate::session::Transport;
use crate::session::batch::Batch;
use crate::session::pending_request::PendingRequest;
use crate::session::pending_request::RequestOutcome;
use crate::session::transaction::Held;
use crate::session::transaction::Transaction;

/// Flow control window: answer bytes that a pool may send before they are credited.
const ANSWER_WINDOW_BYTES: u64 = 256 * 1024;
/// Time after the deadline during which the pool may still report the outcome.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Upstream of an attempt and the link to its pool.
#[derive(Debug)]
pub(super) struct Target {
    pub link: Arc<PoolLink>,
    pub upstream: UpstreamName,
    pub term: Term,
    pub primary: bool,
}

impl Target {
    pub fn served(&self) -> ServedBy {
        if self.primary {
            ServedBy::Primary
        } else {
            ServedBy::Replica
        }
    }
}

impl<S: Transport> Session<S> {
    /// Chooses the upstream for a batch; `None` if no upstream may serve it.
    pub(super) fn route(&self, access: Access, tried: &[UpstreamName]) -> Option<Target> {
        let view: Arc<FleetView> = self.ctx.steward.view()?;
        let group = self.authorization.group();
        let known = view.groups.get(&group.name);
        let primary = known.is_some_and(|state| state.primary.is_some());
        self.observations
            .lock()
            .outage
            .observe(primary, std::time::Instant::now());
        let state = known?;
        let need = Need {
            access,
            floor: self.floor.position(),
            max_age: self.parameters.max_age(),
        };
        let now = std::time::Instant::now();
        let (upstream, primary) = {
            let observations = self.observations.lock();
            let context = RouteContext {
                group,
                state,
                positions: &observations.positions,
                local_domain: &self.ctx.settings.domain,
                tried,
                now,
            };
            let choice = choose(&context, &need, |u| observations.load(u))?;
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

    /// Returns the refusal for a batch that no upstream may serve now.
    pub(super) fn no_upstream(&self) -> Refusal {
        let after = self
            .observations
            .lock()
            .outage
            .retry_after(std::time::Instant::now());
        let message = "group has no upstream that may serve the request now";
        Refusal::not_run(Reason::NoPrimary, message, Some(after))
    }

    /// Builds the submission of a batch, with `messages` still empty.
    pub(super) fn build_submit(
        &self,
        batch: &Batch,
        target: &Target,
        mode: Mode,
        deadline: Instant,
    ) -> Submit {
        let left = deadline.saturating_duration_since(Instant::now());
        let identity = self.login.identity.as_ref();
        let reads = matches!(mode, Mode::Read | Mode::BeginRead);
        Submit {
            request: 0,
            session: self.id,
            account: identity.map_or_else(String::new, |i| i.account.to_string()),
            group: self.authorization.group().name.to_string(),
            upstream: target.upstream.to_string(),
            term: target.term.0,
            mode: mode.into(),
            floor: self.floor.position().filter(|_| reads).map(Into::into),
            max_age_ms: self.parameters.max_age().filter(|_| reads).map(millis),
            deadline_ms: millis(left),
            idempotency_key: batch.request_id().map(str::to_owned),
            messages: Bytes::new(),
            hidden_parses: batch.hidden_parses().to_vec(),
            window: ANSWER_WINDOW_BYTES,
        }
    }

    /// Submits a batch once and streams its answer.
    ///
    /// Returns the outcome, and whether any part of the answer was forwarded to the client.
    pub(super) async fn attempt(
        &mut self,
        submit: Submit,
        target: &Target,
        batch: &mut Batch,
        deadline: Instant,
    ) -> Result<(RequestOutcome, bool), SessionEnd> {
        let _load = self.observations.add_load(&target.upstream);
        let Ok(request_number) = target.link.submit(submit, &self.answer_sender).await else {
            self.note_failure(target);
            return Ok((RequestOutcome::NotSent, false));
        };
        self.handle.set_running(&target.link, request_number);
        self.track_pool(&target.link);
        let mut request = PendingRequest {
            link: &target.link,
            request_number,
            deadline: deadline + ANSWER_GRACE,
            counts_messages: batch.new_statement_count() > 0 || self.flushing,
            parsed: 0,
            failed: false,
            started: false,
            unsent: None,
        };
        let ended = tokio::select! {
            ended = request.stream(&mut self.client, &mut self.answers, &self.observations) => ended,
            () = self.ctx.until_last_answer() => Ok(request.give_up()),
        };
        self.handle.clear_running();
        self.unsent = request.unsent.take();
        if matches!(ended, Err(_) | Ok(RequestOutcome::TimedOut)) {
            // The request may still open a transaction, which this session would never end.
            target.link.release(self.id);
        }
        let ended = ended?;
        self.skipping_to_sync |= self.flushing && request.failed;
        match &ended {
            RequestOutcome::Finished(_) => {
                batch.apply_statements(request.parsed, &mut self.statements);
                self.observations
                    .lock()
                    .positions
                    .note_answer(&target.upstream);
                self.retry_budget
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .note_success();
            }
            RequestOutcome::Lost | RequestOutcome::TimedOut | RequestOutcome::NotSent => {
                self.note_failure(target);
            }
            RequestOutcome::Refused(_) => {}
        }
        Ok((ended, request.started))
    }

    /// Adds a pool to those that are told when the session ends.
    fn track_pool(&mut self, link: &Arc<PoolLink>) {
        let known = |used: &Weak<PoolLink>| std::ptr::eq(used.as_ptr(), Arc::as_ptr(link));
        if !self.used_pools.iter().any(known) {
            self.used_pools.push(Arc::downgrade(link));
        }
    }

    fn note_failure(&self, target: &Target) {
        let now = std::time::Instant::now();
        self.observations
            .lock()
            .positions
            .note_failure(target.upstream.clone(), now);
    }

    /// Updates the floor and the transaction from a finished request.
    pub(super) fn record_finished(&mut self, done: &Finished, target: &Target) {
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
                    _load: self.observations.add_load(&target.upstream),
                });
            }
        }
    }
}

fn status_of(byte: u32) -> TransactionStatus {
    match u8::try_from(byte) {
        Ok(b'T') => TransactionStatus::Transaction,
        Ok(b'E') => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
