//! End of a transaction that was given up here.

use futures::SinkExt;
use mustardbay_policy::statement::StatementClass;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::NoData;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::response::CommandComplete;

use crate::caller::Severity;
use crate::caller::error;
use crate::session::End;
use crate::session::Session;
use crate::session::Transport;
use crate::session::batch::Batch;
use crate::session::batch::Step;
use crate::session::transaction::Transaction;

impl<S: Transport> Session<S> {
    /// Answers a batch after the transaction was given up: only its end is accepted.
    pub(super) async fn execute_failed(&mut self, batch: &Batch) -> Result<(), End> {
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

    pub(super) async fn answer_rollback(&mut self, batch: &Batch) -> Result<(), End> {
        let done =
            || PgWireBackendMessage::CommandComplete(CommandComplete::new("ROLLBACK".to_owned()));
        if batch.is_query() {
            self.caller.feed(done().into()).await?;
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
            self.caller.feed(reply.into()).await?;
        }
        self.finish_answer().await
    }
}
