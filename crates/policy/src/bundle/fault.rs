//! Validation faults of a bundle.

use std::fmt;

use serde::Serialize;
use thiserror::Error;

/// Validation fault with its path and line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Fault {
    /// Path of the value, such as `accounts[3].routes[0]`; empty for the document.
    pub path: String,
    /// Line in the YAML text, counted from 1, if known.
    pub line: Option<u64>,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl Fault {
    /// Creates a fault without a line.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            line: None,
            message: message.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// All faults of a bundle that failed validation.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}", lines(.0))]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Returns `value` if `faults` is empty, else the faults.
    pub(super) fn into_result<T>(value: T, faults: Vec<Fault>) -> Result<T, Self> {
        if faults.is_empty() {
            Ok(value)
        } else {
            Err(Self(faults))
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
