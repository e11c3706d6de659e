//! Result of a local program's draw of tokens.

use std::time::Duration;

/// Result of a local program's draw of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Draw {
    /// Number of whole tokens granted, valid for [`GRANT_VALIDITY`](super::GRANT_VALIDITY).
    Granted(u64),
    /// No whole token is available.
    Unavailable {
        /// Time until the share accrues a token; `None` if it never does.
        retry_after: Option<Duration>,
    },
}
