//! Execution of the statements and transactions of one client connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mustardbay_policy::position::Term;
use rusqlite::Connection;
use tokio::sync::OwnedMutexGuard;

use super::canceller::Canceller;
use super::control::ControlCall;
use super::database;
use super::database::Column;
use super::database::QueryResult;
use super::dialect;
use super::dialect::StatementKind;
use super::log::Statement;
use super::shared::Shared;
use super::sql_error::SqlError;
use super::value::SqlType;
use super::value::Value;

/// Open transaction of a connection, explicit or around a single write.
#[derive(Debug, Default)]
struct Transaction {
    /// Writer lock, held from the first write on.
    writer: Option<OwnedMutexGuard<()>>,
    /// Write statements that the commit appends to the log.
    statements: Vec<Statement>,
    /// Whether a statement has failed, so that only a rollback may follow.
    failed: bool,
}

/// Transaction status of a connection, as `ReadyForQuery` reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionStatus {
    /// Outside a transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that has failed.
    Failed,
}

/// Outcome of running a statement that is not yet known to be a read.
enum ReadAttempt {
    /// It is a read, which has run.
    Done(QueryResult),
    /// It writes, so it has not run and needs the writer lock.
    NeedsWriter,
}

/// SQL session of one client connection.
#[derive(Debug)]
pub struct Session {
    shared: Arc<Shared>,
    /// Term of the connection; without one it may only call control functions.
    term: Option<Term>,
    /// Absent while a statement runs on a blocking thread, and for good if that thread panicked.
    conn: Option<Connection>,
    canceller: Arc<Canceller>,
    transaction: Option<Transaction>,
}

impl Session {
    /// Creates the session of a connection with its own database connection and secret key.
    ///
    /// # Errors
    ///
    /// Fails if the database cannot be opened.
    pub fn new(shared: Arc<Shared>, term: Option<Term>, secret: i32) -> Result<Self, SqlError> {
        let conn = shared.database.open()?;
        let canceller = Arc::new(Canceller::new(secret, conn.get_interrupt_handle()));
        Ok(Self {
            shared,
            term,
            conn: Some(conn),
            canceller,
            transaction: None,
        })
    }

    /// Returns the canceller of this connection's statements.
    #[must_use]
    pub fn canceller(&self) -> Arc<Canceller> {
        Arc::clone(&self.canceller)
    }

    /// Returns the transaction status.
    #[must_use]
    pub fn status(&self) -> SessionStatus {
        match &self.transaction {
            None => SessionStatus::Idle,
            Some(tx) if tx.failed => SessionStatus::Failed,
            Some(_) => SessionStatus::Open,
        }
    }

    /// Waits until the open write transaction can no longer commit.
    ///
    /// That is so once its term is no longer in force or the upstream is no longer the primary.
    /// Without a write transaction it waits forever.
    pub async fn write_fenced(&mut self) {
        let writes = self
            .transaction
            .as_ref()
            .is_some_and(|tx| tx.writer.is_some());
        if !writes {
            return std::future::pending().await;
        }
        let mut changed = self.shared.changed.subscribe();
        while self.shared.state().check_write(self.term).is_ok() {
            let received = changed.changed().await;
            debug_assert!(received.is_ok(), "`Shared` owns the sender");
        }
    }

    /// Determines the types of the parameters and columns of a statement.
    ///
    /// A write is not run; a read may be run up to its first row.
    ///
    /// # Errors
    ///
    /// Fails if the statement does not compile, or the term is not in force.
    pub async fn describe(&mut self, sql: &str) -> Result<(Vec<SqlType>, Vec<Column>), SqlError> {
        if dialect::classify(sql) != StatementKind::Data {
            return Ok((Vec::new(), Vec::new()));
        }
        self.check_term()?;
        let sql = sql.to_owned();
        self.blocking(move |conn| {
            let (sql, casts) = dialect::strip_casts(&sql);
            let columns = database::describe(conn, &sql)?;
            let count = database::parameter_count(conn, &sql)?;
            let inferred = dialect::parameter_types(conn, &sql);
            let sql_type = |number| {
                casts
                    .get(&number)
                    .or_else(|| inferred.get(&number))
                    .copied()
            };
            let sql_types = (1..=count).map(|number| sql_type(number).unwrap_or(SqlType::Text));
            Ok((sql_types.collect(), columns))
        })
        .await
    }

