//! Faults that the platform can be switched to.

use std::time::Duration;

use serde::Serialize;

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Answers.
    Up,
    /// Drops every connection without running the call, watches included.
    Down,
    /// Answers late.
    Slow(Duration),
    /// Runs every call and drops its connection without an answer.
    LoseAnswers,
}
