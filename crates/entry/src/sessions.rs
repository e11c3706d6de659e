//! Sessions that are open, for cancel requests and for the dump.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Instant;

use crate::pools::PoolLink;
use crate::session::Login;

/// What others may know and do about one session.
#[derive(Debug)]
pub(crate) struct SessionHandle {
    /// Number of the session, which callers see as process id.
    pub pid: i32,
    /// Secret that a cancel request must show.
    pub secret: i32,
    /// Who it runs for.
    pub login: Login,
    /// When it was opened.
    pub opened: Instant,
    running: Mutex<Option<(Weak<PoolLink>, u64)>>,
}

impl SessionHandle {
    /// Creates the handle of a new session, with a random secret.
    pub fn new(session: u64, login: Login) -> Self {
        Self {
            pid: i32::try_from(session & 0x7fff_ffff).unwrap_or_default(),
            secret: rand::random(),
            login,
            opened: Instant::now(),
            running: Mutex::default(),
        }
    }

    /// Records the request that runs, so that it can be cancelled.
    pub fn run(&self, link: &Arc<PoolLink>, request: u64) {
        *self.lock() = Some((Arc::downgrade(link), request));
    }

    /// Records that no request runs.
    pub fn rest(&self) {
        *self.lock() = None;
    }

    /// Tells whether a request runs.
    pub fn is_busy(&self) -> bool {
        self.lock().is_some()
    }

    fn cancel(&self) {
        let running = self.lock();
        if let Some((link, request)) = running.as_ref()
            && let Some(link) = link.upgrade()
        {
            link.cancel(*request);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<(Weak<PoolLink>, u64)>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Open sessions by process id.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    open: Mutex<HashMap<i32, Arc<SessionHandle>>>,
}

impl Sessions {
    /// Adds a session.
    pub fn add(&self, handle: &Arc<SessionHandle>) {
        self.lock().insert(handle.pid, Arc::clone(handle));
    }

    /// Removes a session.
    pub fn remove(&self, pid: i32) {
        self.lock().remove(&pid);
    }

    /// Cancels what a session runs, if the secret is its own.
    pub fn cancel(&self, pid: i32, secret: Option<i32>) {
        let handle = self.lock().get(&pid).map(Arc::clone);
        if let Some(handle) = handle
            && secret == Some(handle.secret)
        {
            handle.cancel();
        }
    }

    /// Returns the number of open sessions.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns up to `most` open sessions.
    pub fn some(&self, most: usize) -> Vec<Arc<SessionHandle>> {
        self.lock().values().take(most).map(Arc::clone).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<i32, Arc<SessionHandle>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
