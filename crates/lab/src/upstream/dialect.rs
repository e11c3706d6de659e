//! What the stand-in needs to know of a statement's text.

use std::collections::BTreeMap;

use rusqlite::Connection;

use super::value::Kind;

/// What a statement asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Verb {
    /// Starts a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets, returns to or releases a savepoint.
    Savepoint,
    /// Changes a setting, which has no effect here.
    Setting,
    /// Sleeps for so many seconds.
    Sleep(f64),
    /// Calls a control function.
    Control,
    /// Holds nothing but spaces and comments.
    Empty,
    /// Reads or writes data.
    Data,
}

/// Classifies one statement.
#[must_use]
pub fn verb(sql: &str) -> Verb {
    let text = body(sql).to_ascii_lowercase();
    let words: Vec<&str> = text.split_whitespace().collect();
    let second = words.get(1).copied().unwrap_or_default();
    match words.first().copied().unwrap_or_default() {
        "" => Verb::Empty,
        "begin" | "start" => Verb::Begin,
        "commit" | "end" => Verb::Commit,
        "rollback" | "abort" if second.starts_with("to") => Verb::Savepoint,
        "rollback" | "abort" => Verb::Rollback,
        "savepoint" | "release" => Verb::Savepoint,
        "set" | "reset" | "discard" | "deallocate" => Verb::Setting,
        "select" if second == "*" && text.contains("from mustardbay_") => Verb::Control,
        "select" if second.starts_with("pg_sleep(") => Verb::Sleep(sleep_seconds(&text)),
        _ => Verb::Data,
    }
}

/// Returns the command tag of a statement that touched `rows` rows.
#[must_use]
pub fn tag(sql: &str, rows: usize) -> String {
    let text = body(sql);
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

/// Splits a simple query at its semicolons, outside quotes and comments.
#[must_use]
pub fn split(sql: &str) -> Vec<String> {
    let mut parts = Vec::new();
    let mut part = String::new();
    let mut quote = None;
    let mut chars = sql.chars().peekable();
    while let Some(c) = chars.next() {
        match quote {
            Some(open) if c == open => quote = None,
            None if c == '\'' || c == '"' => quote = Some(c),
            None if c == '-' && chars.peek() == Some(&'-') => {
                chars.by_ref().find(|c| *c == '\n');
                part.push('\n');
                continue;
            }
            None if c == ';' => {
                parts.push(std::mem::take(&mut part));
                continue;
            }
            _ => {}
        }
        part.push(c);
    }
    parts.push(part);
    parts.retain(|part| !body(part).is_empty());
    parts
}

/// Removes `::type` casts, which SQLite does not know.
///
/// Returns the text and the types that the casts gave to parameters, by number.
#[must_use]
pub fn strip_casts(sql: &str) -> (String, BTreeMap<usize, Kind>) {
    let mut text = String::with_capacity(sql.len());
    let mut kinds = BTreeMap::new();
    let mut rest = sql;
    while let Some(at) = rest.find("::") {
        let (before, after) = rest.split_at(at);
        text.push_str(before);
        let after = &after[2..];
        let end = after
            .find(|c: char| !c.is_ascii_alphanumeric() && c != '_')
            .unwrap_or(after.len());
        if let Some(number) = trailing_parameter(before) {
            kinds.insert(number, Kind::from_name(&after[..end]));
        }
        rest = &after[end..];
    }
    text.push_str(rest);
    (text, kinds)
}

/// Infers the type of each parameter from the columns that it meets.
#[must_use]
pub fn parameter_kinds(con: &Connection, sql: &str) -> BTreeMap<usize, Kind> {
    let columns = column_kinds(con);
    let tokens = tokens(sql);
    let mut kinds = insert_kinds(&tokens, &columns);
    for (at, token) in tokens.iter().enumerate() {
        let Some(number) = parameter(token) else {
            continue;
        };
        let before = tokens[..at].iter().rev();
        let mut names = before.filter(|t| t.starts_with(|c: char| c.is_ascii_alphabetic()));
        let name = names.next().map_or("", String::as_str);
        let kind = match name {
            "limit" | "offset" => Some(Kind::Int),
            name => columns.get(name).copied(),
        };
        if let Some(kind) = kind {
            kinds.entry(number).or_insert(kind);
        }
    }
    kinds
}

/// Matches the values of `INSERT INTO t (a, b) VALUES ($1, $2)` with its columns.
fn insert_kinds(tokens: &[String], columns: &BTreeMap<String, Kind>) -> BTreeMap<usize, Kind> {
    let mut kinds = BTreeMap::new();
    let Some(values) = tokens.iter().position(|t| t == "values") else {
        return kinds;
    };
    let Some(open) = tokens[..values].iter().position(|t| t == "(") else {
        return kinds;
    };
    let names: Vec<&String> = tokens[open..values]
        .iter()
        .filter(|t| !matches!(t.as_str(), "(" | ")" | ","))
        .collect();
    let mut depth = 0;
    let mut place = 0;
    for token in &tokens[values..] {
        match token.as_str() {
            "(" => depth += 1,
            ")" => depth -= 1,
            "," if depth == 1 => place += 1,
            "," if depth == 0 => place = 0,
            _ => {}
        }
        let kind = names.get(place).and_then(|name| columns.get(*name));
        if let (Some(number), Some(kind)) = (parameter(token), kind) {
            kinds.insert(number, *kind);
        }
    }
    kinds
}

fn column_kinds(con: &Connection) -> BTreeMap<String, Kind> {
    let query = "SELECT c.name, c.type FROM sqlite_master m, pragma_table_info(m.name) c \
                 WHERE m.type = 'table'";
    let mut kinds = BTreeMap::new();
    let Ok(mut statement) = con.prepare_cached(query) else {
        return kinds;
    };
    let rows = statement.query_map([], |row| {
        let name: String = row.get(0)?;
        let kind: String = row.get(1)?;
        Ok((name, kind))
    });
    for (name, kind) in rows.into_iter().flatten().flatten() {
        kinds.insert(name.to_ascii_lowercase(), Kind::from_name(&kind));
    }
    kinds
}

fn tokens(sql: &str) -> Vec<String> {
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

fn parameter(token: &str) -> Option<usize> {
    token.strip_prefix('$')?.parse().ok()
}

fn trailing_parameter(text: &str) -> Option<usize> {
    parameter(&text[text.rfind('$')?..])
}

/// Returns the statement without leading comments and spaces and without its semicolon.
fn body(sql: &str) -> &str {
    let mut text = sql.trim();
    while let Some(comment) = text.strip_prefix("/*") {
        let Some(end) = comment.find("*/") else {
            return "";
        };
        text = comment[end + 2..].trim_start();
    }
    text.trim_end_matches(';').trim_end()
}

fn sleep_seconds(text: &str) -> f64 {
    let start = text
        .find("pg_sleep(")
        .map_or(0, |at| at + "pg_sleep(".len());
    let number = text[start..].split(')').next().unwrap_or_default();
    number.trim().parse().unwrap_or(0.0)
}
