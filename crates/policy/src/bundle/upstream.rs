//! Database server in a bundle.

use serde::Deserialize;
use serde::Serialize;

use crate::names::DomainName;
use crate::names::UpstreamName;

/// Database server of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique within the group.
    pub name: UpstreamName,
    /// Address `ip:port` of its PostgreSQL endpoint.
    pub address: String,
    /// Failure domain in which the server runs.
    pub domain: DomainName,
    /// Whether the server is being removed and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}
