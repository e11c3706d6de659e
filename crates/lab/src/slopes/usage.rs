//! Resource usage of a fleet's programs, read from `/proc` and from their metrics.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::fleet::Kind;

/// Unit of processor time in `/proc/PID/stat`, at 100 ticks per second.
const TICK: Duration = Duration::from_millis(10);
/// Index of the field `utime` among those after the process name in `/proc/PID/stat`.
const UTIME_INDEX: usize = 11;
/// Index of the field `stime` among those after the process name in `/proc/PID/stat`.
const STIME_INDEX: usize = 12;

/// Resource usage of one kind of program, averaged over the vms of a fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time, in microseconds per second.
    pub cpu_us: f64,
    /// Resident memory, in kilobytes.
    pub resident_kb: f64,
    /// Bytes per second that a steward sends to its peers; 0 for other programs.
    pub peer_bytes: f64,
    /// Messages per second that a steward sends to its peers; 0 for other programs.
    pub peer_messages: f64,
    /// Platform calls per second of the whole fleet, not averaged over vms.
    pub platform_calls: f64,
}

/// Sums over the vms of a fleet at one time.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    cpu: Duration,
    resident_kb: f64,
    peer_bytes: f64,
    peer_messages: f64,
    platform_calls: f64,
}

/// Measures the usage of one kind of program over `length`.
///
/// Memory is that at the end.
///
/// # Errors
///
/// Fails if a steward does not serve its metrics or the platform does not answer.
pub async fn measure(fleet: &Fleet, kind: Kind, length: Duration) -> Result<Usage, FleetError> {
    let start = Instant::now();
    let before = counters(fleet, kind).await?;
    tokio::time::sleep(length).await;
    let after = counters(fleet, kind).await?;
    let seconds = start.elapsed().as_secs_f64();
    let vms = fleet.vms().iter().fold(0.0, |count, _| count + 1.0);
    let per_vm = |before: f64, after: f64| (after - before) / seconds / vms;
    let cpu = (after.cpu.saturating_sub(before.cpu)).as_secs_f64() * 1e6;
    Ok(Usage {
        cpu_us: per_vm(0.0, cpu),
        resident_kb: after.resident_kb / vms,
        peer_bytes: per_vm(before.peer_bytes, after.peer_bytes),
        peer_messages: per_vm(before.peer_messages, after.peer_messages),
        platform_calls: (after.platform_calls - before.platform_calls) / seconds,
    })
}

/// Reads the counters of one kind of program.
async fn counters(fleet: &Fleet, kind: Kind) -> Result<Counters, FleetError> {
    let mut sum = Counters::default();
    for vm in fleet.vms() {
        if let Some(id) = fleet.process_id(vm.as_str(), kind) {
            sum.cpu += processor_time(id);
            sum.resident_kb += resident_kb(id);
        }
        if kind == Kind::Steward {
            let page = fleet.metrics(vm.as_str(), kind).await?;
            sum.peer_bytes += total(&page, "mustardbay_steward_peer_bytes");
            sum.peer_messages += total(&page, "mustardbay_steward_peer_messages");
        }
    }
    sum.platform_calls = fleet.platform_calls().await?;
    Ok(sum)
}

/// Returns the user and system time of a process; 0 if it has ended.
fn processor_time(id: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |n: usize| {
        fields
            .get(n)
            .and_then(|f| f.parse::<u32>().ok())
            .unwrap_or(0)
    };
    TICK * (ticks(UTIME_INDEX) + ticks(STIME_INDEX))
}

/// Returns the resident memory of a process in kilobytes; 0 if it has ended.
fn resident_kb(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// Returns the sum of a metric over all its label values.
fn total(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
