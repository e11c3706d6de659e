//! Compare-and-swap whose lost answer is resolved.

use bytes::Bytes;

use crate::entry::Revision;
use crate::entry::Swap;
use crate::error::PlatformError;
use crate::store::Platform;

/// Attempts of one compare-and-swap before its outcome stays unknown.
const MAX_ATTEMPTS: u32 = 3;

/// Swaps a value and, if the answer is lost, finds out whether it took effect.
///
/// `value` must differ from every other writer's, by a nonce: a conflict whose current value equals
/// it is an earlier attempt of this call that took effect.
///
/// # Errors
///
/// Fails if no attempt is answered; the value may then be in place or still be put in place.
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
