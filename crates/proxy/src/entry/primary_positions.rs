//! Recent log positions of each group's primary, taken from answers of the pools.
//!
//! A replica that has reached such a position can serve bounded-staleness reads without its
//! primary while the position is fresh enough. In a domain that is cut off, a vm that takes over a
//! group and never reached the primary can therefore go on serving these reads.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::names::GroupName;

use crate::clock::BootInstant;
use crate::position_history::PositionHistory;
use crate::work::DatedPosition;
use crate::work::LogPosition;
use crate::work::WorkUnit;

/// Age beyond which a position is dropped; longer than the usual staleness bounds.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Minimum time between two stored positions; limits a group to about thirty.
const MIN_SPACING: Duration = Duration::from_millis(100);

/// Position history of each group's primary.
#[derive(Debug, Default)]
pub(super) struct PrimaryPositions {
    histories: BTreeMap<GroupName, PositionHistory>,
}

impl PrimaryPositions {
    /// Records a position from the answer to a request that was sent at `sent`.
    ///
    /// The whole round trip counts as age, because the one-way delay is unknown.
    pub(super) fn learn(&mut self, group: &GroupName, seen: DatedPosition, sent: BootInstant) {
        let asked = sent.before(Duration::from_millis(seen.age_ms.into()));
        let histories = self.histories.entry(group.clone());
        let position_history =
            histories.or_insert_with(|| PositionHistory::new(MAX_AGE, MIN_SPACING));
        position_history.note(asked, seen.position.into());
    }

    /// Returns a position fresh enough for a unit that arrived at `now`.
    ///
    /// Returns `None` if the unit needs the primary, or if no such position is known.
    pub(super) fn fresh(
        &self,
        group: &GroupName,
        unit: &WorkUnit,
        now: BootInstant,
    ) -> Option<LogPosition> {
        if unit.needs_primary() {
            return None;
        }
        let position_history = self.histories.get(group)?;
        let staleness = Duration::from_millis(unit.staleness_ms.into());
        position_history
            .floor(staleness, now)
            .map(LogPosition::from)
    }
}
