//! An upstream that this pool serves: its connections, slots, positions and confirmations.

mod condition;
mod confirmations;
mod connection;
mod control;
mod error;
mod known;
mod leased;
mod login;
mod share;
mod slots;
mod warm;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use mustardbay_link::StewardLink;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_policy::queue::ConnectionShares;
use mustardbay_policy::queue::Discipline;
use mustardbay_policy::reconnect::Reconnect;
use mustardbay_wire::UpstreamHealth;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use confirmations::Confirmations;
use control::Control;
use known::Known;
use share::Share;
use warm::Idle;
use warm::WARM_CONNECTIONS;

pub(crate) use condition::Condition;
pub(crate) use condition::Ended;
pub(crate) use connection::Connection;
pub(crate) use connection::HEADER_BYTES;
pub(crate) use connection::Reported;
pub(crate) use connection::Rows;
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

/// Longest time that a statement with a slot waits for a connection.
const CONNECTION_WAIT: Duration = Duration::from_millis(100);
/// Longest time that an attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an upstream that nobody asks for keeps no connection.
const UNUSED_TIME: Duration = Duration::from_mins(1);

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
    idle: Mutex<Idle>,
    usable: usize,
    shares: Arc<Mutex<ConnectionShares>>,
    condition: watch::Sender<Condition>,
    reconnect: Mutex<Reconnect>,
    warming: tokio::sync::Mutex<()>,
    used: Mutex<Instant>,
    steward: StewardLink,
}

impl Upstream {
    /// Starts to serve an upstream.
    pub(crate) fn new(
        key: UpstreamKey,
        target: Target,
        sizes: Sizes,
        discipline: Discipline,
        steward: StewardLink,
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
            usable: usable as usize,
            shares: Arc::new(Mutex::new(ConnectionShares::new(usable as usize))),
            condition: watch::Sender::default(),
            reconnect: Mutex::default(),
            warming: tokio::sync::Mutex::default(),
            used: Mutex::new(Instant::now()),
            steward,
        }
    }

    /// Takes changed sizes over; the connection limit holds from the next start on.
    pub(crate) fn resize(&self, sizes: Sizes) {
        self.slots.resize(sizes.slots);
    }

    /// Leases a connection of `term`, an idle one if there is one.
    pub(crate) async fn lease(
        self: &Arc<Self>,
        account: &AccountName,
        term: Term,
        deadline: Instant,
    ) -> Result<Leased, UpstreamError> {
        let Some(share) = Share::take(&self.shares, account) else {
            return Err(UpstreamError::NoConnection);
        };
        let until = deadline.min(Instant::now() + CONNECTION_WAIT);
        let leases = Arc::clone(&self.leases);
        let Ok(Ok(permit)) = timeout_at(until, leases.acquire_owned()).await else {
            return Err(UpstreamError::NoConnection);
        };
        self.mark_used();
        let (idle, last) = {
            let mut idle = self.lock_idle();
            let con = idle.take(term);
            (con, idle.len() == 0)
        };
        let con = match idle {
            Some(con) => con,
            None => self.open(term, deadline).await?,
        };
        if last {
            tokio::spawn(Arc::clone(self).keep_warm());
        }
        Ok(Leased::new(Arc::clone(self), con, permit, share))
    }

    /// Opens a connection, unless the last attempt failed a moment ago.
    async fn open(&self, term: Term, deadline: Instant) -> Result<Connection, UpstreamError> {
        let now = Instant::now();
        if let Some(pause) = self.lock_reconnect().pause(now.into_std()) {
            return Err(UpstreamError::Paused(pause));
        }
        let bound = now + CONNECT_TIMEOUT;
        let opening = Connection::open(&self.target, Some(term));
        let opened = match timeout_at(deadline.min(bound), opening).await {
            Ok(opened) => opened,
            Err(_) if deadline < bound => return Err(UpstreamError::Timeout),
            Err(_) => Err(UpstreamError::Timeout),
        };
        self.note_attempt(opened.as_ref().err());
        let (con, reports) = opened?;
        self.known.report_all(&reports);
        Ok(con)
    }

    /// Notes whether the upstream was reached, and reports a change to the steward.
    fn note_attempt(&self, error: Option<&UpstreamError>) {
        let reached = error.is_none_or(|e| e.code().is_some());
        let changed = {
            let mut reconnect = self.lock_reconnect();
            let failing = reconnect.is_failing();
            if reached {
                reconnect.succeed();
            } else {
                reconnect.fail(Instant::now().into_std(), rand::random());
            }
            failing == reached
        };
        if changed {
            tracing::info!(event = "upstream_reached", group = %self.key.group, upstream = %self.key.upstream, reached);
            self.steward.report(UpstreamHealth {
                group: self.key.group.to_string(),
                upstream: self.key.upstream.to_string(),
                reachable: reached,
            });
        }
    }

    fn put_idle(&self, con: Connection) {
        if con.term == Some(self.condition().term) {
            self.lock_idle().put(con);
        }
    }

    fn lock_idle(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_reconnect(&self) -> MutexGuard<'_, Reconnect> {
        self.reconnect
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many connections are idle, and how many more may be leased.
    pub(crate) fn connections(&self) -> (usize, usize) {
        (self.lock_idle().len(), self.leases.available_permits())
    }

    /// Returns the condition that the view gives the upstream.
    pub(crate) fn condition(&self) -> Condition {
        *self.condition.borrow()
    }

    /// Waits until work routed by `term` must not start any more.
    pub(crate) async fn until_ended(&self, term: Term) -> Ended {
        condition::until_ended(self.condition.subscribe(), term).await
    }

    /// Takes the view's term and leaving mark over; a term only ever grows.
    pub(crate) fn fit(&self, term: Term, leaving: bool) {
        let changed = self.condition.send_if_modified(|condition| {
            let old = *condition;
            condition.term = old.term.max(term);
            condition.leaving = leaving.then(|| old.leaving.unwrap_or_else(Instant::now));
            *condition != old
        });
        if !changed {
            return;
        }
        let condition = self.condition();
        tracing::info!(event = "upstream_changed", group = %self.key.group, upstream = %self.key.upstream, term = %condition.term, leaving);
        self.known.begin_term(condition.term);
        self.confirmations.begin_term();
        self.lock_idle().prune(condition.term, Instant::now());
    }

    /// Closes connections that are not needed, and opens one ahead of need.
    pub(crate) async fn keep_warm(self: Arc<Self>) {
        let Ok(_warming) = self.warming.try_lock() else {
            return;
        };
        let condition = self.condition();
        if condition.term == Term::default() {
            return;
        }
        self.lock_idle().prune(condition.term, Instant::now());
        if condition.leaving.is_some() || self.is_unused() {
            self.lock_idle().clear();
            return;
        }
        let Ok(_permit) = Arc::clone(&self.leases).try_acquire_owned() else {
            return;
        };
        let leased = self.usable.saturating_sub(self.leases.available_permits());
        if self.lock_idle().len() >= WARM_CONNECTIONS
            || leased + self.lock_idle().len() > self.usable
        {
            return;
        }
        match self
            .open(condition.term, Instant::now() + CONNECT_TIMEOUT)
            .await
        {
            Ok(con) => self.put_idle(con),
            Err(e) => {
                tracing::debug!(event = "warm_connection_failed", upstream = %self.key.upstream, error = %e);
            }
        }
    }

    fn is_unused(&self) -> bool {
        let used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        used.elapsed() > UNUSED_TIME
    }

    fn mark_used(&self) {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
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
