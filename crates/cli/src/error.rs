//! Failures of commands and the exit codes they end with.

use std::path::PathBuf;

use mustardbay_platform::PlatformError;
use mustardbay_policy::bundle::BundleVersion;
use mustardbay_policy::bundle::ChunkError;
use mustardbay_policy::bundle::Faults;
use mustardbay_policy::bundle::HeadError;
use mustardbay_policy::bundle::ParseSignerError;
use mustardbay_process::exit::Exit;
use thiserror::Error;

/// Command that did not do what was asked.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A bundle has faults.
    #[error("{path}: the bundle is refused:\n{faults}")]
    Bundle {
        /// File of the bundle.
        path: PathBuf,
        /// Every fault with its place.
        faults: Faults,
    },
    /// A key file holds no key.
    #[error("{path}: {source}")]
    Signer {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: ParseSignerError,
    },
    /// A file holds no signed head.
    #[error("{path}: not a signed head: {source}")]
    Head {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A signed head does not belong to the bundle and the expected version.
    #[error("the signed head is for version {version} and root {root}, not for this bundle")]
    OtherHead {
        /// Version that was signed.
        version: BundleVersion,
        /// Root that was signed.
        root: String,
    },
    /// A signature is wrong.
    #[error(transparent)]
    Signature(#[from] HeadError),
    /// The platform holds something that is no bundle.
    #[error("the platform's bundle is damaged: {0}")]
    Damaged(String),
    /// Another version is in force.
    #[error("conflict: version {in_force} is in force, not {expected}; nothing was changed")]
    Conflict {
        /// Version that the operator saw.
        expected: BundleVersion,
        /// Version in force.
        in_force: BundleVersion,
    },
    /// The platform cannot be reached, and nothing was put in force.
    #[error("{0}; nothing was put in force")]
    Platform(#[from] PlatformError),
    /// The platform gave no answer to the last step.
    #[error(
        "unknown whether version {version} is in force: {source}; ask again with `bundle status`"
    )]
    Unknown {
        /// Version that was submitted.
        version: BundleVersion,
        /// Last failure.
        source: PlatformError,
    },
    /// A process cannot be reached.
    #[error("{url}: {cause}")]
    Admin {
        /// Address that was asked.
        url: String,
        /// What went wrong.
        cause: String,
    },
    /// Output could not be rendered.
    #[error("output does not render: {0}")]
    Render(String),
}

impl CliError {
    /// Returns the exit code of the failure.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Conflict { .. } => Exit::Conflict,
            Self::Platform(_) | Self::Unknown { .. } | Self::Admin { .. } => Exit::Unreachable,
            _ => Exit::Failed,
        }
    }
}

impl From<ChunkError> for CliError {
    fn from(e: ChunkError) -> Self {
        Self::Damaged(e.to_string())
    }
}
