//! Open sessions, used by cancel requests and the state dump.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Instant;

use crate::pools::PoolLink;
use crate::session::Login;

/// Handle to one session for cancel requests and the state dump.
#[derive(Debug)]
pub(crate) struct SessionHandle {
    /// Process id that the client is given in `BackendKeyData`.
    pub pid: i32,
    /// Secret that a cancel request must present.
    pub secret: i32,
    /// Identity and route of the session.
    pub login: Login,
    /// Time at which the session was opened.
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

    /// Records the running request, so that it can be cancelled.
    pub fn set_running(&self, link: &Arc<PoolLink>, request: u64) {
        *self.lock() = Some((Arc::downgrade(link), request));
    }

    /// Records that no request is running.
    pub fn clear_running(&self) {
        *self.lock() = None;
    }

    /// Reports whether a request is running.
    pub fn is_busy(&self) -> bool {
        self.lock().is_some()
    }

    /// Asks the pool to cancel the running request, if there is one.
    pub fn cancel(&self) {
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

    /// Cancels the running request of a session if the secret matches.
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

    /// Returns up to `max` open sessions, in no particular order.
    pub fn sample(&self, max: usize) -> Vec<Arc<SessionHandle>> {
        self.lock().values().take(max).map(Arc::clone).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<i32, Arc<SessionHandle>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
