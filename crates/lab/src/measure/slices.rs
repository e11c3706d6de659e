//! Time slices of a run with their answered requests.

use super::outcome::Slice;
use crate::history::Action;
use crate::history::Ending;
use crate::history::Request;
use crate::load::Latency;

/// Length of a slice in milliseconds.
const SLICE_MS: u64 = 250;

/// Counts the answered requests of each slice of a run.
#[must_use]
pub fn slices(requests: &[Request], length_ms: u64) -> Vec<Slice> {
    let mut answered: Vec<Vec<&Request>> = Vec::new();
    let count = usize::try_from(length_ms / SLICE_MS + 1).unwrap_or(0);
    answered.resize_with(count, Vec::new);
    for request in requests {
        let index = usize::try_from(request.end_us / 1_000 / SLICE_MS).unwrap_or(usize::MAX);
        let done = matches!(request.ending, Ending::Done { .. });
        if done && let Some(slice) = answered.get_mut(index) {
            slice.push(request);
        }
    }
    let ends = (1..).map(|n: u64| n * SLICE_MS);
    let slices = answered.iter().zip(ends);
    slices
        .map(|(slice, at_ms)| summarise(slice, at_ms))
        .collect()
}

/// Computes the figures of one slice from its answered requests.
fn summarise(answered: &[&Request], at_ms: u64) -> Slice {
    let is_read = |request: &&&Request| request.action == Action::Read;
    let reads = answered.iter().filter(is_read);
    let latency = Latency::of(reads.map(|r| r.end_us.saturating_sub(r.due_us)));
    Slice {
        at_ms,
        reads: latency.count,
        writes: answered.len() as u64 - latency.count,
        read_p99_us: latency.p99,
    }
}
