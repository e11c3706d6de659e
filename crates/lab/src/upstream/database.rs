//! SQLite database of one upstream: a temporary file in WAL mode.
//!
//! WAL mode lets many connections read while one writes.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rusqlite::Connection;
use tempfile::TempDir;

use super::log::LogEntry;
use super::log::Statement;
use super::sql_error::SqlError;
use super::value::SqlType;
use super::value::Value;

/// Time that SQLite waits for its own locks before it reports that the database is busy.
const BUSY_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of prepared statements that each connection caches.
const STATEMENT_CACHE_CAPACITY: usize = 64;

/// Column of a query result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// Name.
    pub name: String,
    /// Type.
    pub sql_type: SqlType,
}

/// Result of one statement: rows of a read, or the number of rows that a write changed.
#[derive(Debug, Clone, Default)]
pub struct QueryResult {
    /// Columns; empty if the statement returns no rows.
    pub columns: Vec<Column>,
    /// Rows, each with a value for every column.
    pub rows: Vec<Vec<Value>>,
    /// Number of rows that a write changed.
    pub changed: usize,
}

/// Temporary database file, removed when the handle is dropped.
#[derive(Debug)]
pub struct Database {
    dir: TempDir,
}

impl Database {
    /// Creates an empty database.
    ///
    /// # Errors
    ///
    /// Fails if the temporary directory or the file cannot be created.
    pub fn create() -> Result<Self, SqlError> {
        let created = tempfile::Builder::new().prefix("mustardbay-lab-").tempdir();
        let dir = created.map_err(|e| SqlError::internal(e.to_string()))?;
        let database = Self { dir };
        let conn = database.open()?;
        conn.pragma_update(None, "journal_mode", "wal")?;
        Ok(database)
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Fails if SQLite cannot open or configure the file.
    pub fn open(&self) -> Result<Connection, SqlError> {
        let conn = Connection::open(self.path())?;
        conn.busy_timeout(BUSY_TIMEOUT)?;
        conn.pragma_update(None, "synchronous", "off")?;
        conn.set_prepared_statement_cache_capacity(STATEMENT_CACHE_CAPACITY);
        Ok(conn)
    }

    fn path(&self) -> PathBuf {
        self.dir.path().join("data.sqlite")
    }
}

/// Returns whether a statement only reads.
///
/// # Errors
///
/// Fails if the statement does not compile.
pub fn is_read(conn: &Connection, sql: &str) -> Result<bool, SqlError> {
    Ok(conn.prepare_cached(sql)?.readonly())
}

/// Runs one statement and collects its rows.
///
/// # Errors
///
/// Fails if the statement does not compile or run.
pub fn run(conn: &Connection, statement: &Statement) -> Result<QueryResult, SqlError> {
    let mut prepared = conn.prepare_cached(&statement.sql)?;
    bind(&mut prepared, &statement.params)?;
    let width = prepared.column_count();
    let mut rows = Vec::new();
    let mut cursor = prepared.raw_query();
    while let Some(row) = cursor.next()? {
        let mut values = Vec::with_capacity(width);
        for at in 0..width {
            values.push(Value::from_ref(row.get_ref(at)?));
        }
        rows.push(values);
    }
    drop(cursor);
    let changed = if prepared.readonly() {
        0
    } else {
        usize::try_from(conn.changes()).unwrap_or(usize::MAX)
    };
    Ok(QueryResult {
        columns: columns(&prepared, rows.first()),
        rows,
        changed,
    })
}

/// Returns the columns of a statement.
///
/// A read is run up to its first row, whose values give the types that are not declared.
///
/// # Errors
///
/// Fails if the statement does not compile.
pub fn describe(conn: &Connection, sql: &str) -> Result<Vec<Column>, SqlError> {
    let mut statement = conn.prepare_cached(sql)?;
    if !statement.readonly() || statement.column_count() == 0 {
        return Ok(columns(&statement, None));
    }
    let width = statement.column_count();
    let mut cursor = statement.raw_query();
    let mut sample = None;
    if let Ok(Some(row)) = cursor.next() {
        let values = (0..width).map(|at| row.get_ref(at).map(Value::from_ref));
        sample = values.collect::<Result<Vec<_>, _>>().ok();
    }
    drop(cursor);
    Ok(columns(&statement, sample.as_ref()))
}

/// Executes log entries in one transaction.
///
/// # Errors
///
/// Fails if a statement fails; the database is unchanged then.
pub fn apply(conn: &mut Connection, entries: &[Arc<LogEntry>]) -> Result<(), SqlError> {
    let tx = conn.transaction()?;
    for statement in entries.iter().flat_map(|entry| &entry.statements) {
        run(&tx, statement)?;
    }
    Ok(tx.commit()?)
}

/// Empties the database and executes log entries, in one transaction.
///
/// # Errors
///
/// Fails if a statement fails; the database is unchanged then.
pub fn rebuild(conn: &mut Connection, entries: &[Arc<LogEntry>]) -> Result<(), SqlError> {
    let tx = conn.transaction()?;
    for sql in drop_statements(&tx)? {
        tx.execute(&sql, [])?;
    }
    for statement in entries.iter().flat_map(|entry| &entry.statements) {
        run(&tx, statement)?;
    }
    Ok(tx.commit()?)
}

/// Returns the statements that drop every table and view.
fn drop_statements(conn: &Connection) -> Result<Vec<String>, SqlError> {
    let mut statement = conn.prepare(
        "SELECT type, name FROM sqlite_master \
         WHERE type IN ('table', 'view') AND name NOT LIKE 'sqlite_%'",
    )?;
    let rows = statement.query_map([], |row| {
        let object: String = row.get(0)?;
        let name: String = row.get(1)?;
        Ok(format!("DROP {object} \"{name}\""))
    })?;
    Ok(rows.collect::<Result<_, _>>()?)
}

fn bind(statement: &mut rusqlite::Statement<'_>, params: &[Value]) -> Result<(), SqlError> {
    for at in 1..=statement.parameter_count() {
        let index = parameter_number(statement, at).checked_sub(1);
        let value = index.and_then(|index| params.get(index));
        statement.raw_bind_parameter(at, value.unwrap_or(&Value::Null))?;
    }
    Ok(())
}

/// Returns the columns of a statement; `sample` is a row that types undeclared columns.
fn columns(statement: &rusqlite::Statement<'_>, sample: Option<&Vec<Value>>) -> Vec<Column> {
    let sql_type = |at: usize, column: &rusqlite::Column<'_>| {
        let declared = column.decl_type().map(SqlType::from_name);
        let sampled = || sample.and_then(|row| row.get(at)?.sql_type());
        declared
            .or_else(sampled)
            .unwrap_or_else(|| expression_type(column.name()))
    };
    let columns = statement.columns();
    let columns = columns.enumerate().map(|(at, column)| Column {
        name: column.name().to_owned(),
        sql_type: sql_type(at, &column),
    });
    columns.collect()
}

/// Guesses the type of an expression from its text, for a result without a value to sample.
fn expression_type(text: &str) -> SqlType {
    let text = text.to_ascii_lowercase();
    let int_functions = ["count(", "sum(", "max(", "min(", "length(", "coalesce("];
    if int_functions.iter().any(|start| text.starts_with(start)) {
        SqlType::Int
    } else if text.starts_with("avg(") || text.starts_with("total(") {
        SqlType::Real
    } else {
        SqlType::Text
    }
}

/// Returns the highest parameter number of a statement, 0 without parameters.
///
/// # Errors
///
/// Fails if the statement does not compile.
pub fn parameter_count(conn: &Connection, sql: &str) -> Result<usize, SqlError> {
    let statement = conn.prepare_cached(sql)?;
    let numbers = (1..=statement.parameter_count()).map(|at| parameter_number(&statement, at));
    Ok(numbers.max().unwrap_or(0))
}

/// Returns the number of the parameter at SQLite index `at`: 7 for `$7`.
fn parameter_number(statement: &rusqlite::Statement<'_>, at: usize) -> usize {
    let name = statement.parameter_name(at);
    name.and_then(|name| name.get(1..)?.parse().ok())
        .unwrap_or(at)
}
