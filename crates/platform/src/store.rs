//! Interface of the key-value store that the fleet relies on.

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

/// Key-value store with compare-and-swap, leases and watches; every call has a deadline.
#[async_trait]
pub trait Platform: Debug + Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no usable response in time.
    async fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError>;

    /// Reads every key that starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no usable response in time.
    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError>;

    /// Writes a key, attached to `lease` if one is given.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no usable response in time; the write may still have taken
    /// effect.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Revision, PlatformError>;

    /// Writes a key if its revision is `expected`; revision 0 means that the key must not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no usable response in time; the write may still have taken
    /// effect, which [`swap_settled`](crate::swap_settled) detects.
    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<Swap, PlatformError>;

    /// Grants a lease that expires `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no usable response in time.
    async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError>;

    /// Renews a lease and returns its remaining time, or `None` if it has expired.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no usable response in time.
    async fn lease_keepalive(&self, lease: LeaseId) -> Result<Option<Duration>, PlatformError>;

    /// Reports changes under `prefix` from revision `from` on.
    ///
    /// The channel closes when the watch ends; the caller must then list the prefix and watch
    /// again.
    ///
    /// # Errors
    ///
    /// Fails if the watch cannot be started in time.
    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<mpsc::Receiver<WatchEvent>, PlatformError>;

    /// Returns the counters of the calls made so far.
    fn calls(&self) -> &CallCounts;
}
