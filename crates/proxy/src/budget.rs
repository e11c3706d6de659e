//! Bounds on what clients can make the process hold: bytes, sockets and time.
//!
//! One [`Budget`] per process counts the bytes of all sessions. While there is enough, a session
//! only adds to a counter. When it runs short, [`ranking`] decides which session is closed.

mod answer_stream;
mod buffer;
mod holding;
mod limited_stream;
mod ranking;
mod sizes;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mustardbay_process::timer::Timer;
use thiserror::Error;
use tokio::sync::Semaphore;

pub use crate::budget::answer_stream::AnswerStream;
pub use crate::budget::buffer::shrink;
pub use crate::budget::holding::Ending;
pub use crate::budget::holding::Holding;
pub use crate::budget::holding::Stage;
pub use crate::budget::limited_stream::LimitedStream;
pub use crate::budget::ranking::Candidate;
pub use crate::budget::ranking::first_for_memory;
pub use crate::budget::ranking::first_for_socket;
pub use crate::budget::ranking::has_expired;
pub use crate::budget::sizes::Sizes;
use crate::sync::lock;
use crate::vm_metrics::VmMetrics;

/// Time between two looks at how long sessions have been in their stages.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two log lines about the same limit, in ticks.
const LOG_TICKS: u64 = 2;

/// Limit that ended a session or refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// The sessions together hold too many bytes.
    Memory,
    /// Too many connections are open.
    Sockets,
    /// A message was not finished in time.
    Message,
    /// An answer was not read in time.
    Answer,
    /// The values and prepared statements of one session are too large.
    SessionState,
}

impl Limit {
    /// All limits, in the order of their counters.
    const ALL: [Self; 5] = [
        Self::Memory,
        Self::Sockets,
        Self::Message,
        Self::Answer,
        Self::SessionState,
    ];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Sockets => "sockets",
            Self::Message => "message",
            Self::Answer => "answer",
            Self::SessionState => "session_state",
        }
    }
}

/// The bytes that a session needs are not available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the vm is short of memory")]
pub struct Short;

/// Budget of one process.
#[derive(Debug)]
pub struct Budget {
    sizes: Sizes,
    vm_metrics: Arc<VmMetrics>,
    /// Bytes that sessions and links hold beyond what each may hold unasked.
    used: AtomicUsize,
    holdings: Mutex<BTreeMap<u64, Arc<Holding>>>,
    /// Permits to read and run a large message of a client.
    large_messages: Arc<Semaphore>,
    /// Permits to read a large answer of an upstream.
    large_answers: Arc<Semaphore>,
    /// Number of ticks so far, the clock of the stages.
    now: AtomicU64,
    /// For each limit, the tick of its last log line and how often it acted since.
    logged: Mutex<[(u64, u64); Limit::ALL.len()]>,
}

impl Budget {
    /// Creates the budget of a process.
    #[must_use]
    pub fn new(sizes: Sizes, vm_metrics: Arc<VmMetrics>) -> Self {
        Self {
            sizes,
            vm_metrics,
            used: AtomicUsize::new(0),
            large_messages: Arc::new(Semaphore::new(sizes.large_messages)),
            large_answers: Arc::new(Semaphore::new(sizes.large_answers)),
            holdings: Mutex::default(),
            now: AtomicU64::new(1),
            logged: Mutex::new([(0, 0); Limit::ALL.len()]),
        }
    }

    /// Returns the sizes that the budget keeps.
    #[must_use]
    pub fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the permits to read and run a large message of a client.
    #[must_use]
    pub fn large_messages(&self) -> Arc<Semaphore> {
        Arc::clone(&self.large_messages)
    }

    /// Returns the permits to read a large answer of an upstream.
    #[must_use]
    pub fn large_answers(&self) -> Arc<Semaphore> {
        Arc::clone(&self.large_answers)
    }

    /// Returns the number of open sessions.
    #[must_use]
    pub fn sessions(&self) -> usize {
        lock(&self.holdings).len()
    }

