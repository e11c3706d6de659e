//! Faults found in a bundle.

use std::fmt;

use serde::Serialize;
use thiserror::Error;

/// One fault and its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Fault {
    /// Path from the top of the bundle, such as `accounts[3].routes[0]`; empty for the whole.
    pub path: String,
    /// Line in the YAML text, counted from 1, where it is known.
    pub line: Option<u64>,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl Fault {
    /// Creates a fault whose line is not known.
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

/// Every fault of a bundle that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}", lines(.0))]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Returns `value` if there is no fault.
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
