//! Cases of the review.

pub mod begun_transaction;
pub mod draining_replica;
pub mod evacuated_backend;
pub mod late_request;
pub mod revoked_key;
pub mod smuggled_line;

use crate::site::Configuration;
use crate::site::Route;
use crate::site::Tenant;

/// Database name of the route that all cases use.
pub const ROUTE: &str = "lepu270";
/// Key of the tenant that all cases have.
pub const KEY: &str = "u6wsjnbanfqasnmgkcuy";
/// Name of that tenant.
pub const TENANT: &str = "nypu920";

/// Returns a configuration with one route of a kind and one tenant.
pub fn configuration(kind: &'static str, timeout_ms: u32) -> Configuration {
    Configuration {
        routes: vec![Route {
            host: ROUTE,
            kind,
            timeout_ms,
        }],
        tenants: vec![Tenant {
            name: TENANT,
            keys: vec![KEY],
        }],
        sync_replicas: 0,
    }
}
