//! Exit codes that all programs share.

use std::process::ExitCode;

/// Exit status of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The program succeeded: code 0.
    Done,
    /// The program ran and failed: code 1.
    Failed,
    /// The arguments or settings are invalid: code 2.
    Usage,
    /// The request conflicts with the current state: code 3.
    Conflict,
    /// A service that the program needs is unreachable: code 4.
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
