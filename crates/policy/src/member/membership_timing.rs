//! Timeouts and intervals of membership.

use std::time::Duration;

use serde::Serialize;

/// Most members of a fleet that uses the short heartbeat interval.
const MAX_SMALL_FLEET: usize = 64;
/// Heartbeat interval of a small fleet.
const SMALL_FLEET_HEARTBEAT: Duration = Duration::from_millis(400);
/// Heartbeat interval of a large fleet.
const LARGE_FLEET_HEARTBEAT: Duration = Duration::from_secs(1);
/// Time for which a member that is gone is remembered.
const REMEMBER_GONE: Duration = Duration::from_mins(10);

/// Timeouts and intervals of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct MembershipTiming {
    /// Interval between heartbeats to the same steward.
    pub heartbeat: Duration,
    /// Time without an expected heartbeat after which a steward is suspected.
    pub silence: Duration,
    /// Time in which a suspected steward must refute the suspicion.
    pub refute: Duration,
    /// Time for which a member that is gone is remembered.
    pub remember: Duration,
}

impl MembershipTiming {
    /// Returns the timing for a fleet of `members` vms.
    #[must_use]
    pub fn for_fleet(members: usize) -> Self {
        let heartbeat = if members <= MAX_SMALL_FLEET {
            SMALL_FLEET_HEARTBEAT
        } else {
            LARGE_FLEET_HEARTBEAT
        };
        Self {
            heartbeat,
            silence: heartbeat * 4,
            refute: heartbeat * 3,
            remember: REMEMBER_GONE,
        }
    }
}
