//! Open-loop generator: requests become due on schedule, whether or not earlier ones are done.

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
use super::session::Habits;
use super::session::Session;
use crate::history::Request;

/// Requests of an account are numbered from a multiple of this.
const IDS_PER_OFFER: u64 = 1 << 24;

/// Sessions that are opened at once before the load starts.
const OPEN_AT_ONCE: usize = 16;

/// Load of one account.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Account name.
    pub account: String,
    /// Key of the account.
    pub key: String,
    /// Routes that its sessions are spread over.
    pub routes: Vec<String>,
    /// Requests per second.
    pub rate: f64,
    /// Share of reads.
    pub reads: f64,
    /// Sessions.
    pub sessions: u64,
}

/// Load of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Entries that sessions may use.
    pub entries: Vec<SocketAddr>,
    /// Load of each account.
    pub offers: Vec<Offer>,
    /// Length of the load.
    pub length: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// First request number, so that runs over the same database differ.
    pub first: u64,
    /// Requests after which a session moves to another entry; 0 for never.
    pub moves_after: u64,
}

/// Load that is ready to start: every session is connected.
#[derive(Debug)]
pub struct Load {
    plan: Plan,
    sessions: Vec<Vec<Session>>,
    began: Instant,
}

impl Load {
    /// Opens every session, some at a time.
    pub async fn prepare(plan: Plan, began: Instant) -> Self {
        let entries = Arc::new(plan.entries.clone());
        let mut number = 0;
        let mut sessions = Vec::new();
        for offer in &plan.offers {
            let mut mine = Vec::new();
            for _ in 0..offer.sessions {
                number += 1;
                mine.push(session(&plan, offer, number, &entries, began));
            }
            sessions.push(warm_up(mine).await);
        }
        Self {
            plan,
            sessions,
            began,
        }
    }

    /// Sets the time at which the load begins.
    pub fn restart(&mut self, began: Instant) {
        self.began = began;
        for session in self.sessions.iter_mut().flatten() {
            session.restart(began);
        }
    }

    /// Runs the load from its beginning on and returns every request.
    pub async fn run(self) -> Vec<Request> {
        let mut running = JoinSet::new();
        let offers = self.plan.offers.into_iter().zip(self.sessions).enumerate();
        for (at, (offer, sessions)) in offers {
            let at = at as u64;
            let arrivals = arrival::schedule(
                self.plan.seed.wrapping_add(at),
                offer.rate,
                self.plan.length,
                offer.reads,
                self.plan.first + at * IDS_PER_OFFER,
            );
            running.spawn(serve(arrivals, sessions, self.began));
        }
        let requests: Vec<Vec<Request>> = running.join_all().await;
        requests.concat()
    }
}

fn session(
    plan: &Plan,
    offer: &Offer,
    number: u64,
    entries: &Arc<Vec<SocketAddr>>,
    began: Instant,
) -> Session {
    let routes = offer.routes.len().max(1);
    let route = usize::try_from(number).unwrap_or(0) % routes;
    let who = Credentials {
        account: offer.account.clone(),
        key: offer.key.clone(),
        route: offer.routes.get(route).cloned().unwrap_or_default(),
    };
    let habits = Habits {
        keeps_token: !number.is_multiple_of(4),
        identifies: number.is_multiple_of(2),
        moves_after: plan.moves_after,
    };
    Session::new(number, who, Arc::clone(entries), habits, began)
}

async fn warm_up(sessions: Vec<Session>) -> Vec<Session> {
    use futures::StreamExt;
    futures::stream::iter(sessions)
        .map(|mut session| async move {
            session.warm_up().await;
            session
        })
        .buffer_unordered(OPEN_AT_ONCE)
        .collect()
        .await
}

/// Hands one account's arrivals to its sessions as they become due.
async fn serve(arrivals: Vec<Arrival>, sessions: Vec<Session>, began: Instant) -> Vec<Request> {
    let (due, queue) = mpsc::unbounded_channel();
    let queue = Arc::new(Mutex::new(queue));
    let mut workers = JoinSet::new();
    for session in sessions {
        workers.spawn(work(session, Arc::clone(&queue)));
    }
    for arrival in arrivals {
        tokio::time::sleep_until(began + arrival.due).await;
        if due.send(arrival).is_err() {
            break;
        }
    }
    drop(due);
    workers.join_all().await.concat()
}

async fn work(
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
