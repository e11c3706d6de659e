//! Transactions and statements of one connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mustardbay_policy::position::Term;
use rusqlite::Connection;
use tokio::sync::OwnedMutexGuard;

use super::cancel::Canceller;
use super::control::Call;
use super::core::Core;
use super::database;
use super::database::Answer;
use super::database::Column;
use super::dialect;
use super::dialect::Verb;
use super::fault::Fault;
use super::log::Change;
use super::value::Kind;
use super::value::Value;

/// Transaction that a client has opened.
#[derive(Debug, Default)]
struct Transaction {
    /// Present from the first write on.
    writer: Option<OwnedMutexGuard<()>>,
    changes: Vec<Change>,
    failed: bool,
}

/// Where a connection stands, as `ReadyForQuery` reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Outside a transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that has failed.
    Failed,
}

/// What a statement without a result yet turned out to be.
enum Step {
    Read(Answer),
    Write,
}

/// One connection's database work.
#[derive(Debug)]
pub struct Session {
    core: Arc<Core>,
    term: Option<Term>,
    con: Option<Connection>,
    cancel: Arc<Canceller>,
    open: Option<Transaction>,
}

impl Session {
    /// Opens the database for a connection of `term`.
    ///
    /// # Errors
    ///
    /// Fails if the database cannot be opened.
    pub fn new(core: Arc<Core>, term: Option<Term>, secret: i32) -> Result<Self, Fault> {
        let con = core.database.open()?;
        let cancel = Arc::new(Canceller::new(secret, con.get_interrupt_handle()));
        Ok(Self {
            core,
            term,
            con: Some(con),
            cancel,
            open: None,
        })
    }

    /// Returns what cancels the connection's statements.
    #[must_use]
    pub fn canceller(&self) -> Arc<Canceller> {
        Arc::clone(&self.cancel)
    }

    /// Tells where the connection stands.
    #[must_use]
    pub fn status(&self) -> Status {
        match &self.open {
            None => Status::Idle,
            Some(tx) if tx.failed => Status::Failed,
            Some(_) => Status::Open,
        }
    }

    /// Waits until the connection's write transaction can no longer commit.
    pub async fn superseded(&mut self) {
        let writes = self.open.as_ref().is_some_and(|tx| tx.writer.is_some());
        if !writes {
            return std::future::pending().await;
        }
        let mut changed = self.core.changed.subscribe();
        while self.core.state().admit_write(self.term).is_ok() {
            let woken = changed.changed().await;
            debug_assert!(woken.is_ok(), "the core owns the sender");
        }
    }

    /// Types the parameters and columns of a statement without running it.
    ///
    /// # Errors
    ///
    /// Fails if the statement does not compile, or the term is not in force.
    pub async fn describe(&mut self, sql: &str) -> Result<(Vec<Kind>, Vec<Column>), Fault> {
        if dialect::verb(sql) != Verb::Data {
            return Ok((Vec::new(), Vec::new()));
        }
        self.admit()?;
        let sql = sql.to_owned();
        self.blocking(move |con| {
            let (sql, casts) = dialect::strip_casts(&sql);
            let columns = database::describe(con, &sql)?;
            let count = database::parameter_count(con, &sql)?;
            let met = dialect::parameter_kinds(con, &sql);
            let kind = |number| casts.get(&number).or_else(|| met.get(&number)).copied();
            let kinds = (1..=count).map(|number| kind(number).unwrap_or(Kind::Text));
            Ok((kinds.collect(), columns))
        })
        .await
    }

    /// Runs one statement and returns its result with the command tag.
    ///
    /// # Errors
    ///
    /// Fails with what the client is told; an open transaction has failed then.
    pub async fn execute(
        &mut self,
        sql: &str,
        params: Vec<Value>,
    ) -> Result<(Answer, String), Fault> {
        let running = Running::enter(&self.core);
        let result = self.dispatch(sql, params).await;
        drop(running);
        if result.is_err()
            && let Some(tx) = &mut self.open
        {
            tx.failed = true;
        }
        result
    }

    async fn dispatch(&mut self, sql: &str, params: Vec<Value>) -> Result<(Answer, String), Fault> {
        let verb = dialect::verb(sql);
        match verb {
            Verb::Control => {
                let answer = Call::parse(sql)?.run(&self.core).await?;
                return Ok((answer, "SELECT 1".to_owned()));
            }
            Verb::Rollback => {
                self.abandon().await;
                self.open = None;
                return Ok((Answer::default(), "ROLLBACK".to_owned()));
            }
            Verb::Commit if self.status() == Status::Failed => {
                self.abandon().await;
                self.open = None;
                return Ok((Answer::default(), "ROLLBACK".to_owned()));
            }
            _ => {}
        }
        self.admit()?;
        if self.status() == Status::Failed && verb != Verb::Savepoint {
            return Err(Fault::aborted());
        }
        let answer = match verb {
            Verb::Begin => {
                self.open.get_or_insert_default();
                Answer::default()
            }
            Verb::Commit => {
                self.commit().await?;
                Answer::default()
            }
            Verb::Sleep(seconds) => {
                self.pause(Duration::from_secs_f64(seconds.clamp(0.0, 3600.0)))
                    .await?;
                Answer {
                    columns: vec![Column {
                        name: "pg_sleep".to_owned(),
                        kind: Kind::Text,
                    }],
                    rows: vec![vec![Value::Text(String::new())]],
                    changed: 0,
                }
            }
            Verb::Savepoint | Verb::Data => {
                let work = self.core.config.work;
                self.pause(work).await?;
                let (sql, _) = dialect::strip_casts(sql);
                let answer = self.data(Change { sql, params }).await?;
                if let (Verb::Savepoint, Some(tx)) = (&verb, &mut self.open) {
                    tx.failed = false;
                }
                answer
            }
            Verb::Setting | Verb::Empty | Verb::Control | Verb::Rollback => Answer::default(),
        };
        let rows = answer.rows.len().max(answer.changed);
        let tag = dialect::tag(sql, rows);
        Ok((answer, tag))
    }

