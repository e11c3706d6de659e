//! Timeouts and intervals of a group's monitor.

use std::time::Duration;

use serde::Serialize;

use crate::bundle::Limits;

/// Least time that another proposer gets to finish its election.
const MIN_TAKEOVER: Duration = Duration::from_secs(1);
/// Longest interval between two probes of the primary.
const MAX_PROBE: Duration = Duration::from_secs(1);

/// Timeouts and intervals of a monitor, derived from the bundle's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct MonitorTiming {
    /// Time without contact after which the primary is suspected.
    pub suspect: Duration,
    /// Time after a failed connection after which the primary is suspected.
    pub lost: Duration,
    /// Interval between probes of the primary.
    pub probe: Duration,
    /// Interval between probes of each other upstream.
    pub check: Duration,
    /// Longest wait for the opinions of other monitors.
    pub ask: Duration,
    /// Longest wait for the remaining upstreams once a majority is fenced.
    pub grace: Duration,
    /// Pause before a failed command is retried.
    pub retry: Duration,
    /// Time after which another monitor takes over an unfinished election.
    pub takeover: Duration,
}

impl From<&Limits> for MonitorTiming {
    fn from(limits: &Limits) -> Self {
        let suspect = Duration::from_millis(limits.suspect_ms);
        let probe = (suspect / 4).min(MAX_PROBE);
        Self {
            suspect,
            lost: suspect / 3,
            probe,
            check: probe * 6,
            ask: suspect / 4,
            grace: suspect / 6,
            retry: suspect / 2,
            takeover: (suspect * 2).max(MIN_TAKEOVER),
        }
    }
}
