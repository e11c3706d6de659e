//! Fault injection: link modes, platform outages and replication lag.

use std::net::Ipv4Addr;
use std::time::Duration;

use mustardbay_policy::names::DomainName;

use super::placement::STAND_IN_ADMIN;
use super::running::Fleet;
use super::running::FleetError;

impl Fleet {
    /// Sets the mode of the platform stand-in: `up`, `down`, `slow&ms=N` or `lose_answers`.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn switch_platform(&self, mode: &str) -> Result<(), FleetError> {
        let url = format!(
            "http://{}/switch?mode={mode}",
            self.placement.platform_address()
        );
        self.http.post(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Sets the replication lag of an upstream.
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

    /// Returns the state of an upstream from its admin endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn upstream_state(&self, upstream: &str) -> Result<serde_json::Value, FleetError> {
        let url = format!("{}/state", self.upstream_admin(upstream)?);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Sets the mode of every link from one domain into another.
    ///
    /// Modes are `pass`, `cut`, `freeze`, `delay&ms=N` and `delay&us=N`.
    ///
    /// # Errors
    ///
    /// Fails if the relay does not answer.
    pub async fn set_link_modes(
        &self,
        from: &DomainName,
        to: &DomainName,
        mode: &str,
    ) -> Result<(), FleetError> {
        let sources = self.placement.sources(from);
        for link in self.placement.links() {
            if link.domain.as_ref() == Some(to) {
                self.set_link_mode(&link.name, &sources, mode).await?;
            }
        }
        Ok(())
    }

    /// Cuts a domain off from the platform, and from every other domain in both directions.
    ///
    /// # Errors
    ///
    /// Fails if the relay does not answer.
    pub async fn isolate(&self, domain: &DomainName) -> Result<(), FleetError> {
        self.set_domain_mode(domain, "cut").await
    }

    /// Reconnects a domain that [`Fleet::isolate`] cut off.
    ///
    /// The links then pass without the layout's delay.
    ///
    /// # Errors
    ///
    /// Fails if the relay does not answer.
    pub async fn heal(&self, domain: &DomainName) -> Result<(), FleetError> {
        self.set_domain_mode(domain, "pass").await
    }

    async fn set_domain_mode(&self, domain: &DomainName, mode: &str) -> Result<(), FleetError> {
        for other in self.placement.domains() {
            if other != *domain {
                self.set_link_modes(domain, &other, mode).await?;
                self.set_link_modes(&other, domain, mode).await?;
            }
        }
        self.set_link_mode("platform", &self.placement.sources(domain), mode)
            .await
    }

    async fn set_link_mode(
        &self,
        name: &str,
        sources: &[Ipv4Addr],
        mode: &str,
    ) -> Result<(), FleetError> {
        let from: Vec<String> = sources.iter().map(|ip| format!("&from={ip}")).collect();
        let from = from.concat();
        let relay = self.placement.relay_admin();
        let url = format!("http://{relay}/link/{name}?mode={mode}{from}");
        self.http.post(url).send().await?.error_for_status()?;
        Ok(())
    }

    fn upstream_admin(&self, upstream: &str) -> Result<String, FleetError> {
        let placed = self
            .placement
            .upstreams()
            .into_iter()
            .find(|up| up.name.as_str() == upstream);
        let placed = placed.ok_or_else(|| FleetError::Unknown(upstream.to_owned()))?;
        Ok(format!("http://{}:{STAND_IN_ADMIN}", placed.ip))
    }
}
