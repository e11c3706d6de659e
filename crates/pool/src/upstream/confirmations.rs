//! Replica confirmations of a primary's writes, batched into rounds that requests share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::replication_health::ReplicationHealth;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout;

use super::connection::Connection;
use super::connection::Target;
use super::control_connection::take_or_open;
use super::error::UpstreamError;

/// Capacity of the queue of requests that wait for the next round.
const MAX_WAITERS: usize = 4096;
/// Time for the answer of a round to arrive after the timeout given to the upstream.
const ROUND_GRACE: Duration = Duration::from_millis(100);

/// Time between two probes of a primary while a confirmation is missing.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Time that a probe may take, if no request waits.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs confirmation rounds at one upstream, one statement for all waiting requests.
#[derive(Debug)]
pub(crate) struct Confirmations {
    /// Requests that wait until a replica has received a position.
    received_rounds: mpsc::Sender<Waiter>,
    /// Requests for a confirmed position of the primary.
    confirm_rounds: mpsc::Sender<Waiter>,
    replication_health: SharedHealth,
}

type SharedHealth = Arc<Mutex<ReplicationHealth>>;

/// Request that waits for the result of a round.
#[derive(Debug)]
struct Waiter {
    /// Position that a replica must receive; `None` asks for the primary's current position.
    position: Option<Position>,
    until: Instant,
    answer: oneshot::Sender<Result<Position, UpstreamError>>,
}

impl Confirmations {
    /// Starts the tasks that run the rounds; connections are opened on first use.
    pub(super) fn start(target: &Target) -> Self {
        let replication_health = SharedHealth::default();
        Self {
            received_rounds: start_rounds(target.clone(), Arc::clone(&replication_health)),
            confirm_rounds: start_rounds(target.clone(), Arc::clone(&replication_health)),
            replication_health,
        }
    }

    /// Returns whether a confirmation has been missing for longer than `bound`.
    pub(crate) fn is_suspect(&self, bound: Duration) -> bool {
        lock(&self.replication_health).is_suspect(Instant::now().into_std(), bound)
    }

    /// Returns whether a round has begun since the last confirmation.
    pub(crate) fn is_waiting(&self) -> bool {
        lock(&self.replication_health).is_waiting()
    }

    /// Resets the replication health at the start of a term.
    pub(super) fn begin_term(&self) {
        *lock(&self.replication_health) = ReplicationHealth::default();
    }

    /// Waits until a replica has received the log up to `position`.
    pub(crate) async fn wait_received(
        &self,
        position: Position,
        until: Instant,
    ) -> Result<Position, UpstreamError> {
        wait(&self.received_rounds, Some(position), until).await
    }

    /// Returns a position of the primary that a replica confirmed after this call began.
    pub(crate) async fn confirm(&self, until: Instant) -> Result<Position, UpstreamError> {
        wait(&self.confirm_rounds, None, until).await
    }
}

async fn wait(
    rounds: &mpsc::Sender<Waiter>,
    position: Option<Position>,
    until: Instant,
) -> Result<Position, UpstreamError> {
    let (answer, answered) = oneshot::channel();
    let waiter = Waiter {
        position,
        until,
        answer,
    };
    if rounds.try_send(waiter).is_err() {
        return Err(UpstreamError::Timeout);
    }
    match tokio::time::timeout_at(until + ROUND_GRACE, answered).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(UpstreamError::Closed),
        Err(_) => Err(UpstreamError::Timeout),
    }
}

fn lock(replication_health: &Mutex<ReplicationHealth>) -> MutexGuard<'_, ReplicationHealth> {
    replication_health
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn start_rounds(target: Target, replication_health: SharedHealth) -> mpsc::Sender<Waiter> {
    let (send, inbox) = mpsc::channel(MAX_WAITERS);
    tokio::spawn(run_rounds(target, inbox, replication_health));
    send
}

async fn run_rounds(
    target: Target,
    mut inbox: mpsc::Receiver<Waiter>,
    replication_health: SharedHealth,
) {
    let mut con = None;
    loop {
        let mut waiters = match next_round(&mut inbox, &replication_health).await {
            NextRound::Waiter(first) => vec![first],
            NextRound::Probe => Vec::new(),
            NextRound::Closed => return,
        };
        while let Ok(next) = inbox.try_recv() {
            waiters.push(next);
        }
        lock(&replication_health).begin_wait(Instant::now().into_std());
        let result = run_round(&target, &mut con, &waiters).await;
        if result.is_ok() {
            lock(&replication_health).confirm();
        }
        answer_round(waiters, &result);
    }
}

/// Why the next round starts, or that there is none.
enum NextRound {
    /// A request waits for a round.
    Waiter(Waiter),
    /// No request waits, but a confirmation is missing.
    Probe,
    /// The upstream was dropped.
    Closed,
}

async fn next_round(
    inbox: &mut mpsc::Receiver<Waiter>,
    replication_health: &Mutex<ReplicationHealth>,
) -> NextRound {
    loop {
        let next = timeout(PROBE_PERIOD, inbox.recv()).await;
        match next {
            Ok(Some(waiter)) => return NextRound::Waiter(waiter),
            Ok(None) => return NextRound::Closed,
            Err(_) if lock(replication_health).is_waiting() => return NextRound::Probe,
            Err(_) => {}
        }
    }
}

/// Runs one round for the highest position that a request waits for.
async fn run_round(
    target: &Target,
    cached: &mut Option<Connection>,
    waiters: &[Waiter],
) -> Result<Position, UpstreamError> {
    let now = Instant::now();
    let probe_end = now + PROBE_TIMEOUT;
    let until = waiters.iter().map(|w| w.until).max().unwrap_or(probe_end);
    let left = until.saturating_duration_since(now);
    let position = waiters.iter().filter_map(|w| w.position).max();
    let round = async {
        let mut con = take_or_open(cached, target).await?;
        let rows = con.query(&round_query(position, left)).await;
        if con.clean {
            *cached = Some(con);
        }
        let parsed = rows?.first_column(0).parse().ok();
        parsed.ok_or(UpstreamError::Protocol("no position"))
    };
    match timeout(left + ROUND_GRACE, round).await {
        Ok(result) => result,
        Err(_) => Err(UpstreamError::Timeout),
    }
}

fn round_query(position: Option<Position>, left: Duration) -> String {
    let timeout_ms = left.as_millis().max(1);
    match position {
        Some(position) => {
            format!("SELECT * FROM mustardbay_wait_received('{position}', {timeout_ms})")
        }
        None => format!("SELECT * FROM mustardbay_confirm({timeout_ms})"),
    }
}

fn answer_round(waiters: Vec<Waiter>, result: &Result<Position, UpstreamError>) {
    for waiter in waiters {
        let answer = match result {
            Ok(at) if waiter.position.is_some_and(|wanted| !at.covers(wanted)) => {
                Err(UpstreamError::Protocol("position not received"))
            }
            Ok(at) => Ok(*at),
            Err(e) => Err(e.shared()),
        };
        if waiter.answer.send(answer).is_err() {
            tracing::debug!(event = "confirmation_unclaimed");
        }
    }
}
