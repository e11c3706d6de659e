//! Connection that one request or transaction owns.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;

use super::Upstream;
use super::connection::Connection;
use super::share::Share;

/// Connection that one owner uses; closed on drop unless it is given back.
#[derive(Debug)]
pub(crate) struct Leased {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) con: Connection,
    _permit: OwnedSemaphorePermit,
    _share: Share,
}

impl Leased {
    pub(super) fn new(
        upstream: Arc<Upstream>,
        con: Connection,
        permit: OwnedSemaphorePermit,
        share: Share,
    ) -> Self {
        Self {
            upstream,
            con,
            _permit: permit,
            _share: share,
        }
    }

    /// Returns the connection to the idle ones if every answer was read, else closes it.
    pub(crate) fn give_back(self) {
        if self.con.clean {
            self.upstream.put_idle(self.con);
        }
    }
}
