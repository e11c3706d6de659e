//! Session of a client: one request at a time, on any entry.

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

/// Longest time that a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Most attempts of a write that carries a request identifier.
const MAX_ATTEMPTS: u32 = 4;

/// Pause before a write of unknown outcome is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How a session behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Habits {
    /// Whether it takes its token along to another entry.
    pub keeps_token: bool,
    /// Whether its writes carry request identifiers and are retried.
    pub identifies: bool,
    /// Requests after which it moves to another entry; 0 for never.
    pub moves_after: u64,
}

/// Session of one client.
#[derive(Debug)]
pub struct Session {
    number: u64,
    who: Credentials,
    entries: Arc<Vec<SocketAddr>>,
    entry: usize,
    habits: Habits,
    began: Instant,
    connection: Option<Connection>,
    token: Option<String>,
    seq: u64,
    requests: u64,
}

impl Session {
    /// Creates a session that starts at one of the entries.
    #[must_use]
    pub fn new(
        number: u64,
        who: Credentials,
        entries: Arc<Vec<SocketAddr>>,
        habits: Habits,
        began: Instant,
    ) -> Self {
        let places = entries.len().max(1) as u64;
        Self {
            number,
            who,
            entries,
            entry: usize::try_from(number % places).unwrap_or(0),
            habits,
            began,
            connection: None,
            token: None,
            seq: 0,
            requests: 0,
        }
    }

    /// Sets the time from which the run is counted.
    pub fn restart(&mut self, began: Instant) {
        self.began = began;
    }

    /// Opens the session's connection ahead of its first request.
    pub async fn warm_up(&mut self) {
        if let Err(ending) = self.connect().await {
            tracing::debug!(event = "warm_up_failed", session = self.number, ?ending);
        }
    }

    /// Runs a request to its end.
    pub async fn perform(&mut self, arrival: Arrival) -> Request {
        self.requests += 1;
        let moves = self.habits.moves_after;
        if moves > 0 && self.requests.is_multiple_of(moves) {
            self.move_on().await;
        }
        if arrival.action == Action::Write {
            self.seq += 1;
        }
        let start = Instant::now();
        let ending = self.attempt(arrival).await;
        Request {
            id: arrival.id,
            session: self.number,
            account: AccountName::from(self.who.account.as_str()),
            route: RouteName::from(self.who.route.as_str()),
            action: arrival.action,
            seq: match arrival.action {
                Action::Read => 0,
                Action::Write => self.seq,
            },
            due_us: micros(arrival.due),
            start_us: micros(start - self.began),
            end_us: micros(self.began.elapsed()),
            ending,
        }
    }

    /// Ends the session.
    pub async fn close(&mut self) {
        if let Some(connection) = self.connection.take()
            && let Err(e) = connection.close().await
        {
            tracing::debug!(event = "close_failed", session = self.number, error = %e);
        }
    }

    async fn attempt(&mut self, arrival: Arrival) -> Ending {
        let retries = arrival.action == Action::Write && self.habits.identifies;
        let mut unknown = false;
        for _ in 0..MAX_ATTEMPTS {
            let ending = self.send(arrival).await;
            if ending::calls_for_another_entry(&ending) {
                self.move_on().await;
            }
            match ending {
                // A refusal of the retry says nothing of the attempt before it.
                Ending::NotRun { .. } | Ending::Unsent if unknown => {}
                Ending::Unknown if retries => unknown = true,
                ending => return ending,
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Ending::Unknown
    }

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
            Ok(Err(error)) => ending::of_error(&error),
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
            Action::Write if self.habits.identifies => format!(
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
        match Connection::open(*entry, &self.who, self.token.as_deref()).await {
            Ok(connection) => {
                self.connection = Some(connection);
                Ok(())
            }
            Err(error) => Err(ending::of_refused_connection(&error)),
        }
    }

    /// Leaves the entry for the next one.
    async fn move_on(&mut self) {
        if let Some(connection) = self.connection.take() {
            match connection.close().await {
                Ok(Some(token)) => self.token = Some(token),
                Ok(None) => {}
                // An older token would claim too low a floor.
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
        if !self.habits.keeps_token {
            self.token = None;
        }
        self.entry = (self.entry + 1) % self.entries.len().max(1);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
