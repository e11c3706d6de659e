//! Classification and translation of PostgreSQL statements for SQLite.

use std::collections::BTreeMap;

use rusqlite::Connection;

use super::value::SqlType;

/// Kind of a statement, which decides how a session runs it.
#[derive(Debug, Clone, PartialEq)]
pub enum StatementKind {
    /// Begins a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets, rolls back to or releases a savepoint.
    Savepoint,
    /// Changes session state, which the stand-in ignores.
    Setting,
    /// Sleeps for a number of seconds.
    Sleep(f64),
    /// Calls a control function.
    Control,
    /// Contains only whitespace and comments.
    Empty,
    /// Reads or writes data.
    Data,
}

/// Classifies one statement.
#[must_use]
pub fn classify(sql: &str) -> StatementKind {
    let text = trim_statement(sql).to_ascii_lowercase();
    let words: Vec<&str> = text.split_whitespace().collect();
    let second = words.get(1).copied().unwrap_or_default();
    match words.first().copied().unwrap_or_default() {
        "" => StatementKind::Empty,
        "begin" | "start" => StatementKind::Begin,
        "commit" | "end" => StatementKind::Commit,
        "rollback" | "abort" if second.starts_with("to") => StatementKind::Savepoint,
        "rollback" | "abort" => StatementKind::Rollback,
        "savepoint" | "release" => StatementKind::Savepoint,
        "set" | "reset" | "discard" | "deallocate" => StatementKind::Setting,
        "select" if second == "*" && text.contains("from mustardbay_") => StatementKind::Control,
        "select" if second.starts_with("pg_sleep(") => StatementKind::Sleep(sleep_seconds(&text)),
        _ => StatementKind::Data,
    }
}

/// Returns the command tag of a statement that returned or changed `rows` rows.
#[must_use]
pub fn command_tag(sql: &str, rows: usize) -> String {
    let text = trim_statement(sql);
    let mut words = text.split_whitespace().map(str::to_ascii_uppercase);
    let first = words.next().unwrap_or_default();
    match first.as_str() {
        "SELECT" | "WITH" | "VALUES" => format!("SELECT {rows}"),
        "INSERT" | "REPLACE" => format!("INSERT 0 {rows}"),
        "UPDATE" | "DELETE" => format!("{first} {rows}"),
        "START" => "BEGIN".to_owned(),
        "END" => "COMMIT".to_owned(),
        "ABORT" => "ROLLBACK".to_owned(),
        "CREATE" | "DROP" | "ALTER" => match words.next() {
            Some(second) => format!("{first} {second}"),
            None => first,
        },
        _ => first,
    }
}

/// Splits a simple query into statements at semicolons outside quotes and line comments.
#[must_use]
pub fn split_statements(sql: &str) -> Vec<String> {
    let mut statements = Vec::new();
    let mut statement = String::new();
    let mut quote = None;
    let mut chars = sql.chars().peekable();
    while let Some(c) = chars.next() {
        match quote {
            Some(open) if c == open => quote = None,
            None if c == '\'' || c == '"' => quote = Some(c),
            None if c == '-' && chars.peek() == Some(&'-') => {
                chars.by_ref().find(|c| *c == '\n');
                statement.push('\n');
                continue;
            }
            None if c == ';' => {
                statements.push(std::mem::take(&mut statement));
                continue;
            }
            _ => {}
        }
        statement.push(c);
    }
    statements.push(statement);
    statements.retain(|statement| !trim_statement(statement).is_empty());
    statements
}

/// Removes `::type` casts, which SQLite does not support.
///
/// Returns the text and the types of the parameters that were cast, by parameter number.
#[must_use]
pub fn strip_casts(sql: &str) -> (String, BTreeMap<usize, SqlType>) {
    let mut text = String::with_capacity(sql.len());
    let mut sql_types = BTreeMap::new();
    let mut rest = sql;
    while let Some(at) = rest.find("::") {
        let (before, after) = rest.split_at(at);
        text.push_str(before);
        let after = &after[2..];
        let end = after
            .find(|c: char| !c.is_ascii_alphanumeric() && c != '_')
            .unwrap_or(after.len());
        if let Some(number) = trailing_parameter(before) {
            sql_types.insert(number, SqlType::from_name(&after[..end]));
        }
        rest = &after[end..];
    }
    text.push_str(rest);
    (text, sql_types)
}

