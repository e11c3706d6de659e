//! Compare-and-swap that finds out its outcome if a response is lost.

use bytes::Bytes;

use crate::entry::Revision;
use crate::entry::Swap;
use crate::error::PlatformError;
use crate::store::Platform;

/// Attempts of one compare-and-swap before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 3;

/// Swaps a value and retries if a response is lost, detecting its own earlier write.
///
/// `value` must contain a nonce that no other writer uses: a conflict whose current value equals
/// `value` then means that an earlier attempt of this call took effect.
///
/// # Errors
///
/// Fails if no attempt gets a response; the value may then have been written, or be written later.
pub async fn swap_settled(
    platform: &dyn Platform,
    key: &str,
    expected: Revision,
    value: Bytes,
) -> Result<Swap, PlatformError> {
    let mut attempt = 1;
    loop {
        match platform.swap(key, expected, value.clone()).await {
            Ok(Swap::Conflict(Some(entry))) if entry.value == value => {
                return Ok(Swap::Done(entry.revision));
            }
            Ok(swap) => return Ok(swap),
            Err(e) if attempt == MAX_ATTEMPTS => return Err(e),
            Err(e) => tracing::warn!(event = "swap_retried", key, attempt, error = %e),
        }
        attempt += 1;
    }
}
