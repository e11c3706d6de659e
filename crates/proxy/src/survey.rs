//! What the platform's store says of configuration, upstreams and vms at one moment.

use std::collections::BTreeMap;
use std::sync::Arc;

use mustardbay_policy::names::GroupName;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::configuration::Configuration;
use crate::fleet::Member;
use crate::pool::Registration;

/// Number that tells two surveys apart; never 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stamp(pub u64);

/// One reading of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Survey {
    /// Newest configuration.
    pub configuration: Arc<Configuration>,
    /// Registered upstreams by group.
    pub upstreams: Arc<BTreeMap<GroupName, Vec<Registration>>>,
    /// Vms whose lease holds, in order of their names.
    pub members: Arc<Vec<Member>>,
}

impl Survey {
    /// Returns the stamp of the survey: equal for equal surveys, on every vm.
    ///
    /// # Errors
    ///
    /// Fails if the survey cannot be encoded.
    pub fn stamp(&self) -> Result<Stamp, serde_json::Error> {
        let digest = Sha256::digest(serde_json::to_vec(self)?);
        let mut head = [0_u8; 8];
        head.copy_from_slice(&digest[..8]);
        Ok(Stamp(u64::from_be_bytes(head).max(1)))
    }
}
