//! Version of an accepted bundle.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Version of an accepted bundle; increases with each one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

impl BundleVersion {
    /// Returns the version after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for BundleVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
