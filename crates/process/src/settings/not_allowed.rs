//! Error of a value that a settings type does not hold.

use thiserror::Error;

/// Value that is not allowed, without its key, which the loader of the file adds.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{value:?} is not allowed; allowed: {allowed}")]
pub struct NotAllowed {
    value: String,
    allowed: String,
}

impl NotAllowed {
    pub(super) fn new(value: String, allowed: String) -> Self {
        Self { value, allowed }
    }
}
