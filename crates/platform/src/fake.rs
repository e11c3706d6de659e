//! Store in memory with faults on request.

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

/// Events that a watcher may lag behind before its watch ends.
const WATCH_EVENTS: usize = 1024;

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It answers.
    #[default]
    None,
    /// It cannot be reached.
    Down,
    /// The next write takes effect and its answer is lost; then it answers again.
    LoseNextAnswer,
}

/// Store in memory for tests.
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

    /// Changes how the store misbehaves; going down ends every watch.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.lock();
        state.fault = fault;
        if fault == Fault::Down {
            state.watchers.clear();
        }
    }

    /// Lets a lease lapse at once.
    pub fn lapse(&self, lease: LeaseId) {
        self.lock().leases.remove(&lease.0);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enter(&self, kind: CallKind) -> Result<MutexGuard<'_, State>, PlatformError> {
        self.calls.count(kind);
        let state = self.lock();
        if state.fault == Fault::Down {
            self.calls.count_failure();
            return Err(PlatformError::Unreachable("down".to_owned()));
        }
        Ok(state)
    }

    fn answer<T>(&self, state: &mut State, answer: T) -> Result<T, PlatformError> {
        if state.fault == Fault::LoseNextAnswer {
            state.fault = Fault::None;
            self.calls.count_failure();
            return Err(PlatformError::Unanswered("answer lost".to_owned()));
        }
        Ok(answer)
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
        Ok(self.enter(CallKind::Range)?.entries.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let state = self.enter(CallKind::Range)?;
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
        let mut state = self.enter(CallKind::Put)?;
        let revision = state.write(key, value);
        self.answer(&mut state, revision)
    }

    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<Swap, PlatformError> {
        let mut state = self.enter(CallKind::Txn)?;
        let current = state.entries.get(key).cloned();
        let revision = current.as_ref().map(|entry| entry.revision);
        if revision.unwrap_or_default() != expected {
            return Ok(Swap::Conflict(current));
        }
        let revision = state.write(key, value);
        self.answer(&mut state, Swap::Done(revision))
    }

    async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let mut state = self.enter(CallKind::Lease)?;
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, ttl);
        Ok(LeaseId(id))
    }

    async fn lease_keepalive(&self, lease: LeaseId) -> Result<Option<Duration>, PlatformError> {
        let state = self.enter(CallKind::Lease)?;
        Ok(state.leases.get(&lease.0).copied())
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<mpsc::Receiver<WatchEvent>, PlatformError> {
        let mut state = self.enter(CallKind::Watch)?;
        let (send, recv) = mpsc::channel(WATCH_EVENTS);
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
