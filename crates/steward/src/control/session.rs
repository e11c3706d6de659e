//! Control connection to an upstream.

use std::str::FromStr;

use mustardbay_process::dialer::Dialer;
use tokio::sync::Mutex;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::SimpleQueryRow;

use crate::control::ControlError;
use crate::settings::Login;

/// Database name of control connections, which identifies them in the upstream's logs.
const DATABASE: &str = "mustardbay";

/// Control connection to one upstream, opened on demand; calls run one at a time.
#[derive(Debug)]
pub(super) struct Session {
    address: String,
    client: Mutex<Option<Client>>,
}

impl Session {
    pub(super) fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            client: Mutex::new(None),
        }
    }

    /// Runs a statement and returns its first row.
    pub(super) async fn query(
        &self,
        login: &Login,
        dialer: Dialer,
        sql: &str,
    ) -> Result<Row, ControlError> {
        let mut current = self.client.lock().await;
        let client = match current.take() {
            Some(client) if !client.is_closed() => client,
            _ => self.connect(login, dialer).await?,
        };
        let result = client.simple_query(sql).await;
        *current = Some(client);
        let row = result?.into_iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(Row(row)),
            _ => None,
        });
        row.ok_or_else(|| ControlError::Malformed("no row".to_owned()))
    }

    async fn connect(&self, login: &Login, dialer: Dialer) -> Result<Client, ControlError> {
        let stream = dialer.connect(&self.address).await?;
        let mut config = Config::new();
        config
            .user(&login.user)
            .password(&login.password)
            .dbname(DATABASE)
            .application_name("mustardbay-steward");
        let (client, connection) = config.connect_raw(stream, NoTls).await?;
        let address = self.address.clone();
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(event = "control_lost", address, error = %e);
            }
        });
        Ok(client)
    }
}

/// Result row in text format.
#[derive(Debug)]
pub(super) struct Row(SimpleQueryRow);

impl Row {
    pub(super) fn text(&self, column: &str) -> Result<&str, ControlError> {
        match self.0.try_get(column) {
            Ok(Some(text)) => Ok(text),
            _ => Err(ControlError::Malformed(format!("no column {column}"))),
        }
    }

    pub(super) fn parse<T: FromStr>(&self, column: &str) -> Result<T, ControlError> {
        let text = self.text(column)?;
        match text.parse() {
            Ok(value) => Ok(value),
            Err(_) => Err(ControlError::Malformed(format!("{column} {text:?}"))),
        }
    }
}
