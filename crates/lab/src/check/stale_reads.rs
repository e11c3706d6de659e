//! Read-your-writes check: a read sees every earlier acknowledged write of its session.

use std::collections::BTreeMap;

use crate::history::Action;
use crate::history::Ending;
use crate::history::Request;

/// Counts reads that returned less than the last acknowledged write of their session.
///
/// A session has one request at a time, so the start times order its requests. A write of unknown
/// outcome may be read or not and raises no expectation.
#[must_use]
pub fn stale_reads(requests: &[Request]) -> u64 {
    let mut ordered: Vec<&Request> = requests.iter().collect();
    ordered.sort_by_key(|request| request.start_us);
    let mut acknowledged: BTreeMap<u64, u64> = BTreeMap::new();
    let mut stale = 0;
    for request in ordered {
        let Ending::Done { seq } = request.ending else {
            continue;
        };
        let newest = acknowledged.entry(request.session).or_default();
        match request.action {
            Action::Write => *newest = (*newest).max(seq),
            Action::Read if seq < *newest => stale += 1,
            Action::Read => {}
        }
    }
    stale
}
