//! Database server.

use serde::Deserialize;
use serde::Serialize;

use crate::names::DomainName;
use crate::names::UpstreamName;

/// Database server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique in its group.
    pub name: UpstreamName,
    /// Address `ip:port` of its PostgreSQL endpoint.
    pub address: String,
    /// Failure domain that it stands in.
    pub domain: DomainName,
    /// Whether it is leaving and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}
