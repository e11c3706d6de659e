//! Decision whether an operation without a token asks the authorities of another region.
//!
//! The load that it answers: an account near its rate, whose callers and free tokens are in different
//! regions. An operation has time for about one round trip between them.

use std::time::Duration;

/// Returns how long an authority `distance` away may let the operation wait; `None` if it is not asked.
///
/// `near` is the time until an authority of the own region has a token, if one is known. Whoever is
/// asked promises a token at once, so that no second round trip is needed.
#[must_use]
pub fn far_max_wait(
    near: Option<Duration>,
    max_wait: Duration,
    distance: Duration,
) -> Option<Duration> {
    let Some(near) = near.filter(|near| *near <= max_wait) else {
        return Some(max_wait.saturating_sub(distance));
    };
    near.checked_sub(distance).filter(|wait| !wait.is_zero())
}
