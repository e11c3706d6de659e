//! Outcome of a measurement: its figures and the violations that the checks found.

use std::fmt;
use std::path::Path;

use mustardbay_policy::names::RouteName;
use serde::Deserialize;
use serde::Serialize;

use super::MeasureError;
use crate::check::Refusals;
use crate::check::Service;
use crate::check::Verdict;
use crate::load::Summary;

/// Write gap of one route after a fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gap {
    /// Name of the fault.
    pub fault: String,
    /// Route whose writes were interrupted.
    pub route: RouteName,
    /// Longest time without an acknowledged write, in milliseconds; `None` if none followed.
    pub ms: Option<u64>,
}

/// Name and time of a fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultMark {
    /// Name of the fault.
    pub name: String,
    /// Time after the start of the load, in milliseconds.
    pub at_ms: u64,
}

/// Answered requests of one time slice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slice {
    /// End of the slice after the start of the load, in milliseconds.
    pub at_ms: u64,
    /// Answered reads.
    pub reads: u64,
    /// Answered writes.
    pub writes: u64,
    /// 99th percentile of the read latency, in microseconds.
    pub read_p99_us: u64,
}

/// Outcome of the experiment on one deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// Name of the deployment.
    pub deployment: String,
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Share of reads that replicas served; `None` without reads.
    pub replica_share: Option<f64>,
    /// Write gaps after faults that interrupt writes.
    pub gaps: Vec<Gap>,
    /// Requests offered, entitled and served for each account.
    pub services: Vec<Service>,
    /// Refusals of requests that were within the account's rate.
    pub refusals: Refusals,
    /// Violations of the guarantees.
    pub verdict: Verdict,
    /// Counts and latencies of the requests.
    pub summary: Summary,
    /// Calls that the platform received in the whole run.
    pub platform_calls: u64,
    /// Faults in the order in which they were injected.
    pub faults: Vec<FaultMark>,
    /// Answered requests over time.
    pub slices: Vec<Slice>,
}

impl Outcome {
    /// Returns the account with the lowest share of served to entitled requests, and that share.
    #[must_use]
    pub fn worst_service(&self) -> Option<(&Service, f64)> {
        let services = self.services.iter().map(|s| (s, s.ratio()));
        services.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the rows of the table as pairs of name and value.
    #[must_use]
    pub fn rows(&self) -> Vec<(String, String)> {
        let mut rows = Vec::new();
        let mut row = |name: &str, value: String| rows.push((name.to_owned(), value));
        let share = self.replica_share.map(percent);
        row("reads on replicas", share.unwrap_or_else(none));
        for gap in &self.gaps {
            let ms = gap.ms.map(|ms| format!("{ms} ms"));
            row(
                &format!("write gap, {}", gap.fault),
                ms.unwrap_or_else(none),
            );
        }
        let worst = self.worst_service();
        let worst = worst.map(|(s, ratio)| format!("{ratio:.3} ({})", s.account));
        row("worst-served account", worst.unwrap_or_else(none));
        let refusals = self.refusals;
        row("wrongful refusals", percent(refusals.share()));
        row("  by rate or overload", refusals.limited.to_string());
        row("  by other causes", refusals.other.to_string());
        row("stale reads", self.verdict.stale_reads.to_string());
        row("lost writes", self.verdict.lost_writes.to_string());
        row("doubled writes", self.verdict.doubled_writes.to_string());
        row(
            "ran though \"not run\"",
            self.verdict.false_not_run.to_string(),
        );
        row("overshoot", self.verdict.overshoot.to_string());
        row("unknown outcomes", self.summary.unknown.to_string());
        row("failed requests", self.summary.failed.to_string());
        row("read p50", format!("{} us", self.summary.reads.p50));
        row("read p99", format!("{} us", self.summary.reads.p99));
        row("write p50", format!("{} us", self.summary.writes.p50));
        row("write p99", format!("{} us", self.summary.writes.p99));
        row("platform calls", self.platform_calls.to_string());
        rows
    }
}

/// Result of one run of `mustardbay-lab measure`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measurement {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Lines that were appended to the settings of the programs.
    pub settings: Vec<String>,
    /// Outcome of each deployment.
    pub outcomes: Vec<Outcome>,
}

impl Measurement {
    /// Reads a result from a JSON file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or does not contain a result.
    pub fn load(path: &Path) -> Result<Self, MeasureError> {
        let text = std::fs::read_to_string(path)?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Writes the result to a JSON file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn save(&self, path: &Path) -> Result<(), MeasureError> {
        let text = serde_json::to_string_pretty(self)?;
        Ok(std::fs::write(path, text)?)
    }

    /// Tells whether the checks found no violation in any deployment.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.outcomes.iter().all(|outcome| outcome.verdict.holds())
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for outcome in &self.outcomes {
            let Outcome {
                deployment,
                seconds,
                ..
            } = outcome;
            writeln!(f, "{deployment}, {seconds} s, seed {}", self.seed)?;
            for (name, value) in outcome.rows() {
                writeln!(f, "  {name:28} {value:>24}")?;
            }
        }
        Ok(())
    }
}

fn percent(share: f64) -> String {
    format!("{:.2} %", share * 100.0)
}

fn none() -> String {
    "none".to_owned()
}
