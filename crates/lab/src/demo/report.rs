//! Table of what the demonstration did and saw.

use std::fmt;

/// Whether a step came out as promised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It did.
    Held,
    /// It did not.
    Broken,
}

impl Verdict {
    /// Returns the verdict on a condition that must be true.
    #[must_use]
    pub fn of(condition: bool) -> Self {
        if condition { Self::Held } else { Self::Broken }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Held => "held",
            Self::Broken => "BROKEN",
        })
    }
}

/// One step of the demonstration.
#[derive(Debug, Clone)]
pub struct Row {
    /// What was done.
    pub step: &'static str,
    /// What was seen.
    pub seen: String,
    /// Whether that is what was promised.
    pub verdict: Verdict,
}

/// Steps in the order they ran.
#[derive(Debug, Clone, Default)]
pub struct Report {
    rows: Vec<Row>,
}

impl Report {
    /// Adds a step.
    pub fn add(&mut self, step: &'static str, seen: impl Into<String>, verdict: Verdict) {
        self.rows.push(Row {
            step,
            seen: seen.into(),
            verdict,
        });
    }

    /// Returns the steps.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Tells whether every step came out as promised.
    #[must_use]
    pub fn all_held(&self) -> bool {
        self.rows.iter().all(|row| row.verdict == Verdict::Held)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            writeln!(f, "{:<7} {:<52} {}", row.verdict, row.step, row.seen)?;
        }
        Ok(())
    }
}
