//! Links to the pools of the fleet, one connection for each pool in use.

mod pool_link;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use mustardbay_process::dialer::Dialer;

pub(crate) use pool_link::Answer;
pub(crate) use pool_link::AnswerSender;
pub(crate) use pool_link::PoolLink;

/// Links to pools by address, created on first use.
#[derive(Debug)]
pub(crate) struct Pools {
    dialer: Dialer,
    links: Mutex<HashMap<String, Arc<PoolLink>>>,
}

impl Pools {
    /// Creates an empty set of links.
    pub fn new(dialer: Dialer) -> Self {
        Self {
            dialer,
            links: Mutex::default(),
        }
    }

    /// Returns the link to the pool at `address`.
    pub fn link(&self, address: &str) -> Arc<PoolLink> {
        let mut links = self.lock();
        if let Some(link) = links.get(address) {
            return Arc::clone(link);
        }
        let link = PoolLink::start(address, self.dialer);
        links.insert(address.to_owned(), Arc::clone(&link));
        link
    }

    /// Drops links to pools that are neither wanted nor in use.
    pub fn retain(&self, wanted: impl Fn(&str) -> bool) {
        self.lock()
            .retain(|address, link| wanted(address) || Arc::strong_count(link) > 1);
    }

    /// Returns every link.
    pub fn all(&self) -> Vec<Arc<PoolLink>> {
        self.lock().values().map(Arc::clone).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Arc<PoolLink>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
