//! Log of committed write transactions.

use std::sync::Arc;

use mustardbay_policy::position::Term;
use serde::Deserialize;
use serde::Serialize;

use super::value::Value;

/// SQL statement with its parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Statement {
    /// Statement text.
    pub sql: String,
    /// Values of the parameters, `$1` first.
    pub params: Vec<Value>,
}

/// One committed write transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// Term of the primary that committed it.
    pub term: Term,
    /// Position in the group's log, from 1.
    pub index: u64,
    /// Write statements in the order of their execution.
    #[serde(rename = "changes")]
    pub statements: Vec<Statement>,
}

/// Terms of the entries in a log: where each term starts, and where the log ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TermHistory {
    /// Each term with the index of its first entry, in the order of the log.
    pub starts: Vec<(Term, u64)>,
    /// Index of the last entry.
    pub last: u64,
}

impl TermHistory {
    /// Returns the term of the entry at `index`.
    fn term_at(&self, index: u64) -> Option<Term> {
        let starts = self.starts.iter().rev();
        let mut starts = starts.skip_while(|(_, start)| *start > index);
        starts.next().map(|(term, _)| *term)
    }
}

/// Log entries with the indices 1, 2, 3 and so on.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<Arc<LogEntry>>,
}

impl Log {
    /// Returns the index of the last entry, 0 if there is none.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: Arc<LogEntry>) {
        debug_assert_eq!(
            entry.index,
            self.last() + 1,
            "indices of entries have no gap"
        );
        self.entries.push(entry);
    }

    /// Returns the entries after `index`, at most `limit` of them.
    #[must_use]
    pub fn after(&self, index: u64, limit: usize) -> Vec<Arc<LogEntry>> {
        let skip = usize::try_from(index).unwrap_or(usize::MAX);
        self.entries
            .iter()
            .skip(skip)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Removes every entry after `index`.
    pub fn truncate(&mut self, index: u64) {
        let keep = usize::try_from(index).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
    }

    /// Returns the terms of the log, which are enough to compare it with another log.
    #[must_use]
    pub fn term_history(&self) -> TermHistory {
        let mut starts: Vec<(Term, u64)> = Vec::new();
        for entry in &self.entries {
            if starts.last().is_none_or(|(term, _)| *term != entry.term) {
                starts.push((entry.term, entry.index));
            }
        }
        TermHistory {
            starts,
            last: self.last(),
        }
    }

    /// Returns the last index up to which this log and another one hold the same entries.
    ///
    /// Entries of the same term and index are equal, because one primary commits all of a term.
    #[must_use]
    pub fn last_common(&self, other: &TermHistory) -> u64 {
        let end = self.last().min(other.last);
        let entries = self.entries.iter().rev();
        entries
            .skip_while(|entry| entry.index > end)
            .find(|entry| other.term_at(entry.index) == Some(entry.term))
            .map_or(0, |entry| entry.index)
    }
}
