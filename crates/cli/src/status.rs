//! Versions of the bundle that the vms of the fleet have.

use std::collections::BTreeMap;
use std::fmt;

use futures::future::join_all;
use mustardbay_platform::Platform;
use mustardbay_policy::bundle::BundleVersion;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::admin;
use crate::error::CliError;
use crate::submission::HEAD_KEY;
use crate::submission::read_head;
use crate::submission::retry;

/// Prefix of the platform's entries of vms.
const VM_PREFIX: &str = "vms/";

/// Version in force and the version that each vm has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// Version that the platform holds; 0 if there is none.
    pub in_force: BundleVersion,
    /// Status of each listed vm by its name, and of each steward given by its address.
    pub vms: BTreeMap<String, VmStatus>,
}

/// What is known of the version on one vm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmStatus {
    /// Its steward has this version.
    Version(BundleVersion),
    /// Its steward did not respond, or its state shows no version; holds the reason.
    Silent(String),
    /// The platform's entry has no admin address.
    NoAddress,
}

/// Entry of a vm on the platform; fields that are not needed here are ignored.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct VmEntry {
    #[serde(default)]
    admin: Option<String>,
}

/// Reads the version in force from the platform and asks every steward for its version.
///
/// # Errors
///
/// Fails if the platform cannot be reached.
pub async fn status(platform: &dyn Platform, admins: &[String]) -> Result<Status, CliError> {
    let head = retry(|| platform.get(HEAD_KEY)).await?;
    let head = head.as_ref().map(read_head).transpose()?;
    let listing = retry(|| platform.list(VM_PREFIX)).await?;
    let mut targets: BTreeMap<String, Option<String>> = BTreeMap::new();
    for entry in &listing.entries {
        let name = entry.key.trim_start_matches(VM_PREFIX).to_owned();
        let listed = serde_json::from_slice::<VmEntry>(&entry.value).ok();
        targets.insert(name, listed.and_then(|l| l.admin));
    }
    targets.extend(admins.iter().map(|url| (url.clone(), Some(url.clone()))));
    let answers = targets.into_iter().map(query_vm);
    Ok(Status {
        in_force: head.map_or(BundleVersion::default(), |h| h.version),
        vms: join_all(answers).await.into_iter().collect(),
    })
}

async fn query_vm((name, url): (String, Option<String>)) -> (String, VmStatus) {
    let Some(url) = url else {
        return (name, VmStatus::NoAddress);
    };
    let answer = match admin::state(&url).await {
        Ok(state) => read_version(&state),
        Err(e) => VmStatus::Silent(e.to_string()),
    };
    (name, answer)
}

fn read_version(state: &Value) -> VmStatus {
    match state.pointer("/bundle_version").and_then(Value::as_u64) {
        Some(version) => VmStatus::Version(BundleVersion(version)),
        None => VmStatus::Silent("its state shows no bundle version".to_owned()),
    }
}

impl Status {
    /// Tells whether every vm has the version in force.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let current = VmStatus::Version(self.in_force);
        self.vms.values().all(|vm| *vm == current)
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "version {} is in force", self.in_force)?;
        for (name, vm) in &self.vms {
            match vm {
                VmStatus::Version(v) if *v < self.in_force => {
                    writeln!(f, "{name}: version {v}, behind")?;
                }
                VmStatus::Version(v) => writeln!(f, "{name}: version {v}")?,
                VmStatus::Silent(cause) => writeln!(f, "{name}: not heard from: {cause}")?,
                VmStatus::NoAddress => {
                    writeln!(f, "{name}: not heard from: no admin address listed")?;
                }
            }
        }
        Ok(())
    }
}
