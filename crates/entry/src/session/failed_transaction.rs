//! Answers batches of a transaction that the entry has abandoned.

use futures::SinkExt;
use mustardbay_policy::statement::StatementClass;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::NoData;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::response::CommandComplete;

use crate::client::Severity;
use crate::client::error;
use crate::session::Session;
use crate::session::SessionEnd;
use crate::session::Transport;
use crate::session::batch::Batch;
use crate::session::batch::Step;
use crate::session::transaction::Transaction;

impl<S: Transport> Session<S> {
    /// Answers a batch of an abandoned transaction: only `COMMIT` and `ROLLBACK` are accepted.
    pub(super) async fn execute_failed(&mut self, batch: &Batch) -> Result<(), SessionEnd> {
        let ends =
            |c: &StatementClass| matches!(c, StatementClass::Commit | StatementClass::Rollback);
        if !batch.classes().is_empty() && batch.classes().iter().all(ends) {
            self.transaction = Transaction::Idle;
            return self.answer_rollback(batch).await;
        }
        let message = "current transaction is aborted, commands ignored until end of block";
        self.client
            .feed(error(Severity::Error, "25P02", message))
            .await?;
        self.finish_answer().await
    }

    pub(super) async fn answer_rollback(&mut self, batch: &Batch) -> Result<(), SessionEnd> {
        let done =
            || PgWireBackendMessage::CommandComplete(CommandComplete::new("ROLLBACK".to_owned()));
        if batch.is_query() {
            self.client.feed(done().into()).await?;
        }
        for step in batch.steps() {
            let reply = match step {
                Step::Parse => PgWireBackendMessage::ParseComplete(ParseComplete::new()),
                Step::Bind => PgWireBackendMessage::BindComplete(BindComplete::new()),
                Step::DescribeStatement(_) | Step::DescribePortal(_) => {
                    PgWireBackendMessage::NoData(NoData::new())
                }
                Step::Execute(_) => done(),
                Step::CloseStatement | Step::ClosePortal => {
                    PgWireBackendMessage::CloseComplete(CloseComplete::new())
                }
            };
            self.client.feed(reply.into()).await?;
        }
        self.finish_answer().await
    }
}