    async fn data(&mut self, change: Change) -> Result<Answer, Fault> {
        let savepoint = dialect::verb(&change.sql) == Verb::Savepoint;
        if savepoint && self.open.is_none() {
            return Err(Fault::new("25P01", "savepoints need a transaction"));
        }
        let probe = change.clone();
        let step = self
            .blocking(move |con| {
                if savepoint || !database::is_read(con, &probe.sql)? {
                    return Ok(Step::Write);
                }
                Ok(Step::Read(database::run(con, &probe)?))
            })
            .await?;
        match step {
            Step::Read(answer) => {
                self.core.count_read();
                Ok(answer)
            }
            Step::Write => self.write(change).await,
        }
    }

    async fn write(&mut self, change: Change) -> Result<Answer, Fault> {
        self.core.state().admit_write(self.term)?;
        let alone = self.open.is_none();
        let mut tx = self.open.take().unwrap_or_default();
        let result = self.write_in(&mut tx, change).await;
        if !alone {
            self.open = Some(tx);
            return result;
        }
        self.open = Some(tx);
        match result {
            Ok(answer) => {
                self.commit().await?;
                Ok(answer)
            }
            Err(fault) => {
                self.abandon().await;
                self.open = None;
                Err(fault)
            }
        }
    }

    async fn write_in(&mut self, tx: &mut Transaction, change: Change) -> Result<Answer, Fault> {
        if tx.writer.is_none() {
            let lock = Arc::clone(&self.core.writer).lock_owned();
            tokio::select! {
                guard = lock => tx.writer = Some(guard),
                () = self.cancel.cancelled() => return Err(Fault::cancelled()),
            }
            self.core.state().admit_write(self.term)?;
            self.blocking(|con| Ok(con.execute_batch("BEGIN IMMEDIATE")?))
                .await?;
        }
        let run = change.clone();
        let answer = self.blocking(move |con| database::run(con, &run)).await?;
        tx.changes.push(change);
        Ok(answer)
    }

    /// Commits the open transaction, if its term is still in force.
    async fn commit(&mut self) -> Result<(), Fault> {
        let Some(tx) = self.open.take() else {
            return Ok(());
        };
        let Some(writer) = tx.writer else {
            return Ok(());
        };
        let core = Arc::clone(&self.core);
        let term = self.term;
        let changes = tx.changes;
        let result = self
            .blocking(move |con| {
                let mut state = core.state();
                if let Err(fault) = state.admit_write(term) {
                    con.execute_batch("ROLLBACK")?;
                    return Err(fault);
                }
                con.execute_batch("COMMIT")?;
                state.commit(changes);
                Ok(())
            })
            .await;
        drop(writer);
        self.core.announce();
        result
    }

    /// Rolls back what the open transaction has written; it stays open as failed.
    pub async fn abandon(&mut self) {
        let Some(tx) = &mut self.open else {
            return;
        };
        tx.failed = true;
        tx.changes.clear();
        let Some(writer) = tx.writer.take() else {
            return;
        };
        let rolled = self
            .blocking(|con| {
                if !con.is_autocommit() {
                    con.execute_batch("ROLLBACK")?;
                }
                Ok(())
            })
            .await;
        drop(writer);
        if let Err(fault) = rolled {
            tracing::warn!(event = "rollback_failed", error = fault.message);
        }
    }

    fn admit(&self) -> Result<(), Fault> {
        self.core.state().admit(self.term)
    }

    async fn pause(&mut self, time: Duration) -> Result<(), Fault> {
        if time.is_zero() {
            return Ok(());
        }
        tokio::select! {
            () = tokio::time::sleep(time) => Ok(()),
            () = self.cancel.cancelled() => Err(Fault::cancelled()),
        }
    }

    /// Runs `work` on the connection, away from the async threads.
    async fn blocking<T: Send + 'static>(
        &mut self,
        work: impl FnOnce(&mut Connection) -> Result<T, Fault> + Send + 'static,
    ) -> Result<T, Fault> {
        let Some(mut con) = self.con.take() else {
            return Err(Fault::internal("the connection's database is lost"));
        };
        let done = tokio::task::spawn_blocking(move || {
            let result = work(&mut con);
            (con, result)
        });
        match done.await {
            Ok((con, result)) => {
                self.con = Some(con);
                result
            }
            Err(e) => Err(Fault::internal(e.to_string())),
        }
    }
}

/// Counts a running statement for as long as it lives.
struct Running {
    core: Arc<Core>,
}

impl Running {
    fn enter(core: &Arc<Core>) -> Self {
        let now = core.running.fetch_add(1, Ordering::Relaxed) + 1;
        core.running_max.fetch_max(now, Ordering::Relaxed);
        Self {
            core: Arc::clone(core),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.core.running.fetch_sub(1, Ordering::Relaxed);
    }
}
