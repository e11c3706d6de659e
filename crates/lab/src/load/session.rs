//! Client session that runs one request at a time and can switch between entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::RouteName;
use tokio::time::Instant;

use super::arrival::Arrival;
use super::connection::Connection;
use super::connection::Credentials;
use super::ending;
use crate::history::Action;
use crate::history::Ending;
use crate::history::Request;

/// Longest wait for the answer to a statement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Most attempts at an idempotent write.
const MAX_ATTEMPTS: u32 = 4;

/// Pause before an idempotent write is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Options of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionOptions {
    /// Whether it presents its session token to the next entry.
    pub keeps_token: bool,
    /// Whether its writes carry request ids, so that they can be retried safely.
    pub idempotent: bool,
    /// Requests after which it switches to another entry; 0 for never.
    pub moves_after: u64,
}

/// Session of one client.
#[derive(Debug)]
pub struct Session {
    number: u64,
    credentials: Credentials,
    entries: Arc<Vec<SocketAddr>>,
    entry: usize,
    options: SessionOptions,
    run_start: Instant,
    connection: Option<Connection>,
    token: Option<String>,
    seq: u64,
    requests: u64,
}

impl Session {
    /// Creates a session without a connection; its number decides its first entry.
    #[must_use]
    pub fn new(
        number: u64,
        credentials: Credentials,
        entries: Arc<Vec<SocketAddr>>,
        options: SessionOptions,
        run_start: Instant,
    ) -> Self {
        let count = entries.len().max(1) as u64;
        Self {
            number,
            credentials,
            entries,
            entry: usize::try_from(number % count).unwrap_or(0),
            options,
            run_start,
            connection: None,
            token: None,
            seq: 0,
            requests: 0,
        }
    }

    /// Sets the start of the run, from which all times are counted.
    pub fn set_start(&mut self, run_start: Instant) {
        self.run_start = run_start;
    }

    /// Opens the connection before the first request; a failure is only logged.
    pub async fn warm_up(&mut self) {
        if let Err(ending) = self.connect().await {
            tracing::debug!(event = "warm_up_failed", session = self.number, ?ending);
        }
    }

    /// Runs a request, with retries if it is an idempotent write.
    pub async fn perform(&mut self, arrival: Arrival) -> Request {
        self.requests += 1;
        let moves_after = self.options.moves_after;
        if moves_after > 0 && self.requests.is_multiple_of(moves_after) {
            self.switch_entry().await;
        }
        if arrival.action == Action::Write {
            self.seq += 1;
        }
        let start = Instant::now();
        let ending = self.attempt(arrival).await;
        Request {
            id: arrival.id,
            session: self.number,
            account: AccountName::from(self.credentials.account.as_str()),
            route: RouteName::from(self.credentials.route.as_str()),
            action: arrival.action,
            seq: match arrival.action {
                Action::Read => 0,
                Action::Write => self.seq,
            },
            due_us: micros(arrival.due),
            start_us: micros(start - self.run_start),
            end_us: micros(self.run_start.elapsed()),
            ending,
        }
    }

    /// Closes the connection if one is open.
    pub async fn close(&mut self) {
        if let Some(connection) = self.connection.take()
            && let Err(e) = connection.close().await
        {
            tracing::debug!(event = "close_failed", session = self.number, error = %e);
        }
    }

    /// Sends a request until its ending is final, at most [`MAX_ATTEMPTS`] times.
    async fn attempt(&mut self, arrival: Arrival) -> Ending {
        let retries = arrival.action == Action::Write && self.options.idempotent;
        let mut was_unknown = false;
        for _ in 0..MAX_ATTEMPTS {
            let ending = self.send(arrival).await;
            if ending::should_switch_entry(&ending) {
                self.switch_entry().await;
            }
            match ending {
                // A refused retry does not tell whether the earlier attempt ran.
                Ending::NotRun { .. } | Ending::Unsent if was_unknown => {}
                Ending::Unknown if retries => was_unknown = true,
                ending => return ending,
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Ending::Unknown
    }

    /// Sends a request once, on a new connection if none is open.
    async fn send(&mut self, arrival: Arrival) -> Ending {
        if let Err(ending) = self.connect().await {
            return ending;
        }
        let Some(connection) = &self.connection else {
            return Ending::Unsent;
        };
        let sql = self.statement(arrival);
        match tokio::time::timeout(ANSWER_TIMEOUT, connection.run(&sql)).await {
            Err(_) => Ending::Unknown,
            Ok(Err(error)) => ending::from_error(&error),
            Ok(Ok(field)) => Ending::Done {
                seq: match arrival.action {
                    Action::Write => self.seq,
                    Action::Read => field.and_then(|text| text.parse().ok()).unwrap_or(0),
                },
            },
        }
    }

    fn statement(&self, arrival: Arrival) -> String {
        let Arrival { id, action, .. } = arrival;
        let number = self.number;
        let seq = self.seq;
        match action {
            Action::Read => {
                format!("SELECT max(seq) AS seq FROM ledger WHERE session = {number}")
            }
            Action::Write if self.options.idempotent => format!(
                "/* mustardbay.request_id=load-{id} */ \
                 INSERT INTO ledger (request, session, seq) VALUES ({id}, {number}, {seq})"
            ),
            Action::Write => {
                format!("INSERT INTO ledger (request, session, seq) VALUES ({id}, {number}, {seq})")
            }
        }
    }

    async fn connect(&mut self) -> Result<(), Ending> {
        if self.connection.is_some() {
            return Ok(());
        }
        let Some(entry) = self.entries.get(self.entry) else {
            return Err(Ending::Unsent);
        };
        match Connection::open(*entry, &self.credentials, self.token.as_deref()).await {
            Ok(connection) => {
                self.connection = Some(connection);
                Ok(())
            }
            Err(error) => Err(ending::from_connect_error(&error)),
        }
    }

    /// Closes the connection and selects the next entry.
    async fn switch_entry(&mut self) {
        if let Some(connection) = self.connection.take() {
            match connection.close().await {
                Ok(Some(token)) => self.token = Some(token),
                Ok(None) => {}
                // An older token carries too low a position: reads could miss the latest writes.
                Err(e) => {
                    tracing::info!(event = "token_lost", session = self.number, error = %e);
                    self.token = None;
                }
            }
        }
        tracing::debug!(
            event = "moved",
            session = self.number,
            seq = self.seq,
            token = self.token
        );
        if !self.options.keeps_token {
            self.token = None;
        }
        self.entry = (self.entry + 1) % self.entries.len().max(1);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