    /// Runs one statement and returns its result and command tag.
    ///
    /// # Errors
    ///
    /// Fails with the error for the client; an open transaction is marked as failed then.
    pub async fn execute(
        &mut self,
        sql: &str,
        params: Vec<Value>,
    ) -> Result<(QueryResult, String), SqlError> {
        let running = RunningStatement::enter(&self.shared);
        let result = self.dispatch(sql, params).await;
        drop(running);
        if result.is_err()
            && let Some(tx) = &mut self.transaction
        {
            tx.failed = true;
        }
        result
    }

    async fn dispatch(
        &mut self,
        sql: &str,
        params: Vec<Value>,
    ) -> Result<(QueryResult, String), SqlError> {
        let kind = dialect::classify(sql);
        match kind {
            StatementKind::Control => {
                let result = ControlCall::parse(sql)?.run(&self.shared).await?;
                return Ok((result, "SELECT 1".to_owned()));
            }
            StatementKind::Rollback => {
                self.roll_back().await;
                self.transaction = None;
                return Ok((QueryResult::default(), "ROLLBACK".to_owned()));
            }
            StatementKind::Commit if self.status() == SessionStatus::Failed => {
                self.roll_back().await;
                self.transaction = None;
                return Ok((QueryResult::default(), "ROLLBACK".to_owned()));
            }
            _ => {}
        }
        self.check_term()?;
        if self.status() == SessionStatus::Failed && kind != StatementKind::Savepoint {
            return Err(SqlError::transaction_aborted());
        }
        let result = match kind {
            StatementKind::Begin => {
                self.transaction.get_or_insert_default();
                QueryResult::default()
            }
            StatementKind::Commit => {
                self.commit().await?;
                QueryResult::default()
            }
            StatementKind::Sleep(seconds) => {
                self.cancellable_sleep(Duration::from_secs_f64(seconds.clamp(0.0, 3600.0)))
                    .await?;
                QueryResult {
                    columns: vec![Column {
                        name: "pg_sleep".to_owned(),
                        sql_type: SqlType::Text,
                    }],
                    rows: vec![vec![Value::Text(String::new())]],
                    changed: 0,
                }
            }
            StatementKind::Savepoint | StatementKind::Data => {
                let work = self.shared.config.work;
                self.cancellable_sleep(work).await?;
                let (sql, _) = dialect::strip_casts(sql);
                let result = self.run_data(Statement { sql, params }).await?;
                if let (StatementKind::Savepoint, Some(tx)) = (&kind, &mut self.transaction) {
                    tx.failed = false;
                }
                result
            }
            StatementKind::Setting
            | StatementKind::Empty
            | StatementKind::Control
            | StatementKind::Rollback => QueryResult::default(),
        };
        let rows = result.rows.len().max(result.changed);
        let tag = dialect::command_tag(sql, rows);
        Ok((result, tag))
    }

    /// Runs a statement as a read, or as a write if it turns out to be one.
    async fn run_data(&mut self, statement: Statement) -> Result<QueryResult, SqlError> {
        let savepoint = dialect::classify(&statement.sql) == StatementKind::Savepoint;
        if savepoint && self.transaction.is_none() {
            return Err(SqlError::new("25P01", "savepoints need a transaction"));
        }
        let attempt = statement.clone();
        let outcome = self
            .blocking(move |conn| {
                if savepoint || !database::is_read(conn, &attempt.sql)? {
                    return Ok(ReadAttempt::NeedsWriter);
                }
                Ok(ReadAttempt::Done(database::run(conn, &attempt)?))
            })
            .await?;
        match outcome {
            ReadAttempt::Done(result) => {
                self.shared.count_read();
                Ok(result)
            }
            ReadAttempt::NeedsWriter => self.run_write(statement).await,
        }
    }

