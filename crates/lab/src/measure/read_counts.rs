//! Reads that each upstream served as primary and as replica.
//!
//! The counts are sampled during a run, since those of a killed upstream are lost.

use std::collections::BTreeMap;

use crate::fleet::Fleet;

/// Reads that one upstream has served, by its role at the time.
#[derive(Debug, Clone, Copy, Default)]
struct Reads {
    replica: u64,
    primary: u64,
}

/// Latest read counts of all upstreams.
#[derive(Debug, Default)]
pub struct ReadCounts {
    latest: BTreeMap<String, Reads>,
}

impl ReadCounts {
    /// Updates the counts of every upstream that answers.
    pub async fn sample(&mut self, fleet: &Fleet) {
        let groups = fleet.bundle().groups.iter();
        for upstream in groups.flat_map(|group| &group.upstreams) {
            let name = upstream.name.as_str();
            if let Ok(state) = fleet.upstream_state(name).await {
                let count = |field: &str| state[field].as_u64().unwrap_or(0);
                let reads = Reads {
                    replica: count("replica_reads"),
                    primary: count("primary_reads"),
                };
                self.latest.insert(name.to_owned(), reads);
            }
        }
    }

    /// Returns the share of reads that replicas served; `None` if there were no reads.
    #[must_use]
    pub fn replica_share(&self) -> Option<f64> {
        let replica: u64 = self.latest.values().map(|reads| reads.replica).sum();
        let primary: u64 = self.latest.values().map(|reads| reads.primary).sum();
        let all = replica + primary;
        (all > 0).then(|| ratio(replica, all))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of reads stay far below 2^52"
)]
fn ratio(part: u64, all: u64) -> f64 {
    part as f64 / all as f64
}
