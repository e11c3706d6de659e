//! Upstream of the pool: its connections, slots, replication state and confirmations.

mod condition;
mod confirmations;
mod connection;
mod connection_share;
mod control_connection;
mod error;
mod idle_connections;
mod leased_connection;
mod login;
mod replication_state;
mod slots;

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
use connection_share::ConnectionShare;
use control_connection::ControlConnection;
use idle_connections::IdleConnections;
use idle_connections::MIN_IDLE_CONNECTIONS;
use replication_state::ReplicationState;

pub(crate) use condition::Condition;
pub(crate) use condition::Unavailable;
pub(crate) use connection::Connection;
pub(crate) use connection::HEADER_BYTES;
pub(crate) use connection::Rows;
pub(crate) use connection::StatusReport;
pub(crate) use connection::Target;
pub(crate) use connection::decode;
pub(crate) use connection::parse_report;
pub(crate) use error::SQLSTATE_READ_ONLY;
pub(crate) use error::SQLSTATE_STALE_TERM;
pub(crate) use error::SQLSTATE_TOO_MANY_CONNECTIONS;
pub(crate) use error::UpstreamError;
pub(crate) use leased_connection::LeasedConnection;
pub(crate) use slots::Slot;
pub(crate) use slots::SlotClaim;
pub(crate) use slots::Slots;

/// Connections of an upstream's limit that are kept for control connections.
const CONTROL_CONNECTIONS: u32 = 4;
/// Pause between two position queries to a replica that is behind.
const BEHIND_POLL_PAUSE: Duration = Duration::from_millis(2);

/// Longest time that a statement with a slot waits for a connection.
const CONNECTION_WAIT: Duration = Duration::from_millis(100);
/// Longest time that a connection attempt may take, login included.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a lease after which an upstream keeps no idle connections.
const UNUSED_TIMEOUT: Duration = Duration::from_mins(1);

/// Identifies an upstream by its group and its name within the group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct UpstreamKey {
    pub(crate) group: GroupName,
    pub(crate) upstream: UpstreamName,
}

/// Limits on the slots and connections of an upstream, from the bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Capacity {
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// Connections to one upstream, and what the pool knows of its state.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) key: UpstreamKey,
    pub(crate) target: Target,
    pub(crate) replication: ReplicationState,
    pub(crate) confirmations: Confirmations,
    pub(crate) slots: Arc<Slots>,
    control: ControlConnection,
    leases: Arc<Semaphore>,
    idle: Mutex<IdleConnections>,
    /// Connections that may be leased at once.
    max_leases: usize,
    shares: Arc<Mutex<ConnectionShares>>,
    condition: watch::Sender<Condition>,
    reconnect: Mutex<Reconnect>,
    /// Held while idle connections are maintained, so that only one task does so.
    maintenance: tokio::sync::Mutex<()>,
    last_used: Mutex<Instant>,
    steward: StewardLink,
}

impl Upstream {
    /// Creates the upstream; connections are opened on demand.
    pub(crate) fn new(
        key: UpstreamKey,
        target: Target,
        capacity: Capacity,
        discipline: Discipline,
        steward: StewardLink,
    ) -> Self {
        let max_leases = capacity
            .connections
            .saturating_sub(CONTROL_CONNECTIONS)
            .max(1);
        Self {
            key,
            replication: ReplicationState::default(),
            confirmations: Confirmations::start(&target),
            control: ControlConnection::new(target.clone()),
            target,
            slots: Slots::new(discipline, capacity.slots),
            leases: Arc::new(Semaphore::new(max_leases as usize)),
            idle: Mutex::default(),
            max_leases: max_leases as usize,
            shares: Arc::new(Mutex::new(ConnectionShares::new(max_leases as usize))),
            condition: watch::Sender::default(),
            reconnect: Mutex::default(),
            maintenance: tokio::sync::Mutex::default(),
            last_used: Mutex::new(Instant::now()),
            steward,
        }
    }

    /// Changes the number of slots.
    ///
    /// A changed connection limit takes effect only when the upstream is created anew.
    pub(crate) fn resize(&self, capacity: Capacity) {
        self.slots.resize(capacity.slots);
    }

    /// Leases a connection opened under `term`, an idle one if available.
    pub(crate) async fn lease(
        self: &Arc<Self>,
        account: &AccountName,
        term: Term,
        deadline: Instant,
    ) -> Result<LeasedConnection, UpstreamError> {
        let Some(share) = ConnectionShare::take(&self.shares, account) else {
            return Err(UpstreamError::NoConnection);
        };
        let until = deadline.min(Instant::now() + CONNECTION_WAIT);
        let leases = Arc::clone(&self.leases);
        let Ok(Ok(permit)) = timeout_at(until, leases.acquire_owned()).await else {
            return Err(UpstreamError::NoConnection);
        };
        self.mark_used();
        let (idle, none_left) = {
            let mut idle = self.lock_idle();
            let con = idle.take(term);
            (con, idle.len() == 0)
        };
        let con = match idle {
            Some(con) => con,
            None => self.open(term, deadline).await?,
        };
        if none_left {
            tokio::spawn(Arc::clone(self).maintain_idle());
        }
        Ok(LeasedConnection::new(Arc::clone(self), con, permit, share))
    }

