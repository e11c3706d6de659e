//! Gap in writes around a fault.

use std::time::Duration;

use crate::history::Action;
use crate::history::Ending;
use crate::history::Request;

/// Returns the longest time without an acknowledged write between two points of the run.
///
/// `None` if no write was acknowledged after the first point.
#[must_use]
pub fn write_gap(requests: &[Request], from: Duration, to: Duration) -> Option<Duration> {
    let mut acked: Vec<Duration> = requests
        .iter()
        .filter(|request| request.action == Action::Write)
        .filter(|request| matches!(request.ending, Ending::Done { .. }))
        .map(|request| Duration::from_micros(request.end_us))
        .filter(|end| (from..=to).contains(end))
        .collect();
    acked.sort();
    acked.first()?;
    let mut last = from;
    let mut gap = Duration::ZERO;
    for end in acked {
        gap = gap.max(end.saturating_sub(last));
        last = end;
    }
    Some(gap)
}
