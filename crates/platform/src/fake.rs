//! In-memory key-value store with fault injection.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::calls::CallCounts;
use crate::calls::CallKind;
use crate::entry::Entry;
use crate::entry::LeaseId;
use crate::entry::Listing;
use crate::entry::Revision;
use crate::entry::Swap;
use crate::entry::WatchEvent;
use crate::error::PlatformError;
use crate::store::Platform;

/// Events buffered for a watcher; its watch ends when the buffer is full.
const WATCH_BUFFER_EVENTS: usize = 1024;

/// Fault that the store simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// None: every call gets its response.
    #[default]
    None,
    /// The store is unreachable: every call fails without effect.
    Down,
    /// The next write takes effect but its response is lost; after it, the fault ends.
    LoseNextAnswer,
}

/// In-memory store for tests.
#[derive(Debug, Default)]
pub struct Fake {
    state: Mutex<State>,
    calls: CallCounts,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    revision: u64,
    next_lease: u64,
    leases: BTreeMap<u64, Duration>,
    entries: BTreeMap<String, Entry>,
    watchers: Vec<(String, mpsc::Sender<WatchEvent>)>,
}

impl Fake {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the simulated fault; [`Fault::Down`] also ends every watch.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.lock();
        state.fault = fault;
        if fault == Fault::Down {
            state.watchers.clear();
        }
    }

    /// Expires a lease immediately.
    pub fn expire_lease(&self, lease: LeaseId) {
        self.lock().leases.remove(&lease.0);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_call(&self, kind: CallKind) -> Result<MutexGuard<'_, State>, PlatformError> {
        self.calls.count(kind);
        let state = self.lock();
        if state.fault == Fault::Down {
            self.calls.count_failure();
            return Err(PlatformError::Unreachable("down".to_owned()));
        }
        Ok(state)
    }

    fn reply<T>(&self, state: &mut State, reply: T) -> Result<T, PlatformError> {
        if state.fault == Fault::LoseNextAnswer {
            state.fault = Fault::None;
            self.calls.count_failure();
            return Err(PlatformError::Unanswered("answer lost".to_owned()));
        }
        Ok(reply)
    }
}

impl State {
    fn write(&mut self, key: &str, value: Bytes) -> Revision {
        self.revision += 1;
        let entry = Entry {
            key: key.to_owned(),
            value,
            revision: Revision(self.revision),
        };
        self.entries.insert(key.to_owned(), entry.clone());
        self.watchers.retain(|(prefix, watcher)| {
            !key.starts_with(prefix.as_str())
                || watcher.try_send(WatchEvent::Put(entry.clone())).is_ok()
        });
        Revision(self.revision)
    }
}

#[async_trait]
impl Platform for Fake {
    async fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        Ok(self.start_call(CallKind::Range)?.entries.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let state = self.start_call(CallKind::Range)?;
        let entries = state
            .entries
            .values()
            .filter(|entry| entry.key.starts_with(prefix));
        Ok(Listing {
            revision: Revision(state.revision),
            entries: entries.cloned().collect(),
        })
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        _lease: Option<LeaseId>,
    ) -> Result<Revision, PlatformError> {
        let mut state = self.start_call(CallKind::Put)?;
        let revision = state.write(key, value);
        self.reply(&mut state, revision)
    }

    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<Swap, PlatformError> {
        let mut state = self.start_call(CallKind::Txn)?;
        let current = state.entries.get(key).cloned();
        let revision = current.as_ref().map(|entry| entry.revision);
        if revision.unwrap_or_default() != expected {
            return Ok(Swap::Conflict(current));
        }
        let revision = state.write(key, value);
        self.reply(&mut state, Swap::Done(revision))
    }

    async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let mut state = self.start_call(CallKind::Lease)?;
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, ttl);
        Ok(LeaseId(id))
    }

    async fn lease_keepalive(&self, lease: LeaseId) -> Result<Option<Duration>, PlatformError> {
        let state = self.start_call(CallKind::Lease)?;
        Ok(state.leases.get(&lease.0).copied())
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<mpsc::Receiver<WatchEvent>, PlatformError> {
        let mut state = self.start_call(CallKind::Watch)?;
        let (send, recv) = mpsc::channel(WATCH_BUFFER_EVENTS);
        let missed = state
            .entries
            .values()
            .filter(|entry| entry.key.starts_with(prefix) && entry.revision >= from);
        for entry in missed {
            if send.try_send(WatchEvent::Put(entry.clone())).is_err() {
                break;
            }
        }
        state.watchers.push((prefix.to_owned(), send));
        Ok(recv)
    }

    fn calls(&self) -> &CallCounts {
        &self.calls
    }
}
