//! Read-your-writes: a read sees at least what its session was told is written.

use std::collections::BTreeMap;

use crate::history::Action;
use crate::history::Ending;
use crate::history::Request;

/// Counts reads that missed an acknowledged write of their session.
///
/// A session has one request at a time, so its requests are ordered by their start.
#[must_use]
pub fn stale_reads(requests: &[Request]) -> u64 {
    let mut ordered: Vec<&Request> = requests.iter().collect();
    ordered.sort_by_key(|request| request.start_us);
    let mut floors: BTreeMap<u64, u64> = BTreeMap::new();
    let mut stale = 0;
    for request in ordered {
        let Ending::Done { seq } = request.ending else {
            continue;
        };
        let floor = floors.entry(request.session).or_default();
        match request.action {
            Action::Write => *floor = (*floor).max(seq),
            Action::Read if seq < *floor => stale += 1,
            Action::Read => {}
        }
    }
    stale
}
