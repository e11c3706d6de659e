//! Gate for client connections, which hands out permits and has start-ups make room.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use mustardbay_policy::connections::ConnectionLimits;
use mustardbay_policy::connections::Startups;
use mustardbay_process::byte_budget::Eviction;
use mustardbay_process::byte_budget::Holder;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Longest wait for the connection that makes room.
const ROOM_WAIT: Duration = Duration::from_secs(1);

/// Gate for client connections.
#[derive(Debug)]
pub(crate) struct Gate {
    open: Arc<Semaphore>,
    waiting: Arc<Semaphore>,
    startups: Mutex<Startups<Arc<Holder>>>,
}

impl Gate {
    /// Creates a gate.
    pub fn new(limits: ConnectionLimits) -> Arc<Self> {
        Arc::new(Self {
            open: Arc::new(Semaphore::new(limits.open)),
            waiting: Arc::new(Semaphore::new(limits.waiting)),
            startups: Mutex::default(),
        })
    }

    /// Takes a permit to open a connection; `None` if all are taken.
    pub fn try_open(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.open).try_acquire_owned().ok()
    }

    /// Takes a permit to wait or be rejected; `None` means that the connection is dropped at once.
    pub fn try_wait(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.waiting).try_acquire_owned().ok()
    }

    /// Has the oldest start-up make room, and waits for it; `None` if none has to.
    pub async fn make_room(&self) -> Option<OwnedSemaphorePermit> {
        let oldest = self.lock().take_oldest(Instant::now())?;
        oldest.evict(Eviction::Crowded);
        drop(oldest);
        let permit = timeout(ROOM_WAIT, Arc::clone(&self.open).acquire_owned()).await;
        permit.ok()?.ok()
    }

    /// Notes that a start-up runs until the guard is dropped.
    pub fn start_up(self: &Arc<Self>, holder: &Arc<Holder>) -> StartupGuard {
        let number = self.lock().begin(Arc::clone(holder), Instant::now());
        StartupGuard {
            gate: Arc::clone(self),
            number,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Startups<Arc<Holder>>> {
        self.startups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Start-up in progress.
#[derive(Debug)]
pub(crate) struct StartupGuard {
    gate: Arc<Gate>,
    number: u64,
}

impl Drop for StartupGuard {
    fn drop(&mut self) {
        self.gate.lock().end(self.number);
    }
}
