//! Faults of a running fleet: cut links, a platform that is down, replicas that lag.

use std::net::Ipv4Addr;
use std::time::Duration;

use mustardbay_policy::names::DomainName;

use super::plan::STAND_IN_ADMIN;
use super::running::Fleet;
use super::running::FleetError;

impl Fleet {
    /// Switches the platform stand-in: `up`, `down`, `slow&ms=N` or `lose_answers`.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn switch_platform(&self, mode: &str) -> Result<(), FleetError> {
        let url = format!("http://{}/switch?mode={mode}", self.plan.platform_address());
        self.http.post(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Sets the replication lag of one upstream.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn set_lag(&self, upstream: &str, lag: Duration) -> Result<(), FleetError> {
        let url = format!(
            "{}/lag?ms={}",
            self.upstream_admin(upstream)?,
            lag.as_millis()
        );
        self.http.post(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Returns the state of an upstream stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn upstream_state(&self, upstream: &str) -> Result<serde_json::Value, FleetError> {
        let url = format!("{}/state", self.upstream_admin(upstream)?);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Switches every link from one domain into another: `pass`, `cut`, `freeze` or `delay&ms=N`.
    ///
    /// # Errors
    ///
    /// Fails if the relay does not answer.
    pub async fn switch_links(
        &self,
        from: &DomainName,
        to: &DomainName,
        mode: &str,
    ) -> Result<(), FleetError> {
        let sources = self.plan.sources(from);
        for link in self.plan.links() {
            if link.domain.as_ref() == Some(to) {
                self.switch_link(&link.name, &sources, mode).await?;
            }
        }
        Ok(())
    }

    /// Cuts a domain off from all others, in both directions, and from the platform.
    ///
    /// # Errors
    ///
    /// Fails if the relay does not answer.
    pub async fn isolate(&self, domain: &DomainName) -> Result<(), FleetError> {
        self.switch_domain(domain, "cut").await
    }

    /// Takes back [`Fleet::isolate`].
    ///
    /// # Errors
    ///
    /// Fails if the relay does not answer.
    pub async fn heal(&self, domain: &DomainName) -> Result<(), FleetError> {
        self.switch_domain(domain, "pass").await
    }

    async fn switch_domain(&self, domain: &DomainName, mode: &str) -> Result<(), FleetError> {
        for other in self.plan.domains() {
            if other != *domain {
                self.switch_links(domain, &other, mode).await?;
                self.switch_links(&other, domain, mode).await?;
            }
        }
        self.switch_link("platform", &self.plan.sources(domain), mode)
            .await
    }

    async fn switch_link(
        &self,
        name: &str,
        sources: &[Ipv4Addr],
        mode: &str,
    ) -> Result<(), FleetError> {
        let from: Vec<String> = sources.iter().map(|ip| format!("&from={ip}")).collect();
        let from = from.concat();
        let relay = self.plan.relay_admin();
        let url = format!("http://{relay}/link/{name}?mode={mode}{from}");
        self.http.post(url).send().await?.error_for_status()?;
        Ok(())
    }

    fn upstream_admin(&self, upstream: &str) -> Result<String, FleetError> {
        let placed = self
            .plan
            .upstreams()
            .into_iter()
            .find(|up| up.name.as_str() == upstream);
        let placed = placed.ok_or_else(|| FleetError::Unknown(upstream.to_owned()))?;
        Ok(format!("http://{}:{STAND_IN_ADMIN}", placed.ip))
    }
}
