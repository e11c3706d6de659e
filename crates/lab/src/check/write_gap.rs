//! Longest interruption of acknowledged writes around a fault.

use std::time::Duration;

use crate::history::Action;
use crate::history::Ending;
use crate::history::Request;

/// Returns the longest gap between acknowledged writes that end from `from` to `to`, inclusive.
///
/// The first gap starts at `from`; the time after the last write does not count. Both bounds are
/// offsets from the start of the run. Returns `None` if no write was acknowledged between them.
#[must_use]
pub fn write_gap(requests: &[Request], from: Duration, to: Duration) -> Option<Duration> {
    let mut acknowledged: Vec<Duration> = requests
        .iter()
        .filter(|request| request.action == Action::Write)
        .filter(|request| matches!(request.ending, Ending::Done { .. }))
        .map(|request| Duration::from_micros(request.end_us))
        .filter(|end| (from..=to).contains(end))
        .collect();
    acknowledged.sort();
    acknowledged.first()?;
    let mut previous = from;
    let mut gap = Duration::ZERO;
    for end in acknowledged {
        gap = gap.max(end.saturating_sub(previous));
        previous = end;
    }
    Some(gap)
}
