//! Rate and burst: no window of time holds more admitted statements than both allow.

use crate::history::AccountLimit;
use crate::history::Ending;
use crate::history::Request;

/// Statement that was admitted at some time between two points, in seconds.
#[derive(Debug, Clone, Copy)]
struct Span {
    start: f64,
    end: f64,
}

/// Returns by how many statements an account went over its rate and burst, in the worst window.
///
/// A statement counts for a window only if it began and ended in it, since nobody outside knows
/// when in between it was admitted.
#[must_use]
pub fn overshoot(account: &AccountLimit, requests: &[Request]) -> u64 {
    let mine = requests
        .iter()
        .filter(|request| request.account == account.name);
    let ran = mine.filter(|request| matches!(request.ending, Ending::Done { .. }));
    let mut spans: Vec<Span> = ran
        .map(|request| Span {
            start: seconds(request.start_us),
            end: seconds(request.end_us),
        })
        .collect();
    spans.sort_by(|a, b| a.end.total_cmp(&b.end));
    let worst = worst_excess(&spans, account.rate) - account.burst;
    // Half a statement of slack takes up the rounding of the arithmetic.
    whole(worst - 0.5)
}

/// Returns the greatest number of statements beyond `rate` in a window, before any burst.
fn worst_excess(spans: &[Span], rate: f64) -> f64 {
    let mut starts: Vec<f64> = spans.iter().map(|span| span.start).collect();
    starts.sort_by(f64::total_cmp);
    let opened: Vec<f64> = starts.iter().map(|start| rate * start).collect();
    let mut tree = MaxTree::new(&opened);
    let mut worst: f64 = 0.0;
    for span in spans {
        // A window that opens no later than the statement's start contains it.
        let windows = starts.partition_point(|start| *start <= span.start);
        tree.add(windows);
        let opened = starts.partition_point(|start| *start <= span.end);
        worst = worst.max(tree.max(opened) - rate * span.end);
    }
    worst
}

/// Values of which a prefix can be raised by one, and whose maximum is known.
#[derive(Debug)]
struct MaxTree {
    size: usize,
    max: Vec<f64>,
    raise: Vec<f64>,
}

impl MaxTree {
    fn new(values: &[f64]) -> Self {
        let size = values.len().next_power_of_two();
        let mut max = vec![f64::NEG_INFINITY; 2 * size];
        max[size..size + values.len()].copy_from_slice(values);
        for at in (1..size).rev() {
            max[at] = max[2 * at].max(max[2 * at + 1]);
        }
        Self {
            size,
            max,
            raise: vec![0.0; 2 * size],
        }
    }

    /// Returns the maximum of the first `count` values.
    fn max(&self, count: usize) -> f64 {
        self.max_under(1, self.size, count)
    }

    fn max_under(&self, at: usize, width: usize, count: usize) -> f64 {
        if count == 0 {
            return f64::NEG_INFINITY;
        }
        if count >= width {
            return self.max[at];
        }
        let half = width / 2;
        let left = self.max_under(2 * at, half, count.min(half));
        let right = self.max_under(2 * at + 1, half, count.saturating_sub(half));
        left.max(right) + self.raise[at]
    }

    /// Raises the first `count` values by one.
    fn add(&mut self, count: usize) {
        self.add_under(1, self.size, count);
    }

    fn add_under(&mut self, at: usize, width: usize, count: usize) {
        if count == 0 {
            return;
        }
        if count >= width {
            self.max[at] += 1.0;
            self.raise[at] += 1.0;
            return;
        }
        let half = width / 2;
        self.add_under(2 * at, half, count.min(half));
        self.add_under(2 * at + 1, half, count.saturating_sub(half));
        self.max[at] = self.max[2 * at].max(self.max[2 * at + 1]) + self.raise[at];
    }
}

fn seconds(us: u64) -> f64 {
    std::time::Duration::from_micros(us).as_secs_f64()
}

/// Rounds up to a whole number, 0 for what is not positive.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is positive and counts requests"
)]
fn whole(value: f64) -> u64 {
    if value > 0.0 { value.ceil() as u64 } else { 0 }
}
