//! Recorded history of a run, as JSON lines.

use std::io;
use std::io::BufRead;
use std::io::Write;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::RouteName;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::check::Verdict;

/// Client account with what it is entitled to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLimit {
    /// Name.
    pub name: AccountName,
    /// Statements per second.
    pub rate: f64,
    /// Statements that may come at once.
    pub burst: f64,
}

/// What a request did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Reads the newest sequence number of its session.
    Read,
    /// Adds a row with the next sequence number of its session.
    Write,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Ending {
    /// It was answered; a read with the sequence number that it saw.
    Done {
        /// Sequence number that a read saw, or that a write wrote.
        seq: u64,
    },
    /// It was refused and did not run.
    NotRun {
        /// SQLSTATE of the refusal.
        sqlstate: String,
    },
    /// Whether it ran is not known.
    Unknown,
    /// It ran and failed.
    Failed {
        /// SQLSTATE of the error.
        sqlstate: String,
    },
    /// No connection could be made for it, so it was never sent.
    Unsent,
}

/// Request of a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Number, unique in the run.
    pub id: u64,
    /// Session that it belongs to; a session has one request at a time.
    pub session: u64,
    /// Account that it runs for.
    pub account: AccountName,
    /// Route that it takes.
    pub route: RouteName,
    /// What it did.
    pub action: Action,
    /// Sequence number that a write carries, 0 for a read.
    #[serde(default)]
    pub seq: u64,
    /// When it was meant to start, in microseconds of the run.
    pub due_us: u64,
    /// When it was sent.
    pub start_us: u64,
    /// When it ended.
    pub end_us: u64,
    /// How it ended.
    pub ending: Ending,
}

/// One line of a history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Line {
    /// An account of the run.
    Account(AccountLimit),
    /// A request.
    Request(Request),
    /// Rows that the database holds of a write after the run.
    Found {
        /// Number of the request.
        id: u64,
        /// Rows.
        rows: u64,
    },
    /// A fault that was brought about.
    Fault {
        /// When, in microseconds of the run.
        at_us: u64,
        /// Which.
        name: String,
    },
    /// What the checks must find.
    Expect(Verdict),
}

/// Whole history of a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Accounts.
    pub accounts: Vec<AccountLimit>,
    /// Requests.
    pub requests: Vec<Request>,
    /// Rows found after the run by request; absent if nobody looked.
    pub found: Option<std::collections::BTreeMap<u64, u64>>,
    /// Faults with their times in microseconds.
    pub faults: Vec<(u64, String)>,
    /// Stated outcome, in a recorded trace.
    pub expect: Option<Verdict>,
}

/// History that cannot be read.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file cannot be read or written.
    #[error("history cannot be read or written: {0}")]
    Io(#[from] io::Error),
    /// A line is none.
    #[error("history line {line}: {source}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong.
        source: serde_json::Error,
    },
}

impl History {
    /// Reads a history.
    ///
    /// # Errors
    ///
    /// Fails on the first line that makes no sense.
    pub fn read(input: impl BufRead) -> Result<Self, HistoryError> {
        let mut history = Self::default();
        for (at, text) in input.lines().enumerate() {
            let text = text?;
            if text.is_empty() || text.starts_with('#') {
                continue;
            }
            let parsed = serde_json::from_str(&text);
            let line = parsed.map_err(|source| HistoryError::Line {
                line: at + 1,
                source,
            })?;
            history.add(line);
        }
        Ok(history)
    }

    /// Adds a line.
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

    /// Writes the history.
    ///
    /// # Errors
    ///
    /// Fails if the output does.
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
