//! What one session holds, and the signal that closes it.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use futures::task::AtomicWaker;

use crate::budget::Budget;
use crate::budget::Limit;
use crate::budget::Short;
use crate::budget::ranking::Candidate;

/// Bytes that a session may hold unasked; most messages and answers are smaller.
const FREE_BYTES: usize = 8 * 1_024;
/// Copies of a message's bytes while it is read: the buffer doubles as it grows.
const RECEIVE_COPIES: usize = 2;
/// Copies of a statement and its values while it runs: unit, queue, connection and their encodings.
const RUN_COPIES: usize = 6;
/// Copies of an answer while it is written: the row, its line and the buffer, which doubles as it grows.
const ANSWER_COPIES: usize = 4;
/// Stored while the session is not to be closed.
const OPEN: u8 = u8::MAX;

/// What a session is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Stage {
    /// Its start message has not arrived.
    Starting,
    /// It has begun and waits for its first request.
    Unused,
    /// It waits for a request, without an open transaction.
    Idle,
    /// It waits for the next statement of an open transaction.
    InTransaction,
    /// Part of a message has arrived.
    Receiving,
    /// Part of a large message has arrived, and others may wait for it to end.
    ReceivingLarge,
    /// A request runs.
    Running,
    /// Its answer is being written.
    Answering,
}

impl Stage {
    const ALL: [Self; 8] = [
        Self::Starting,
        Self::Unused,
        Self::Idle,
        Self::InTransaction,
        Self::Receiving,
        Self::ReceivingLarge,
        Self::Running,
        Self::Answering,
    ];
}

/// Bytes, stage and end of one session.
#[derive(Debug)]
pub struct Holding {
    number: u64,
    budget: Arc<Budget>,
    stage: AtomicU8,
    /// Tick at which the stage began.
    since: AtomicU64,
    /// Bytes taken from the budget.
    taken: AtomicUsize,
    /// Bytes of the session's values and prepared statements.
    state_bytes: AtomicUsize,
    /// Limit that closes the session, or [`OPEN`].
    closed: AtomicU8,
    waker: AtomicWaker,
}

impl Holding {
    pub(super) fn new(number: u64, budget: Arc<Budget>) -> Self {
        Self {
            number,
            stage: AtomicU8::new(Stage::Starting as u8),
            since: AtomicU64::new(budget.now()),
            budget,
            taken: AtomicUsize::new(0),
            state_bytes: AtomicUsize::new(0),
            closed: AtomicU8::new(OPEN),
            waker: AtomicWaker::new(),
        }
    }

    /// Returns the number of the session.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the budget that the session belongs to.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Returns what the session is doing.
    #[must_use]
    pub fn stage(&self) -> Stage {
        Stage::ALL[usize::from(self.stage.load(Ordering::Relaxed))]
    }

    /// Records what the session is doing from now on.
    pub fn enter(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
        self.since.store(self.budget.now(), Ordering::Relaxed);
    }

    /// Records the size of the session's values and prepared statements.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not available.
    pub fn keep_state(&self, bytes: usize) -> Result<(), Short> {
        self.hold(bytes)?;
        self.state_bytes.store(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Takes what a message needs of which `bytes` have arrived.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not available.
    pub fn receive(&self, bytes: usize) -> Result<(), Short> {
        self.hold(self.kept() + beyond_free(bytes) * RECEIVE_COPIES)
    }

    /// Takes what a statement of `bytes` needs while it runs, besides the `rest` that came after it.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not available.
    pub fn run(&self, bytes: usize, rest: usize) -> Result<(), Short> {
        let copied = beyond_free(bytes + self.kept()) * RUN_COPIES;
        self.hold(self.kept() + copied + beyond_free(rest) * RECEIVE_COPIES)
    }

    /// Takes what an answer of `bytes` needs until it is written.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not available.
    pub fn answer(&self, bytes: usize, rest: usize) -> Result<(), Short> {
        let copied = beyond_free(bytes) * ANSWER_COPIES;
        self.hold(self.kept() + copied + beyond_free(rest) * RECEIVE_COPIES)
    }

    /// Waits until the session has to end, and returns the limit that ends it.
    pub async fn until_closed(&self) -> Limit {
        poll_fn(|context| {
            if let Some(limit) = self.closed() {
                return Poll::Ready(limit);
            }
            self.waker.register(context.waker());
            self.closed().map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }

    /// Returns the limit that ends the session, if one does.
    #[must_use]
    pub fn closed(&self) -> Option<Limit> {
        let closed = usize::from(self.closed.load(Ordering::Acquire));
        Limit::ALL.get(closed).copied()
    }

    /// Tells the session to end; what it holds counts as returned.
    pub(super) fn close(&self, limit: Limit) {
        self.closed.store(limit as u8, Ordering::Release);
        self.release();
        self.waker.wake();
    }

    pub(super) fn candidate(&self, now: u64, tick: Duration) -> Candidate {
        let ticks = now.saturating_sub(self.since.load(Ordering::Relaxed));
        Candidate {
            number: self.number,
            stage: self.stage(),
            age: tick * u32::try_from(ticks).unwrap_or(u32::MAX),
            bytes: self.taken.load(Ordering::Relaxed),
        }
    }

    /// Takes or returns the difference to what the session holds.
    fn hold(&self, bytes: usize) -> Result<(), Short> {
        let taken = self.taken.load(Ordering::Relaxed);
        if bytes == taken {
            return Ok(());
        }
        if self.closed().is_some() {
            return Err(Short);
        }
        let more = bytes.saturating_sub(taken);
        if more > 0 {
            self.budget.take(more, self.number)?;
        }
        let order = Ordering::Relaxed;
        if self
            .taken
            .compare_exchange(taken, bytes, order, order)
            .is_err()
        {
            // The session was closed meanwhile, and what it held before has been returned.
            self.budget.give_back(more);
            return Err(Short);
        }
        self.budget.give_back(taken.saturating_sub(bytes));
        Ok(())
    }

    /// Returns the bytes that the session's values and prepared statements take.
    fn kept(&self) -> usize {
        self.state_bytes.load(Ordering::Relaxed)
    }

    fn release(&self) {
        self.budget.give_back(self.taken.swap(0, Ordering::Relaxed));
    }
}

/// Removes a session from the budget when it is dropped.
#[derive(Debug)]
pub struct Ending(pub Arc<Holding>);

impl Drop for Ending {
    fn drop(&mut self) {
        self.0.budget.forget(self.0.number);
        self.0.release();
    }
}

/// Returns the bytes beyond those that a session may hold unasked.
fn beyond_free(bytes: usize) -> usize {
    bytes.saturating_sub(FREE_BYTES)
}