    /// Opens a connection; fails at once during the backoff after a failed attempt.
    async fn open(&self, term: Term, deadline: Instant) -> Result<Connection, UpstreamError> {
        let now = Instant::now();
        if let Some(pause) = self.lock_reconnect().pause(now.into_std()) {
            return Err(UpstreamError::Backoff(pause));
        }
        let bound = now + CONNECT_TIMEOUT;
        let opening = Connection::open(&self.target, Some(term));
        let opened = match timeout_at(deadline.min(bound), opening).await {
            Ok(opened) => opened,
            Err(_) if deadline < bound => return Err(UpstreamError::Timeout),
            Err(_) => Err(UpstreamError::Timeout),
        };
        self.record_attempt(opened.as_ref().err());
        let (con, reports) = opened?;
        self.replication.record_all(&reports);
        Ok(con)
    }

    /// Records the result of a connection attempt and reports a change to the steward.
    ///
    /// An upstream that answers with an error counts as reached.
    fn record_attempt(&self, error: Option<&UpstreamError>) {
        let reached = error.is_none_or(|e| e.sqlstate().is_some());
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

    fn lock_idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_reconnect(&self) -> MutexGuard<'_, Reconnect> {
        self.reconnect
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of idle connections and of leases that are free.
    pub(crate) fn connections(&self) -> (usize, usize) {
        (self.lock_idle().len(), self.leases.available_permits())
    }

    /// Returns the term of the upstream and whether it is leaving.
    pub(crate) fn condition(&self) -> Condition {
        *self.condition.borrow()
    }

    /// Waits until the upstream refuses new work routed under `term`.
    pub(crate) async fn until_unavailable(&self, term: Term) -> Unavailable {
        condition::until_unavailable(self.condition.subscribe(), term).await
    }

    /// Applies the term of a view and whether the upstream is leaving; older terms are ignored.
    pub(crate) fn set_condition(&self, term: Term, leaving: bool) {
        let changed = self.condition.send_if_modified(|condition| {
            let old = *condition;
            condition.term = old.term.max(term);
            condition.leaving_since =
                leaving.then(|| old.leaving_since.unwrap_or_else(Instant::now));
            *condition != old
        });
        if !changed {
            return;
        }
        let condition = self.condition();
        tracing::info!(event = "upstream_changed", group = %self.key.group, upstream = %self.key.upstream, term = %condition.term, leaving);
        self.replication.begin_term(condition.term);
        self.confirmations.begin_term();
        self.lock_idle().prune(condition.term, Instant::now());
    }

    /// Closes surplus idle connections, and opens one ahead of demand if none is idle.
    pub(crate) async fn maintain_idle(self: Arc<Self>) {
        let Ok(_guard) = self.maintenance.try_lock() else {
            return;
        };
        let condition = self.condition();
        if condition.term == Term::default() {
            return;
        }
        self.lock_idle().prune(condition.term, Instant::now());
        if condition.leaving_since.is_some() || self.is_unused() {
            self.lock_idle().clear();
            return;
        }
        let Ok(_permit) = Arc::clone(&self.leases).try_acquire_owned() else {
            return;
        };
        let leased = self
            .max_leases
            .saturating_sub(self.leases.available_permits());
        if self.lock_idle().len() >= MIN_IDLE_CONNECTIONS
            || leased + self.lock_idle().len() > self.max_leases
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
        let used = self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        used.elapsed() > UNUSED_TIMEOUT
    }

    fn mark_used(&self) {
        *self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Waits until the upstream has applied `floor`; returns `false` if it has not by `until`.
    pub(crate) async fn wait_applied(&self, floor: Position, until: Instant) -> bool {
        self.poll_until(until, |state| state.has_applied(floor))
            .await
    }

    /// Waits until the data is at most `max_age` old; returns `false` if it is not by `until`.
    pub(crate) async fn wait_max_age(&self, max_age: Duration, until: Instant) -> bool {
        self.poll_until(until, |state| state.is_fresh(max_age))
            .await
    }

    /// Queries the position until `satisfied` returns true; returns `false` at `until`.
    async fn poll_until(
        &self,
        until: Instant,
        satisfied: impl Fn(&ReplicationState) -> bool,
    ) -> bool {
        loop {
            if satisfied(&self.replication) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            match timeout_at(until, self.control.poll(&self.replication, &satisfied)).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => {
                    tracing::debug!(event = "position_poll_failed", upstream = %self.key.upstream, error = %e);
                }
                Err(_) => return satisfied(&self.replication),
            }
            if !satisfied(&self.replication) {
                tokio::time::sleep(BEHIND_POLL_PAUSE).await;
            }
        }
    }
}