    /// Tells whether no further session fits.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.sessions() >= self.sizes.sessions
    }

    /// Admits a new connection; closes another one if there is no socket left.
    ///
    /// Returns nothing if the new connection has to be refused.
    #[must_use]
    pub fn admit(self: &Arc<Self>, number: u64) -> Option<Arc<Holding>> {
        let mut holdings = lock(&self.holdings);
        if holdings.len() >= self.sizes.sessions {
            let candidates = self.candidates(&holdings);
            let first = first_for_socket(&candidates);
            let first = first.and_then(|number| holdings.remove(&number));
            self.acted(Limit::Sockets);
            first?.close(Limit::Sockets);
        }
        let holding = Arc::new(Holding::new(number, Arc::clone(self)));
        holdings.insert(number, Arc::clone(&holding));
        Some(holding)
    }

    /// Takes bytes for a session; closes the sessions that hold most until they suffice.
    ///
    /// # Errors
    ///
    /// Fails if the session itself is the next one to close.
    pub fn take(&self, bytes: usize, session: u64) -> Result<(), Short> {
        let used = self.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if used <= self.sizes.bytes || self.make_room(session) {
            return Ok(());
        }
        self.give_back(bytes);
        Err(Short)
    }

    /// Takes bytes without closing a session for them.
    ///
    /// # Errors
    ///
    /// Fails if they are not available.
    pub fn take_spare(&self, bytes: usize) -> Result<(), Short> {
        let used = self.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if used <= self.sizes.bytes {
            return Ok(());
        }
        self.give_back(bytes);
        self.acted(Limit::Memory);
        Err(Short)
    }

    /// Returns bytes that were taken.
    pub fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Counts and logs that a limit acted; a flood leaves one line at a time.
    pub fn acted(&self, limit: Limit) {
        self.vm_metrics.limited(limit.name());
        let now = self.now();
        let mut logged = lock(&self.logged);
        let (last, times) = &mut logged[limit as usize];
        *times += 1;
        if *last == 0 || now >= *last + LOG_TICKS {
            let used_bytes = self.used();
            tracing::warn!(
                event = "limit_met",
                limit = limit.name(),
                times = *times,
                used_bytes
            );
            *last = now;
            *times = 0;
        }
    }

    /// Closes sessions that have been too long in their stage, until the process ends.
    pub fn watch(self: &Arc<Self>, timer: &Timer) {
        let budget = Arc::clone(self);
        let mut ticks = timer.every(TICK_INTERVAL);
        tokio::spawn(async move {
            while ticks.recv().await.is_some() {
                budget.tick();
            }
        });
    }

    /// Advances the clock of the stages and closes the sessions whose time is over.
    pub fn tick(&self) {
        self.now.fetch_add(1, Ordering::Relaxed);
        let contended = self.large_messages.available_permits() == 0;
        let mut holdings = lock(&self.holdings);
        let expired: Vec<(u64, Limit)> = self
            .candidates(&holdings)
            .iter()
            .filter_map(|candidate| Some((candidate.number, has_expired(candidate, contended)?)))
            .collect();
        for (number, limit) in expired {
            if let Some(holding) = holdings.remove(&number) {
                holding.close(limit);
                self.acted(limit);
            }
        }
    }

    /// Closes the sessions that come first until the bytes suffice; tells whether they do.
    fn make_room(&self, session: u64) -> bool {
        let mut holdings = lock(&self.holdings);
        while self.used() > self.sizes.bytes {
            let first = first_for_memory(&self.candidates(&holdings));
            let Some(first) = first.filter(|number| *number != session) else {
                self.acted(Limit::Memory);
                return false;
            };
            if let Some(holding) = holdings.remove(&first) {
                holding.close(Limit::Memory);
                self.acted(Limit::Memory);
            }
        }
        true
    }

    fn candidates(&self, holdings: &BTreeMap<u64, Arc<Holding>>) -> Vec<Candidate> {
        let now = self.now();
        let all = holdings.values();
        all.map(|holding| holding.candidate(now, TICK_INTERVAL))
            .collect()
    }

    fn now(&self) -> u64 {
        self.now.load(Ordering::Relaxed)
    }

    /// Removes a session that has ended.
    fn forget(&self, number: u64) {
        lock(&self.holdings).remove(&number);
    }
}
