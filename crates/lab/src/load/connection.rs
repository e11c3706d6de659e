//! Client connection to an entry, which tracks the session token.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use thiserror::Error;
use tokio::task::JoinHandle;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Longest time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for a connection to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Server parameter and startup option that carries the session token.
const TOKEN_PARAMETER: &str = "mustardbay.session";

/// A connection did not close in time, so its last session token is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the connection did not close in time")]
pub struct CloseTimeout;

/// Account, key and route of a connection.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// Account, sent as the user.
    pub account: String,
    /// Key of the account, sent as the password.
    pub key: String,
    /// Route, sent as the database.
    pub route: String,
}

/// Open connection, with the task that drives it.
#[derive(Debug)]
pub struct Connection {
    client: Client,
    driver: JoinHandle<Option<String>>,
}

impl Connection {
    /// Connects to an entry, with the session token of an earlier connection if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the connection.
    pub async fn open(
        entry: SocketAddr,
        credentials: &Credentials,
        token: Option<&str>,
    ) -> Result<Self, tokio_postgres::Error> {
        let mut config = Config::new();
        config.host(entry.ip().to_string()).port(entry.port());
        config.user(&credentials.account).password(&credentials.key);
        config
            .dbname(&credentials.route)
            .connect_timeout(CONNECT_TIMEOUT);
        if let Some(token) = token {
            config.options(format!("-c {TOKEN_PARAMETER}={token}"));
        }
        let (client, mut connection) = config.connect(NoTls).await?;
        let driver = tokio::spawn(async move {
            let mut token = None;
            poll_fn(|cx| {
                loop {
                    let polled = connection.poll_message(cx);
                    token = connection.parameter(TOKEN_PARAMETER).map(str::to_owned);
                    match polled {
                        Poll::Ready(Some(Ok(_))) => {}
                        Poll::Ready(_) => return Poll::Ready(()),
                        Poll::Pending => return Poll::Pending,
                    }
                }
            })
            .await;
            token
        });
        Ok(Self { client, driver })
    }

    /// Runs one statement and returns the first field of its first row.
    ///
    /// # Errors
    ///
    /// Fails with the entry's error, or if the connection is lost.
    pub async fn run(&self, sql: &str) -> Result<Option<String>, tokio_postgres::Error> {
        let answer = self.client.simple_query(sql).await?;
        let mut rows = answer.iter().filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0),
            _ => None,
        });
        Ok(rows.next().map(str::to_owned))
    }

    /// Closes the connection and returns the last session token from the entry, if there was one.
    ///
    /// # Errors
    ///
    /// Fails if the connection does not close within a second, so that its last token is unknown.
    pub async fn close(self) -> Result<Option<String>, CloseTimeout> {
        drop(self.client);
        let abort = self.driver.abort_handle();
        if let Ok(Ok(token)) = tokio::time::timeout(CLOSE_TIMEOUT, self.driver).await {
            return Ok(token);
        }
        abort.abort();
        Err(CloseTimeout)
    }
}
