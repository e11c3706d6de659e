//! Rate limit check: no time window holds more admitted statements than rate and burst allow.

use crate::history::AccountLimit;
use crate::history::Ending;
use crate::history::Request;

/// Interval in which a statement was admitted, in seconds since the start of the run.
#[derive(Debug, Clone, Copy)]
struct Span {
    start: f64,
    end: f64,
}

/// Returns by how many statements an account exceeded its rate and burst in the worst time window.
///
/// A client cannot observe when between its start and its end a statement was admitted, so a
/// statement counts for a window only if it lies in it completely.
#[must_use]
pub fn overshoot(account: &AccountLimit, requests: &[Request]) -> u64 {
    let requests = requests
        .iter()
        .filter(|request| request.account == account.name);
    let served = requests.filter(|request| matches!(request.ending, Ending::Done { .. }));
    let mut spans: Vec<Span> = served
        .map(|request| Span {
            start: seconds(request.start_us),
            end: seconds(request.end_us),
        })
        .collect();
    spans.sort_by(|a, b| a.end.total_cmp(&b.end));
    let worst = worst_excess(&spans, account.rate) - account.burst;
    // Half a statement of tolerance absorbs floating-point rounding.
    round_up(worst - 0.5)
}

/// Returns the largest excess of statements over `rate` in any window, burst not yet subtracted.
///
/// Each window runs from the start of one statement to the end of another. The tree holds, for each
/// window start, `rate * start` plus the number of statements that the window contains so far.
fn worst_excess(spans: &[Span], rate: f64) -> f64 {
    let mut starts: Vec<f64> = spans.iter().map(|span| span.start).collect();
    starts.sort_by(f64::total_cmp);
    let offsets: Vec<f64> = starts.iter().map(|start| rate * start).collect();
    let mut tree = SegmentTree::new(&offsets);
    let mut worst: f64 = 0.0;
    for span in spans {
        // The statement lies in every window that starts no later than the statement does.
        let containing = starts.partition_point(|start| *start <= span.start);
        tree.increment_prefix(containing);
        let candidates = starts.partition_point(|start| *start <= span.end);
        worst = worst.max(tree.prefix_max(candidates) - rate * span.end);
    }
    worst
}

/// Segment tree over values with prefix increment and prefix maximum in logarithmic time.
///
/// Node 1 is the root; the children of node `n` are `2n` and `2n + 1`.
#[derive(Debug)]
struct SegmentTree {
    leaves: usize,
    /// Maximum of each subtree, without the increments of the nodes above it.
    max: Vec<f64>,
    /// Increments of each node that its children do not include.
    pending: Vec<f64>,
}

impl SegmentTree {
    fn new(values: &[f64]) -> Self {
        let leaves = values.len().next_power_of_two();
        let mut max = vec![f64::NEG_INFINITY; 2 * leaves];
        max[leaves..leaves + values.len()].copy_from_slice(values);
        for node in (1..leaves).rev() {
            max[node] = max[2 * node].max(max[2 * node + 1]);
        }
        Self {
            leaves,
            max,
            pending: vec![0.0; 2 * leaves],
        }
    }

    /// Returns the maximum of the first `count` values.
    fn prefix_max(&self, count: usize) -> f64 {
        self.subtree_max(1, self.leaves, count)
    }

    /// Returns the maximum of the first `count` of the `width` leaves under `node`.
    fn subtree_max(&self, node: usize, width: usize, count: usize) -> f64 {
        if count == 0 {
            return f64::NEG_INFINITY;
        }
        if count >= width {
            return self.max[node];
        }
        let half = width / 2;
        let left = self.subtree_max(2 * node, half, count.min(half));
        let right = self.subtree_max(2 * node + 1, half, count.saturating_sub(half));
        left.max(right) + self.pending[node]
    }

    /// Increments the first `count` values by one.
    fn increment_prefix(&mut self, count: usize) {
        self.increment_subtree(1, self.leaves, count);
    }

    /// Increments the first `count` of the `width` leaves under `node`.
    fn increment_subtree(&mut self, node: usize, width: usize, count: usize) {
        if count == 0 {
            return;
        }
        if count >= width {
            self.max[node] += 1.0;
            self.pending[node] += 1.0;
            return;
        }
        let half = width / 2;
        self.increment_subtree(2 * node, half, count.min(half));
        self.increment_subtree(2 * node + 1, half, count.saturating_sub(half));
        self.max[node] = self.max[2 * node].max(self.max[2 * node + 1]) + self.pending[node];
    }
}

fn seconds(us: u64) -> f64 {
    std::time::Duration::from_micros(us).as_secs_f64()
}

/// Rounds up to an integer; returns 0 for values that are not positive.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is positive and counts requests"
)]
fn round_up(value: f64) -> u64 {
    if value > 0.0 { value.ceil() as u64 } else { 0 }
}
