//! Counters of the calls made to the platform.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Kind of a platform call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one key or a prefix.
    Range,
    /// Unconditional write.
    Put,
    /// Compare-and-swap.
    Txn,
    /// Grant or renewal of a lease.
    Lease,
    /// Start of a watch.
    Watch,
}

/// Number of calls of each kind, and of failed calls of any kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    range: AtomicU64,
    put: AtomicU64,
    txn: AtomicU64,
    lease: AtomicU64,
    watch: AtomicU64,
    failed: AtomicU64,
}

impl CallCounts {
    /// Counts a call that is about to be made.
    pub fn count(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Range => &self.range,
            CallKind::Put => &self.put,
            CallKind::Txn => &self.txn,
            CallKind::Lease => &self.lease,
            CallKind::Watch => &self.watch,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that got no usable response.
    pub fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls made so far, including failed ones.
    #[must_use]
    pub fn total(&self) -> u64 {
        [&self.range, &self.put, &self.txn, &self.lease, &self.watch]
            .iter()
            .map(|counter| counter.load(Ordering::Relaxed))
            .sum()
    }

    /// Returns every counter by name.
    #[must_use]
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        BTreeMap::from([
            ("range", load(&self.range)),
            ("put", load(&self.put)),
            ("txn", load(&self.txn)),
            ("lease", load(&self.lease)),
            ("watch", load(&self.watch)),
            ("failed", load(&self.failed)),
        ])
    }
}
