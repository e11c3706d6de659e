//! Decides which session is closed first when memory, sockets or time run short.

use std::cmp::Reverse;
use std::time::Duration;

use crate::budget::Limit;
use crate::budget::holding::Stage;

/// Age beyond which a session counts as no slower: long sessions are not at fault.
const MAX_RANKED_AGE: Duration = Duration::from_secs(10);
/// Longest time for which a message may stay unfinished: 1 MiB at 0.3 Mbit/s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for which a large message may stay unfinished while another one waits for it.
const CONTENDED_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which an answer may stay unread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Session as the decisions see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Number of the session.
    pub number: u64,
    /// What the session is doing.
    pub stage: Stage,
    /// Time since the stage began.
    pub age: Duration,
    /// Bytes that the session holds.
    pub bytes: usize,
}

impl Candidate {
    /// Returns the bytes held, weighted by how long they have been held.
    fn weight(&self) -> u128 {
        let age = self.age.min(MAX_RANKED_AGE) + Duration::from_secs(1);
        self.bytes as u128 * age.as_millis()
    }
}

/// Returns the session to close when memory runs short: the largest and slowest.
///
/// Load: many clients that each hold a little less than is allowed. Closing the one that holds most
/// for longest lets the others finish, and an ordinary client holds next to nothing. A session whose
/// statement runs stays, since its client would not know whether the statement took effect.
#[must_use]
pub fn first_for_memory(candidates: &[Candidate]) -> Option<u64> {
    let closable = candidates
        .iter()
        .filter(|c| c.bytes > 0 && c.stage != Stage::Running);
    let first = closable.max_by_key(|c| (c.weight(), Reverse(c.number)));
    first.map(|c| c.number)
}

/// Returns the session to close for a new connection when all sockets are taken.
///
/// Load: connections that stop half-way, before or in their start or in a message, or never ask
/// anything. The kinds go in this order, the oldest first. An idle session comes last: its client
/// loses nothing and connects again. A session with an open transaction or a running statement stays.
#[must_use]
pub fn first_for_socket(candidates: &[Candidate]) -> Option<u64> {
    let ranked = candidates
        .iter()
        .filter_map(|c| Some((socket_order(c.stage)?, c)));
    let first = ranked.min_by_key(|(order, c)| (*order, Reverse(c.age), c.number));
    first.map(|(_, c)| c.number)
}

/// Returns the limit on time that a session has reached.
///
/// Load: clients that send or read a few bytes now and then. The start has a timeout of its own.
/// `contended` tells that no further large message can be read, so that a slow one keeps others waiting.
#[must_use]
pub fn has_expired(candidate: &Candidate, contended: bool) -> Option<Limit> {
    let large_timeout = if contended {
        CONTENDED_TIMEOUT
    } else {
        MESSAGE_TIMEOUT
    };
    match candidate.stage {
        Stage::Receiving if candidate.age > MESSAGE_TIMEOUT => Some(Limit::Message),
        Stage::ReceivingLarge if candidate.age > large_timeout => Some(Limit::Message),
        Stage::Answering if candidate.age > ANSWER_TIMEOUT => Some(Limit::Answer),
        _ => None,
    }
}

fn socket_order(stage: Stage) -> Option<u8> {
    match stage {
        Stage::Starting => Some(0),
        Stage::Receiving | Stage::ReceivingLarge => Some(1),
        Stage::Unused => Some(2),
        Stage::Idle => Some(3),
        Stage::Running | Stage::Answering | Stage::InTransaction => None,
    }
}
