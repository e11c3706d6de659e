//! Current levels of a pool, written by its task and read when metrics are scraped.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Stored instead of an age that is not known.
const UNKNOWN_AGE_MS: u64 = u64::MAX;

/// Levels of a pool at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLevel {
    /// Units that wait.
    pub waiting: usize,
    /// Units that run at an upstream.
    pub running: usize,
    /// Connections to upstreams.
    pub connections: usize,
    /// Age of the newest known position of the primary, if there is one.
    pub position_age: Option<Duration>,
}

/// Newest levels of one pool, shared between its task and the metrics.
#[derive(Debug)]
pub struct PoolLevels {
    waiting: AtomicU64,
    running: AtomicU64,
    connections: AtomicU64,
    position_age_ms: AtomicU64,
}

impl Default for PoolLevels {
    fn default() -> Self {
        Self {
            waiting: AtomicU64::new(0),
            running: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            position_age_ms: AtomicU64::new(UNKNOWN_AGE_MS),
        }
    }
}

impl PoolLevels {
    /// Stores the current levels of the pool.
    pub fn set(&self, level: PoolLevel) {
        let age = level.position_age.map_or(UNKNOWN_AGE_MS, |age| {
            u64::try_from(age.as_millis()).unwrap_or(UNKNOWN_AGE_MS)
        });
        self.waiting.store(level.waiting as u64, Ordering::Relaxed);
        self.running.store(level.running as u64, Ordering::Relaxed);
        self.connections
            .store(level.connections as u64, Ordering::Relaxed);
        self.position_age_ms.store(age, Ordering::Relaxed);
    }

    /// Returns the units that wait.
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns the units that run at an upstream.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the connections to upstreams.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the age of the newest known position of the primary, if there is one.
    pub fn position_age(&self) -> Option<Duration> {
        let millis = self.position_age_ms.load(Ordering::Relaxed);
        (millis != UNKNOWN_AGE_MS).then(|| Duration::from_millis(millis))
    }
}
