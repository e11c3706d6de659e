//! Names of accounts, routes, groups, upstreams, vms and domains, as types of their own.
//!
//! A name is immutable and reference-counted, so a clone is cheap.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl<T: Into<Arc<str>>> From<T> for $type {
            fn from(text: T) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// Name of a client account, which a caller presents as its user name.
    AccountName
);
name!(
    /// Public identifier of one key of an account; only a verifier of the key is stored.
    KeyId
);
name!(
    /// Name of a route, which a caller requests as its database name.
    RouteName
);
name!(
    /// Name of a region, which holds several failure domains.
    RegionName
);
name!(
    /// Name of a database group: one primary and its replicas.
    GroupName
);
name!(
    /// Name of one database server in a group.
    UpstreamName
);
name!(
    /// Name of a virtual machine that runs the proxy's processes.
    VmName
);
name!(
    /// Name of a failure domain of virtual machines and upstreams.
    DomainName
);
