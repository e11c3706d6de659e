//! Memory that a pool keeps for requests, and the share of one of them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mustardbay_policy::request_memory::RequestMemory;

/// Memory of the requests of a pool; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct SharedMemory(Arc<Mutex<RequestMemory>>);

impl SharedMemory {
    /// Creates a memory of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self(Arc::new(Mutex::new(RequestMemory::new(limit))))
    }

    /// Takes `bytes` for a request; `None` if they do not fit.
    pub(crate) fn take(&self, bytes: usize) -> Option<MemoryShare> {
        let mut share = MemoryShare {
            memory: self.clone(),
            bytes: 0,
        };
        share.grow(bytes).then_some(share)
    }

    /// Returns the bytes in use.
    pub(crate) fn used(&self) -> usize {
        self.lock().used()
    }

    fn lock(&self) -> MutexGuard<'_, RequestMemory> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one request; dropping it returns the bytes.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    memory: SharedMemory,
    bytes: usize,
}

impl MemoryShare {
    /// Adds `bytes`; returns `false` if they do not fit.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let fits = self.memory.lock().add(self.bytes, bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.lock().give_back(self.bytes);
    }
}
