//! Execution of a batch: checks, admission and completion of the answer.

use bytes::BytesMut;
use futures::SinkExt;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_policy::statement::StatementClass;
use tokio::time::Instant;

use crate::client::Severity;
use crate::client::parameter;
use crate::client::ready;
use crate::client::refusal;
use crate::session::Session;
use crate::session::SessionEnd;
use crate::session::Transport;
use crate::session::batch::Batch;
use crate::session::local::Destination;
use crate::session::parameters::SESSION;
use crate::session::run::BatchOutcome;
use crate::session::transaction::Transaction;

impl<S: Transport> Session<S> {
    /// Runs a batch and completes its answer.
    pub(super) async fn execute(&mut self, mut batch: Batch) -> Result<(), SessionEnd> {
        let began = Instant::now();
        self.charge(&batch)?;
        if let Err(refused) = self.check_authorization() {
            return Err(SessionEnd::Refused(refused));
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
        match self.destination(&batch) {
            Destination::Local => return self.answer_locally(batch).await,
            Destination::Mixed => {
                let message = "session commands cannot stand in one batch with other statements";
                let refused = Refusal::not_run(Reason::Unsupported, message, None);
                return self.end_refused(&refused).await;
            }
            Destination::Upstream => {}
        }
        if let Err(refused) = self.admit().await {
            return self.end_unadmitted(&batch, &refused).await;
        }
        let outcome = match self.transaction {
            Transaction::Held(_) => self.run_held(&mut batch).await?,
            _ => self.run_idle(&mut batch).await?,
        };
        match outcome {
            BatchOutcome::Finished(served) => {
                self.finish_answer().await?;
                self.ctx
                    .metrics
                    .answered(batch.access(), served, began.elapsed());
                Ok(())
            }
            BatchOutcome::Refused(refused) => self.end_refused(&refused).await,
        }
    }

    /// Completes an answer: sends the session token if it changed, then `ReadyForQuery`.
    pub(super) async fn finish_answer(&mut self) -> Result<(), SessionEnd> {
        self.report_token().await?;
        if !self.flushing {
            self.client.feed(ready(self.transaction.status())).await?;
        }
        self.client.flush().await?;
        self.unsent = None;
        if self.client.read_buffer().is_empty() {
            // Most sessions are idle, so an idle session frees its write buffer.
            *self.client.write_buffer_mut() = BytesMut::new();
        }
        Ok(())
    }

    async fn report_token(&mut self) -> Result<(), SessionEnd> {
        let token = self.floor.token();
        if token != self.reported_token {
            if let Some(token) = &token {
                self.client
                    .feed(parameter(SESSION, token.to_string()))
                    .await?;
            }
            self.reported_token = token;
        }
        Ok(())
    }

    /// Refuses a batch; an open transaction is abandoned and rolled back.
    pub(super) async fn end_refused(&mut self, refused: &Refusal) -> Result<(), SessionEnd> {
        self.ctx.metrics.refused(refused.reason);
        tracing::info!(
            event = "statement_refused",
            session = self.id,
            group = %self.authorization.group().name,
            reason = ?refused.reason,
            outcome = ?refused.outcome,
            retry_after = ?refused.retry_after,
            message = %refused.message,
        );
        if let Transaction::Held(held) = &self.transaction {
            held.link.release(self.id);
            self.transaction = Transaction::Failed;
        }
        self.skipping_to_sync = self.flushing;
        self.client.feed(refusal(Severity::Error, refused)).await?;
        self.finish_answer().await
    }

    /// Takes one token of the account for a batch; open routes have no rate limit.
    async fn admit(&self) -> Result<(), Refusal> {
        let Some(rate) = &self.rate else {
            return Ok(());
        };
        rate.admit().await
    }

    /// Answers a batch that was not admitted; a rollback needs no upstream and still succeeds.
    async fn end_unadmitted(&mut self, batch: &Batch, refused: &Refusal) -> Result<(), SessionEnd> {
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
}

fn unsupported(batch: &Batch) -> Option<&'static str> {
    batch.classes().iter().find_map(|class| match class {
        StatementClass::Unsupported(feature) => Some(*feature),
        _ => None,
    })
}
