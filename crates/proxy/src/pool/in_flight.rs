//! Limit on the statements that an upstream is sent at a time.
//!
//! Load: an upstream that is a region away, whose slots would be idle for most of a round trip if
//! it were sent no more statements than it runs at a time.

use std::time::Duration;

use crate::pool::Pool;
use crate::pool::upstream::Upstream;

/// Statements sent beyond an upstream's slots, so that no slot is idle for a short round trip.
const EXTRA_STATEMENTS: u32 = 1;
/// Round trip within a region, for which the extra statements suffice.
pub(super) const SHORT_ROUND_TRIP: Duration = Duration::from_millis(5);
/// Most statements in flight for each slot.
///
/// What arrives together waits at the upstream, where nothing urgent can overtake it.
const MAX_PER_SLOT: u32 = 6;

impl Pool {
    /// Returns how many statements an upstream is sent at a time.
    ///
    /// They keep its slots busy for the time that a statement and its answer are on the network.
    pub(super) fn max_in_flight(&self, upstream: &Upstream) -> u32 {
        let slots = upstream.registration.slots;
        let near = slots.saturating_add(EXTRA_STATEMENTS);
        if upstream.round_trip.time() <= SHORT_ROUND_TRIP {
            return near;
        }
        let travel = upstream.round_trip.per_statement();
        let travelling = statements_within(travel, self.service_times.mean(), slots);
        let most = slots.saturating_mul(MAX_PER_SLOT).min(self.share);
        near.saturating_add(travelling).min(most).max(near)
    }
}

/// Returns how many statements `slots` slots run in `time`.
fn statements_within(time: Duration, service: Duration, slots: u32) -> u32 {
    let statements = time.as_micros() * u128::from(slots) / service.as_micros().max(1);
    u32::try_from(statements).unwrap_or(u32::MAX)
}
