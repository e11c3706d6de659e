//! Client sessions on a running fleet.

use std::time::Duration;

use super::running::Fleet;
use super::running::FleetError;
use super::settings;

impl Fleet {
    /// Opens a client session on the entry of a vm.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the session.
    pub async fn caller(
        &self,
        vm: &str,
        account: &str,
        route: &str,
    ) -> Result<tokio_postgres::Client, FleetError> {
        self.caller_with(vm, account, route, None).await
    }

    /// Opens a client session on the entry of a vm, with a session token if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses the session.
    pub async fn caller_with(
        &self,
        vm: &str,
        account: &str,
        route: &str,
        token: Option<&str>,
    ) -> Result<tokio_postgres::Client, FleetError> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(self.placement.vm_ip(vm).to_string())
            .port(settings::POSTGRES_PORT);
        config
            .user(account)
            .password(self.key(account))
            .dbname(route);
        config.connect_timeout(Duration::from_secs(5));
        if let Some(token) = token {
            config.options(format!("-c mustardbay.session={token}"));
        }
        let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(event = "client_connection_failed", error = %e);
            }
        });
        Ok(client)
    }
}
