//! Memory of the requests at a pool: which request is taken in while it runs short.
//!
//! Load pattern: entries pass on a crowd of large requests, or of requests whose answers are held
//! until their commit is durable. The large are refused first, so that ordinary ones are served.

/// Largest request, in bytes, that may use the last quarter of the memory.
const SMALL_BYTES: usize = 64 * 1024;

/// Memory of the requests at a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMemory {
    limit: usize,
    used: usize,
}

impl RequestMemory {
    /// Creates a memory of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: 0 }
    }

    /// Adds `bytes` to a request that has `held` already; returns `false` if they do not fit.
    #[must_use]
    pub fn add(&mut self, held: usize, bytes: usize) -> bool {
        let limit = if held.saturating_add(bytes) <= SMALL_BYTES {
            self.limit
        } else {
            self.limit / 4 * 3
        };
        let fits = self.used.saturating_add(bytes) <= limit;
        if fits {
            self.used += bytes;
        }
        fits
    }

    /// Returns the bytes of a request that has ended.
    pub fn give_back(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }
}
