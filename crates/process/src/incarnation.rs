//! Incarnation number, which distinguishes a process from the one before its last restart.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the current time as an incarnation number, in nanoseconds since the Unix epoch.
///
/// A process calls this once, at its start.
///
/// # Panics
///
/// Panics if the system clock is set before 1970 or after 2554.
#[must_use]
pub fn incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("system clock after 1970");
    u64::try_from(since_epoch.as_nanos()).expect("system clock before 2554")
}