/// Infers the types of parameters from the columns they are inserted into or compared with.
///
/// The column that a parameter is compared with is taken to be the nearest word before it. Columns
/// are looked up by name in all tables. Returns the types by parameter number.
#[must_use]
pub fn parameter_types(conn: &Connection, sql: &str) -> BTreeMap<usize, SqlType> {
    let columns = column_types(conn);
    let tokens = tokenize(sql);
    let mut sql_types = insert_types(&tokens, &columns);
    for (at, token) in tokens.iter().enumerate() {
        let Some(number) = parameter_number(token) else {
            continue;
        };
        let before = tokens[..at].iter().rev();
        let mut names = before.filter(|t| t.starts_with(|c: char| c.is_ascii_alphabetic()));
        let name = names.next().map_or("", String::as_str);
        let sql_type = match name {
            "limit" | "offset" => Some(SqlType::Int),
            name => columns.get(name).copied(),
        };
        if let Some(sql_type) = sql_type {
            sql_types.entry(number).or_insert(sql_type);
        }
    }
    sql_types
}

/// Infers the parameter types of `INSERT INTO t (a, b) VALUES ($1, $2)` from its column list.
fn insert_types(
    tokens: &[String],
    columns: &BTreeMap<String, SqlType>,
) -> BTreeMap<usize, SqlType> {
    let mut sql_types = BTreeMap::new();
    let Some(values) = tokens.iter().position(|t| t == "values") else {
        return sql_types;
    };
    let Some(open) = tokens[..values].iter().position(|t| t == "(") else {
        return sql_types;
    };
    let names: Vec<&String> = tokens[open..values]
        .iter()
        .filter(|t| !matches!(t.as_str(), "(" | ")" | ","))
        .collect();
    let mut depth = 0;
    let mut column = 0;
    for token in &tokens[values..] {
        match token.as_str() {
            "(" => depth += 1,
            ")" => depth -= 1,
            "," if depth == 1 => column += 1,
            "," if depth == 0 => column = 0,
            _ => {}
        }
        let sql_type = names.get(column).and_then(|name| columns.get(*name));
        if let (Some(number), Some(sql_type)) = (parameter_number(token), sql_type) {
            sql_types.insert(number, *sql_type);
        }
    }
    sql_types
}

/// Returns the declared types of the columns of all tables, by lower-case column name.
fn column_types(conn: &Connection) -> BTreeMap<String, SqlType> {
    let query = "SELECT c.name, c.type FROM sqlite_master m, pragma_table_info(m.name) c \
                 WHERE m.type = 'table'";
    let mut sql_types = BTreeMap::new();
    let Ok(mut statement) = conn.prepare_cached(query) else {
        return sql_types;
    };
    let rows = statement.query_map([], |row| {
        let name: String = row.get(0)?;
        let declared: String = row.get(1)?;
        Ok((name, declared))
    });
    for (name, declared) in rows.into_iter().flatten().flatten() {
        sql_types.insert(name.to_ascii_lowercase(), SqlType::from_name(&declared));
    }
    sql_types
}

/// Splits a statement into lower-case words and single other characters.
fn tokenize(sql: &str) -> Vec<String> {
    let mut tokens = Vec::new();
    let mut word = String::new();
    for c in sql.chars() {
        if c.is_ascii_alphanumeric() || c == '_' || c == '$' {
            word.push(c.to_ascii_lowercase());
            continue;
        }
        if !word.is_empty() {
            tokens.push(std::mem::take(&mut word));
        }
        if !c.is_whitespace() {
            tokens.push(c.to_string());
        }
    }
    if !word.is_empty() {
        tokens.push(word);
    }
    tokens
}

/// Returns the number of a parameter token: 7 for `$7`.
fn parameter_number(token: &str) -> Option<usize> {
    token.strip_prefix('$')?.parse().ok()
}

/// Returns the number of the parameter that ends a text, if it ends with one.
fn trailing_parameter(text: &str) -> Option<usize> {
    parameter_number(&text[text.rfind('$')?..])
}

/// Returns the statement without leading block comments, whitespace and its semicolon.
fn trim_statement(sql: &str) -> &str {
    let mut text = sql.trim();
    while let Some(comment) = text.strip_prefix("/*") {
        let Some(end) = comment.find("*/") else {
            return "";
        };
        text = comment[end + 2..].trim_start();
    }
    text.trim_end_matches(';').trim_end()
}

/// Returns the argument of `pg_sleep`, 0 if it is not a number.
fn sleep_seconds(text: &str) -> f64 {
    let start = text
        .find("pg_sleep(")
        .map_or(0, |at| at + "pg_sleep(".len());
    let number = text[start..].split(')').next().unwrap_or_default();
    number.trim().parse().unwrap_or(0.0)
}
