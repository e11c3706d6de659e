//! One client of a budget, and its shares.

use std::fmt;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

use super::Candidate;
use super::Eviction;
use super::Exhausted;
use super::Inner;

/// Step in which a share is charged, so that small changes cost nothing.
const STEP_BYTES: usize = 4 * 1024;

/// State of one client.
pub(super) struct State {
    id: u64,
    budget: Arc<Inner>,
    pub(super) bytes: AtomicUsize,
    pub(super) unfinished_since: AtomicU64,
    pub(super) unread_since: AtomicU64,
    ended: CancellationToken,
    why: OnceLock<Eviction>,
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("State")
            .field("id", &self.id)
            .field("bytes", &self.bytes)
            .field("why", &self.why)
            .finish_non_exhaustive()
    }
}

impl State {
    pub(super) fn is_evicted(&self) -> bool {
        self.why.get().is_some()
    }

    pub(super) fn evict(&self, why: Eviction) {
        if self.why.set(why).is_ok() {
            self.budget.evicted[why as usize].fetch_add(1, Ordering::Relaxed);
            self.ended.cancel();
        }
    }

    pub(super) fn candidate(&self, id: u64, bytes: usize) -> Candidate {
        let since = |stalled: &AtomicU64| match stalled.load(Ordering::Relaxed) {
            0 => u64::MAX,
            since => since,
        };
        Candidate {
            id,
            bytes,
            stalled_since: since(&self.unfinished_since).min(since(&self.unread_since)),
        }
    }

    fn grow(&self, bytes: usize) -> Result<(), Exhausted> {
        if self.is_evicted() {
            return Err(Exhausted);
        }
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if used <= self.budget.limit {
            return Ok(());
        }
        self.budget.make_room(self.id).inspect_err(|_| {
            self.shrink(bytes);
            self.evict(Eviction::Memory);
        })
    }

    fn shrink(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.budget.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn mark(&self, stalled: &AtomicU64) {
        if stalled.load(Ordering::Relaxed) == 0 {
            stalled.store(self.budget.now_ms(), Ordering::Relaxed);
        }
    }
}

/// Client of a budget; it leaves the budget when it is dropped.
#[derive(Debug)]
pub struct Holder(Arc<State>);

impl Holder {
    pub(super) fn new(budget: &Arc<Inner>) -> Self {
        let state = Arc::new(State {
            id: budget.next.fetch_add(1, Ordering::Relaxed),
            budget: Arc::clone(budget),
            bytes: AtomicUsize::new(0),
            unfinished_since: AtomicU64::new(0),
            unread_since: AtomicU64::new(0),
            ended: CancellationToken::new(),
            why: OnceLock::new(),
        });
        budget.lock().insert(state.id, Arc::clone(&state));
        Self(state)
    }

    /// Adds a share of the client's bytes, which is empty yet.
    #[must_use]
    pub fn share(&self) -> Share {
        Share {
            state: Arc::clone(&self.0),
            bytes: 0,
        }
    }

    /// Waits until the client has to go, and returns the reason.
    pub async fn evicted(&self) -> Eviction {
        self.0.ended.cancelled().await;
        // The reason is set before the token is cancelled.
        self.0.why.get().copied().unwrap_or(Eviction::Memory)
    }

    /// Tells whether the client has to go.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.0.is_evicted()
    }

    /// Closes the client.
    pub fn evict(&self, why: Eviction) {
        self.0.evict(why);
    }

    /// Notes that a message of the client is incomplete, unless that is noted already.
    pub fn wait_for_input(&self) {
        self.0.mark(&self.0.unfinished_since);
    }

    /// Notes that the client's messages are complete.
    pub fn input_complete(&self) {
        self.0.unfinished_since.store(0, Ordering::Relaxed);
    }

    /// Notes that the client does not take its answers, unless that is noted already.
    pub fn wait_for_reader(&self) {
        self.0.mark(&self.0.unread_since);
    }

    /// Notes that the client takes its answers.
    pub fn output_taken(&self) {
        self.0.unread_since.store(0, Ordering::Relaxed);
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let state = self.0.budget.lock().remove(&self.0.id);
        drop(state);
    }
}

/// Part of the bytes that the process keeps for one client; dropping it returns them.
#[derive(Debug)]
pub struct Share {
    state: Arc<State>,
    bytes: usize,
}

impl Share {
    /// Sets the size of the share, in whole steps.
    ///
    /// # Errors
    ///
    /// Fails if the budget is spent and this client has to go; the share keeps its size.
    pub fn set(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let bytes = bytes / STEP_BYTES * STEP_BYTES;
        if bytes > self.bytes {
            self.state.grow(bytes - self.bytes)?;
        } else if bytes < self.bytes {
            self.state.shrink(self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Adds an empty share of the same client.
    #[must_use]
    pub fn sibling(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            bytes: 0,
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.state.shrink(self.bytes);
        }
    }
}
