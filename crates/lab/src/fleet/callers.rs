//! Sessions of callers on a running fleet.

use std::time::Duration;

use super::running::Fleet;
use super::running::FleetError;
use super::settings;

impl Fleet {
    /// Opens a caller's session on an entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry refuses the session.
    pub async fn caller(
        &self,
        vm: &str,
        account: &str,
        route: &str,
    ) -> Result<tokio_postgres::Client, FleetError> {
        self.caller_with(vm, account, route, None).await
    }

    /// Opens a caller's session that starts with a session token.
    ///
    /// # Errors
    ///
    /// Fails if the entry refuses the session.
    pub async fn caller_with(
        &self,
        vm: &str,
        account: &str,
        route: &str,
        token: Option<&str>,
    ) -> Result<tokio_postgres::Client, FleetError> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(self.plan.vm_ip(vm).to_string())
            .port(settings::CALLERS);
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
                tracing::debug!(event = "caller_ended", error = %e);
            }
        });
        Ok(client)
    }
}
