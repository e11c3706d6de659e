//! Evacuated failure domains as the vms know them, and what still runs there.

use std::collections::BTreeMap;
use std::fmt;

use futures::future::join_all;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::admin;

/// Evacuations as each vm knows them, by the vm's admin address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Evacuations(pub BTreeMap<String, VmEvacuations>);

/// What one vm says of the evacuations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmEvacuations {
    /// What it knows and runs.
    Known(Known),
    /// It did not answer, or its state cannot be read; holds the reason.
    Silent(String),
}

/// Evacuated domains and the work at their upstreams, from the state of one vm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Known {
    /// Evacuated domains.
    #[serde(rename = "evacuated")]
    pub domains: Vec<EvacuatedDomain>,
    /// State of each pool; of it only the evacuated upstreams.
    pub pools: BTreeMap<String, PoolWork>,
}

/// One evacuated domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EvacuatedDomain {
    /// Name of the domain.
    pub domain: String,
    /// Time since the vm last knew it as not evacuated, in milliseconds.
    pub since_ms: Option<u64>,
    /// Time for which its primaries may still serve, in milliseconds.
    pub serves_ms: u64,
}

/// Work of one pool at evacuated upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PoolWork {
    /// Statements and open transactions by upstream.
    #[serde(default)]
    pub evacuated: BTreeMap<String, u64>,
}

/// Asks vms by their admin addresses for the evacuations that they know.
pub async fn evacuations(admins: &[String]) -> Evacuations {
    let answers = admins.iter().map(async |url| {
        let known = match admin::state(url).await {
            Ok(state) => VmEvacuations::read(state),
            Err(e) => VmEvacuations::Silent(e.to_string()),
        };
        (url.clone(), known)
    });
    Evacuations(join_all(answers).await.into_iter().collect())
}

impl VmEvacuations {
    /// Reads the state of a vm.
    #[must_use]
    pub fn read(state: Value) -> Self {
        match serde_json::from_value(state) {
            Ok(known) => Self::Known(known),
            Err(e) => Self::Silent(format!("its state shows no evacuations: {e}")),
        }
    }
}

impl fmt::Display for Evacuations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (vm, evacuations) in &self.0 {
            match evacuations {
                VmEvacuations::Silent(reason) => writeln!(f, "{vm}: {reason}")?,
                VmEvacuations::Known(known) => write!(f, "{vm}: {known}")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Known {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.domains.is_empty() {
            return writeln!(f, "no domain is evacuated");
        }
        let names: Vec<String> = self
            .domains
            .iter()
            .map(EvacuatedDomain::to_string)
            .collect();
        writeln!(f, "{}", names.join(", "))?;
        for (group, work) in &self.pools {
            for (upstream, running) in work.evacuated.iter().filter(|(_, running)| **running > 0) {
                writeln!(f, "  {group} {upstream}: {running} running")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for EvacuatedDomain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let domain = &self.domain;
        match self.since_ms {
            Some(since) => write!(f, "{domain} for {since} ms at most")?,
            None => write!(f, "{domain} since before the vm's start")?,
        }
        if self.serves_ms > 0 {
            write!(f, ", its primaries serve {} ms more", self.serves_ms)?;
        }
        Ok(())
    }
}
