//! Exit codes of every program.

use std::process::ExitCode;

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked: code 0.
    Done,
    /// It ran and failed: code 1.
    Failed,
    /// Its arguments or settings are wrong: code 2.
    Usage,
    /// The state in force conflicts with what was asked: code 3.
    Conflict,
    /// Something that it needs cannot be reached: code 4.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        let code = match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Conflict => 3,
            Exit::Unreachable => 4,
        };
        Self::from(code)
    }
}
