//! Client connection to an entry, which remembers the session's token.

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

/// Longest wait for a connection's end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Parameter that carries the session's token.
const TOKEN: &str = "mustardbay.session";

/// A connection did not end in time, so that the session's last token is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the connection did not end in time")]
pub struct TokenLost;

/// Who connects, and to which database.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// Account.
    pub account: String,
    /// Key of the account.
    pub key: String,
    /// Route.
    pub route: String,
}

/// Open connection.
#[derive(Debug)]
pub struct Connection {
    client: Client,
    driver: JoinHandle<Option<String>>,
}

impl Connection {
    /// Connects to an entry, with the token of an earlier connection if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses.
    pub async fn open(
        entry: SocketAddr,
        who: &Credentials,
        token: Option<&str>,
    ) -> Result<Self, tokio_postgres::Error> {
        let mut config = Config::new();
        config.host(entry.ip().to_string()).port(entry.port());
        config.user(&who.account).password(&who.key);
        config.dbname(&who.route).connect_timeout(CONNECT_TIMEOUT);
        if let Some(token) = token {
            config.options(format!("-c {TOKEN}={token}"));
        }
        let (client, mut connection) = config.connect(NoTls).await?;
        let driver = tokio::spawn(async move {
            let mut token = None;
            poll_fn(|cx| {
                loop {
                    let polled = connection.poll_message(cx);
                    token = connection.parameter(TOKEN).map(str::to_owned);
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

    /// Closes the connection and returns the token that the entry gave last, if it gave one.
    ///
    /// # Errors
    ///
    /// Fails if the connection does not end in time, so that its last token is not known.
    pub async fn close(self) -> Result<Option<String>, TokenLost> {
        drop(self.client);
        let abort = self.driver.abort_handle();
        if let Ok(Ok(token)) = tokio::time::timeout(CLOSE_TIMEOUT, self.driver).await {
            return Ok(token);
        }
        abort.abort();
        Err(TokenLost)
    }
}
