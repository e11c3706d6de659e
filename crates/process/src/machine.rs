//! Memory and descriptors that the operating system grants to this process.

use std::fs;

/// Memory assumed where the system does not tell.
const UNKNOWN_MEMORY_BYTES: u64 = 1024 * 1024 * 1024;
/// Descriptors assumed where the system does not tell.
const UNKNOWN_DESCRIPTORS: u64 = 1024;

/// Returns the memory that the process may use: that of its control group, or of the machine.
#[must_use]
pub fn memory_bytes() -> u64 {
    let group = read("/sys/fs/cgroup/memory.max").and_then(|text| text.trim().parse().ok());
    let machine = read("/proc/meminfo").and_then(|text| parse_memory_total(&text));
    [group, machine]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(UNKNOWN_MEMORY_BYTES)
}

/// Returns the number of descriptors that the process may open.
#[must_use]
pub fn descriptors() -> u64 {
    read("/proc/self/limits")
        .and_then(|text| parse_open_files(&text))
        .unwrap_or(UNKNOWN_DESCRIPTORS)
}

/// Returns the memory of the machine from the text of `/proc/meminfo`.
#[must_use]
pub fn parse_memory_total(text: &str) -> Option<u64> {
    let line = text.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.split_ascii_whitespace().next()?.parse().ok()?;
    kib.checked_mul(1024)
}

/// Returns the soft limit on open files from the text of `/proc/self/limits`.
#[must_use]
pub fn parse_open_files(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"))?;
    match line.split_ascii_whitespace().next()? {
        "unlimited" => Some(u64::MAX),
        number => number.parse().ok(),
    }
}

fn read(file: &str) -> Option<String> {
    fs::read_to_string(file).ok()
}
