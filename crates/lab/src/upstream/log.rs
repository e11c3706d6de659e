//! Log of committed write transactions.

use std::sync::Arc;

use mustardbay_policy::position::Term;
use serde::Deserialize;
use serde::Serialize;

use super::value::Value;

/// One write statement with its parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Statement text.
    pub sql: String,
    /// Parameters in order of their numbers.
    pub params: Vec<Value>,
}

/// One committed write transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Term of the primary that committed it.
    pub term: Term,
    /// Place in the group's log, from 1.
    pub index: u64,
    /// Statements in order.
    pub changes: Vec<Change>,
}

/// First index of each term in a log, and the log's end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outline {
    /// Terms with the index of their first entry, in order.
    pub starts: Vec<(Term, u64)>,
    /// Index of the last entry.
    pub last: u64,
}

impl Outline {
    /// Returns the term of the entry at `index`.
    fn term_at(&self, index: u64) -> Option<Term> {
        let runs = self.starts.iter().rev();
        let mut runs = runs.skip_while(|(_, start)| *start > index);
        runs.next().map(|(term, _)| *term)
    }
}

/// Entries from index 1 on.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<Arc<Entry>>,
}

impl Log {
    /// Returns the index of the last entry, 0 if there is none.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Adds an entry that follows the last one.
    pub fn push(&mut self, entry: Arc<Entry>) {
        debug_assert_eq!(entry.index, self.last() + 1, "entries follow each other");
        self.entries.push(entry);
    }

    /// Returns at most `limit` entries after `index`.
    #[must_use]
    pub fn after(&self, index: u64, limit: usize) -> Vec<Arc<Entry>> {
        let skip = usize::try_from(index).unwrap_or(usize::MAX);
        self.entries
            .iter()
            .skip(skip)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Drops every entry after `index`.
    pub fn truncate(&mut self, index: u64) {
        let keep = usize::try_from(index).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
    }

    /// Summarises the terms of the log.
    #[must_use]
    pub fn outline(&self) -> Outline {
        let mut starts: Vec<(Term, u64)> = Vec::new();
        for entry in &self.entries {
            if starts.last().is_none_or(|(term, _)| *term != entry.term) {
                starts.push((entry.term, entry.index));
            }
        }
        Outline {
            starts,
            last: self.last(),
        }
    }

    /// Returns the last index up to which this log and the outlined one hold the same entries.
    #[must_use]
    pub fn common(&self, other: &Outline) -> u64 {
        let end = self.last().min(other.last);
        let same = self.entries.iter().rev();
        same.skip_while(|entry| entry.index > end)
            .find(|entry| other.term_at(entry.index) == Some(entry.term))
            .map_or(0, |entry| entry.index)
    }
}