    /// Runs a write in the open transaction, or in one of its own that commits at once.
    async fn run_write(&mut self, statement: Statement) -> Result<QueryResult, SqlError> {
        self.shared.state().check_write(self.term)?;
        let autocommit = self.transaction.is_none();
        let mut tx = self.transaction.take().unwrap_or_default();
        let result = self.add_write(&mut tx, statement).await;
        if !autocommit {
            self.transaction = Some(tx);
            return result;
        }
        self.transaction = Some(tx);
        match result {
            Ok(result) => {
                self.commit().await?;
                Ok(result)
            }
            Err(error) => {
                self.roll_back().await;
                self.transaction = None;
                Err(error)
            }
        }
    }

    /// Runs a write in `tx`, which takes the writer lock and begins at its first write.
    async fn add_write(
        &mut self,
        tx: &mut Transaction,
        statement: Statement,
    ) -> Result<QueryResult, SqlError> {
        if tx.writer.is_none() {
            let lock = Arc::clone(&self.shared.writer).lock_owned();
            tokio::select! {
                guard = lock => tx.writer = Some(guard),
                () = self.canceller.cancelled() => return Err(SqlError::cancelled()),
            }
            self.shared.state().check_write(self.term)?;
            self.blocking(|conn| Ok(conn.execute_batch("BEGIN IMMEDIATE")?))
                .await?;
        }
        let run = statement.clone();
        let result = self.blocking(move |conn| database::run(conn, &run)).await?;
        tx.statements.push(statement);
        Ok(result)
    }

    /// Commits the open transaction, or rolls it back if it may no longer write.
    ///
    /// The state stays locked meanwhile, so that the database and the log agree on the commit.
    async fn commit(&mut self) -> Result<(), SqlError> {
        let Some(tx) = self.transaction.take() else {
            return Ok(());
        };
        let Some(writer) = tx.writer else {
            return Ok(());
        };
        let shared = Arc::clone(&self.shared);
        let term = self.term;
        let statements = tx.statements;
        let result = self
            .blocking(move |conn| {
                let mut state = shared.state();
                if let Err(error) = state.check_write(term) {
                    conn.execute_batch("ROLLBACK")?;
                    return Err(error);
                }
                conn.execute_batch("COMMIT")?;
                state.append(statements);
                Ok(())
            })
            .await;
        drop(writer);
        self.shared.notify_changed();
        result
    }

    /// Rolls back the writes of the open transaction, which stays open as failed.
    pub async fn roll_back(&mut self) {
        let Some(tx) = &mut self.transaction else {
            return;
        };
        tx.failed = true;
        tx.statements.clear();
        let Some(writer) = tx.writer.take() else {
            return;
        };
        let rolled_back = self
            .blocking(|conn| {
                if !conn.is_autocommit() {
                    conn.execute_batch("ROLLBACK")?;
                }
                Ok(())
            })
            .await;
        drop(writer);
        if let Err(error) = rolled_back {
            tracing::warn!(event = "rollback_failed", error = error.message);
        }
    }

    fn check_term(&self) -> Result<(), SqlError> {
        self.shared.state().check_term(self.term)
    }

    /// Sleeps for `time`; fails early if the statement is cancelled.
    async fn cancellable_sleep(&mut self, time: Duration) -> Result<(), SqlError> {
        if time.is_zero() {
            return Ok(());
        }
        tokio::select! {
            () = tokio::time::sleep(time) => Ok(()),
            () = self.canceller.cancelled() => Err(SqlError::cancelled()),
        }
    }

    /// Runs `work` with the database connection on a blocking thread.
    async fn blocking<T: Send + 'static>(
        &mut self,
        work: impl FnOnce(&mut Connection) -> Result<T, SqlError> + Send + 'static,
    ) -> Result<T, SqlError> {
        let Some(mut conn) = self.conn.take() else {
            return Err(SqlError::internal("the connection's database is lost"));
        };
        let joined = tokio::task::spawn_blocking(move || {
            let result = work(&mut conn);
            (conn, result)
        });
        match joined.await {
            Ok((conn, result)) => {
                self.conn = Some(conn);
                result
            }
            Err(e) => Err(SqlError::internal(e.to_string())),
        }
    }
}

/// Guard that counts a running statement until it is dropped.
struct RunningStatement {
    shared: Arc<Shared>,
}

impl RunningStatement {
    fn enter(shared: &Arc<Shared>) -> Self {
        let now = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
        shared.running_max.fetch_max(now, Ordering::Relaxed);
        Self {
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for RunningStatement {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
    }
}
