//! Open-loop load generator: requests become due on schedule, even if earlier ones still run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::arrival;
use super::arrival::Arrival;
use super::connection::Credentials;
use super::session::Session;
use super::session::SessionOptions;
use crate::history::Request;

/// Request ids that are reserved for each account of a run.
const IDS_PER_ACCOUNT: u64 = 1 << 24;

/// Sessions that connect concurrently before the load starts.
const CONNECT_CONCURRENCY: usize = 16;

/// Load of one account.
#[derive(Debug, Clone)]
pub struct AccountLoad {
    /// Account name.
    pub account: String,
    /// Key of the account.
    pub key: String,
    /// Routes, over which its sessions are spread evenly.
    pub routes: Vec<String>,
    /// Requests per second.
    pub rate: f64,
    /// Share of reads, between 0 and 1.
    pub reads: f64,
    /// Number of sessions.
    pub sessions: u64,
}

/// Load of all accounts in a run.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Entries that sessions may use.
    pub entries: Vec<SocketAddr>,
    /// Load of each account.
    pub accounts: Vec<AccountLoad>,
    /// Length of the load.
    pub length: Duration,
    /// Seed of the arrivals; each account adds its index.
    pub seed: u64,
    /// First request id; runs over the same database must not share ids.
    pub first_id: u64,
    /// Requests after which a session moves to another entry; 0 for never.
    pub moves_after: u64,
}

/// Load generator whose sessions have tried to connect.
#[derive(Debug)]
pub struct Generator {
    workload: Workload,
    sessions: Vec<Vec<Session>>,
    start: Instant,
}

impl Generator {
    /// Creates all sessions and opens their connections.
    ///
    /// A session that cannot connect tries again with its first request.
    pub async fn connect(workload: Workload, start: Instant) -> Self {
        let entries = Arc::new(workload.entries.clone());
        let mut number = 0;
        let mut sessions = Vec::new();
        for load in &workload.accounts {
            let mut account_sessions = Vec::new();
            for _ in 0..load.sessions {
                number += 1;
                account_sessions.push(session(&workload, load, number, &entries, start));
            }
            sessions.push(warm_up(account_sessions).await);
        }
        Self {
            workload,
            sessions,
            start,
        }
    }

    /// Sets the start of the run, from which all times are counted.
    pub fn set_start(&mut self, start: Instant) {
        self.start = start;
        for session in self.sessions.iter_mut().flatten() {
            session.set_start(start);
        }
    }

    /// Runs the whole load and returns every request with its ending.
    pub async fn run(self) -> Vec<Request> {
        let mut running = JoinSet::new();
        let accounts = self
            .workload
            .accounts
            .into_iter()
            .zip(self.sessions)
            .enumerate();
        for (at, (load, sessions)) in accounts {
            let at = at as u64;
            let arrivals = arrival::schedule(
                self.workload.seed.wrapping_add(at),
                load.rate,
                self.workload.length,
                load.reads,
                self.workload.first_id + at * IDS_PER_ACCOUNT,
            );
            running.spawn(dispatch(arrivals, sessions, self.start));
        }
        let requests: Vec<Vec<Request>> = running.join_all().await;
        requests.concat()
    }
}

/// Creates a session; its number decides its route, token handling and idempotence.
fn session(
    workload: &Workload,
    load: &AccountLoad,
    number: u64,
    entries: &Arc<Vec<SocketAddr>>,
    start: Instant,
) -> Session {
    let routes = load.routes.len().max(1);
    let route = usize::try_from(number).unwrap_or(0) % routes;
    let credentials = Credentials {
        account: load.account.clone(),
        key: load.key.clone(),
        route: load.routes.get(route).cloned().unwrap_or_default(),
    };
    let options = SessionOptions {
        keeps_token: !number.is_multiple_of(4),
        idempotent: number.is_multiple_of(2),
        moves_after: workload.moves_after,
    };
    Session::new(number, credentials, Arc::clone(entries), options, start)
}

/// Opens the connections of sessions, which may reorder them.
async fn warm_up(sessions: Vec<Session>) -> Vec<Session> {
    use futures::StreamExt;
    futures::stream::iter(sessions)
        .map(|mut session| async move {
            session.warm_up().await;
            session
        })
        .buffer_unordered(CONNECT_CONCURRENCY)
        .collect()
        .await
}

/// Queues the arrivals of one account as they become due; idle sessions take them in order.
async fn dispatch(arrivals: Vec<Arrival>, sessions: Vec<Session>, start: Instant) -> Vec<Request> {
    let (due, queue) = mpsc::unbounded_channel();
    let queue = Arc::new(Mutex::new(queue));
    let mut workers = JoinSet::new();
    for session in sessions {
        workers.spawn(run_session(session, Arc::clone(&queue)));
    }
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.due).await;
        if due.send(arrival).is_err() {
            break;
        }
    }
    drop(due);
    workers.join_all().await.concat()
}

/// Performs queued requests on one session until the queue is closed.
async fn run_session(
    mut session: Session,
    queue: Arc<Mutex<mpsc::UnboundedReceiver<Arrival>>>,
) -> Vec<Request> {
    let mut done = Vec::new();
    loop {
        let next = queue.lock().await.recv().await;
        let Some(arrival) = next else {
            session.close().await;
            return done;
        };
        done.push(session.perform(arrival).await);
    }
}
