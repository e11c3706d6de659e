//! Limit on the requests to an upstream that is cold, as after a start or an evacuation.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::BootInstant;

/// Window in which the operators count the requests to a cold upstream.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for which an upstream that was unreachable counts as cold, whatever its registration says.
///
/// The registration of one that has started again may be 1.2 s old in the store and 1.8 s on a vm.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Requests that this vm sent to one upstream within the last window.
#[derive(Debug, Default)]
pub(super) struct Warmup {
    sent: VecDeque<BootInstant>,
    /// When the upstream was last reached again.
    returned: Option<BootInstant>,
}

impl Warmup {
    /// Records that the upstream was reached again.
    pub(super) fn note_return(&mut self, now: BootInstant) {
        self.returned = Some(now);
    }

    /// Tells whether the upstream counts as cold.
    pub(super) fn is_cold(&self, registered: bool, now: BootInstant) -> bool {
        let returned = self.returned;
        registered || returned.is_some_and(|returned| now.since(returned) < RETURN_TIME)
    }

    /// Records a request.
    pub(super) fn note_request(&mut self, now: BootInstant) {
        self.forget_old(now);
        self.sent.push_back(now);
    }

    /// Tells whether another request stays within `limit` requests a window.
    pub(super) fn has_room(&self, limit: u32, now: BootInstant) -> bool {
        let recent = self.sent.iter().filter(|at| now.since(**at) < WINDOW);
        recent.count() < limit as usize
    }

    fn forget_old(&mut self, now: BootInstant) {
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
    }
}
