//! What the programs of a fleet use, read from the system and from their metrics.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::fleet::Kind;

/// Processor time of one tick in `/proc/PID/stat`.
const TICK: Duration = Duration::from_millis(10);
/// Index of `utime` after the process name in `/proc/PID/stat`.
const USER_TICKS: usize = 11;
/// Index of `stime` after the process name in `/proc/PID/stat`.
const SYSTEM_TICKS: usize = 12;

/// Use of one program, on average over the vms of a fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time in microseconds a second.
    pub cpu_us: f64,
    /// Resident memory in kilobytes.
    pub resident_kb: f64,
    /// Bytes a second that a steward sends to its peers.
    pub peer_bytes: f64,
    /// Messages a second that a steward sends to its peers.
    pub peer_messages: f64,
    /// Calls a second to the platform, of the whole fleet.
    pub platform_calls: f64,
}

/// Counters at one moment.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    cpu: Duration,
    resident_kb: f64,
    peer_bytes: f64,
    peer_messages: f64,
    platform_calls: f64,
}

/// Measures one kind of program over `length`.
///
/// # Errors
///
/// Fails if a program does not show its metrics.
pub async fn measure(fleet: &Fleet, kind: Kind, length: Duration) -> Result<Usage, FleetError> {
    let started = Instant::now();
    let before = counters(fleet, kind).await?;
    tokio::time::sleep(length).await;
    let after = counters(fleet, kind).await?;
    let seconds = started.elapsed().as_secs_f64();
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

/// Returns the user and system time that a process has used; 0 once it has ended.
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
    TICK * (ticks(USER_TICKS) + ticks(SYSTEM_TICKS))
}

/// Returns the resident memory of a process in kilobytes; 0 once it has ended.
fn resident_kb(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// Returns the sum of a metric over its labels.
fn total(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
