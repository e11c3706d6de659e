//! Choice between upstreams whose costs are partly known from old reports.
//!
//! Load pattern: many vms place statements at the same moment, by reports of the same age. If
//! each took the least cost, all would take the same upstream until the next report.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Cost of an upstream, as a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost {
    /// What this vm knows for certain.
    pub known: Duration,
    /// What it takes from an old report.
    pub reported: Duration,
}

impl Cost {
    fn total(self) -> Duration {
        self.known + self.reported
    }
}

/// Returns the index of the chosen cost: any of those that cannot be told from the least.
///
/// Costs cannot be told apart if they differ by less than `tolerance`, the cost of one statement,
/// and by no more than reports account for. Without reports only equal costs are drawn from.
pub fn choose(costs: &[Cost], tolerance: Duration, random: &mut impl Rng) -> Option<usize> {
    let least = costs.iter().map(|cost| cost.total()).min()?;
    let doubt = costs.iter().map(|cost| cost.reported).max()?;
    let limit = least + doubt.min(tolerance);
    let near: Vec<usize> = (0..costs.len())
        .filter(|index| costs[*index].total() <= limit)
        .collect();
    Some(near[random.random_range(0..near.len())])
}
