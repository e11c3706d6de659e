//! Flow control window of one answer.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

/// Bytes of an answer that may still be sent; exceeded by at most one chunk.
#[derive(Debug)]
pub(crate) struct Window {
    remaining: AtomicI64,
    grown: Notify,
}

impl Window {
    /// Creates a window with a credit of `bytes`.
    pub(crate) fn new(bytes: u64) -> Self {
        Self {
            remaining: AtomicI64::new(signed(bytes)),
            grown: Notify::new(),
        }
    }

    /// Adds a credit of `bytes`.
    pub(crate) fn grow(&self, bytes: u64) {
        self.remaining.fetch_add(signed(bytes), Ordering::AcqRel);
        self.grown.notify_one();
    }

    /// Waits until credit remains and takes `bytes` from it.
    pub(crate) async fn take(&self, bytes: usize) {
        while self.remaining.load(Ordering::Acquire) <= 0 {
            self.grown.notified().await;
        }
        self.remaining
            .fetch_sub(signed(bytes as u64), Ordering::AcqRel);
    }
}

fn signed(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX >> 1)
}
