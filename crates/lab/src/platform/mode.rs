//! Fault modes of the platform stand-in.

use std::time::Duration;

use serde::Serialize;

/// Behaviour of the platform stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Answers every call.
    Up,
    /// Drops the connection of every call and watch, and does not run the call.
    Down,
    /// Answers every call after a delay.
    Slow(Duration),
    /// Runs every call, but drops its connection instead of answering.
    LoseAnswers,
}
