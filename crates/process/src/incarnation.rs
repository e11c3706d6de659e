//! Number that tells two lives of the same process apart.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the start of this process, in nanoseconds since the Unix epoch.
///
/// # Panics
///
/// Panics if the system clock stands before 1970 or after 2554.
#[must_use]
pub fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("system clock after 1970");
    u64::try_from(since.as_nanos()).expect("system clock before 2554")
}
