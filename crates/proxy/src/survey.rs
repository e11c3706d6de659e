//! What the platform's store says of configuration, upstreams and vms at one moment.

use std::collections::BTreeMap;
use std::sync::Arc;

use mustardbay_policy::names::GroupName;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::fleet::Member;
use crate::pool::Registration;

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
