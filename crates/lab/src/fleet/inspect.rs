//! Queries of a running fleet: states, metrics, process ids and primaries.

use mustardbay_policy::names::UpstreamName;

use super::program::Kind;
use super::running::Fleet;
use super::running::FleetError;

impl Fleet {
    /// Returns the state of a program from its admin endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not answer with JSON.
    pub async fn state(&self, vm: &str, kind: Kind) -> Result<serde_json::Value, FleetError> {
        let url = format!("{}/state", self.admin(vm, kind));
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Returns the metrics page of a program.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not answer.
    pub async fn metrics(&self, vm: &str, kind: Kind) -> Result<String, FleetError> {
        let url = format!("{}/metrics", self.admin(vm, kind));
        Ok(self.http.get(url).send().await?.text().await?)
    }

    /// Returns how many calls the platform stand-in has received; 0 without a count.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn platform_calls(&self) -> Result<f64, FleetError> {
        let url = format!("http://{}/state", self.placement.platform_address());
        let state: serde_json::Value = self.http.get(url).send().await?.json().await?;
        Ok(state["calls_total"].as_f64().unwrap_or(0.0))
    }

    /// Returns the process id of a program of a vm; `None` if it is unknown or has ended.
    #[must_use]
    pub fn process_id(&self, vm: &str, kind: Kind) -> Option<u32> {
        let program = match kind {
            Kind::Entry => "entry",
            Kind::Pool => "pool",
            Kind::Steward => "steward",
            Kind::Lab => "lab",
        };
        self.programs.get(&format!("{vm}-{program}"))?.id()
    }

    /// Returns the upstream of a group that reports to be primary with the highest term.
    ///
    /// Upstreams that do not answer are skipped.
    ///
    /// # Errors
    ///
    /// Fails if no upstream of the group reports to be primary.
    pub async fn primary(&self, group: &str) -> Result<UpstreamName, FleetError> {
        let groups = self
            .bundle
            .groups
            .iter()
            .filter(|g| g.name.as_str() == group);
        let mut best: Option<(u64, UpstreamName)> = None;
        for up in groups.flat_map(|group| &group.upstreams) {
            let Ok(state) = self.upstream_state(up.name.as_str()).await else {
                continue;
            };
            let term = state["term"].as_u64().unwrap_or(0);
            if state["role"] == "primary" && best.as_ref().is_none_or(|(t, _)| *t < term) {
                best = Some((term, up.name.clone()));
            }
        }
        let best = best.ok_or_else(|| FleetError::Unknown(format!("primary of {group}")))?;
        Ok(best.1)
    }
}
