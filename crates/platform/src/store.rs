//! What the proxy asks of the platform.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::calls::CallCounts;
use crate::entry::Entry;
use crate::entry::LeaseId;
use crate::entry::Listing;
use crate::entry::Revision;
use crate::entry::Swap;
use crate::entry::WatchEvent;
use crate::error::PlatformError;

/// Key-value store with compare-and-swap, leases and watches; every call ends by a deadline.
#[async_trait]
pub trait Platform: Debug + Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time.
    async fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError>;

    /// Reads every key that starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time.
    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError>;

    /// Writes a key, bound to `lease` if one is given.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time; the write may still have taken effect.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Revision, PlatformError>;

    /// Writes a key if its revision is `expected`; revision 0 expects that it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time; the write may still have taken effect, which
    /// [`swap_settled`](crate::swap_settled) finds out.
    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<Swap, PlatformError>;

    /// Grants a lease that lapses `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time.
    async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError>;

    /// Renews a lease and returns the time left; `None` means that it has lapsed.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer in time.
    async fn lease_keepalive(&self, lease: LeaseId) -> Result<Option<Duration>, PlatformError>;

    /// Reports changes under `prefix` from revision `from` on; the channel closes when the watch
    /// ends, and the caller then reads and watches again.
    ///
    /// # Errors
    ///
    /// Fails if the watch cannot be started in time.
    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<mpsc::Receiver<WatchEvent>, PlatformError>;

    /// Returns the counters of the calls made.
    fn calls(&self) -> &CallCounts;
}
