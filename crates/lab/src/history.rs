//! Recorded history of a load run, stored as JSON lines.

use std::io;
use std::io::BufRead;
use std::io::Write;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::RouteName;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::check::Verdict;

/// Rate limit of a client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLimit {
    /// Name of the account.
    pub name: AccountName,
    /// Statements allowed per second.
    pub rate: f64,
    /// Statements allowed at once, the capacity of the token bucket.
    pub burst: f64,
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Reads the highest sequence number of its session.
    Read,
    /// Inserts a row with the next sequence number of its session.
    Write,
}

/// Outcome of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Ending {
    /// The request succeeded.
    Done {
        /// Sequence number that a read returned or that a write inserted.
        seq: u64,
    },
    /// The request was refused and did not run.
    NotRun {
        /// SQLSTATE of the refusal.
        sqlstate: String,
    },
    /// The client does not know whether the request ran.
    Unknown,
    /// The request ran and failed.
    Failed {
        /// SQLSTATE of the error.
        sqlstate: String,
    },
    /// No connection could be opened, so the request was never sent.
    Unsent,
}

/// One request of a client, with its times and outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Identifier, unique within the run.
    pub id: u64,
    /// Session of the request; a session has one request in flight at a time.
    pub session: u64,
    /// Account of the client.
    pub account: AccountName,
    /// Route of the request.
    pub route: RouteName,
    /// Whether the request reads or writes.
    pub action: Action,
    /// Sequence number that a write inserts, 0 for a read.
    #[serde(default)]
    pub seq: u64,
    /// Scheduled start, in microseconds since the start of the run.
    pub due_us: u64,
    /// Time at which the request was sent, in microseconds since the start of the run.
    pub start_us: u64,
    /// Time at which the outcome was known, in microseconds since the start of the run.
    pub end_us: u64,
    /// Outcome.
    pub ending: Ending,
}

/// One line of a history file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Line {
    /// Rate limit of an account in the run.
    Account(AccountLimit),
    /// Request of a client.
    Request(Request),
    /// Number of rows that a write left in the database, counted after the run.
    Found {
        /// Identifier of the write request.
        id: u64,
        /// Number of rows.
        rows: u64,
    },
    /// Fault that was injected.
    Fault {
        /// Time of the injection, in microseconds since the start of the run.
        at_us: u64,
        /// Name of the fault.
        name: String,
    },
    /// Verdict that the checks must return for this history.
    Expect(Verdict),
}

/// Complete history of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Rate limits of the accounts.
    pub accounts: Vec<AccountLimit>,
    /// Requests of all clients.
    pub requests: Vec<Request>,
    /// Number of rows found after the run by write; `None` if the database was not read.
    pub found: Option<std::collections::BTreeMap<u64, u64>>,
    /// Injected faults with their times, in microseconds since the start of the run.
    pub faults: Vec<(u64, String)>,
    /// Expected verdict, in a recorded trace.
    pub expect: Option<Verdict>,
}

/// Error of reading or writing a history.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file could not be read or written.
    #[error("history cannot be read or written: {0}")]
    Io(#[from] io::Error),
    /// A line is not a valid JSON line of a history.
    #[error("history line {line}: {source}")]
    Line {
        /// Line number, starting at 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

impl History {
    /// Reads a history; empty lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the input cannot be read, and on the first line that does not parse.
    pub fn read(input: impl BufRead) -> Result<Self, HistoryError> {
        let mut history = Self::default();
        for (index, text) in input.lines().enumerate() {
            let text = text?;
            if text.is_empty() || text.starts_with('#') {
                continue;
            }
            let parsed = serde_json::from_str(&text);
            let line = parsed.map_err(|source| HistoryError::Line {
                line: index + 1,
                source,
            })?;
            history.add(line);
        }
        Ok(history)
    }

    /// Adds the content of one line.
    pub fn add(&mut self, line: Line) {
        match line {
            Line::Account(account) => self.accounts.push(account),
            Line::Request(request) => self.requests.push(request),
            Line::Found { id, rows } => {
                let found = self.found.get_or_insert_default();
                found.insert(id, rows);
            }
            Line::Fault { at_us, name } => self.faults.push((at_us, name)),
            Line::Expect(verdict) => self.expect = Some(verdict),
        }
    }

    /// Writes the history, except for the expected verdict.
    ///
    /// # Errors
    ///
    /// Fails if the output cannot be written.
    pub fn write(&self, mut output: impl Write) -> Result<(), HistoryError> {
        let accounts = self.accounts.iter().cloned().map(Line::Account);
        let requests = self.requests.iter().cloned().map(Line::Request);
        let found = self.found.iter().flatten();
        let found = found.map(|(id, rows)| Line::Found {
            id: *id,
            rows: *rows,
        });
        let faults = self.faults.iter().cloned();
        let faults = faults.map(|(at_us, name)| Line::Fault { at_us, name });
        for line in accounts.chain(requests).chain(found).chain(faults) {
            let text = serde_json::to_string(&line).map_err(io::Error::other)?;
            writeln!(output, "{text}")?;
        }
        Ok(())
    }
}
