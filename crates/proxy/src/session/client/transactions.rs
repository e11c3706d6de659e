//! Transactions of a client session: begin, statements, end.

use crate::clock::BootInstant;
use crate::entry::Denial;
use crate::entry::check_key;
use crate::pool::Outcome;
use crate::session::answer;
use crate::session::client::Client;
use crate::session::client::cut_off;
use crate::session::client::into_answer;
use crate::session::transaction::Progress;
use crate::session::transaction::Transaction;
use crate::wire::ToCaller;
use crate::work::Statement;
use crate::work::TransactionState;
use crate::work::Verb;

impl Client {
    /// Begins a transaction; nothing is sent to an upstream yet.
    pub(super) async fn begin(&mut self, statement: Statement) -> Vec<ToCaller> {
        if !self.schedule.takes_transactions() {
            return self.refuse_to_start(&statement);
        }
        match self.admit().await {
            Ok(admitted) => {
                self.transaction = Some(Transaction {
                    begin: statement,
                    admitted,
                    progress: Progress::Begun,
                    wrote: false,
                    idle_since: BootInstant::now(),
                });
                answer::done(TransactionState::Open)
            }
            Err(denial) => self.deny(&statement.id, &denial, TransactionState::Idle),
        }
    }

    /// Runs a statement of the open transaction.
    pub(super) async fn run_in_transaction(&mut self, statement: Statement) -> Vec<ToCaller> {
        if let Err(denial) = self.check_transaction() {
            self.abort_transaction(denial.name());
            return self.deny(&statement.id, &denial, TransactionState::Failed);
        }
        let Some(mut transaction) = self.transaction.take() else {
            return self.malformed();
        };
        let verb = statement.verb();
        transaction.wrote |= verb == Verb::Write;
        let settings = self.session_state.settings();
        let outcome = match &transaction.progress {
            Progress::Running(placement) => {
                let left = transaction.admitted.route.timeout;
                let commits = verb == Verb::Commit && transaction.wrote;
                tokio::select! {
                    outcome = placement.resume(statement, settings, left, transaction.wrote) => outcome,
                    () = self.schedule.until_last_answer() => cut_off(commits),
                }
            }
            Progress::Begun | Progress::Failed => {
                let begin = Some(transaction.begin.clone());
                let unit = self.unit(&transaction.admitted, statement, begin);
                let (outcome, placement) = self.run_unit(unit).await;
                if let Some(placement) = placement {
                    transaction.progress = Progress::Running(placement);
                }
                outcome
            }
        };
        self.finish_statement(transaction, verb, outcome)
    }

    /// Checks that the open transaction may go on.
    fn check_transaction(&self) -> Result<(), Denial> {
        let view = self.fresh_view()?;
        let admitted = self.transaction.as_ref().map(|t| &t.admitted);
        admitted.map_or(Ok(()), |admitted| {
            check_key(&view, admitted, self.key.as_ref())
        })
    }

    /// Updates the transaction after the answer to one of its statements.
    fn finish_statement(
        &mut self,
        mut transaction: Transaction,
        verb: Verb,
        outcome: Outcome,
    ) -> Vec<ToCaller> {
        let answer = into_answer(outcome);
        let failure = answer.failure();
        if verb == Verb::Commit {
            if failure.is_none() && transaction.wrote {
                self.note_commit(&answer);
            }
            let kept_open = failure.is_some() && answer.state() != TransactionState::Idle;
            if kept_open {
                transaction.fail();
            }
            return answer::relayed(answer, TransactionState::Idle);
        }
        transaction.idle_since = BootInstant::now();
        let continues = failure.is_none() || answer.state() == TransactionState::Open;
        if !continues {
            transaction.fail();
        }
        self.transaction = Some(transaction);
        answer::relayed(answer, self.state())
    }

    /// Rolls the open transaction back at the client's request.
    pub(super) fn roll_back(&mut self) -> Vec<ToCaller> {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
        }
        self.transaction = None;
        answer::done(TransactionState::Idle)
    }
}
