//! Connection that is leased to one request or transaction.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;

use super::Upstream;
use super::connection::Connection;
use super::connection_share::ConnectionShare;

/// Leased connection; closed on drop unless it is released.
#[derive(Debug)]
pub(crate) struct LeasedConnection {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) con: Connection,
    _permit: OwnedSemaphorePermit,
    _share: ConnectionShare,
}

impl LeasedConnection {
    pub(super) fn new(
        upstream: Arc<Upstream>,
        con: Connection,
        permit: OwnedSemaphorePermit,
        share: ConnectionShare,
    ) -> Self {
        Self {
            upstream,
            con,
            _permit: permit,
            _share: share,
        }
    }

    /// Makes the connection idle if its last answer was read to the end, else closes it.
    pub(crate) fn release(self) {
        if self.con.clean {
            self.upstream.put_idle(self.con);
        }
    }
}
