//! Budget of the bytes that a process keeps for its clients, and the choice of who goes first.
//!
//! Load pattern: a crowd of clients that each stay within the limits of one client, and together
//! exceed the memory of the machine. The largest and slowest are closed, and only as many as needed.

mod holder;
mod victims;

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

pub use holder::Holder;
pub use holder::Share;
pub use victims::Candidate;
pub use victims::victims;

/// Fraction of the limit by which it may be exceeded until closed clients have returned their bytes.
const OVERRUN_DIVISOR: usize = 4;

/// Reason for which a client is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Eviction {
    /// The budget is spent, and the client is among the largest and slowest.
    Memory,
    /// A message has stayed unfinished for too long.
    Unfinished,
    /// Answers have stayed unread for too long.
    Unread,
    /// All connections are taken, and the client has not completed its start-up.
    Crowded,
}

impl Eviction {
    /// All reasons, in the order of their counters.
    pub const ALL: [Self; 4] = [Self::Memory, Self::Unfinished, Self::Unread, Self::Crowded];

    /// Returns the name in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Unfinished => "unfinished",
            Self::Unread => "unread",
            Self::Crowded => "crowded",
        }
    }
}

impl fmt::Display for Eviction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Memory => "no memory is left for what the client has the process keep",
            Self::Unfinished => "a message has stayed unfinished for too long",
            Self::Unread => "answers have stayed unread for too long",
            Self::Crowded => "all connections are taken and the start-up is not complete",
        })
    }
}

/// The budget is spent, and the client that asked for more has to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no memory is left for this client")]
pub struct Exhausted;

/// Budget of bytes, shared by the clients of a process; clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<Inner>);

/// State of a budget.
#[derive(Debug)]
struct Inner {
    limit: usize,
    used: AtomicUsize,
    began: Instant,
    next: AtomicU64,
    evicted: [AtomicU64; Eviction::ALL.len()],
    holders: Mutex<HashMap<u64, Arc<holder::State>>>,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Inner {
            limit,
            used: AtomicUsize::new(0),
            began: Instant::now(),
            next: AtomicU64::new(0),
            evicted: Default::default(),
            holders: Mutex::default(),
        }))
    }

    /// Returns the limit, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns how many clients were closed for a reason.
    #[must_use]
    pub fn evicted(&self, why: Eviction) -> u64 {
        self.0.evicted[why as usize].load(Ordering::Relaxed)
    }

    /// Adds a client, which holds nothing yet.
    #[must_use]
    pub fn add_holder(&self) -> Holder {
        Holder::new(&self.0)
    }

    /// Closes the clients that have stalled for longer than their limit.
    pub fn evict_stalled(&self, unfinished: Duration, unread: Duration) {
        let now = self.0.now_ms();
        let over = |since: u64, limit: Duration| {
            since != 0 && u128::from(now.saturating_sub(since)) >= limit.as_millis()
        };
        for holder in self.0.lock().values() {
            if over(holder.unread_since.load(Ordering::Relaxed), unread) {
                holder.evict(Eviction::Unread);
            } else if over(holder.unfinished_since.load(Ordering::Relaxed), unfinished) {
                holder.evict(Eviction::Unfinished);
            }
        }
    }
}

impl Inner {
    /// Returns the milliseconds since the budget was created; never 0, which means "not stalled".
    fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX - 1) + 1
    }

    /// Closes clients until the bytes of `asking` fit; fails if it has to go itself.
    fn make_room(&self, asking: u64) -> Result<(), Exhausted> {
        let holders = self.lock();
        let used = self.used.load(Ordering::Relaxed);
        if used > self.limit + self.limit / OVERRUN_DIVISOR {
            return Err(Exhausted);
        }
        let mut returning = 0;
        let mut candidates = Vec::new();
        for (id, holder) in holders.iter() {
            let bytes = holder.bytes.load(Ordering::Relaxed);
            if holder.is_evicted() {
                returning += bytes;
            } else {
                candidates.push(holder.candidate(*id, bytes));
            }
        }
        let excess = used.saturating_sub(self.limit + returning);
        let chosen = victims(candidates, excess);
        if chosen.contains(&asking) {
            return Err(Exhausted);
        }
        for id in chosen {
            holders[&id].evict(Eviction::Memory);
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<holder::State>>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
