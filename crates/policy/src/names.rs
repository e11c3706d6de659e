//! Shared immutable names of the things the proxy deals with.

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
    /// Client account, the user name that a caller presents.
    AccountName
);
name!(
    /// Public identifier of one key of an account; the key itself is never stored.
    KeyId
);
name!(
    /// Route, the database name that a caller asks for.
    RouteName
);
name!(
    /// Database group: one primary and its replicas.
    GroupName
);
name!(
    /// One database server of a group.
    UpstreamName
);
name!(
    /// Virtual machine that runs the proxy's processes.
    VmName
);
name!(
    /// Failure domain of virtual machines and upstreams.
    DomainName
);
