//! Answer to a local program's request for tokens.

use std::time::Duration;

/// Answer to a local program's request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Draw {
    /// Whole tokens, valid for [`GRANT_VALIDITY`](super::GRANT_VALIDITY) from the request on.
    Granted(u64),
    /// No token is at hand.
    Short {
        /// When the share is expected to hold a token; `None` if it cannot hold one.
        retry_after: Option<Duration>,
    },
}
