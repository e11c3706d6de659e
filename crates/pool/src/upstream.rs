//! An upstream that this pool serves: its connections, slots, positions and confirmations.

mod confirmations;
mod connection;
mod control;
mod error;
mod known;
mod leased;
mod login;
mod slots;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_policy::queue::Discipline;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::timeout_at;

use confirmations::Confirmations;
use control::Control;
use known::Known;

pub(crate) use connection::Connection;
pub(crate) use connection::HEADER_BYTES;
pub(crate) use connection::Reported;
pub(crate) use connection::Target;
pub(crate) use connection::decode;
pub(crate) use connection::reported;
pub(crate) use error::SQLSTATE_READ_ONLY;
pub(crate) use error::SQLSTATE_TERM;
pub(crate) use error::SQLSTATE_TOO_MANY;
pub(crate) use error::UpstreamError;
pub(crate) use leased::Leased;
pub(crate) use slots::Claim;
pub(crate) use slots::Slot;
pub(crate) use slots::Slots;

/// Connections of an upstream that are left to control connections.
const RESERVED_CONNECTIONS: u32 = 4;
/// Pause between two looks at the position of a replica that is behind.
const BEHIND_POLL_PAUSE: Duration = Duration::from_millis(2);

/// Name of an upstream across groups.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct UpstreamKey {
    pub(crate) group: GroupName,
    pub(crate) upstream: UpstreamName,
}

/// Sizes of an upstream, from the bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sizes {
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// Upstream that this pool serves.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) key: UpstreamKey,
    pub(crate) target: Target,
    pub(crate) known: Known,
    pub(crate) confirmations: Confirmations,
    pub(crate) slots: Arc<Slots>,
    control: Control,
    leases: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
}

impl Upstream {
    /// Starts to serve an upstream.
    pub(crate) fn new(
        key: UpstreamKey,
        target: Target,
        sizes: Sizes,
        discipline: Discipline,
    ) -> Self {
        let usable = sizes
            .connections
            .saturating_sub(RESERVED_CONNECTIONS)
            .max(1);
        Self {
            key,
            known: Known::default(),
            confirmations: Confirmations::start(&target),
            control: Control::new(target.clone()),
            target,
            slots: Slots::new(discipline, sizes.slots),
            leases: Arc::new(Semaphore::new(usable as usize)),
            idle: Mutex::default(),
        }
    }

    /// Leases a connection of `term`, an idle one if there is one.
    pub(crate) async fn lease(
        self: &Arc<Self>,
        term: Term,
        deadline: Instant,
    ) -> Result<Leased, UpstreamError> {
        let leases = Arc::clone(&self.leases);
        let Ok(Ok(permit)) = timeout_at(deadline, leases.acquire_owned()).await else {
            return Err(UpstreamError::Timeout);
        };
        let con = match self.take_idle(term) {
            Some(con) => con,
            None => self.open(term, deadline).await?,
        };
        Ok(Leased::new(Arc::clone(self), con, permit))
    }

    async fn open(&self, term: Term, deadline: Instant) -> Result<Connection, UpstreamError> {
        let opened = timeout_at(deadline, Connection::open(&self.target, Some(term))).await;
        let Ok(opened) = opened else {
            return Err(UpstreamError::Timeout);
        };
        let (con, reports) = opened?;
        for report in reports {
            self.known.report(report);
        }
        Ok(con)
    }

    fn take_idle(&self, term: Term) -> Option<Connection> {
        let mut idle = self.lock_idle();
        while let Some(mut con) = idle.pop() {
            if con.term == Some(term) && con.is_quiet() {
                return Some(con);
            }
        }
        None
    }

    fn put_idle(&self, con: Connection) {
        self.lock_idle().push(con);
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many connections are idle and leased.
    pub(crate) fn connections(&self) -> (usize, usize) {
        (self.lock_idle().len(), self.leases.available_permits())
    }

    /// Waits until the upstream is known to have applied `floor`; `false` when it is still behind.
    pub(crate) async fn reach(&self, floor: Position, until: Instant) -> bool {
        self.poll(until, |known| known.covers(floor)).await
    }

    /// Waits until the age of the upstream's data is known to be at most `max_age`.
    pub(crate) async fn refresh(&self, max_age: Duration, until: Instant) -> bool {
        self.poll(until, |known| known.is_within(max_age)).await
    }

    async fn poll(&self, until: Instant, satisfied: impl Fn(&Known) -> bool) -> bool {
        loop {
            if satisfied(&self.known) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            match timeout_at(until, self.control.poll(&self.known, &satisfied)).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => {
                    tracing::debug!(event = "position_poll_failed", upstream = %self.key.upstream, error = %e);
                }
                Err(_) => return satisfied(&self.known),
            }
            if !satisfied(&self.known) {
                tokio::time::sleep(BEHIND_POLL_PAUSE).await;
            }
        }
    }
}
