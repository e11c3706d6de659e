//! State that the tasks of one upstream share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Config;
use super::canceller::Canceller;
use super::database::Database;
use super::state::Role;
use super::state::State;
use crate::gate::Gate;

/// Settings, database, counters and replication state of one upstream.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub config: Config,
    /// Database file.
    pub database: Database,
    /// Lock that a task holds while it writes to the database.
    pub writer: Arc<tokio::sync::Mutex<()>>,
    /// Blocks every task that reads or answers while the upstream is frozen.
    pub gate: Gate,
    /// Ends every task when the upstream is killed.
    pub stop: CancellationToken,
    /// Notifies subscribers of every change of the replication state.
    pub changed: watch::Sender<()>,
    /// Number of open client connections.
    pub connections: AtomicUsize,
    /// Number of statements that run now.
    pub running: AtomicUsize,
    /// Highest number of statements that ran at once.
    pub running_max: AtomicUsize,
    /// Number of reads that ran while the upstream was a primary.
    pub primary_reads: AtomicU64,
    /// Number of reads that ran while the upstream was a replica or fenced.
    pub replica_reads: AtomicU64,
    /// Cancellers of the open client connections, by process number.
    cancellers: Mutex<HashMap<i32, Arc<Canceller>>>,
    state: Mutex<State>,
}

impl Shared {
    /// Creates the shared state of an upstream that is fenced at term 0.
    #[must_use]
    pub fn new(config: Config, database: Database) -> Self {
        let state = Mutex::new(State::new(config.lag));
        Self {
            config,
            database,
            writer: Arc::default(),
            gate: Gate::new(),
            stop: CancellationToken::new(),
            changed: watch::Sender::new(()),
            cancellers: Mutex::default(),
            connections: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            running_max: AtomicUsize::new(0),
            primary_reads: AtomicU64::new(0),
            replica_reads: AtomicU64::new(0),
            state,
        }
    }

    /// Locks the replication state; the guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the cancellers, by process number; the guard must not be held across an await.
    pub fn cancellers(&self) -> MutexGuard<'_, HashMap<i32, Arc<Canceller>>> {
        self.cancellers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a read under the current role.
    pub fn count_read(&self) {
        let reads = match self.state().role {
            Role::Primary => &self.primary_reads,
            Role::Replica | Role::Fenced => &self.replica_reads,
        };
        reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Wakes every task that waits for a change of the replication state.
    pub fn notify_changed(&self) {
        self.changed.send_replace(());
    }
}
