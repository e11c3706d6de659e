//! Configuration bundle: accounts, keys, rates, routes and database groups.
//!
//! Operators write a bundle in YAML. It is validated as a whole, signed, and stored as the
//! content-addressed chunks of a hash tree, so that a small change transfers few bytes.

mod account;
mod chunk;
mod fault;
mod group;
mod head;
mod key;
mod key_verifier;
mod limits;
mod node;
mod read;
mod reader;
mod route;
mod rules;
mod scram;
mod signer;
mod tree;
mod tree_diff;
mod upstream;
mod version;

use serde::Deserialize;
use serde::Serialize;

pub use self::account::Account;
pub use self::chunk::Chunk;
pub use self::chunk::ChunkError;
pub use self::chunk::ChunkHash;
pub use self::chunk::ChunkSet;
pub use self::fault::Fault;
pub use self::fault::Faults;
pub use self::group::Group;
pub use self::head::Head;
pub use self::head::HeadError;
pub use self::key::Key;
pub use self::key_verifier::KeyVerifier;
pub use self::limits::Limits;
pub use self::route::Route;
pub use self::scram::ParseScramError;
pub use self::scram::ScramSecret;
pub use self::signer::ParseSignerError;
pub use self::signer::Signer;
pub use self::signer::SignerId;
pub use self::tree::Tree;
pub use self::tree_diff::TreeDiff;
pub use self::upstream::Upstream;
pub use self::version::BundleVersion;

/// Complete configuration of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bundle {
    /// Version under which the bundle was accepted; 0 before submission.
    pub version: BundleVersion,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Routes from database names to groups.
    pub routes: Vec<Route>,
    /// Database groups.
    pub groups: Vec<Group>,
    /// Time limits that apply to the whole fleet.
    pub limits: Limits,
}

impl Bundle {
    /// Parses a bundle from YAML and validates it.
    ///
    /// # Errors
    ///
    /// Returns every fault with its path and line: syntax errors, unknown keys, wrong types and
    /// violated rules.
    pub fn parse(yaml: &str) -> Result<Self, Faults> {
        read::parse(yaml)
    }

    /// Validates names, references, amounts and limits.
    ///
    /// # Errors
    ///
    /// Returns every fault with its path.
    pub fn check(&self) -> Result<(), Faults> {
        Faults::into_result((), rules::faults(self))
    }

    /// Returns a copy for display, with every key verifier replaced by `***`.
    #[must_use]
    pub fn masked(&self) -> Self {
        let mut copy = self.clone();
        for key in copy.accounts.iter_mut().flat_map(|a| a.keys.iter_mut()) {
            "***".clone_into(&mut key.verifier);
        }
        copy
    }
}
