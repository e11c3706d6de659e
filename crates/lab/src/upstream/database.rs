//! SQLite database of one upstream: a temporary file with many readers beside one writer.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rusqlite::Connection;
use tempfile::TempDir;

use super::fault::Fault;
use super::log::Change;
use super::log::Entry;
use super::value::Kind;
use super::value::Value;

/// Longest wait for SQLite's own locks.
const BUSY_TIMEOUT: Duration = Duration::from_secs(5);

/// Prepared statements that each connection keeps.
const STATEMENT_CACHE: usize = 64;

/// Column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// Name.
    pub name: String,
    /// Type.
    pub kind: Kind,
}

/// Result of one statement.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Columns; empty if the statement yields no rows.
    pub columns: Vec<Column>,
    /// Rows, each with a value for every column.
    pub rows: Vec<Vec<Value>>,
    /// Rows that a write changed.
    pub changed: usize,
}

/// Temporary database file, removed when dropped.
#[derive(Debug)]
pub struct Database {
    dir: TempDir,
}

impl Database {
    /// Creates an empty database.
    ///
    /// # Errors
    ///
    /// Fails if the temporary folder or the file cannot be made.
    pub fn create() -> Result<Self, Fault> {
        let made = tempfile::Builder::new().prefix("mustardbay-lab-").tempdir();
        let dir = made.map_err(|e| Fault::internal(e.to_string()))?;
        let database = Self { dir };
        let con = database.open()?;
        con.pragma_update(None, "journal_mode", "wal")?;
        Ok(database)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if SQLite cannot open the file.
    pub fn open(&self) -> Result<Connection, Fault> {
        let con = Connection::open(self.path())?;
        con.busy_timeout(BUSY_TIMEOUT)?;
        con.pragma_update(None, "synchronous", "off")?;
        con.set_prepared_statement_cache_capacity(STATEMENT_CACHE);
        Ok(con)
    }

    fn path(&self) -> PathBuf {
        self.dir.path().join("data.sqlite")
    }
}

/// Tells whether a statement only reads.
///
/// # Errors
///
/// Fails if the statement does not compile.
pub fn is_read(con: &Connection, sql: &str) -> Result<bool, Fault> {
    Ok(con.prepare_cached(sql)?.readonly())
}

/// Runs one statement and collects its rows.
///
/// # Errors
///
/// Fails if the statement does not compile or run.
pub fn run(con: &Connection, change: &Change) -> Result<Answer, Fault> {
    let mut statement = con.prepare_cached(&change.sql)?;
    bind(&mut statement, &change.params)?;
    let width = statement.column_count();
    let mut rows = Vec::new();
    let mut cursor = statement.raw_query();
    while let Some(row) = cursor.next()? {
        let mut values = Vec::with_capacity(width);
        for at in 0..width {
            values.push(Value::from_ref(row.get_ref(at)?));
        }
        rows.push(values);
    }
    drop(cursor);
    let changed = if statement.readonly() {
        0
    } else {
        usize::try_from(con.changes()).unwrap_or(usize::MAX)
    };
    Ok(Answer {
        columns: columns(&statement, rows.first()),
        rows,
        changed,
    })
}

/// Describes the columns of a statement without keeping its rows.
///
/// # Errors
///
/// Fails if the statement does not compile.
pub fn describe(con: &Connection, sql: &str) -> Result<Vec<Column>, Fault> {
    let mut statement = con.prepare_cached(sql)?;
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

/// Executes entries in one transaction.
///
/// # Errors
///
/// Fails if a statement fails; nothing is executed then.
pub fn apply(con: &mut Connection, entries: &[Arc<Entry>]) -> Result<(), Fault> {
    let tx = con.transaction()?;
    for change in entries.iter().flat_map(|entry| &entry.changes) {
        run(&tx, change)?;
    }
    Ok(tx.commit()?)
}

/// Empties the database and executes entries, in one transaction.
///
/// # Errors
///
/// Fails if a statement fails; nothing has changed then.
pub fn rebuild(con: &mut Connection, entries: &[Arc<Entry>]) -> Result<(), Fault> {
    let tx = con.transaction()?;
    for drop in drops(&tx)? {
        tx.execute(&drop, [])?;
    }
    for change in entries.iter().flat_map(|entry| &entry.changes) {
        run(&tx, change)?;
    }
    Ok(tx.commit()?)
}

fn drops(con: &Connection) -> Result<Vec<String>, Fault> {
    let mut statement = con.prepare(
        "SELECT type, name FROM sqlite_master \
         WHERE type IN ('table', 'view') AND name NOT LIKE 'sqlite_%'",
    )?;
    let rows = statement.query_map([], |row| {
        let kind: String = row.get(0)?;
        let name: String = row.get(1)?;
        Ok(format!("DROP {kind} \"{name}\""))
    })?;
    Ok(rows.collect::<Result<_, _>>()?)
}

fn bind(statement: &mut rusqlite::Statement<'_>, params: &[Value]) -> Result<(), Fault> {
    for at in 1..=statement.parameter_count() {
        let place = number(statement, at).checked_sub(1);
        let value = place.and_then(|place| params.get(place));
        statement.raw_bind_parameter(at, value.unwrap_or(&Value::Null))?;
    }
    Ok(())
}

fn columns(statement: &rusqlite::Statement<'_>, sample: Option<&Vec<Value>>) -> Vec<Column> {
    let kind = |at: usize, column: &rusqlite::Column<'_>| {
        let declared = column.decl_type().map(Kind::from_name);
        let seen = || sample.and_then(|row| row.get(at)?.kind());
        declared
            .or_else(seen)
            .unwrap_or_else(|| expression_kind(column.name()))
    };
    let columns = statement.columns();
    let columns = columns.enumerate().map(|(at, column)| Column {
        name: column.name().to_owned(),
        kind: kind(at, &column),
    });
    columns.collect()
}

/// Guesses the type of an expression that has yielded no value from its text.
fn expression_kind(text: &str) -> Kind {
    let text = text.to_ascii_lowercase();
    let is_int = ["count(", "sum(", "max(", "min(", "length(", "coalesce("];
    if is_int.iter().any(|start| text.starts_with(start)) {
        Kind::Int
    } else if text.starts_with("avg(") || text.starts_with("total(") {
        Kind::Real
    } else {
        Kind::Text
    }
}

/// Returns the highest parameter number of a statement.
///
/// # Errors
///
/// Fails if the statement does not compile.
pub fn parameter_count(con: &Connection, sql: &str) -> Result<usize, Fault> {
    let statement = con.prepare_cached(sql)?;
    let numbers = (1..=statement.parameter_count()).map(|at| number(&statement, at));
    Ok(numbers.max().unwrap_or(0))
}

/// Returns the number in the name of the parameter at `at`.
fn number(statement: &rusqlite::Statement<'_>, at: usize) -> usize {
    let name = statement.parameter_name(at);
    name.and_then(|name| name.get(1..)?.parse().ok())
        .unwrap_or(at)
}
