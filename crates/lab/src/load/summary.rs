//! Summary of a load: counts of endings, and latencies from the time at which requests were due.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::history::Action;
use crate::history::Ending;
use crate::history::Request;

/// Upper bound of the histogram; longer latencies are recorded as this one.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant decimal digits that the histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Distribution of latencies, in microseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Number of requests.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

impl Latency {
    /// Computes the distribution of latencies in microseconds.
    #[must_use]
    pub fn of(latencies: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        else {
            return Self::default();
        };
        for latency in latencies {
            histogram.saturating_record(latency.max(1));
        }
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
            max: histogram.max(),
        }
    }
}

/// Summary of a load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// Requests that were due.
    pub due: u64,
    /// Requests that were answered without an error.
    pub done: u64,
    /// Requests that were refused and did not run.
    pub not_run: u64,
    /// Requests of which it is unknown whether they ran.
    pub unknown: u64,
    /// Requests that ran and failed.
    pub failed: u64,
    /// Requests that were not sent because no connection could be opened.
    pub unsent: u64,
    /// Latencies of answered reads.
    pub reads: Latency,
    /// Latencies of answered writes.
    pub writes: Latency,
}

impl Summary {
    /// Counts requests by ending and computes the latencies of answered ones.
    #[must_use]
    pub fn of(requests: &[Request]) -> Self {
        let mut summary = Self::default();
        for request in requests {
            summary.due += 1;
            match request.ending {
                Ending::Done { .. } => summary.done += 1,
                Ending::NotRun { .. } => summary.not_run += 1,
                Ending::Unknown => summary.unknown += 1,
                Ending::Failed { .. } => summary.failed += 1,
                Ending::Unsent => summary.unsent += 1,
            }
        }
        summary.reads = latency(requests, Action::Read);
        summary.writes = latency(requests, Action::Write);
        summary
    }
}

/// Computes the latencies of answered requests of one kind.
fn latency(requests: &[Request], action: Action) -> Latency {
    let answered = requests
        .iter()
        .filter(|request| request.action == action)
        .filter(|request| matches!(request.ending, Ending::Done { .. }));
    Latency::of(answered.map(|request| request.end_us.saturating_sub(request.due_us)))
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "due {}  done {}  not run {}  unknown {}  failed {}  unsent {}",
            self.due, self.done, self.not_run, self.unknown, self.failed, self.unsent
        )?;
        for (name, latency) in [("reads", &self.reads), ("writes", &self.writes)] {
            writeln!(
                f,
                "{name:6} {:8}  p50 {:8} us  p99 {:8} us  p99.9 {:8} us  max {:8} us",
                latency.count, latency.p50, latency.p99, latency.p999, latency.max
            )?;
        }
        Ok(())
    }
}
