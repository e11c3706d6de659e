//! Sizes that follow from the limits of the machine.

use crate::settings::Limits;

/// Part of the machine's memory that clients can make the process hold, in percent.
///
/// The rest is for the program, the view of the fleet, idle sessions and the kernel's buffers.
const CLIENT_PERCENT: usize = 25;
/// Smallest budget, in which one message and one answer of the largest size fit.
const MIN_BYTES: usize = 8 * MIB;
/// Part of the sockets that is kept for links, upstreams and the store: one in so many.
const KEPT_SOCKETS_PART: usize = 6;
/// Fewest sockets that are kept for links, upstreams and the store.
const MIN_KEPT_SOCKETS: usize = 16;
/// Part of the budget that one answer may take: one in so many.
const ANSWER_PART: usize = 4;
/// Bytes that a message of the largest size takes while it is read and run.
const LARGE_MESSAGE_BYTES: usize = 12 * MIB;
/// Bytes that a large answer of one row takes while it is read.
const LARGE_ANSWER_BYTES: usize = 8 * MIB;
/// Memory of a machine is given in these.
const MIB: usize = 1_024 * 1_024;

/// Sizes that a budget keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Bytes that all sessions and links may hold beyond what each may hold unasked.
    pub bytes: usize,
    /// Sessions that may be open.
    pub sessions: usize,
    /// Bytes of the rows of one answer.
    pub answer_bytes: usize,
    /// Large messages that are read and run at a time.
    pub large_messages: usize,
    /// Large answers that are read from upstreams at a time.
    pub large_answers: usize,
}

impl Sizes {
    /// Returns the sizes for a machine.
    #[must_use]
    pub fn of(limits: Limits) -> Self {
        let bytes = (limits.memory_mb.bytes() * CLIENT_PERCENT / 100).max(MIN_BYTES);
        let sockets = limits.descriptors.sockets();
        let kept = (sockets / KEPT_SOCKETS_PART).max(MIN_KEPT_SOCKETS);
        Self {
            bytes,
            sessions: sockets.saturating_sub(kept).max(1),
            answer_bytes: bytes / ANSWER_PART,
            large_messages: (bytes / LARGE_MESSAGE_BYTES).max(1),
            large_answers: (bytes / LARGE_ANSWER_BYTES).max(1),
        }
    }
}
