//! Client connections: how many fit, and which start-up makes room for a new connection.
//!
//! Load pattern: a crowd that opens connections and never completes a start-up. The oldest of them
//! makes room for each new connection, so that ordinary clients still get in.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Time that a start-up has before it may have to make room.
pub const UNDISTURBED_STARTUP: Duration = Duration::from_secs(1);
/// Descriptors kept for the admin endpoint, logs, the steward and the runtime.
const OTHER_DESCRIPTORS: usize = 48;
/// Fraction of the descriptors kept for links to pools.
const LINKS_DIVISOR: usize = 16;
/// Fraction of the descriptors for connections that wait for room or are told of their rejection.
const WAITING_DIVISOR: usize = 8;
/// Most connections that wait for room or are told of their rejection.
const MAX_WAITING: usize = 256;

/// Numbers of connections that fit within the descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections that are served.
    pub open: usize,
    /// Connections beyond these that wait for room or are told why they are rejected.
    pub waiting: usize,
}

impl ConnectionLimits {
    /// Returns the limits for at most `connections`, with room kept for what else needs descriptors.
    #[must_use]
    pub fn new(connections: usize, descriptors: usize) -> Self {
        let waiting = (descriptors / WAITING_DIVISOR).clamp(1, MAX_WAITING);
        let kept = OTHER_DESCRIPTORS + descriptors / LINKS_DIVISOR + waiting;
        Self {
            open: connections.min(descriptors.saturating_sub(kept)).max(1),
            waiting,
        }
    }
}

/// Start-ups in progress, each with a `T` that stands for its client.
#[derive(Debug)]
pub struct Startups<T> {
    next: u64,
    running: BTreeMap<u64, (Instant, T)>,
}

impl<T> Default for Startups<T> {
    fn default() -> Self {
        Self {
            next: 0,
            running: BTreeMap::new(),
        }
    }
}

impl<T> Startups<T> {
    /// Adds a start-up and returns its number.
    pub fn begin(&mut self, client: T, now: Instant) -> u64 {
        let number = self.next;
        self.next += 1;
        self.running.insert(number, (now, client));
        number
    }

    /// Removes a start-up that has ended.
    pub fn end(&mut self, number: u64) {
        self.running.remove(&number);
    }

    /// Removes and returns the oldest start-up if it has had its time.
    pub fn take_oldest(&mut self, now: Instant) -> Option<T> {
        let oldest = self.running.first_entry()?;
        let (began, _) = oldest.get();
        if now.saturating_duration_since(*began) < UNDISTURBED_STARTUP {
            return None;
        }
        Some(oldest.remove().1)
    }
}
